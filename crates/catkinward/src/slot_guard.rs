use super::*;
use crate::{admission_pool::AdmissionPool, upstream_handle::UpstreamHandle};
use std::ops::Deref;

/// A concurrency slot of an upstream, released on drop.
pub(crate) struct SlotGuard {
    pool: Arc<AdmissionPool>,
    lane: Lane,
    upstream: UpstreamHandle,
    acquired_at: Instant,
    has_started: bool,
    is_complete: bool,
}

impl SlotGuard {
    pub(crate) fn new(pool: Arc<AdmissionPool>, lane: Lane, upstream: UpstreamHandle) -> Self {
        Self {
            acquired_at: pool.timer.now(),
            pool,
            lane,
            upstream,
            has_started: false,
            is_complete: false,
        }
    }

    /// Records the first part of a response. Its latency adjusts the concurrency limit of the
    /// upstream.
    pub(crate) fn record_first_part(&mut self) {
        if !std::mem::replace(&mut self.has_started, true) {
            self.pool.record_latency(self.upstream.id(), self.elapsed());
        }
    }

    /// Records that the upstream refused the request for lack of capacity, or timed out.
    pub(crate) fn record_overload(&self) {
        self.pool.record_overload(self.upstream.id());
    }

    /// Records a complete response. Its duration is used to estimate the waits of queued requests.
    pub(crate) fn record_completion(&mut self) {
        self.is_complete = true;
    }

    /// Returns how long the slot has been held.
    pub(crate) fn elapsed(&self) -> Duration {
        self.pool.timer.now().since(self.acquired_at)
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
        let held = self.is_complete.then(|| self.elapsed());
        self.pool.release_slot(self.lane, self.upstream.id(), held);
    }
}
