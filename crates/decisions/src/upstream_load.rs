use super::*;

/// Prompt tokens that an engine processes in a millisecond, until its rate is known better; the rate of the
/// engines in service.
pub const PREFILL_TOKENS_PER_MS: f64 = 8.0;

/// Time that an otherwise idle engine takes to process a prompt of this length.
#[must_use]
pub fn prefill_time(prompt_tokens: u32) -> Duration {
    Duration::from_secs_f64(f64::from(prompt_tokens) / PREFILL_TOKENS_PER_MS / 1000.0)
}

/// How long a load report of an upstream counts. Calls of other VMs last about as long.
const REPORT_MAX_AGE: Duration = Duration::from_millis(1500);

/// Weight of the latest outcome in the failure rate, which covers about the last ten calls.
const OUTCOME_WEIGHT: f64 = 0.1;

/// Load that an upstream reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadSample {
    /// Number of calls that run there.
    pub running: u32,
    /// Number of calls that are queued there.
    pub waiting: u32,
}

impl LoadSample {
    /// Number of calls that run or are queued there.
    #[must_use]
    pub fn calls(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// What this VM knows of the load of an upstream: its own dispatches, which are exact, and the upstream's
/// reports, which lag.
#[derive(Clone, Debug, Default)]
pub struct UpstreamLoad {
    /// Calls of this VM in flight.
    own_calls: u32,
    /// Calls of this VM for which the upstream keeps a KV copy.
    copies: u32,
    /// When the prompts that this VM has sent there will have been processed.
    prefill_until: Instant,
    /// Calls of other VMs at the last report, with its time.
    others: Option<(u32, Instant)>,
    /// Failure rate of recent calls, from 0 to 1.
    failure_rate: f64,
}

impl UpstreamLoad {
    /// Records the start of a call, with the prompt tokens that are to be processed for it.
    pub fn call_started(&mut self, prompt_tokens: u32, now: Instant) {
        self.call_started_with(prefill_time(prompt_tokens), now);
    }

    /// Records the start of a call, with the time in which its prompt is processed.
    pub fn call_started_with(&mut self, prefill: Duration, now: Instant) {
        self.own_calls += 1;
        self.prefill_until = self.prefill_until.max(now).after(prefill);
    }

    /// Records the end of a call.
    pub fn call_ended(&mut self) {
        self.own_calls = self.own_calls.saturating_sub(1);
    }

    /// Records that the upstream keeps a KV copy for a call.
    pub fn copy_added(&mut self) {
        self.copies += 1;
    }

    /// Records that the upstream no longer keeps a KV copy for a call.
    pub fn copy_removed(&mut self) {
        self.copies = self.copies.saturating_sub(1);
    }

    /// Records a load report of the upstream.
    pub fn record_report(&mut self, sample: LoadSample, now: Instant) {
        let others = sample.calls().saturating_sub(self.own_calls);
        self.others = Some((others, now));
    }

    /// Records whether a call there failed.
    pub fn record_outcome(&mut self, failed: bool) {
        let outcome = if failed { 1.0 } else { 0.0 };
        self.failure_rate += OUTCOME_WEIGHT * (outcome - self.failure_rate);
    }

    /// Number of calls there from all VMs, as far as known.
    #[must_use]
    pub fn calls(&self, now: Instant) -> u32 {
        let reported = self.calls_reported_within(REPORT_MAX_AGE, now);
        reported.unwrap_or(self.own_calls)
    }

    /// Number of calls there from all VMs, if the upstream has reported it within `max_age`.
    #[must_use]
    pub fn calls_reported_within(&self, max_age: Duration, now: Instant) -> Option<u32> {
        let (others, at) = self.others?;
        (now.since(at) < max_age).then_some(self.own_calls + others)
    }

    /// Number of calls of this VM there.
    #[must_use]
    pub fn own_calls(&self) -> u32 {
        self.own_calls
    }

    /// Number of calls of this VM there and of KV copies that it keeps there, as sent to other VMs.
    #[must_use]
    pub fn call_and_copy_count(&self) -> u32 {
        self.own_calls + self.copies
    }

    /// Number of calls of this VM for which the upstream keeps a KV copy.
    #[must_use]
    pub fn copies(&self) -> u32 {
        self.copies
    }

    /// Time until the prompts that this VM has sent there are processed.
    #[must_use]
    pub fn prefill_left(&self, now: Instant) -> Duration {
        self.prefill_until.since(now)
    }

    /// Failure rate of recent calls, from 0 to 1.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
