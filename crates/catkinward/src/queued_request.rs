use super::*;
use crate::{
    admission_pool::{AdmissionPool, Refusal},
    slot_guard::SlotGuard,
};
use tokio::sync::oneshot;

/// A request's position in the queue, released on drop, for example when the caller disconnects.
pub(crate) struct QueuedRequest {
    pool: Arc<AdmissionPool>,
    position: QueuePosition,
    rx: oneshot::Receiver<Result<SlotGuard, Refusal>>,
}

impl QueuedRequest {
    pub(crate) fn new(
        pool: Arc<AdmissionPool>,
        position: QueuePosition,
        rx: oneshot::Receiver<Result<SlotGuard, Refusal>>,
    ) -> Self {
        Self { pool, position, rx }
    }

    /// Waits for a concurrency slot of an upstream.
    ///
    /// # Errors
    ///
    /// If the request gets no slot in time.
    pub(crate) async fn wait_for_slot(mut self) -> Result<SlotGuard, Refusal> {
        (&mut self.rx).await.unwrap_or(Err(Refusal {
            reason: RefusalReason::NoUpstream,
            retry_after: Duration::ZERO,
        }))
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        // This has no effect if the request has already left the queue.
        self.pool.withdraw(self.position);
    }
}
