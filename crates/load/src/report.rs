use super::*;

/// Measures and verdict of one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Scenario that was run.
    pub scenario: String,
    /// Seed it was drawn from.
    pub seed: u64,
    /// Size of the fleet.
    pub size: String,
    /// Requests that a router took on.
    pub accepted: usize,
    /// Requests whose whole answer came.
    pub completed: usize,
    /// Requests that were told that they did not run.
    pub refused: usize,
    /// Accepted requests that ended in another typed error.
    pub failed: usize,
    /// Types of those errors, each with its count.
    pub failures: Vec<(String, usize)>,
    /// Calls that had to turn to another router, in times.
    pub returns: u32,
    /// Tokens that did not come.
    pub missing_tokens: usize,
    /// Tokens that came again.
    pub repeated_tokens: usize,
    /// Answers that hold tokens of two generations.
    pub mixed_answers: usize,
    /// Answers to another request.
    pub crossed_answers: usize,
    /// Accepted requests that got neither a whole answer nor a typed error.
    pub lost_answers: usize,
    /// Requests that were told that they did not run, and did.
    pub false_not_run: usize,
    /// Non-idempotent requests that ran more than once.
    pub double_runs: usize,
    /// Wait from a fault to the next token, of the answers it held up.
    pub resume_ms: Percentiles,
    /// Wait from the time a call was due to its first token.
    pub first_token_ms: Percentiles,
    /// Wait between two tokens.
    pub token_gap_ms: Percentiles,
    /// Tokens that engines computed beyond prompts and answers, as a share of these.
    pub extra_engine_tokens_ratio: f64,
    /// Tokens that engines decoded beyond the answers, as a share of these.
    pub extra_decoded_ratio: f64,
    /// Engines that died.
    pub engines_lost: usize,
    /// Latency of quick calls.
    pub quick_ms: Percentiles,
    /// Invariants that were broken; empty in a good run.
    pub violations: Vec<String>,
}
