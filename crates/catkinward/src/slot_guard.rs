use super::*;
use crate::{admission_pool::AdmissionPool, upstream_handle::UpstreamHandle};
use std::ops::Deref;

/// A concurrency slot of an upstream, released on drop.
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

    /// Records the first part of a response. Its latency adjusts the concurrency limit of the
    /// upstream.
    pub(crate) fn begun(&mut self) {
        if !std::mem::replace(&mut self.has_begun, true) {
            self.pool.answered(self.upstream.id(), self.held());
        }
    }

    /// Records that the upstream refused the request for lack of capacity, or timed out.
    pub(crate) fn overloaded(&self) {
        self.pool.overloaded(self.upstream.id());
    }

    /// Records a complete response. Its duration is used to estimate the waits of queued requests.
    pub(crate) fn ended(&mut self) {
        self.has_ended = true;
    }

    /// Returns how long the slot has been held.
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
        self.pool.leave(self.lane, self.upstream.id(), held);
    }
}
