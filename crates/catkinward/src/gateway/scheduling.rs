//! Which services are scheduled: their calls wait in the VM for room at an upstream.

#![allow(dead_code)]

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

    /// Selects an upstream with room for a call of a scheduled service.
    pub(crate) fn select_with_room(
        &self,
        accepted: &AcceptedCall,
        avoid: &[UpstreamIncarnation],
        cached: &[(UpstreamIncarnation, u32)],
    ) -> RoomSelection {
        match self.select(accepted, avoid, cached) {
            Some(entry) => RoomSelection::Upstream(entry),
            None => RoomSelection::NoUpstream,
        }
    }
}
