use super::*;
use crate::{generation_request::GenerationRequest, problem::ProblemKind};

/// A generation under way: what was delivered so far, and what became of it.
///
/// It lives apart from its caller's connection, so that a caller who comes back finds it.
pub struct Generation {
    /// What was asked for.
    pub request: GenerationRequest,
    state: Mutex<GenerationState>,
    changes: watch::Sender<()>,
    cancelled: watch::Sender<bool>,
    superseded: watch::Sender<bool>,
}

struct GenerationState {
    relay: Relay,
    /// Tokens that the caller may have: those whose copies are on their way, if copies are kept.
    released: TokenIndex,
    upstream: Option<UpstreamId>,
    /// Where another VM's attempt may still run, until this VM has tried to go on with it.
    left_running: Option<(UpstreamId, Attempt)>,
    outcome: Option<GenerationOutcome>,
}

/// What became of a generation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GenerationOutcome {
    /// The whole answer was delivered.
    Whole(Finish),
    /// It failed; what was delivered stays valid.
    Failed(ProblemKind),
}

impl Generation {
    /// A generation of which nothing has been delivered.
    #[must_use]
    pub fn new(request: GenerationRequest) -> Self {
        Self {
            state: Mutex::new(GenerationState {
                relay: Relay::new(request.engine_id.clone()),
                released: TokenIndex(0),
                upstream: None,
                left_running: None,
                outcome: None,
            }),
            request,
            changes: watch::Sender::new(()),
            cancelled: watch::Sender::new(false),
            superseded: watch::Sender::new(false),
        }
    }

    /// A generation that another VM has run up to `record`; attempts go on above `last`.
    #[must_use]
    pub fn resumed(request: GenerationRequest, record: &ProgressRecord, last: Attempt) -> Self {
        let relay = Relay::resumed(request.engine_id.clone(), last, record.tokens.clone());
        Self {
            state: Mutex::new(GenerationState {
                released: relay.next(),
                relay,
                upstream: record.upstream.clone(),
                left_running: record.upstream.clone().map(|id| (id, record.attempt)),
                outcome: record.finish.map(GenerationOutcome::Whole),
            }),
            ..Self::new(request)
        }
    }

    /// Tells of each token, and of the end.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Tells of the cancellation.
    pub fn cancelled(&self) -> watch::Receiver<bool> {
        self.cancelled.subscribe()
    }

    /// Whether a caller reads it.
    #[must_use]
    pub fn has_reader(&self) -> bool {
        self.changes.receiver_count() > 0
    }

    /// Ends it for want of a caller, or at a caller's word.
    pub fn cancel(&self) {
        self.cancelled.send_replace(true);
    }

    /// Tokens from `from` on, and the outcome once there is one.
    #[must_use]
    pub fn read_from(&self, from: TokenIndex) -> (TokenLog, Option<GenerationOutcome>) {
        let state = self.state.lock();
        let mut tokens = state.relay.delivered().tail(from);
        tokens.truncate(TokenIndex(state.released.0.saturating_sub(from.0)));
        (tokens, state.outcome)
    }

    /// Its progress, for those who keep copies or take it over.
    #[must_use]
    pub fn progress(&self) -> Option<ProgressRecord> {
        ProgressRecord::from_first_update(&self.progress_from(TokenIndex(0))?)
    }

    /// Its progress from token `from` on; `None` for a generation whose caller cannot come back.
    pub(crate) fn progress_from(&self, from: TokenIndex) -> Option<ProgressUpdate> {
        let keyed = self.request.keyed.as_ref()?;
        let state = self.state.lock();
        Some(ProgressUpdate {
            id: self.request.id.clone(),
            chain: keyed.chain,
            head: (from == TokenIndex(0)).then(|| self.request.head(keyed)),
            attempt: state.relay.live(),
            upstream: state.upstream.clone(),
            from,
            tokens: state.relay.delivered().tail(from),
            finish: state.relay.finish(),
        })
    }

    /// Whether a caller who comes back at `point` can be given its tokens from there on.
    pub(crate) fn reaches(&self, point: &ResumePoint) -> bool {
        let superseded = GenerationOutcome::Failed(ProblemKind::Superseded);
        if self.outcome() == Some(superseded) {
            return false;
        }
        let progress = self.progress();
        progress.is_some_and(|progress| progress.can_resume(point))
    }

    /// Lets the caller have all tokens before `next`.
    pub(crate) fn release(&self, next: TokenIndex) {
        let mut state = self.state.lock();
        if next > state.released {
            state.released = next;
            drop(state);
            self.changes.send_replace(());
        }
    }

    /// Notes the upstream that runs it.
    pub(crate) fn runs_on(&self, upstream: &UpstreamId) {
        self.state.lock().upstream = Some(upstream.clone());
    }

    /// Where another VM's attempt may still run; told once.
    pub(crate) fn take_left_running(&self) -> Option<(UpstreamId, Attempt)> {
        self.state.lock().left_running.take()
    }

    /// Ends it here, if another VM runs it under a newer attempt.
    pub(crate) fn supersede(&self, attempt: Attempt) {
        if attempt > self.attempts() {
            self.superseded.send_replace(true);
        }
    }

    /// Tells that another VM has taken it over.
    pub(crate) fn superseded(&self) -> watch::Receiver<bool> {
        self.superseded.subscribe()
    }

    /// What became of it, once that is known.
    #[must_use]
    pub fn outcome(&self) -> Option<GenerationOutcome> {
        self.state.lock().outcome
    }

    /// Index of the token that is due.
    #[must_use]
    pub fn next_index(&self) -> TokenIndex {
        self.state.lock().relay.next()
    }

    /// Events that its relay dropped.
    pub(crate) fn dropped(&self) -> DroppedCounts {
        self.state.lock().relay.dropped()
    }

    /// Attempts made.
    #[must_use]
    pub fn attempts(&self) -> Attempt {
        self.state.lock().relay.live()
    }

    pub(crate) fn reserve(&self) -> (ReservedAttempt, engine::EngineGenerate) {
        let mut state = self.state.lock();
        let reserved = state.relay.reserve();
        let order = self
            .request
            .order(reserved.attempt(), state.relay.delivered());
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
