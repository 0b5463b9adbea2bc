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
}

struct GenerationState {
    relay: Relay,
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
                relay: Relay::new(request.id.clone()),
                outcome: None,
            }),
            request,
            changes: watch::Sender::new(()),
            cancelled: watch::Sender::new(false),
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
        (state.relay.delivered().tail(from), state.outcome)
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
        let delivery = self.state.lock().relay.token(token)?;
        if matches!(delivery, Delivery::Token(..)) {
            self.changes.send_replace(());
        }
        Ok(delivery)
    }

    pub(crate) fn end(&self, end: &ReceivedEnd) -> Result<Delivery, catkin_decisions::Error> {
        self.state.lock().relay.end(end)
    }

    pub(crate) fn conclude(&self, outcome: GenerationOutcome) {
        self.state.lock().outcome.get_or_insert(outcome);
        self.changes.send_replace(());
    }
}
