//! Retries, paid for by successes.
//!
//! Load pattern: an upstream or the platform fails for a while and every call fails at once.
//! Without a budget each caller's call becomes `max_sent` calls just when there is the least room
//! for them, and the end of the outage meets a storm. Here a success earns a tenth of a retry, so
//! that retries add at most a tenth to the load however long the outage lasts, beyond a fixed
//! burst. Waits are drawn between zero and an exponentially growing bound, so that calls that
//! failed together do not come back together.
//!
//! Grounds for the figures: a tenth is the most that retries may add in an outage; the burst lets a
//! quiet node ride out the death of one upstream with ten calls on it. Both are settings; the test
//! `an_outage_adds_at_most_a_tenth` holds them to the bound.

use super::*;

/// Settings of a [`ServiceRetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceRetryBudgetConfig {
    /// Successes that earn one retry.
    pub successes_per_retry: u32,
    /// Retries that can be saved up, and that a new budget holds.
    pub burst: u32,
    /// How often one call is sent at most, the first time counted in.
    pub max_sent: u32,
    /// Bound of the wait before the first retry.
    pub base_wait: Duration,
    /// Bound of the wait before any retry.
    pub max_wait: Duration,
}

impl Default for ServiceRetryBudgetConfig {
    fn default() -> Self {
        Self {
            successes_per_retry: 10,
            burst: 10,
            max_sent: 3,
            base_wait: Duration::from_millis(20),
            max_wait: Duration::from_secs(1),
        }
    }
}

/// Retries that one kind of call may still make. Each service, and each kind of call of the
/// platform, has a budget of its own, so that the outage of one does not use up another's.
#[derive(Clone, Debug)]
pub struct ServiceRetryBudget {
    cfg: ServiceRetryBudgetConfig,
    /// In successes, so that no fraction is lost.
    saved: u32,
}

impl ServiceRetryBudget {
    /// A full budget.
    #[must_use]
    pub fn new(cfg: ServiceRetryBudgetConfig) -> Self {
        Self {
            cfg,
            saved: cfg.burst * cfg.successes_per_retry,
        }
    }

    /// Notes that a call succeeded.
    pub fn succeeded(&mut self) {
        let full = self.cfg.burst * self.cfg.successes_per_retry;
        self.saved = (self.saved + 1).min(full);
    }

    /// Pays for a retry of a failed call and returns how long to wait before it. `random` is drawn
    /// evenly from 0 to 1.
    ///
    /// # Errors
    ///
    /// Why the call must not be sent again; nothing was paid then.
    pub fn retry(&mut self, call: FailedCall, random: f64) -> Result<Duration, RetryRefusal> {
        if !call.idempotent && !call.not_run {
            return Err(RetryRefusal::MayHaveRun);
        }
        if call.poisoned {
            return Err(RetryRefusal::Poisoned);
        }
        if call.sent >= self.cfg.max_sent {
            return Err(RetryRefusal::Attempts);
        }
        self.saved = self
            .saved
            .checked_sub(self.cfg.successes_per_retry)
            .ok_or(RetryRefusal::Budget)?;
        Ok(self.wait_bound(call.sent).mul_f64(random.clamp(0.0, 1.0)))
    }

    /// Whole retries saved up.
    #[must_use]
    pub fn retries(&self) -> u32 {
        self.saved / self.cfg.successes_per_retry.max(1)
    }

    fn wait_bound(&self, sent: u32) -> Duration {
        let doublings = sent.saturating_sub(1).min(16);
        self.cfg
            .base_wait
            .saturating_mul(1 << doublings)
            .min(self.cfg.max_wait)
    }
}

impl Default for ServiceRetryBudget {
    fn default() -> Self {
        Self::new(ServiceRetryBudgetConfig::default())
    }
}
