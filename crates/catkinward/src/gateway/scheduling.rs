//! Which services are scheduled: their calls wait in the VM for room at an upstream.

use super::{accepted_call::AcceptedCall, *};

/// How long an upstream's statement of its speed makes its service a scheduled one.
const SPEED_STATEMENT_PERIOD: Duration = Duration::from_secs(10);

/// Outcome of the selection of an upstream for a call of a scheduled service.
#[derive(Clone, Debug)]
pub(crate) enum RoomSelection {
    /// This upstream has room.
    Upstream(Arc<UpstreamEntry>),
    /// Upstreams may be selected, but none has room.
    NoRoom,
    /// No upstream may be selected.
    NoUpstream,
}

impl Gateway {
    /// Whether calls of a service wait for room: its upstreams are engines with a known memory, and either the
    /// configuration ranks its callers or an upstream has stated its current speed.
    pub(crate) fn is_scheduled(&self, service: &ServiceId) -> bool {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let Some(config) = state.config.get() else {
            return false;
        };
        let has_memory = config
            .service(service)
            .is_some_and(|spec| spec.engine && spec.kv_capacity.is_some());
        if !has_memory {
            return false;
        }
        config.is_ranked(service)
            || state.upstreams_mut().any(|upstream| {
                upstream.entry.service == *service
                    && upstream.room.states_speed(SPEED_STATEMENT_PERIOD, now)
            })
    }

    /// Selects an upstream with room for a call of a scheduled service: its memory holds the calls of this VM, and
    /// one more after a call of lower priority.
    pub(crate) fn select_with_room(
        &self,
        accepted: &AcceptedCall,
        avoid: &[UpstreamIncarnation],
        cached: &[(UpstreamIncarnation, u32)],
    ) -> RoomSelection {
        let config = self.config();
        let spec = config.as_ref().and_then(|c| c.service(&accepted.service));
        let capacity = spec.and_then(|spec| spec.kv_capacity).unwrap_or(u32::MAX);
        let prompt = accepted.call.prompt.as_ref();
        let tokens = prompt.map_or(0, |p| p.tokens + p.max_generated);
        let reserved = u32::from(accepted.priority > 0);
        let mut is_full = false;
        let selected = self.select_for_send(
            accepted,
            avoid,
            cached,
            Candidates::Open,
            |candidates, context| {
                let has_room = |candidate: &&PlacementCandidate| {
                    let calls = candidate.load.own_calls() + 1 + reserved;
                    calls.saturating_mul(tokens) <= capacity
                };
                let with_room = candidates.iter().filter(has_room).cloned();
                let with_room = with_room.collect::<Vec<_>>();
                is_full = with_room.is_empty() && !candidates.is_empty();
                select_upstream(&with_room, context).cloned()
            },
        );
        match selected {
            Some(entry) => RoomSelection::Upstream(entry),
            None if is_full => RoomSelection::NoRoom,
            None => RoomSelection::NoUpstream,
        }
    }
}
