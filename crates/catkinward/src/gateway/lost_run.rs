use super::{run_progress::RunProgress, *};

/// A run that was lost, and whose upstream may have crashed.
#[derive(Clone, Debug)]
pub(crate) struct LostRun {
    /// What the call has in common with others.
    pub(crate) call: Arc<CallAttributes>,
    /// The upstream that ran it.
    pub(crate) upstream: UpstreamIncarnation,
    /// When it was lost.
    pub(crate) at: Instant,
    /// How far it had come.
    pub(crate) progress: RunProgress,
    /// What would show that there was.
    pub(crate) proof: CrashProof,
}

impl LostRun {
    /// Crashes of the upstream under each attribute of the call that may be the cause.
    pub(crate) fn crashes(&self) -> impl Iterator<Item = Crash> {
        let phase = self.progress.crash_phase();
        let body = Crash::of_body(self.call.body, self.upstream.clone(), phase, self.at);
        let parts = (!self.progress.is_past_beginning())
            .then(|| Crash::of_parts(&self.call, &self.upstream, self.at));
        std::iter::once(body).chain(parts.into_iter().flatten())
    }
}

/// What shows that the upstream of a lost run crashed. The later of two shows what the earlier does.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum CrashProof {
    /// A health check fails; enough for a run whose connection broke.
    Unresponsive,
    /// Another process runs at the address. A run that only fell silent needs this, because a partition has
    /// the same symptoms.
    ProcessEnded,
}

impl CrashProof {
    /// What shows a crash after a connection over this path broke. Through another VM, either end may have failed,
    /// and the own health checks fail anyway.
    pub(crate) fn of_broken(path: SendPath) -> Self {
        if path.is_direct() {
            Self::Unresponsive
        } else {
            Self::ProcessEnded
        }
    }
}
