//! Retry budget that all VMs share for a service: how many retries this VM may send in a sliding
//! window.
//!
//! While upstreams fail or refuse, unlimited retries multiply the calls when the least capacity is
//! available. In any window, all VMs together may send `ratio` times the callers' calls plus
//! `slack` retries. Each VM may use `ratio` times its own calls and an equal part of the slack, so
//! that the sum holds independently of the other VMs.
//!
//! A process that restarts does not know what the one before it has sent. It sends no retries of its own
//! part until a whole window has passed; until then it borrows.
//!
//! Losses are uneven: a VM whose zone is partitioned loses all its streams at once, while other VMs need no
//! retries. A VM whose budget is exhausted therefore requests loans. The lender counts a loan as
//! spent for as long as a window may contain its use, so that the sum still holds. Without loans, one stream
//! in 30 was cut for lack of budget while all VMs together used a third of theirs.

use super::*;

/// Number of buckets in a window.
const BUCKETS_PER_WINDOW: u32 = 40;

/// Number of buckets in which a loan may be used by its borrower.
const LOAN_BUCKETS: u64 = 14;

/// Number of buckets by which a lender counts a loan later than it is given: those in which it may be used, and
/// those in which it may be under way.
const LENT_AHEAD: u32 = 16;

/// Number of stored buckets: those of a window, the current one, and those in which loans are counted ahead.
const STORED_BUCKETS: usize = 57;

/// Usable fraction of the allowance. The rest covers calls that are counted at their callers a moment
/// before they arrive here. The rounding to whole buckets is conservative too: calls are counted over
/// a window less one bucket, retries over a window plus one bucket.
const USABLE_FRACTION: f64 = 0.97;

/// Settings of a [`SharedRetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedRetryBudgetConfig {
    /// Number of retries allowed per call.
    pub ratio: f64,
    /// Number of additional retries per window over all VMs.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Number of VMs that share the slack.
    pub vms: u32,
}

impl Default for SharedRetryBudgetConfig {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 20.0,
            window: Duration::from_secs(10),
            vms: 1,
        }
    }
}

impl SharedRetryBudgetConfig {
    /// Number of retries that this VM's own part allows in a window with `calls`.
    fn own_part(&self, calls: u32) -> f64 {
        let part_of_slack = self.slack / f64::from(self.vms.max(1));
        USABLE_FRACTION * (self.ratio * f64::from(calls) + part_of_slack)
    }
}

/// What a VM counts of the retry budget of a service within the window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryBudgetUsage {
    /// Calls of callers.
    pub calls: u32,
    /// Retries that were sent here or lent to other VMs.
    pub retries: u32,
    /// Retries that other VMs have lent and that can still be used.
    pub borrowed: u32,
    /// Retries that this VM's own part allows.
    pub own_part: f64,
}

/// This VM's part of the shared retry budget of one service: calls, retries and loans, counted in the
/// buckets of a sliding window.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    buckets: [Bucket; STORED_BUCKETS],
    /// Ordered by the time until which they can be used.
    borrowed: Vec<BorrowedRetries>,
    /// When this process started, if an earlier one of this VM may have sent retries.
    restarted: Option<Instant>,
}

impl Default for SharedRetryBudget {
    fn default() -> Self {
        Self {
            buckets: [Bucket::default(); STORED_BUCKETS],
            borrowed: Vec::new(),
            restarted: None,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    calls: u32,
    /// Retries sent by this VM or lent to other VMs.
    retries: u32,
}

/// Retries that one VM lends to another.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LentRetries {
    /// Number of retries.
    pub count: u32,
    /// Number of whole buckets of the budget's window, a fortieth each, in which the borrower may use them.
    pub usable_buckets: u64,
}

/// Retries lent by another VM.
#[derive(Clone, Copy, Debug)]
struct BorrowedRetries {
    /// Bucket after which they can no longer be used.
    usable_until: u64,
    count: u32,
}

impl SharedRetryBudget {
    /// Budget of a process that started at this time and does not know what an earlier one of its VM has sent.
    #[must_use]
    pub fn restarted(at: Instant) -> Self {
        Self {
            restarted: Some(at),
            ..Self::default()
        }
    }

    /// Records a call of a caller.
    pub fn record_call(&mut self, cfg: &SharedRetryBudgetConfig, now: Instant) {
        self.bucket(bucket_number(cfg, now)).calls += 1;
    }

    /// Takes one retry from the budget and returns whether one was left. Borrowed retries are taken first, since
    /// they expire.
    pub fn try_take(&mut self, cfg: &SharedRetryBudgetConfig, now: Instant) -> bool {
        let current = bucket_number(cfg, now);
        self.drop_expired_loans(current);
        if let Some(first) = self.borrowed.first_mut() {
            first.count -= 1;
            if first.count == 0 {
                self.borrowed.remove(0);
            }
            return true;
        }
        let allowed = self.remaining_own(cfg, now) > 0;
        if allowed {
            self.bucket(current).retries += 1;
        }
        allowed
    }

    /// Number of retries that may be sent now.
    #[must_use]
    pub fn remaining(&self, cfg: &SharedRetryBudgetConfig, now: Instant) -> u32 {
        let current = bucket_number(cfg, now);
        self.remaining_own(cfg, now) + self.remaining_borrowed(current)
    }

    /// Number of retries that are left of this VM's own part.
    fn remaining_own(&self, cfg: &SharedRetryBudgetConfig, now: Instant) -> u32 {
        let usage = self.usage(cfg, now);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let remaining = (usage.own_part - f64::from(usage.retries)).max(0.0) as u32;
        remaining
    }

    fn remaining_borrowed(&self, current: u64) -> u32 {
        let usable = self.borrowed.iter().filter(|b| b.usable_until >= current);
        usable.map(|b| b.count).sum()
    }

    /// What is counted within the window that ends now, and the loans that are counted ahead.
    #[must_use]
    pub fn usage(&self, cfg: &SharedRetryBudgetConfig, now: Instant) -> RetryBudgetUsage {
        let current = bucket_number(cfg, now);
        let oldest_retry_bucket = current.saturating_sub(u64::from(BUCKETS_PER_WINDOW));
        let oldest_call_bucket = oldest_retry_bucket + 1;
        let mut usage = RetryBudgetUsage {
            borrowed: self.remaining_borrowed(current),
            ..RetryBudgetUsage::default()
        };
        for bucket in &self.buckets {
            if bucket.number >= oldest_retry_bucket {
                usage.retries += bucket.retries;
            }
            if bucket.number >= oldest_call_bucket {
                usage.calls += bucket.calls;
            }
        }
        if !self.may_share_a_window(cfg, now) {
            usage.own_part = cfg.own_part(usage.calls);
        }
        usage
    }

    /// Lends up to `wanted` retries to another VM: borrowed ones, which expire at the next borrower as they would
    /// here, otherwise those of this VM's own part. It lends even the last one, because a call is waiting at the
    /// borrower and none here.
    pub fn lend(
        &mut self,
        cfg: &SharedRetryBudgetConfig,
        wanted: u32,
        now: Instant,
    ) -> LentRetries {
        let current = bucket_number(cfg, now);
        self.drop_expired_loans(current);
        let last = self.borrowed.last_mut();
        if let Some(last) = last.filter(|b| b.usable_until > current) {
            let count = wanted.min(last.count);
            last.count -= count;
            let usable_buckets = last.usable_until - current;
            self.borrowed.retain(|b| b.count > 0);
            return LentRetries {
                count,
                usable_buckets,
            };
        }
        let counted_in = current + u64::from(LENT_AHEAD);
        let count = wanted.min(self.remaining_own(cfg, now));
        self.bucket(counted_in).retries += count;
        LentRetries {
            count,
            usable_buckets: LOAN_BUCKETS,
        }
    }

    /// Adds retries that another VM lent.
    pub fn borrow(&mut self, cfg: &SharedRetryBudgetConfig, lent: LentRetries, now: Instant) {
        let current = bucket_number(cfg, now);
        self.drop_expired_loans(current);
        if lent.count == 0 {
            return;
        }
        let usable_until = current + lent.usable_buckets.min(LOAN_BUCKETS);
        let index = self
            .borrowed
            .partition_point(|b| b.usable_until <= usable_until);
        let count = lent.count;
        self.borrowed.insert(
            index,
            BorrowedRetries {
                usable_until,
                count,
            },
        );
    }

    /// Whether a window may contain retries that an earlier process of this VM has sent, or loans that it gave.
    fn may_share_a_window(&self, cfg: &SharedRetryBudgetConfig, now: Instant) -> bool {
        let time = cfg.window / BUCKETS_PER_WINDOW * (BUCKETS_PER_WINDOW + LENT_AHEAD);
        self.restarted.is_some_and(|at| now.since(at) < time)
    }

    fn drop_expired_loans(&mut self, current: u64) {
        self.borrowed.retain(|b| b.usable_until >= current);
    }

    fn bucket(&mut self, number: u64) -> &mut Bucket {
        let bucket = &mut self.buckets[bucket_index(number)];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        bucket
    }
}

fn bucket_index(number: u64) -> usize {
    usize::try_from(number).unwrap_or(0) % STORED_BUCKETS
}

fn bucket_number(cfg: &SharedRetryBudgetConfig, now: Instant) -> u64 {
    let length = (cfg.window / BUCKETS_PER_WINDOW).max(Duration::from_millis(1));
    // Numbers start at 1, because an unused bucket has number 0.
    u64::try_from(now.0.as_nanos() / length.as_nanos()).unwrap_or(u64::MAX - 1) + 1
}
