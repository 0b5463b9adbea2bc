use super::*;

/// Metrics and invariant violations of one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Size of the fleet.
    pub size: String,
    /// Requests that a router accepted.
    pub accepted: usize,
    /// Requests whose complete response was received.
    pub completed: usize,
    /// Requests that were reported as not run.
    pub refused: usize,
    /// Requests that ended with another typed problem.
    pub failed: usize,
    /// Problem types of the failed requests with their counts.
    pub failures: Vec<(String, usize)>,
    /// Reconnections of callers to another router, over all calls.
    pub returns: u32,
    /// Tokens that callers did not receive.
    pub missing_tokens: usize,
    /// Tokens that callers received more than once.
    pub repeated_tokens: usize,
    /// Responses that contain tokens of two generations.
    pub mixed_answers: usize,
    /// Mismatched responses, which belong to another request.
    pub crossed_answers: usize,
    /// Requests that received neither a complete response nor a typed problem.
    pub lost_answers: usize,
    /// Requests that were reported as not run although an engine ran them.
    pub false_not_run: usize,
    /// Non-idempotent requests that ran more than once.
    pub double_runs: usize,
    /// Time from a fault to the next token, for the responses that it delayed.
    pub resume_ms: Percentiles,
    /// Time from the start of a call to its first token.
    pub first_token_ms: Percentiles,
    /// Time between two consecutive tokens.
    pub token_gap_ms: Percentiles,
    /// Tokens that engines prefilled and decoded beyond the prompts and responses, as a share of the
    /// latter.
    pub extra_engine_tokens_ratio: f64,
    /// Tokens that engines decoded beyond the responses, as a share of the latter.
    pub extra_decoded_ratio: f64,
    /// Engine processes that ended, whether killed or crashed.
    pub engines_lost: usize,
    /// Latency of quick calls.
    pub quick_ms: Percentiles,
    /// Violated invariants; empty if the run passed.
    pub violations: Vec<String>,
}
