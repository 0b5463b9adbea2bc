use super::*;

/// Prompt tokens that an engine reads in a millisecond, until it is known better: the figure of the
/// engines served today.
pub const PREFILL_TOKENS_PER_MS: f64 = 8.0;

/// How long an engine takes to read so many tokens with nothing else to do.
#[must_use]
pub fn prefill_time(prompt_tokens: u32) -> Duration {
    Duration::from_secs_f64(f64::from(prompt_tokens) / PREFILL_TOKENS_PER_MS / 1000.0)
}

/// How long a reading of an upstream's load counts. Calls of other VMs last about as long.
const READING_AGE: Duration = Duration::from_millis(1500);

/// Weight of the latest outcome in the share of failures: the last ten or so calls count.
const OUTCOME_WEIGHT: f64 = 0.1;

/// An upstream's word on its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadSample {
    /// Calls that run there.
    pub running: u32,
    /// Calls that wait there.
    pub waiting: u32,
}

/// What this VM knows of the load of an upstream: its own dispatches, exactly, and the upstream's
/// word, late.
#[derive(Clone, Debug, Default)]
pub struct UpstreamLoad {
    /// Own calls in flight.
    own: u32,
    /// Own calls that a copy of their memory is kept for there.
    copies: u32,
    /// When the prompts that this VM has sent there will have been read.
    read_until: Instant,
    /// Calls of others at the last reading, with its time.
    others: Option<(u32, Instant)>,
    /// Share of calls that failed lately.
    failures: f64,
}

impl UpstreamLoad {
    /// Notes a call that begins there, with the prompt tokens that are to be read for it.
    pub fn begin(&mut self, prompt_tokens: u32, now: Instant) {
        self.own += 1;
        self.read_until = self.read_until.max(now).after(prefill_time(prompt_tokens));
    }

    /// Notes the end of a call there.
    pub fn end(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Notes that a call keeps a copy there.
    pub fn copy_begins(&mut self) {
        self.copies += 1;
    }

    /// Notes that a copy there is no longer kept for a call.
    pub fn copy_ends(&mut self) {
        self.copies = self.copies.saturating_sub(1);
    }

    /// Takes in the upstream's word.
    pub fn reading(&mut self, reading: LoadSample, now: Instant) {
        let all = reading.running + reading.waiting;
        self.others = Some((all.saturating_sub(self.own), now));
    }

    /// Takes in whether a call succeeded there.
    pub fn outcome(&mut self, failed: bool) {
        let outcome = if failed { 1.0 } else { 0.0 };
        self.failures += OUTCOME_WEIGHT * (outcome - self.failures);
    }

    /// Calls there, as far as known.
    #[must_use]
    pub fn calls(&self, now: Instant) -> u32 {
        let others = self
            .others
            .filter(|(_, at)| now.since(*at) < READING_AGE)
            .map_or(0, |(others, _)| others);
        self.own + others
    }

    /// Own calls there.
    #[must_use]
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Own calls there and copies of the memory of others, as other VMs are told.
    #[must_use]
    pub fn streams(&self) -> u32 {
        self.own + self.copies
    }

    /// Own copies there.
    #[must_use]
    pub fn copies(&self) -> u32 {
        self.copies
    }

    /// Time until the prompts that this VM has sent there are read.
    #[must_use]
    pub fn reading_left(&self, now: Instant) -> Duration {
        self.read_until.since(now)
    }

    /// Share of calls that failed lately, from 0 to 1.
    #[must_use]
    pub fn failures(&self) -> f64 {
        self.failures
    }
}
