use super::*;

/// The part of a generation that a caller has received.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Request id assigned by the router.
    pub request_id: Option<String>,
    /// Whether a router accepted the request.
    pub accepted: bool,
    /// Id of the last event, sent as `last-event-id` on reconnecting.
    pub last_event_id: Option<String>,
    /// Token ids in the order in which they were received.
    pub ids: Vec<u32>,
    /// Text in the order in which it was received.
    pub text: String,
    /// Start time of the first call for this generation.
    pub started: Option<tokio::time::Instant>,
    /// Arrival time of each token since the start of the first call.
    pub arrivals: Vec<Duration>,
    /// Finish reason; the answer is complete only if it is present.
    pub finish: Option<String>,
    /// Usage counts that the router sent with the final event.
    pub usage: Option<caller::Usage>,
    /// Error from an error event or an error response.
    pub problem: Option<caller::Problem>,
}

impl Answer {
    /// Returns the longest time between the arrivals of two consecutive tokens.
    #[must_use]
    pub fn longest_gap(&self) -> Duration {
        self.arrivals
            .windows(2)
            .map(|pair| pair[1].saturating_sub(pair[0]))
            .max()
            .unwrap_or_default()
    }

    /// Counts the wrong tokens of an answer, which may be incomplete.
    #[must_use]
    pub fn verdict(&self, chain: TokenChain, max_tokens: usize) -> AnswerVerdict {
        let complete = self.finish.is_some();
        AnswerVerdict::of(chain, max_tokens, &self.ids, &self.text, complete)
    }

    /// Checks a complete answer against its request.
    ///
    /// # Errors
    ///
    /// Returns the first difference from the expected answer.
    pub fn check(&self, chain: TokenChain, max_tokens: usize) -> Result<(), AnswerError> {
        check_answer(chain, max_tokens, &self.ids, &self.text)
    }
}
