//! Retry budget of one VM for a service, replenished by successful calls. In contrast to the
//! [`SharedRetryBudget`], it does not depend on the other VMs.
//!
//! When an upstream or the platform fails for a while, all calls fail. Without a budget every call
//! becomes `max_sends` calls when the least capacity is available, and a retry storm meets the end of
//! the outage. Here a success earns a tenth of a retry, so that beyond a fixed burst retries add at
//! most a tenth to the load, however long the outage lasts. Delays are random between zero and an
//! exponentially growing bound, so that calls that failed together are not retried together.
//!
//! A tenth is the most that retries may add in an outage. The burst allows a VM with little traffic
//! to retry ten calls that were in flight at one failed upstream. Both are settings; the test
//! `an_outage_adds_at_most_a_tenth` checks the bound.

use super::*;

/// Settings of a [`LocalRetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalRetryBudgetConfig {
    /// Number of successes that earn one retry.
    pub successes_per_retry: u32,
    /// Maximum number of accumulated retries, which a new budget starts with.
    pub burst: u32,
    /// Maximum number of times that a call is sent, including the first.
    pub max_sends: u32,
    /// Maximum delay of the first retry.
    pub initial_delay_bound: Duration,
    /// Maximum delay of any retry.
    pub max_delay_bound: Duration,
}

impl Default for LocalRetryBudgetConfig {
    fn default() -> Self {
        Self {
            successes_per_retry: 10,
            burst: 10,
            max_sends: 3,
            initial_delay_bound: Duration::from_millis(20),
            max_delay_bound: Duration::from_secs(1),
        }
    }
}

/// Local retry budget of one kind of call. Each service and each kind of platform call has its own, so that
/// an outage of one does not exhaust the budget of another.
#[derive(Clone, Debug)]
pub struct LocalRetryBudget {
    cfg: LocalRetryBudgetConfig,
    /// Balance, counted in successes to avoid fractions of a retry.
    balance: u32,
}

impl LocalRetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(cfg: LocalRetryBudgetConfig) -> Self {
        Self {
            cfg,
            balance: cfg.burst * cfg.successes_per_retry,
        }
    }

    /// Records that a call succeeded.
    pub fn record_success(&mut self) {
        let full = self.cfg.burst * self.cfg.successes_per_retry;
        self.balance = (self.balance + 1).min(full);
    }

    /// Takes a retry from the budget and returns its delay; `random` is uniform from 0 to 1.
    ///
    /// # Errors
    ///
    /// Returns why the call must not be sent again; the budget is unchanged in this case.
    pub fn try_retry(&mut self, call: FailedCall, random: f64) -> Result<Duration, RetryRefusal> {
        if !call.idempotent && !call.not_run {
            return Err(RetryRefusal::MayHaveRun);
        }
        if call.poisoned {
            return Err(RetryRefusal::Poisoned);
        }
        if call.sent >= self.cfg.max_sends {
            return Err(RetryRefusal::Attempts);
        }
        self.balance = self
            .balance
            .checked_sub(self.cfg.successes_per_retry)
            .ok_or(RetryRefusal::Budget)?;
        Ok(self.delay_bound(call.sent).mul_f64(random.clamp(0.0, 1.0)))
    }

    /// Number of whole retries available.
    #[must_use]
    pub fn available_retries(&self) -> u32 {
        self.balance / self.cfg.successes_per_retry.max(1)
    }

    fn delay_bound(&self, sent: u32) -> Duration {
        let doublings = sent.saturating_sub(1).min(16);
        self.cfg
            .initial_delay_bound
            .saturating_mul(1 << doublings)
            .min(self.cfg.max_delay_bound)
    }
}

impl Default for LocalRetryBudget {
    fn default() -> Self {
        Self::new(LocalRetryBudgetConfig::default())
    }
}
