//! Commits claims in groups, one transaction at a time, from a background task.

use super::*;
use crate::claim_row::{CLAIMS_TABLE, claim_value, expiry_write, found_claim};
use tokio::sync::oneshot;

/// Queues and commits claims and their outcomes.
pub(crate) struct ClaimCommitter {
    platform: Arc<Platform>,
    timer: Arc<Timer>,
    cfg: ClaimSettings,
    queue: Mutex<ClaimQueue<Waiter>>,
    change_added: Notify,
    empty: watch::Sender<bool>,
}

/// Receives the result of a claim.
pub(crate) struct Waiter(pub(crate) oneshot::Sender<ClaimResult>);

/// Width of an expiry bucket in milliseconds: claims of a group whose expiry falls in the same
/// bucket share one row of the expiry table.
const EXPIRY_BUCKET_MS: u64 = 60_000;

impl ClaimCommitter {
    pub(crate) fn start(
        platform: Arc<Platform>,
        timer: Arc<Timer>,
        cfg: ClaimSettings,
    ) -> Arc<Self> {
        let committer = Arc::new(Self {
            platform,
            timer,
            cfg,
            queue: Mutex::new(ClaimQueue::new(cfg.max_group_size)),
            change_added: Notify::new(),
            empty: watch::Sender::new(true),
        });
        tokio::spawn(committer.clone().run());
        committer
    }

    pub(crate) fn claim(&self, change: ClaimChange, deadline: Instant, waiter: Waiter) {
        self.update_queue(|queue| queue.claim(change, deadline, waiter));
    }

    pub(crate) fn end(&self, change: ClaimChange) {
        self.update_queue(|queue| queue.record_end(change));
    }

    /// Waits until no change is queued or in flight.
    pub(crate) async fn flush(&self) {
        let mut empty = self.empty.subscribe();
        let _ = empty.wait_for(|empty| *empty).await;
    }

    fn update_queue(&self, update: impl FnOnce(&mut ClaimQueue<Waiter>)) {
        let mut queue = self.queue.lock();
        update(&mut queue);
        self.empty.send_replace(false);
        drop(queue);
        self.change_added.notify_one();
    }

    /// Publishes whether all changes are resolved. It holds the lock of the queue while doing so:
    /// otherwise a process that waits in [`Self::flush`] before it exits could miss an outcome that
    /// is added in between.
    fn update_empty(&self) -> bool {
        let queue = self.queue.lock();
        self.empty.send_replace(queue.is_empty());
        queue.is_empty()
    }

    async fn run(self: Arc<Self>) {
        loop {
            let now = self.timer.now();
            let (abandoned, group) = {
                let mut queue = self.queue.lock();
                (queue.abandon_expired(now), queue.next_group())
            };
            self.notify_waiters(abandoned);
            let Some(group) = group else {
                if self.update_empty() {
                    self.change_added.notified().await;
                }
                continue;
            };
            let result = self.transact(&group).await;
            let resolved = self.queue.lock().apply_result(&result);
            self.notify_waiters(resolved);
            if matches!(result, GroupResult::NotRun | GroupResult::Unknown) {
                tokio::time::sleep(self.cfg.retry_delay).await;
            }
        }
    }

    fn notify_waiters(&self, results: Vec<(Waiter, ClaimResult)>) {
        for (waiter, result) in results {
            if let Err(ClaimResult::Claimed(claimed)) = waiter.0.send(result) {
                self.release_unclaimed(claimed);
            }
        }
    }

    /// Releases a claim that was committed after its caller had been told that the request did not
    /// run.
    fn release_unclaimed(&self, claimed: Claimed) {
        let expires = claims::wall_now().after(self.cfg.retention);
        let held = claimed.release();
        self.queue
            .lock()
            .record_end(held.end(ClaimStage::Released, expires));
    }

    async fn transact(&self, group: &[ClaimChange]) -> GroupResult {
        let req = platform_api::TransactRequest {
            conditions: group.iter().map(condition).collect(),
            writes: group
                .iter()
                .map(write)
                .chain(expiry_writes(group))
                .collect(),
        };
        metrics::histogram!("catkin_claim_group_size").record(group_size(group));
        match (self.platform.transact)(req).await {
            Ok(reply) if reply.committed => GroupResult::Committed,
            Ok(reply) => GroupResult::Conflicts(reply.conflicts.iter().map(found_claim).collect()),
            Err(PlatformError::Unknown) => GroupResult::Unknown,
            Err(PlatformError::NotRun | PlatformError::Throttled | PlatformError::OutOfBudget) => {
                GroupResult::NotRun
            }
        }
    }
}

fn group_size(group: &[ClaimChange]) -> f64 {
    f64::from(u32::try_from(group.len()).unwrap_or(u32::MAX))
}

fn condition(change: &ClaimChange) -> platform_api::Condition {
    platform_api::Condition {
        key: change.key.to_string(),
        table: CLAIMS_TABLE.to_owned(),
        version: change.expected,
    }
}

fn write(change: &ClaimChange) -> platform_api::Write {
    platform_api::Write {
        key: change.key.to_string(),
        table: CLAIMS_TABLE.to_owned(),
        value: Some(claim_value(&change.record)),
    }
}

/// Returns the expiry rows for the claims of a group: one for each minute in which some expire.
fn expiry_writes(group: &[ClaimChange]) -> Vec<platform_api::Write> {
    let mut buckets = group
        .iter()
        .map(|change| change.record.expires.0.div_ceil(EXPIRY_BUCKET_MS))
        .collect::<Vec<_>>();
    buckets.sort_unstable();
    buckets.dedup();
    let bucket_write = |bucket: &u64| {
        let keys = group
            .iter()
            .filter(|change| change.record.expires.0.div_ceil(EXPIRY_BUCKET_MS) == *bucket)
            .map(|change| change.key.to_string());
        expiry_write(
            WallTime(bucket * EXPIRY_BUCKET_MS),
            rand::random(),
            keys.collect(),
        )
    };
    buckets.iter().map(bucket_write).collect()
}
