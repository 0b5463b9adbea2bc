use super::*;

/// Upstreams that received prompts since the last heartbeat to other VMs.
#[derive(Default)]
pub(crate) struct Dispatches {
    sent: Mutex<Vec<Arc<UpstreamEntry>>>,
    changed: Notify,
}

impl Dispatches {
    /// Records that a prompt was sent to an upstream.
    pub(crate) fn record(&self, upstream: &Arc<UpstreamEntry>) {
        self.sent.lock().push(upstream.clone());
        self.changed.notify_one();
    }

    /// Waits until a prompt has been sent.
    pub(crate) async fn wait(&self) {
        self.changed.notified().await;
    }

    /// Removes and returns the recorded upstreams.
    pub(crate) fn take(&self) -> Vec<Arc<UpstreamEntry>> {
        std::mem::take(&mut *self.sent.lock())
    }
}
