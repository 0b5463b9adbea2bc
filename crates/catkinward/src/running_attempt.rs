use super::*;
use crate::{attempt_stream::AttemptStream, engine_client, slot_guard::SlotGuard};

/// An attempt on its upstream.
pub(crate) struct RunningAttempt {
    pub(crate) upstream: SlotGuard,
    pub(crate) stream: AttemptStream,
    pub(crate) guard: AttemptGuard,
}

/// Cancels an attempt on its engine when it is dropped, from before the order is sent: one that was
/// given up while its answer was on the way would otherwise run to its end for nobody.
pub(crate) struct AttemptGuard {
    connections: Arc<Connections>,
    address: SocketAddr,
    id: RequestId,
    attempt: Attempt,
    released: bool,
}

impl AttemptGuard {
    /// Guards an attempt that is about to be ordered.
    pub(crate) fn new(
        connections: &Arc<Connections>,
        address: SocketAddr,
        order: &engine::EngineGenerate,
    ) -> Self {
        let id = order.request_id.parse();
        Self::running(
            connections,
            address,
            id.expect("orders are made with valid ids"),
            Attempt(order.attempt),
        )
    }

    /// Guards an attempt that runs already.
    pub(crate) fn running(
        connections: &Arc<Connections>,
        address: SocketAddr,
        id: RequestId,
        attempt: Attempt,
    ) -> Self {
        Self {
            connections: connections.clone(),
            address,
            id,
            attempt,
            released: false,
        }
    }

    /// Lets go: the attempt has ended, or never began.
    pub(crate) fn release(&mut self) {
        self.released = true;
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.released {
            engine_client::spawn_cancel(&self.connections, self.address, &self.id, self.attempt);
        }
    }
}
