use super::*;
use crate::{
    admission_pool::{AdmissionPool, Refusal},
    slot_guard::SlotGuard,
};
use tokio::sync::oneshot;

/// A request's place in the queue, given back when it is dropped: a caller that left frees it.
pub(crate) struct QueuedRequest {
    pool: Arc<AdmissionPool>,
    place: QueuePosition,
    rx: oneshot::Receiver<Result<SlotGuard, Refusal>>,
}

impl QueuedRequest {
    pub(crate) fn new(
        pool: Arc<AdmissionPool>,
        place: QueuePosition,
        rx: oneshot::Receiver<Result<SlotGuard, Refusal>>,
    ) -> Self {
        Self { pool, place, rx }
    }

    /// Waits for a place at an upstream.
    ///
    /// # Errors
    ///
    /// If it cannot be had in time.
    pub(crate) async fn granted(mut self) -> Result<SlotGuard, Refusal> {
        (&mut self.rx).await.unwrap_or(Err(Refusal {
            reason: RefusalReason::NoUpstream,
            retry_after: Duration::ZERO,
        }))
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        // Of no effect once the request has left the queue.
        self.pool.withdraw(self.place);
    }
}
