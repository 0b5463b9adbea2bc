use super::*;
use crate::{admission_pool::AdmissionPool, upstream_handle::UpstreamHandle};
use std::ops::Deref;

/// A place at an upstream, given back when it is dropped.
pub(crate) struct SlotGuard {
    pool: Arc<AdmissionPool>,
    lane: Lane,
    upstream: UpstreamHandle,
    since: Instant,
    has_begun: bool,
    has_ended: bool,
}

impl SlotGuard {
    pub(crate) fn new(pool: Arc<AdmissionPool>, lane: Lane, upstream: UpstreamHandle) -> Self {
        Self {
            since: pool.timer.now(),
            pool,
            lane,
            upstream,
            has_begun: false,
            has_ended: false,
        }
    }

    /// Notes the first part of an answer, by which the limit of the upstream is found.
    pub(crate) fn begun(&mut self) {
        if !std::mem::replace(&mut self.has_begun, true) {
            self.pool.record_latency(self.upstream.id(), self.held());
        }
    }

    /// Notes that the upstream refused for want of room, or did not answer in time.
    pub(crate) fn overloaded(&self) {
        self.pool.record_overload(self.upstream.id());
    }

    /// Notes a whole answer; how long it took counts for the waits of those in the queue.
    pub(crate) fn ended(&mut self) {
        self.has_ended = true;
    }

    /// How long it has been held.
    pub(crate) fn held(&self) -> Duration {
        self.pool.timer.now().since(self.since)
    }
}

impl Deref for SlotGuard {
    type Target = UpstreamHandle;

    fn deref(&self) -> &UpstreamHandle {
        &self.upstream
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let held = self.has_ended.then(|| self.held());
        self.pool.release_slot(self.lane, self.upstream.id(), held);
    }
}
