//! Back-offs that upstreams ask this VM for.

use super::{accepted_call::AcceptedCall, reply_log::millis, upstream_gate::UpstreamGate, *};

/// Shortest time after which a refused caller returns.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Where a request for a back-off comes from, for the log.
struct BackOffSource<'a> {
    kind: &'a str,
    status: Option<u16>,
    answer_to: Option<&'a RequestId>,
    path: Option<SocketAddr>,
}

impl Gateway {
    /// Applies a back-off that the response to a request asks for. If another VM opened the connection, the upstream saw
    /// that VM, which gets the statement too.
    pub(crate) fn back_off_stated(
        &self,
        gate: &UpstreamGate,
        asked: RequestedBackOff,
        status: u16,
    ) {
        let source = BackOffSource {
            kind: gate.kind.into(),
            status: Some(status),
            answer_to: gate.call.as_ref(),
            path: gate.path.through(),
        };
        self.apply_back_off(&gate.entry.id, asked, &source);
        if let Some(other) = gate.path.through() {
            let statement = PeerStatement {
                upstream: gate.entry.id.clone(),
                back_off_ms: Some(u32::try_from(millis(asked.duration())).unwrap_or(u32::MAX)),
                leaving: false,
            };
            self.outbox.send(other, PeerDatagram::Statement(statement));
        }
    }

    /// Applies a back-off that an upstream asked for on a connection that this VM opened for another one.
    pub(crate) fn back_off_received(
        &self,
        upstream: &UpstreamIncarnation,
        back_off_ms: u32,
        from: SocketAddr,
    ) {
        let asked = Duration::from_millis(back_off_ms.into()).into();
        let source = BackOffSource {
            kind: "connection_for_other",
            status: None,
            answer_to: None,
            path: Some(from),
        };
        self.apply_back_off(upstream, asked, &source);
    }

    fn apply_back_off(
        &self,
        upstream: &UpstreamIncarnation,
        asked: RequestedBackOff,
        source: &BackOffSource,
    ) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let Some(change) = state.back_offs.request(upstream, asked, now) else {
            return;
        };
        let until = state.back_offs.until(upstream, now);
        drop(state);
        metrics::counter!("catkin_back_offs_total").increment(1);
        if self.log.admits(LineKind::Belief, now) {
            let change: &str = change.into();
            tracing::info!(%upstream, change, asked_ms = millis(asked.duration()),
                left_ms = until.map(|until| millis(until.since(now))), kind = source.kind,
                status = source.status,
                answer_to = source.answer_to.map(tracing::field::display),
                path = source.path.map(tracing::field::display), "back-off of an upstream");
        }
    }

    /// Whether an upstream wants no requests from this VM now.
    pub(crate) fn is_backing_off(&self, upstream: &UpstreamIncarnation) -> bool {
        let now = self.timer.now();
        self.state.lock().back_offs.is_in_force(upstream, now)
    }

    /// Upstreams that a call must not select because they, or others in whose place they would get it, back off.
    pub(crate) fn upstreams_backing_off(
        &self,
        state: &GatewayState,
        accepted: &AcceptedCall,
        draw: f64,
        now: Instant,
    ) -> Vec<UpstreamIncarnation> {
        let mut excluded = state
            .back_offs
            .excluded(draw, now)
            .cloned()
            .collect::<Vec<_>>();
        if excluded.is_empty() {
            return excluded;
        }
        let service = &accepted.service;
        let usable = state.directory.usable(service, now).collect::<Vec<_>>();
        if !usable.iter().any(|entry| excluded.contains(&entry.id)) {
            return Vec::new();
        }
        for entry in usable {
            let calls = state.calls(&entry.id, now);
            if !excluded.contains(&entry.id)
                && !has_spare_slot(entry.slots, calls, accepted.priority)
            {
                excluded.push(entry.id.clone());
            }
        }
        if self.log.admits(LineKind::Limited, now) {
            let ids = excluded.iter().map(UpstreamIncarnation::as_str);
            let left_out = ids.collect::<Vec<_>>().join(",");
            tracing::info!(request = %accepted.call.id, reason = "back_off", left_out,
                "upstreams left out of the choice");
        }
        excluded
    }

    /// Time after which the caller of a refused call returns, if all upstreams of its service back off.
    pub(crate) fn back_off_retry_after(&self, accepted: &AcceptedCall) -> Option<Duration> {
        let now = self.timer.now();
        let state = self.state.lock();
        let usable = state.directory.usable(&accepted.service, now);
        let returns = usable
            .map(|entry| state.back_offs.returns_at(&entry.id, now))
            .collect::<Option<Vec<_>>>()?;
        drop(state);
        let first = returns.into_iter().min()?;
        metrics::counter!("catkin_back_off_refusals_total").increment(1);
        Some(first.retry_after(rand::random(), now).max(MIN_RETRY_AFTER))
    }

    /// Forgets the back-offs that have ended.
    pub(crate) fn remove_ended_back_offs(&self, now: Instant) {
        let ended = self.state.lock().back_offs.remove_ended(now);
        for upstream in ended {
            if self.log.admits(LineKind::Belief, now) {
                tracing::info!(%upstream, change = "ended", "back-off of an upstream");
            }
        }
    }
}
