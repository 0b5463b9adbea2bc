//! Budget of one VM's calls of the platform.
//!
//! Load pattern: the platform is out or slow, and every VM has calls that wait for it. Without a
//! budget all VMs call again and again while it is out, and at its end the calls of the whole
//! outage come in one moment; it refuses most of them, and stays as good as out. With it a VM in an
//! outage sends one call per pause, pauses grow and are jittered, and after the first answer its
//! calls are held to its share of the platform's rate.
//!
//! Grounds for the figures: the platform does several hundred writes and about two thousand reads
//! a second, so 8 VMs have about 40 and 200 each; half of the reads stay free for operators.

use super::*;

/// Settings of a [`CallLimiter`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallLimiterSettings {
    /// Time in which one call is earned; of 400 VMs each earns less than one a second.
    pub per_call: Duration,
    /// Calls that may come at once.
    pub burst: u32,
    /// Faults in a row after which calls are paused. One lost answer must not pause the call that
    /// settles it.
    pub faults_before_pause: u32,
    /// First pause; each further one is twice as long.
    pub first_pause: Duration,
    /// Longest pause, which bounds how late the end of an outage is noticed.
    pub longest_pause: Duration,
}

impl Default for CallLimiterSettings {
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

/// Budget of calls: a token bucket, closed for growing pauses while calls fail.
#[derive(Clone, Debug)]
pub struct CallLimiter {
    cfg: CallLimiterSettings,
    /// Time at which the bucket is full again.
    full_at: Duration,
    faults: u32,
    closed_until: Instant,
}

impl CallLimiter {
    /// A full budget.
    #[must_use]
    pub fn new(cfg: CallLimiterSettings) -> Self {
        Self {
            cfg,
            full_at: Duration::ZERO,
            faults: 0,
            closed_until: Instant::default(),
        }
    }

    /// Takes one call out of the budget; false if none is left now.
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
            // One call only finds out whether the outage has ended.
            self.closed_until = now.after(self.pause());
        }
        true
    }

    /// Notes that a call was answered.
    pub fn answered(&mut self) {
        self.faults = 0;
    }

    /// Notes that a call failed; `jitter` from 0 to 1 moves the next one by up to half its pause,
    /// so that the VMs don't call in step.
    pub fn failed(&mut self, now: Instant, jitter: f64) {
        self.faults = self.faults.saturating_add(1);
        let factor = 0.5 + jitter.clamp(0.0, 1.0) / 2.0;
        self.closed_until = now.after(self.pause().mul_f64(factor));
    }

    /// Time until a call may be taken, if nothing else happens.
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
