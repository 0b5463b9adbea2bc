use super::*;
use crate::{
    quick_call::{QuickOutcome, QuickResult},
    quick_run::CAPACITY,
};

/// Metrics and invariant violations of a run of plain calls.
#[derive(Clone, Debug, Default, Serialize)]
pub struct QuickReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Metrics of the calls through the routers.
    #[serde(flatten)]
    pub measures: QuickMeasures,
    /// Metrics of the same calls sent directly to the upstreams, round robin.
    pub baseline: QuickMeasures,
    /// Latency of answered calls of all teams except team 0, which makes three quarters of the calls in
    /// the scenario `hot-team`.
    pub others_quick_ms: Percentiles,
    /// Requests that were reported as not run although an upstream ran them.
    pub false_not_run: usize,
    /// Non-idempotent requests that ran more than once.
    pub double_runs: usize,
    /// Violated invariants; empty if the run passed.
    pub violations: Vec<String>,
}

/// Metrics of plain calls, either through routers or sent directly.
#[derive(Clone, Debug, Default, Serialize)]
pub struct QuickMeasures {
    /// Number of calls made.
    pub calls: usize,
    /// Calls answered, before or after the deadline.
    pub completed: usize,
    /// Calls answered within the deadline, as a share of those that the upstreams' capacity allows.
    pub answered_in_deadline: f64,
    /// Calls that were reported as not run.
    pub refused: usize,
    /// Calls that ended with a problem response of another type.
    pub failed: usize,
    /// Calls that received neither a response nor a problem response.
    pub lost_answers: usize,
    /// Calls that received the response of another request, or an unreadable one.
    pub crossed_answers: usize,
    /// Latency of refusals.
    pub refused_ms: Percentiles,
    /// Latency of answered calls.
    pub quick_ms: Percentiles,
    /// Jain's fairness index of the teams' shares of calls answered within the deadline.
    pub fairness: f64,
    /// Runs whose response reached no caller within the deadline, as a share of all runs.
    pub wasted_work_ratio: f64,
}

impl QuickMeasures {
    pub(crate) fn of(results: &[QuickResult], runs: &RunCounts, arrival_window: Duration) -> Self {
        let count = |outcome| {
            results
                .iter()
                .filter(|result| result.outcome == outcome)
                .count()
        };
        let times = |outcome| {
            let ended = results
                .iter()
                .filter(move |result| result.outcome == outcome);
            Percentiles::of(ended.map(|result| result.latency))
        };
        let in_time = results
            .iter()
            .filter(|result| result.met_deadline())
            .count();
        let possible = to_f64(results.len()).min(CAPACITY * arrival_window.as_secs_f64());
        let run: u64 = runs.runs.iter().map(|run| run.count).sum();
        let useful_run_count: u64 = useful_runs(results, runs);
        Self {
            calls: results.len(),
            completed: count(QuickOutcome::Answered),
            answered_in_deadline: to_f64(in_time) / possible,
            refused: count(QuickOutcome::NotRun),
            failed: count(QuickOutcome::Failed),
            lost_answers: count(QuickOutcome::Lost),
            crossed_answers: count(QuickOutcome::Crossed),
            refused_ms: times(QuickOutcome::NotRun),
            quick_ms: times(QuickOutcome::Answered),
            fairness: fairness(results),
            wasted_work_ratio: 1.0 - to_f64(useful_run_count) / to_f64(run.max(1)),
        }
    }
}

/// Returns the number of runs that were answered within the deadline. For each digest, at most as
/// many runs count as callers were answered.
fn useful_runs(results: &[QuickResult], runs: &RunCounts) -> u64 {
    let in_time = results.iter().filter(|result| result.met_deadline());
    let mut digests: Vec<u64> = in_time.map(|result| result.call.digest()).collect();
    digests.sort_unstable();
    let callers = |digest: u64| {
        let first = digests.partition_point(|other| *other < digest);
        let after = digests.partition_point(|other| *other <= digest);
        u64::try_from(after - first).unwrap_or(u64::MAX)
    };
    let useful = runs
        .runs
        .iter()
        .map(|run| run.count.min(callers(run.digest)));
    useful.sum()
}

/// Returns Jain's fairness index: 1 if each team has the same share of its calls answered within the
/// deadline.
fn fairness(results: &[QuickResult]) -> f64 {
    let teams = results.iter().map(|result| result.call.team + 1).max();
    let shares: Vec<f64> = (0..teams.unwrap_or(0))
        .filter_map(|team| {
            let team_results = || results.iter().filter(|result| result.call.team == team);
            let made = team_results().count();
            let answered = team_results()
                .filter(|result| result.met_deadline())
                .count();
            (made > 0).then(|| to_f64(answered) / to_f64(made))
        })
        .collect();
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    sum * sum / (to_f64(shares.len()) * squares)
}

impl QuickReport {
    /// Checks the invariants of the calls through the routers: compares the responses that callers
    /// received with the runs that upstreams counted.
    pub(crate) fn check_invariants(&mut self, results: &[QuickResult], runs: &RunCounts) {
        let ran = |result: &QuickResult| runs.of_digest(result.call.digest());
        let writes = || results.iter().filter(|result| result.call.write);
        let refused = results
            .iter()
            .filter(|result| result.outcome == QuickOutcome::NotRun);
        self.double_runs = writes().filter(|result| ran(result) > 1).count();
        // A read of the hot item may have run for another caller of the same item.
        let distinct = refused.filter(|result| !result.call.query.starts_with(HOT_ITEM_QUERY));
        self.false_not_run = distinct.filter(|result| ran(result) > 0).count();
        let others = results.iter().filter(|result| result.call.team > 0);
        let others = others.filter(|result| result.outcome == QuickOutcome::Answered);
        self.others_quick_ms = Percentiles::of(others.map(|result| result.latency));
        let counts = [
            ("answers lost", self.measures.lost_answers),
            ("answers crossed", self.measures.crossed_answers),
            (
                "requests ran that were told they had not",
                self.false_not_run,
            ),
            ("requests ran twice", self.double_runs),
        ];
        let violated = counts.into_iter().filter(|(_, count)| *count > 0);
        self.violations = violated.map(|(what, n)| format!("{n} {what}")).collect();
        if results.is_empty() {
            self.violations.push("no request was made".to_owned());
        }
    }
}

/// Prefix of the query string of reads of the hot item.
pub(crate) const HOT_ITEM_QUERY: &str = "hot=";

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a run are far below 2^52"
)]
fn to_f64(n: impl TryInto<u64>) -> f64 {
    n.try_into().unwrap_or(u64::MAX) as f64
}
