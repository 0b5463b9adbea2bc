use super::*;
use crate::{generation_request::GenerationRequest, problem::ProblemKind};

/// State of a running generation: the tokens delivered so far and the outcome.
///
/// It is independent of its caller's connection, so that a reconnecting caller finds it.
pub struct Generation {
    /// The accepted request.
    pub request: GenerationRequest,
    state: Mutex<GenerationState>,
    changes: watch::Sender<()>,
    cancelled: watch::Sender<bool>,
    superseded: watch::Sender<bool>,
}

struct GenerationState {
    relay: Relay,
    /// Number of tokens released to the caller: with progress replicas, those whose copies have
    /// been sent.
    released: TokenIndex,
    upstream: Option<UpstreamId>,
    /// Upstream and number of another VM's attempt that may still run, until this VM attempts to
    /// reattach to it.
    orphaned_attempt: Option<(UpstreamId, Attempt)>,
    outcome: Option<GenerationOutcome>,
}

/// Outcome of a generation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GenerationOutcome {
    /// The complete response was delivered.
    Whole(Finish),
    /// The generation failed; the tokens delivered so far remain valid.
    Failed(ProblemKind),
}

impl Generation {
    /// Creates a generation without delivered tokens.
    #[must_use]
    pub fn new(request: GenerationRequest) -> Self {
        Self {
            state: Mutex::new(GenerationState {
                relay: Relay::new(request.engine_id.clone()),
                released: TokenIndex(0),
                upstream: None,
                orphaned_attempt: None,
                outcome: None,
            }),
            request,
            changes: watch::Sender::new(()),
            cancelled: watch::Sender::new(false),
            superseded: watch::Sender::new(false),
        }
    }

    /// Creates a generation that another VM has run up to `record`; new attempts are numbered above
    /// `last`.
    #[must_use]
    pub fn resumed(request: GenerationRequest, record: &ProgressRecord, last: Attempt) -> Self {
        let relay = Relay::resumed(request.engine_id.clone(), last, record.tokens.clone());
        Self {
            state: Mutex::new(GenerationState {
                released: relay.next(),
                relay,
                upstream: record.upstream.clone(),
                orphaned_attempt: record.upstream.clone().map(|id| (id, record.attempt)),
                outcome: record.finish.map(GenerationOutcome::Whole),
            }),
            ..Self::new(request)
        }
    }

    /// Returns a receiver that is notified of each released token and of the outcome.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Returns a receiver that becomes true when the generation is cancelled.
    pub fn cancelled(&self) -> watch::Receiver<bool> {
        self.cancelled.subscribe()
    }

    /// Returns whether a caller is reading the generation.
    #[must_use]
    pub fn has_reader(&self) -> bool {
        self.changes.receiver_count() > 0
    }

    /// Cancels the generation because its caller has left or requested it.
    pub fn cancel(&self) {
        self.cancelled.send_replace(true);
    }

    /// Returns the released tokens from `from` on, and the outcome if there is one.
    #[must_use]
    pub fn read_from(&self, from: TokenIndex) -> (TokenLog, Option<GenerationOutcome>) {
        let state = self.state.lock();
        let mut tokens = state.relay.delivered().tail(from);
        tokens.truncate(TokenIndex(state.released.0.saturating_sub(from.0)));
        (tokens, state.outcome)
    }

    /// Returns the progress, for VMs that keep replicas of it or take the generation over.
    #[must_use]
    pub fn progress(&self) -> Option<ProgressRecord> {
        ProgressRecord::from_first_update(&self.progress_from(TokenIndex(0))?)
    }

    /// Returns the progress from token `from` on; `None` if the caller gave no key and so cannot
    /// reconnect.
    pub(crate) fn progress_from(&self, from: TokenIndex) -> Option<ProgressUpdate> {
        let resumable = self.request.resumable.as_ref()?;
        let state = self.state.lock();
        Some(ProgressUpdate {
            id: self.request.id.clone(),
            chain: resumable.chain,
            head: (from == TokenIndex(0)).then(|| self.request.progress_head(resumable)),
            attempt: state.relay.live(),
            upstream: state.upstream.clone(),
            from,
            tokens: state.relay.delivered().tail(from),
            finish: state.relay.finish(),
        })
    }

    /// Returns whether a caller that reconnects at `point` can be sent the tokens from there on.
    pub(crate) fn can_resume_at(&self, point: &ResumePoint) -> bool {
        let superseded = GenerationOutcome::Failed(ProblemKind::Superseded);
        if self.outcome() == Some(superseded) {
            return false;
        }
        let progress = self.progress();
        progress.is_some_and(|progress| progress.can_resume(point))
    }

    /// Releases all tokens before `next` to the caller.
    pub(crate) fn release(&self, next: TokenIndex) {
        let mut state = self.state.lock();
        if next > state.released {
            state.released = next;
            drop(state);
            self.changes.send_replace(());
        }
    }

    /// Records the upstream that runs the generation.
    pub(crate) fn set_upstream(&self, upstream: &UpstreamId) {
        self.state.lock().upstream = Some(upstream.clone());
    }

    /// Takes the upstream and number of another VM's attempt that may still run.
    pub(crate) fn take_orphaned_attempt(&self) -> Option<(UpstreamId, Attempt)> {
        self.state.lock().orphaned_attempt.take()
    }

    /// Ends the generation on this VM if another VM runs it under a newer attempt.
    pub(crate) fn supersede(&self, attempt: Attempt) {
        if attempt > self.attempts() {
            self.superseded.send_replace(true);
        }
    }

    /// Returns a receiver that becomes true when another VM has taken the generation over.
    pub(crate) fn superseded(&self) -> watch::Receiver<bool> {
        self.superseded.subscribe()
    }

    /// Returns the outcome, if there is one.
    #[must_use]
    pub fn outcome(&self) -> Option<GenerationOutcome> {
        self.state.lock().outcome
    }

    /// Returns the index of the next token.
    #[must_use]
    pub fn next_index(&self) -> TokenIndex {
        self.state.lock().relay.next()
    }

    /// Returns the counts of events that the relay dropped.
    pub(crate) fn dropped(&self) -> DroppedCounts {
        self.state.lock().relay.dropped()
    }

    /// Returns the number of the live attempt, which is the number of attempts made.
    #[must_use]
    pub fn attempts(&self) -> Attempt {
        self.state.lock().relay.live()
    }

    pub(crate) fn reserve(&self) -> (ReservedAttempt, engine::EngineGenerate) {
        let mut state = self.state.lock();
        let reserved = state.relay.reserve();
        let order = self
            .request
            .engine_order(reserved.attempt(), state.relay.delivered());
        (reserved, order)
    }

    pub(crate) fn adopt(&self, reserved: ReservedAttempt) -> bool {
        self.state.lock().relay.adopt(reserved)
    }

    pub(crate) fn token(&self, token: ReceivedToken) -> Result<Delivery, catkin_decisions::Error> {
        self.state.lock().relay.token(token)
    }

    pub(crate) fn end(&self, end: &ReceivedEnd) -> Result<Delivery, catkin_decisions::Error> {
        self.state.lock().relay.end(end)
    }

    pub(crate) fn conclude(&self, outcome: GenerationOutcome) {
        self.state.lock().outcome.get_or_insert(outcome);
        self.changes.send_replace(());
    }
}
