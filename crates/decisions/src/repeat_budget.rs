//! Repeats that this VM may send to a service in a window.
//!
//! Load pattern: upstreams fail or refuse for a while, and each call becomes several just when there
//! is the least room for them. All VMs together may send `ratio` times the callers' calls plus
//! `slack` in any window. Each VM takes `ratio` of its own calls and an even part of the slack, so
//! that no message between VMs is needed and the sum holds whatever the others do.

use super::*;

/// Parts into which a window is cut: counts are exact to a twentieth of it, on the safe side.
const BUCKETS: u32 = 20;

/// The buckets of a window and the one that has just begun.
const KEPT: usize = 21;

/// Part of the allowance that is used. The rest covers calls of which other VMs count the repeats
/// and a window that begins between two buckets.
const USED_PART: f64 = 0.85;

/// Settings of a [`RepeatBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatBudgetConfig {
    /// Repeats for each call.
    pub ratio: f64,
    /// Repeats beyond that over all VMs.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
    /// VMs that share the slack.
    pub vms: u32,
}

impl Default for RepeatBudgetConfig {
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
#[derive(Clone, Debug, Default)]
pub struct RepeatBudget {
    buckets: [Bucket; KEPT],
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    calls: u32,
    repeats: u32,
}

impl RepeatBudget {
    /// Notes a caller's call.
    pub fn called(&mut self, cfg: &RepeatBudgetConfig, now: Instant) {
        self.bucket(cfg, now).calls += 1;
    }

    /// Pays for sending a call once more; `false` if there is nothing left.
    pub fn pay(&mut self, cfg: &RepeatBudgetConfig, now: Instant) -> bool {
        let (calls, repeats) = self.counts(cfg, now);
        let share = cfg.slack / f64::from(cfg.vms.max(1));
        let allowed = USED_PART * (cfg.ratio * f64::from(calls) + share);
        let paid = f64::from(repeats) + 1.0 <= allowed;
        if paid {
            self.bucket(cfg, now).repeats += 1;
        }
        paid
    }

    fn counts(&self, cfg: &RepeatBudgetConfig, now: Instant) -> (u32, u32) {
        let first = number(cfg, now).saturating_sub(u64::from(BUCKETS));
        self.buckets
            .iter()
            .filter(|bucket| bucket.number >= first)
            .fold((0, 0), |(c, r), b| (c + b.calls, r + b.repeats))
    }

    fn bucket(&mut self, cfg: &RepeatBudgetConfig, now: Instant) -> &mut Bucket {
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

fn number(cfg: &RepeatBudgetConfig, now: Instant) -> u64 {
    let length = (cfg.window / BUCKETS).max(Duration::from_millis(1));
    // One is added so that no bucket in use has the number of an unused one.
    u64::try_from(now.0.as_nanos() / length.as_nanos()).unwrap_or(u64::MAX - 1) + 1
}
