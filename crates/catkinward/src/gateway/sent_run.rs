use super::{kv_copy::KvCopy, run_guard::RunGuard, *};

/// A run of a stream whose upstream has not responded yet.
pub(super) struct SentRun {
    pub(super) guard: RunGuard,
    /// KV copy that grows with the run.
    pub(super) copy: Option<KvCopy>,
    /// KV copy that the run resumes from, which counts in the load of its holder until the response.
    pub(super) _from: Option<KvCopy>,
    pub(super) response: BoxFuture<'static, Result<UpstreamResponse, SendError>>,
    pub(super) sent_at: Instant,
    /// Its wait for the first event.
    pub(super) wait: EventWait,
    /// Time of the send if the run is a sample by which a rollout is judged.
    pub(super) sample_sent_at: Option<Instant>,
    /// Whether the upstream counts as one that may have run the stream.
    pub(super) recorded: bool,
}

impl SentRun {
    /// The upstream, and the path to it.
    pub(super) fn target(&self) -> (Arc<UpstreamEntry>, SendPath) {
        (self.guard.entry.clone(), self.guard.path)
    }
}

/// Whether an upstream responds that it runs the call.
pub(super) fn accepts_call(response: &Result<UpstreamResponse, SendError>) -> bool {
    response.as_ref().is_ok_and(|response| {
        let refused = response.other_incarnation || response.not_executed;
        !refused && response.status.is_success() && response.signed
    })
}
