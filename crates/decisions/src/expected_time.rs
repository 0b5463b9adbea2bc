//! Rates of engines, from which the times of a call there are estimated.

use super::*;
use crate::upstream_load::PREFILL_TOKENS_PER_MS;

/// Tokens that a stream of an engine generates in a millisecond while no prompt is prefilled there.
const DECODE_TOKENS_PER_MS: f64 = 0.2;

/// Share of the prefill of a prompt by which the streams beside it are delayed: a decode step then takes 30 ms in
/// place of 5.
const PREFILL_DELAY: f64 = 25.0 / 30.0;

/// Time constant of the smoothing of the stated speed. It jumps every 200 to 600 ms, and a prefill takes about 1 s.
const SPEED_SMOOTHING: Duration = Duration::from_secs(1);

/// Maximum weight of one statement. After a pause in the statements, a single one of a speed that jumps would
/// otherwise replace the mean of all earlier ones.
const MAX_STATEMENT_WEIGHT: f64 = 0.3;

/// Weight of the speed that one first event shows.
const OBSERVATION_WEIGHT: f64 = 0.3;

/// How long a statement of the speed is used.
pub const SPEED_STATEMENT_PERIOD: Duration = Duration::from_secs(10);

/// Speeds outside this range come from events that were delayed elsewhere or from prompts that were cached.
const SPEED_RANGE: (f64, f64) = (0.05, 10.0);

/// Speed of an engine relative to [`PREFILL_TOKENS_PER_MS`].
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineSpeed {
    /// Mean of the stated speeds, with the time of the last statement.
    stated: Option<(f64, Instant)>,
    /// Mean of the speeds that first events show.
    observed: Option<f64>,
}

impl EngineSpeed {
    /// Records a statement of the upstream.
    pub fn record_statement(&mut self, slowdown: Slowdown, now: Instant) {
        // Work done is the integral of the speed, so the speed is averaged and not the slowdown.
        let speed = 1.0 / slowdown.factor();
        let mean = self.stated.map_or(speed, |(mean, at)| {
            let elapsed = now.since(at).as_secs_f64() / SPEED_SMOOTHING.as_secs_f64();
            let weight = (1.0 - (-elapsed).exp()).min(MAX_STATEMENT_WEIGHT);
            mean + weight * (speed - mean)
        });
        self.stated = Some((mean, now));
    }

    /// Records that `tokens` were prefilled in `took`.
    pub fn record_prefill(&mut self, tokens: f64, took: Duration) {
        let ms = took.as_secs_f64() * 1000.0;
        if tokens <= 0.0 || ms <= 0.0 {
            return;
        }
        let speed = (tokens / ms / PREFILL_TOKENS_PER_MS).clamp(SPEED_RANGE.0, SPEED_RANGE.1);
        let mean = self.observed.unwrap_or(speed);
        self.observed = Some(mean + OBSERVATION_WEIGHT * (speed - mean));
    }

    /// Whether the upstream stated its speed within `max_age`.
    #[must_use]
    pub fn is_stated(&self, max_age: Duration, now: Instant) -> bool {
        self.stated.is_some_and(|(_, at)| now.since(at) < max_age)
    }

    /// The speed: as stated, else as observed, else the usual one.
    #[must_use]
    pub fn factor(&self, now: Instant) -> f64 {
        let stated = self
            .stated
            .filter(|(_, at)| now.since(*at) < SPEED_STATEMENT_PERIOD);
        stated
            .map(|(speed, _)| speed)
            .or(self.observed)
            .unwrap_or(1.0)
    }

    /// Prompt tokens that are prefilled in a millisecond.
    #[must_use]
    pub fn tokens_per_ms(&self, now: Instant) -> f64 {
        PREFILL_TOKENS_PER_MS * self.factor(now)
    }

    /// Time in which `tokens` are prefilled.
    #[must_use]
    pub fn prefill_time(&self, tokens: f64, now: Instant) -> Duration {
        let ms = tokens / self.tokens_per_ms(now);
        Duration::from_secs_f64(ms / 1000.0)
    }

    /// Time from the first to the last of `tokens` generated tokens beside `streams` other streams. Each of those
    /// streams ends in that time and is replaced by one whose prompt of `prompt` tokens is prefilled.
    #[must_use]
    pub fn decode_time(&self, tokens: u32, prompt: u32, streams: u32, now: Instant) -> Duration {
        let alone_ms = f64::from(tokens) / (DECODE_TOKENS_PER_MS * self.factor(now));
        let alone = Duration::from_secs_f64(alone_ms / 1000.0);
        let one_prompt = self.prefill_time(f64::from(prompt), now);
        alone + one_prompt.mul_f64(PREFILL_DELAY * f64::from(streams))
    }
}
