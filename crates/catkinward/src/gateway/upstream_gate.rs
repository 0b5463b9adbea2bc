use super::*;

/// One request to an upstream, as the adapter reports on it.
#[derive(Clone)]
pub struct UpstreamGate {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) entry: Arc<UpstreamEntry>,
    pub(crate) kind: UpstreamRequestKind,
    pub(crate) path: SendPath,
    /// Call that the request is sent for, if there is one.
    pub(crate) call: Option<RequestId>,
}

impl UpstreamGate {
    /// Records what the upstream states in the head of its response. To be called for each response, also for one
    /// that is of no use otherwise, except for a response to another request.
    pub fn record(&self, statement: &UpstreamStatement) {
        self.gateway.apply_statement(self, statement);
    }
}

impl Debug for UpstreamGate {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("UpstreamGate")
            .field("upstream", &self.entry.id)
            .field("kind", &self.kind)
            .finish_non_exhaustive()
    }
}
