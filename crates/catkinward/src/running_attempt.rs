use super::*;
use crate::{attempt_stream::AttemptStream, engine_client, slot_guard::SlotGuard};

/// An attempt that runs on an upstream.
pub(crate) struct RunningAttempt {
    pub(crate) upstream: SlotGuard,
    pub(crate) stream: AttemptStream,
    pub(crate) guard: AttemptGuard,
}

/// Cancels an attempt on its engine on drop. It exists before the attempt is sent to the engine: if the
/// attempt is abandoned while its response is in transit, it would otherwise run to its end unread.
pub(crate) struct AttemptGuard {
    connections: Arc<Connections>,
    address: SocketAddr,
    id: RequestId,
    attempt: Attempt,
    disarmed: bool,
}

impl AttemptGuard {
    /// Guards an attempt that is about to be sent to an engine.
    pub(crate) fn new(
        connections: &Arc<Connections>,
        address: SocketAddr,
        order: &engine::EngineGenerate,
    ) -> Self {
        let id = order.request_id.parse();
        Self::running(
            connections,
            address,
            id.expect("engine requests have valid ids"),
            Attempt(order.attempt),
        )
    }

    /// Guards an attempt that is already running.
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
            disarmed: false,
        }
    }

    /// Disables the cancellation, because the attempt has ended or never started.
    pub(crate) fn disarm(&mut self) {
        self.disarmed = true;
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.disarmed {
            engine_client::spawn_cancel(&self.connections, self.address, &self.id, self.attempt);
        }
    }
}
