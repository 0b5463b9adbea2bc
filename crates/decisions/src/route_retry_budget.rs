//! Retry budget of this VM for a service: how often it may send a call once more in a window.
//!
//! Load pattern: upstreams fail or refuse for a while, and each call becomes several just when there
//! is the least room for them. All VMs together may send `ratio` times the callers' calls plus
//! `slack` in any window. Each VM takes `ratio` of its own calls and an even part of the slack, so
//! that the sum holds whatever the others do.
//!
//! Losses are not even: a VM whose zone is cut off loses all its streams at once, while others repeat
//! nothing. So a VM that runs short asks others to lend it some. The lender counts what it gives as
//! spent, so the sum holds still; without loans one stream in 30 was cut for want of a repeat on a day on
//! which all VMs together used a third of theirs.

use super::*;

/// Parts into which a window is cut.
const BUCKETS: u32 = 40;

/// The buckets of a window and the one that has just begun.
const KEPT: usize = 41;

/// Part of the allowance that is used; the rest covers calls whose callers are counted a moment earlier
/// than they arrive here. What the buckets do not tell exactly is counted on the safe side besides: calls
/// over a window less one bucket, repeats over a window and one bucket.
const USED_PART: f64 = 0.97;

/// Settings of a [`RouteRetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteRetryBudgetConfig {
    /// Repeats for each call.
    pub ratio: f64,
    /// Repeats beyond that over all VMs.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
    /// VMs that share the slack.
    pub vms: u32,
}

impl Default for RouteRetryBudgetConfig {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 20.0,
            window: Duration::from_secs(10),
            vms: 1,
        }
    }
}

/// Counts of the calls and repeats of one service.
#[derive(Clone, Debug)]
pub struct RouteRetryBudget {
    buckets: [Bucket; KEPT],
}

impl Default for RouteRetryBudget {
    fn default() -> Self {
        Self {
            buckets: [Bucket::default(); KEPT],
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    calls: u32,
    /// Repeats sent, and repeats given to other VMs.
    repeats: u32,
    /// Repeats that other VMs gave.
    borrowed: u32,
}

impl RouteRetryBudget {
    /// Notes a caller's call.
    pub fn called(&mut self, cfg: &RouteRetryBudgetConfig, now: Instant) {
        self.bucket(cfg, now).calls += 1;
    }

    /// Pays for sending a call once more; `false` if there is nothing left.
    pub fn pay(&mut self, cfg: &RouteRetryBudgetConfig, now: Instant) -> bool {
        let paid = self.left(cfg, now) > 0;
        if paid {
            self.bucket(cfg, now).repeats += 1;
        }
        paid
    }

    /// Repeats that may be sent now.
    #[must_use]
    pub fn left(&self, cfg: &RouteRetryBudgetConfig, now: Instant) -> u32 {
        let current = number(cfg, now);
        let oldest_repeats = current.saturating_sub(u64::from(BUCKETS));
        let oldest_calls = oldest_repeats + 1;
        let (mut calls, mut repeats, mut borrowed) = (0, 0, 0);
        for bucket in &self.buckets {
            if bucket.number >= oldest_repeats {
                repeats += bucket.repeats;
            }
            if bucket.number >= oldest_calls {
                calls += bucket.calls;
                borrowed += bucket.borrowed;
            }
        }
        let share = cfg.slack / f64::from(cfg.vms.max(1));
        let allowed = USED_PART * (cfg.ratio * f64::from(calls) + share) + f64::from(borrowed);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let left = (allowed - f64::from(repeats)).max(0.0) as u32;
        left
    }

    /// Gives repeats to another VM: what it wants, down to the last. Another call waits there, and none here;
    /// with the last one kept back by each of 90 VMs, a tenth of all repeats was of no use to anybody.
    pub fn lend(&mut self, cfg: &RouteRetryBudgetConfig, wanted: u32, now: Instant) -> u32 {
        let given = wanted.min(self.left(cfg, now));
        self.bucket(cfg, now).repeats += given;
        given
    }

    /// Takes in repeats that another VM gave.
    pub fn borrow(&mut self, cfg: &RouteRetryBudgetConfig, given: u32, now: Instant) {
        self.bucket(cfg, now).borrowed += given;
    }

    fn bucket(&mut self, cfg: &RouteRetryBudgetConfig, now: Instant) -> &mut Bucket {
        let number = number(cfg, now);
        let index = usize::try_from(number).unwrap_or(0) % self.buckets.len();
        let bucket = &mut self.buckets[index];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        bucket
    }
}

fn number(cfg: &RouteRetryBudgetConfig, now: Instant) -> u64 {
    let length = (cfg.window / BUCKETS).max(Duration::from_millis(1));
    // One is added so that no bucket in use has the number of an unused one.
    u64::try_from(now.0.as_nanos() / length.as_nanos()).unwrap_or(u64::MAX - 1) + 1
}
