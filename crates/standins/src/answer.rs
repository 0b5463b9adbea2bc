use super::*;

/// What a caller received of a generation.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Request id that the router gave.
    pub request_id: Option<String>,
    /// Whether a router took the request on.
    pub accepted: bool,
    /// Id of the last event, with which the caller comes back.
    pub last_event_id: Option<String>,
    /// Token ids in the order received.
    pub ids: Vec<u32>,
    /// Text in the order received.
    pub text: String,
    /// When the first call for it began.
    pub started: Option<tokio::time::Instant>,
    /// When each token came, from the start of the first call.
    pub arrivals: Vec<Duration>,
    /// Why the answer ended; only then is it whole.
    pub finish: Option<String>,
    /// Counts that the router gave with the end.
    pub usage: Option<caller::Usage>,
    /// An error event or error answer.
    pub problem: Option<caller::Problem>,
}

impl Answer {
    /// Longest wait between two tokens.
    #[must_use]
    pub fn longest_gap(&self) -> Duration {
        self.arrivals
            .windows(2)
            .map(|pair| pair[1].saturating_sub(pair[0]))
            .max()
            .unwrap_or_default()
    }

    /// Judges its tokens; it need not be whole.
    #[must_use]
    pub fn verdict(&self, chain: TokenChain, max_tokens: usize) -> AnswerVerdict {
        let whole = self.finish.is_some();
        AnswerVerdict::of(chain, max_tokens, &self.ids, &self.text, whole)
    }

    /// Checks it against the request.
    ///
    /// # Errors
    ///
    /// Says what is wrong.
    pub fn check(&self, chain: TokenChain, max_tokens: usize) -> Result<(), AnswerError> {
        check_answer(chain, max_tokens, &self.ids, &self.text)
    }
}
