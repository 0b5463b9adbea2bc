use super::*;

/// Attempt of a generation on a mock engine.
pub(crate) struct Sequence {
    pub(crate) request: engine::EngineGenerate,
    /// Attempt number; a router that takes the sequence over raises it.
    attempt: AtomicU64,
    pub(crate) state: Mutex<SequenceState>,
    pub(crate) changes: watch::Sender<()>,
}

pub(crate) struct SequenceState {
    pub(crate) chain: TokenChain,
    /// Ids and bytes of the tokens decoded after the forced prefix.
    pub(crate) tokens: Vec<(u32, Vec<u8>)>,
    pub(crate) finish: Option<engine::FinishReason>,
    /// Number of prompt and prefix tokens that still need prefill.
    pub(crate) prefill_left: usize,
    pub(crate) detached_since: Option<tokio::time::Instant>,
}

impl Sequence {
    pub(crate) fn new(request: engine::EngineGenerate) -> Self {
        let mut chain = TokenChain::new(
            &request.model,
            &request.version,
            &request.prompt,
            request.seed,
        );
        for id in &request.prefix {
            chain.push(*id);
        }
        let prefill_left = prompt_tokens(&request.prompt) + request.prefix.len();
        let is_complete = request.prefix.len() >= to_usize(request.max_tokens);
        Self {
            attempt: AtomicU64::new(request.attempt),
            request,
            state: Mutex::new(SequenceState {
                chain,
                tokens: Vec::new(),
                finish: is_complete.then_some(engine::FinishReason::Length),
                prefill_left,
                detached_since: None,
            }),
            changes: watch::Sender::new(()),
        }
    }

    pub(crate) fn attempt(&self) -> u64 {
        self.attempt.load(Ordering::Relaxed)
    }

    /// Raises the attempt number, which ends the streams of readers under a smaller one.
    pub(crate) fn raise_attempt(&self, attempt: u64) {
        self.attempt.fetch_max(attempt, Ordering::Relaxed);
        self.changes.send_replace(());
    }

    /// Returns whether the sequence can be read from token `from` of the full answer on.
    pub(crate) fn is_readable_from(&self, from: u32) -> bool {
        let cancelled = self.state.lock().finish == Some(engine::FinishReason::Cancelled);
        !cancelled && to_usize(from) >= self.request.prefix.len()
    }

    /// Decodes one token.
    pub(crate) fn step(&self, salt: u64) {
        let mut state = self.state.lock();
        if state.finish.is_some() {
            return;
        }
        let id = state.chain.sample(salt ^ self.request.attempt);
        let bytes = state.chain.push(id);
        state.tokens.push((id, bytes));
        if self.request.prefix.len() + state.tokens.len() >= to_usize(self.request.max_tokens) {
            state.finish = Some(engine::FinishReason::Length);
        }
        drop(state);
        self.changes.send_replace(());
    }

    pub(crate) fn cancel(&self) {
        self.state
            .lock()
            .finish
            .get_or_insert(engine::FinishReason::Cancelled);
        self.changes.send_replace(());
    }

    /// Returns the events from token `from` of the full answer on, the index of the next token, and
    /// whether the last event is the end of the sequence.
    pub(crate) fn events_from(&self, from: u32) -> (String, u32, bool) {
        let state = self.state.lock();
        let prefix = self.request.prefix.len();
        let skip = to_usize(from).saturating_sub(prefix);
        let mut text = String::new();
        let mut next = from;
        for (id, bytes) in state.tokens.iter().skip(skip) {
            let event = engine::EngineToken {
                attempt: self.attempt(),
                bytes: to_hex(bytes),
                index: next,
                request_id: self.request.request_id.clone(),
                token: *id,
            };
            write_event(&mut text, "token", &event);
            next += 1;
        }
        if let Some(finish_reason) = state.finish {
            let event = engine::EngineEnd {
                attempt: self.attempt(),
                finish_reason,
                request_id: self.request.request_id.clone(),
                tokens: next,
            };
            write_event(&mut text, "end", &event);
        }
        (text, next, state.finish.is_some())
    }
}

/// Appends a server-sent event to `text`.
pub(crate) fn write_event<T: serde::Serialize>(text: &mut String, name: &str, data: &T) {
    let data =
        serde_json::to_string(data).expect("generated interface types only have string keys");
    text.extend(["event: ", name, "\ndata: ", &data, "\n\n"]);
}

fn to_usize(tokens: u32) -> usize {
    usize::try_from(tokens).unwrap_or(usize::MAX)
}
