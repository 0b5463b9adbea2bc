use super::*;
use crate::{
    generation_call::{CallOutcome, GenerationResult},
    injector::InjectedFaults,
};

/// A gap between tokens of more than this many steps plus [`SCHEDULING_JITTER`] is attributed to the
/// fault before it.
const DELAYED_STEPS: u32 = 3;

/// Gap between tokens that process scheduling on a busy machine can cause.
const SCHEDULING_JITTER: Duration = Duration::from_millis(20);

/// Data of a finished run, from which the report is computed.
pub(crate) struct Tally<'a> {
    pub(crate) scenario: &'a Scenario,
    pub(crate) results: &'a [GenerationResult],
    pub(crate) injected: &'a InjectedFaults,
    /// Load reports and run counts of the engines; for killed ones, as read before the kill.
    pub(crate) engines: Vec<(engine::UpstreamLoad, RunCounts)>,
    pub(crate) engines_lost: usize,
    /// Exit codes of drained routers; `None` if a router did not exit in time.
    pub(crate) exit_codes: Vec<Option<i32>>,
}

impl Tally<'_> {
    /// Computes the metrics and checks the invariants.
    pub(crate) fn report(&self) -> Report {
        let mut report = Report {
            scenario: self.scenario.name.to_owned(),
            accepted: self.results.iter().filter(|r| r.answer.accepted).count(),
            completed: self.count_outcomes(CallOutcome::Complete),
            refused: self.count_outcomes(CallOutcome::NotRun),
            failed: self.count_outcomes(CallOutcome::Failed),
            failures: self.failures(),
            returns: self.results.iter().map(|r| r.reconnects).sum(),
            lost_answers: self.count_outcomes(CallOutcome::Lost),
            false_not_run: self
                .results
                .iter()
                .filter(|r| self.ran_although_reported_not_run(r))
                .count(),
            resume_ms: Percentiles::of(self.results.iter().filter_map(|r| self.fault_delay(r))),
            first_token_ms: Percentiles::of(self.results.iter().filter_map(first_token)),
            token_gap_ms: Percentiles::of(self.results.iter().flat_map(token_gaps)),
            engines_lost: self.engines_lost,
            ..Report::default()
        };
        self.count_token_errors(&mut report);
        self.count_work(&mut report);
        report.violations = self.violations(&report);
        report
    }

    fn count_outcomes(&self, outcome: CallOutcome) -> usize {
        self.results.iter().filter(|r| r.outcome == outcome).count()
    }

    fn failures(&self) -> Vec<(String, usize)> {
        let failed = self
            .results
            .iter()
            .filter(|r| r.outcome == CallOutcome::Failed);
        let mut types: Vec<_> = failed
            .filter_map(|r| Some(r.answer.problem.as_ref()?.type_.clone()))
            .collect();
        types.sort();
        let runs = types.chunk_by(|a, b| a == b);
        runs.map(|run| (run[0].clone(), run.len())).collect()
    }

    fn count_token_errors(&self, report: &mut Report) {
        for result in self.results {
            let call = &result.call;
            let verdict = result.answer.verdict(call.chain(), to_usize(call.tokens));
            report.missing_tokens += verdict.missing;
            report.repeated_tokens += verdict.repeated;
            report.mixed_answers += usize::from(verdict.mixed > 0);
            report.crossed_answers += usize::from(verdict.crossed > 0);
        }
    }

    fn ran_although_reported_not_run(&self, result: &GenerationResult) -> bool {
        let digest = request_digest("", result.call.prompt.as_bytes());
        let ran = || {
            self.engines
                .iter()
                .any(|(_, runs)| runs.of_digest(digest) > 0)
        };
        result.outcome == CallOutcome::NotRun && ran()
    }

    /// Compares the tokens that engines computed with those that callers requested and received.
    fn count_work(&self, report: &mut Report) {
        let sum = |tokens: fn(&engine::UpstreamLoad) -> Option<u64>| {
            let tokens = self.engines.iter().filter_map(|(load, _)| tokens(load));
            tokens.sum::<u64>()
        };
        let decoded = sum(|load| load.decoded_tokens);
        let prefilled = sum(|load| load.prefilled_tokens);
        let prompts = |r: &GenerationResult| prompt_tokens(&r.call.prompt);
        let received: usize = self.results.iter().map(|r| r.answer.ids.len()).sum();
        let prompts: usize = self.results.iter().map(prompts).sum();
        report.extra_decoded_ratio = ratio(decoded, received) - 1.0;
        report.extra_engine_tokens_ratio = ratio(decoded + prefilled, received + prompts) - 1.0;
    }

    /// Returns the longest time from a fault to the next token, over the faults that delayed this
    /// response.
    fn fault_delay(&self, result: &GenerationResult) -> Option<Duration> {
        let answer = &result.answer;
        let started = answer.started?;
        let resumed =
            result.reconnects > 0 || answer.usage.as_ref().is_some_and(|u| u.attempts > 1);
        let threshold = self.scenario.step * DELAYED_STEPS + SCHEDULING_JITTER;
        let wait = |fault: &Instant| {
            let fault = fault.checked_duration_since(started)?;
            let next = answer.arrivals.partition_point(|arrival| *arrival < fault);
            let before = next.checked_sub(1)?;
            let gap = answer
                .arrivals
                .get(next)?
                .checked_sub(answer.arrivals[before])?;
            (resumed || gap > threshold).then(|| answer.arrivals[next].saturating_sub(fault))
        };
        self.injected.fault_times.iter().filter_map(wait).max()
    }

    fn violations(&self, report: &Report) -> Vec<String> {
        let counts = [
            ("tokens missing", report.missing_tokens),
            ("tokens repeated", report.repeated_tokens),
            ("answers mixed", report.mixed_answers),
            ("answers crossed", report.crossed_answers),
            ("answers lost", report.lost_answers),
            ("accepted requests failed", report.failed),
            ("requests refused", report.refused),
            (
                "requests ran that were told they had not",
                report.false_not_run,
            ),
            ("requests ran twice", report.double_runs),
        ];
        let counts = counts.into_iter().filter(|(_, count)| *count > 0);
        let mut violations: Vec<_> = counts.map(|(what, n)| format!("{n} {what}")).collect();
        violations.extend(
            report
                .failures
                .iter()
                .map(|(problem, n)| format!("{n} failed with {problem}")),
        );
        if self.results.is_empty() {
            violations.push("no request was made".to_owned());
        }
        if self.engines_lost > self.injected.killed_engines.len() + MAX_POISON_LOSSES {
            let lost = self.engines_lost;
            violations.push(format!(
                "{lost} engines lost, {MAX_POISON_LOSSES} to one request at most"
            ));
        }
        for code in self.exit_codes.iter().filter(|code| **code != Some(0)) {
            violations.push(format!("a drained router ended with code {code:?}"));
        }
        violations
    }
}

/// Maximum number of engines that one poison request may crash.
const MAX_POISON_LOSSES: usize = 2;

fn first_token(result: &GenerationResult) -> Option<Duration> {
    result.answer.arrivals.first().copied()
}

fn token_gaps(result: &GenerationResult) -> impl Iterator<Item = Duration> {
    let pairs = result.answer.arrivals.windows(2);
    pairs.map(|pair| pair[1].saturating_sub(pair[0]))
}

fn to_usize(tokens: u32) -> usize {
    usize::try_from(tokens).unwrap_or(usize::MAX)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a run are far below 2^52"
)]
fn ratio(part: u64, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}
