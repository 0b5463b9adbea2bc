//! Limiter of the calls that one VM sends to the platform: a token bucket with backoff.
//!
//! While the platform is down or slow, calls of every VM wait for it. Without a limit all VMs retry
//! throughout the outage, and at its end the accumulated calls arrive at once: the platform refuses
//! most of them and remains unusable. With the limiter, a VM sends one call per pause during an
//! outage, pauses grow exponentially with jitter, and after the first answer the VM keeps to its
//! share of the platform's rate.
//!
//! The platform handles several hundred writes and about 2,000 reads per second. Among 8 VMs that is
//! about 40 writes and 200 reads per second each; half of the reads are left to operators.

use super::*;

/// Settings of a [`CallBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallBudgetSettings {
    /// Time after which another call is allowed. With 400 VMs, each is allowed less than one call a
    /// second.
    pub per_call: Duration,
    /// Maximum number of calls that may be sent at once.
    pub burst: u32,
    /// Consecutive failures after which calls are paused. A single lost answer must not delay the
    /// call that finds out whether the lost one took effect.
    pub faults_before_pause: u32,
    /// Length of the first pause; each further one is twice as long.
    pub first_pause: Duration,
    /// Maximum pause, which bounds how late the end of an outage is noticed.
    pub longest_pause: Duration,
}

impl Default for CallBudgetSettings {
    fn default() -> Self {
        Self {
            per_call: Duration::from_millis(25),
            burst: 20,
            faults_before_pause: 3,
            first_pause: Duration::from_millis(100),
            longest_pause: Duration::from_secs(1),
        }
    }
}

/// Token bucket of calls that also pauses for growing intervals while calls fail.
#[derive(Clone, Debug)]
pub struct CallBudget {
    cfg: CallBudgetSettings,
    /// Time at which the bucket is full again.
    full_at: Duration,
    faults: u32,
    closed_until: Instant,
}

impl CallBudget {
    /// Creates a limiter with a full token bucket.
    #[must_use]
    pub fn new(cfg: CallBudgetSettings) -> Self {
        Self {
            cfg,
            full_at: Duration::ZERO,
            faults: 0,
            closed_until: Instant::default(),
        }
    }

    /// Takes the token of one call and returns whether the call may be sent now.
    pub fn take(&mut self, now: Instant) -> bool {
        let paused = self.faults >= self.cfg.faults_before_pause;
        if paused && now < self.closed_until {
            return false;
        }
        let per_call = self.cfg.per_call;
        let full_at = self.full_at.max(now.0) + per_call;
        if full_at > now.0 + per_call * self.cfg.burst.max(1) {
            return false;
        }
        self.full_at = full_at;
        if paused {
            // A single call per pause probes whether the outage has ended.
            self.closed_until = now.after(self.pause());
        }
        true
    }

    /// Records that a call was answered, which ends any pause.
    pub fn answered(&mut self) {
        self.faults = 0;
    }

    /// Records that a call failed. `jitter`, from 0 to 1, varies the pause between half and all of
    /// its length, so that the VMs do not call simultaneously.
    pub fn failed(&mut self, now: Instant, jitter: f64) {
        self.faults = self.faults.saturating_add(1);
        let factor = 0.5 + jitter.clamp(0.0, 1.0) / 2.0;
        self.closed_until = now.after(self.pause().mul_f64(factor));
    }

    /// Time until a call may be sent, provided that no other call is sent, answered or fails.
    #[must_use]
    pub fn wait(&self, now: Instant) -> Duration {
        let per_call = self.cfg.per_call;
        let full = self.full_at + per_call;
        let bucket = full.saturating_sub(now.0 + per_call * self.cfg.burst.max(1));
        if self.faults < self.cfg.faults_before_pause {
            return bucket;
        }
        bucket.max(self.closed_until.since(now))
    }

    fn pause(&self) -> Duration {
        let doublings = self.faults.saturating_sub(self.cfg.faults_before_pause);
        let factor = 1_u32.checked_shl(doublings.min(16)).unwrap_or(u32::MAX);
        (self.cfg.first_pause * factor).min(self.cfg.longest_pause)
    }
}
