use super::*;

/// Permission for one request to an upstream, and the receiver of what the response states.
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
    /// Whether the request may be sent now. To be called right before it is written, since the upstream may have asked
    /// for a back-off after it was selected.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.gateway.may_send(self)
    }

    /// Records what the upstream states in the head of its response. To be called for each response, also for one
    /// that is of no use otherwise, except for a response to another request.
    pub fn record(&self, statement: &UpstreamStatement) {
        self.gateway.apply_statement(self, statement);
    }

    /// Records that the upstream sent more than is read from it, and that its connection is closed for that reason.
    pub fn limit_exceeded(&self, limit: ReceiveLimit) {
        self.gateway.receive_limit_exceeded(&self.entry, limit);
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
