use super::*;

/// Upstreams to which prompts were sent since other VMs were last told.
#[derive(Default)]
pub(crate) struct Dispatches {
    sent: Mutex<Vec<Arc<UpstreamEntry>>>,
    changed: Notify,
}

impl Dispatches {
    /// Notes that a prompt was sent.
    pub(crate) fn note(&self, upstream: &Arc<UpstreamEntry>) {
        self.sent.lock().push(upstream.clone());
        self.changed.notify_one();
    }

    /// Waits until there is one.
    pub(crate) async fn wait(&self) {
        self.changed.notified().await;
    }

    /// Takes them.
    pub(crate) fn take(&self) -> Vec<Arc<UpstreamEntry>> {
        std::mem::take(&mut *self.sent.lock())
    }
}
