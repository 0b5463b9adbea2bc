//! Limiter of the calls that one VM sends to the platform: a token bucket with backoff.
//!
//! While the platform is down or slow, calls of every VM wait for it. Without a limit all VMs retry
//! throughout the outage, and at its end the accumulated calls arrive at once: the platform refuses
//! most of them and remains unusable. With the limiter, a VM sends one call per backoff interval
//! during an outage, the intervals grow exponentially with jitter, and after the first response the VM
//! keeps to its share of the platform's rate.
//!
//! The platform handles several hundred writes and about 2,000 reads per second. Among 8 VMs that is
//! about 40 writes and 200 reads per second each; half of the reads are left to operators.

use super::*;

/// Settings of a [`CallLimiter`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallLimiterSettings {
    /// Time after which another call is allowed. With 400 VMs, each is allowed less than one call a
    /// second.
    pub refill_interval: Duration,
    /// Maximum number of calls that may be sent at once.
    pub burst: u32,
    /// Consecutive failures after which the backoff begins. A single lost response must not delay the
    /// call that finds out whether the lost one took effect.
    pub failures_before_backoff: u32,
    /// First backoff interval; each further one is twice as long.
    pub initial_backoff: Duration,
    /// Maximum backoff interval, which bounds how late the end of an outage is noticed.
    pub max_backoff: Duration,
}

impl Default for CallLimiterSettings {
    fn default() -> Self {
        Self {
            refill_interval: Duration::from_millis(25),
            burst: 20,
            failures_before_backoff: 3,
            initial_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(1),
        }
    }
}

/// Token bucket of calls with an exponential backoff while calls fail.
#[derive(Clone, Debug)]
pub struct CallLimiter {
    cfg: CallLimiterSettings,
    /// Time at which the bucket is full again.
    full_at: Duration,
    consecutive_failures: u32,
    backoff_until: Instant,
}

impl CallLimiter {
    /// Creates a limiter with a full token bucket.
    #[must_use]
    pub fn new(cfg: CallLimiterSettings) -> Self {
        Self {
            cfg,
            full_at: Duration::ZERO,
            consecutive_failures: 0,
            backoff_until: Instant::default(),
        }
    }

    /// Takes the token of one call and returns whether the call may be sent now.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let in_backoff = self.consecutive_failures >= self.cfg.failures_before_backoff;
        if in_backoff && now < self.backoff_until {
            return false;
        }
        let refill_interval = self.cfg.refill_interval;
        let full_at = self.full_at.max(now.0) + refill_interval;
        if full_at > now.0 + refill_interval * self.cfg.burst.max(1) {
            return false;
        }
        self.full_at = full_at;
        if in_backoff {
            // A single call per backoff interval probes whether the outage has ended.
            self.backoff_until = now.after(self.backoff());
        }
        true
    }

    /// Records the response to a call, which ends the backoff.
    pub fn record_response(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records that a call failed. `jitter`, from 0 to 1, varies the backoff between half and all
    /// of its length, so that the VMs do not call simultaneously.
    pub fn record_failure(&mut self, now: Instant, jitter: f64) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let factor = 0.5 + jitter.clamp(0.0, 1.0) / 2.0;
        self.backoff_until = now.after(self.backoff().mul_f64(factor));
    }

    /// Time until a call may be sent, provided that no other call is sent, succeeds or fails.
    #[must_use]
    pub fn time_until_available(&self, now: Instant) -> Duration {
        let refill_interval = self.cfg.refill_interval;
        let full = self.full_at + refill_interval;
        let bucket = full.saturating_sub(now.0 + refill_interval * self.cfg.burst.max(1));
        if self.consecutive_failures < self.cfg.failures_before_backoff {
            return bucket;
        }
        bucket.max(self.backoff_until.since(now))
    }

    fn backoff(&self) -> Duration {
        let doublings = self
            .consecutive_failures
            .saturating_sub(self.cfg.failures_before_backoff);
        let factor = 1_u32.checked_shl(doublings.min(16)).unwrap_or(u32::MAX);
        (self.cfg.initial_backoff * factor).min(self.cfg.max_backoff)
    }
}
