use super::*;
use crate::upstreams::UpstreamState;

/// One request's hold on an upstream: counted there until it is dropped.
pub struct UpstreamHandle {
    state: Arc<UpstreamState>,
}

impl UpstreamHandle {
    pub(crate) fn new(state: Arc<UpstreamState>) -> Self {
        state.own.fetch_add(1, Ordering::Relaxed);
        Self { state }
    }

    /// The upstream's id.
    #[must_use]
    pub fn id(&self) -> &UpstreamId {
        &self.state.entry.id
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.state.entry.address
    }

    /// Notes that it failed this request.
    pub fn failed(&self) {
        self.state.failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes that it served this request.
    pub fn succeeded(&self) {
        self.state.failures.store(0, Ordering::Relaxed);
    }
}

impl Drop for UpstreamHandle {
    fn drop(&mut self) {
        self.state.own.fetch_sub(1, Ordering::Relaxed);
    }
}
