//! Group commit of claims.
//!
//! Load pattern: each non-idempotent request needs one write before its dispatch and another one
//! after it, and many such requests arrive each second. The platform store commits several hundred
//! transactions per second for all VMs together; with one transaction per write, 8 VMs could serve
//! no more than about 150 such requests per second. Each VM therefore has one transaction in flight
//! at a time, which contains the pending changes, so the number of transactions is bounded by the
//! latency of the store instead of by the request rate.
//!
//! A change whose result was lost is resolved by sending the same change again: one that was
//! committed finds its own token in the row, and one that is still in flight finds the row taken
//! when it arrives. A read could not resolve it, since a delayed transaction may commit after the
//! read.

use super::*;

/// Maximum number of changes in one transaction.
///
/// Bounds the size of the request: 200 rows of up to 8 KB stay below 2 MB.
const GROUP_MAX: usize = 200;

/// Pending claims and pending final records of claims. `W` receives the result of a claim.
#[derive(Debug)]
pub struct ClaimQueue<W> {
    pending: std::collections::VecDeque<QueuedChange<W>>,
    in_flight: Vec<QueuedChange<W>>,
    group_max: usize,
}

/// A change in the queue.
#[derive(Debug)]
struct QueuedChange<W> {
    change: ClaimChange,
    /// Receives the result; `None` for the final record of a claim.
    waiter: Option<W>,
    /// Time at which a claim that is still pending is abandoned. Changes that end a claim have no
    /// deadline, which is `Duration::MAX`.
    deadline: Instant,
    /// Whether a transaction that contains this change may have been committed.
    may_have_committed: bool,
}

/// Result of a group transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupResult {
    /// All changes were committed.
    Committed,
    /// No change was committed, because these rows have other versions than expected.
    Conflicts(Vec<FoundClaim>),
    /// No change was committed.
    NotRun,
    /// The result was lost: either all changes were committed or none.
    Unknown,
}

/// Result of a claim in the queue.
#[derive(Debug, PartialEq)]
pub enum ClaimResult {
    /// This process has claimed the key.
    Claimed(Claimed),
    /// Another attempt has claimed the key.
    Taken(FoundClaim),
    /// The claim was abandoned at its deadline, and its request was not dispatched.
    Abandoned,
}

impl<W> Default for ClaimQueue<W> {
    fn default() -> Self {
        Self::new(GROUP_MAX)
    }
}

impl<W> ClaimQueue<W> {
    /// Creates an empty queue with at most `group_max` changes in a transaction.
    #[must_use]
    pub fn new(group_max: usize) -> Self {
        Self {
            pending: std::collections::VecDeque::new(),
            in_flight: Vec::new(),
            group_max: group_max.max(1),
        }
    }

    /// Enqueues a claim, which is abandoned if it is not resolved by `deadline`.
    pub fn claim(&mut self, change: ClaimChange, deadline: Instant, waiter: W) {
        self.pending.push_back(QueuedChange {
            change,
            waiter: Some(waiter),
            deadline,
            may_have_committed: false,
        });
    }

    /// Enqueues the final record of a claim, which is never abandoned.
    pub fn record_end(&mut self, change: ClaimChange) {
        self.pending.push_back(QueuedChange {
            change,
            waiter: None,
            deadline: Instant(Duration::MAX),
            may_have_committed: false,
        });
    }

    /// Number of changes that are pending or in flight.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending.len() + self.in_flight.len()
    }

    /// Whether no change is pending or in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes the claims whose deadline has passed.
    ///
    /// A claim that may have been committed is then released under its own token. Otherwise its key
    /// would count as claimed until the row expires.
    pub fn abandon_expired(&mut self, now: Instant) -> Vec<(W, ClaimResult)> {
        let mut results = Vec::new();
        for mut entry in std::mem::take(&mut self.pending) {
            if now < entry.deadline {
                self.pending.push_back(entry);
                continue;
            }
            results.extend(entry.waiter.take().map(|w| (w, ClaimResult::Abandoned)));
            if entry.may_have_committed {
                entry.change.record.stage = ClaimStage::Released;
                entry.deadline = Instant(Duration::MAX);
                self.pending.push_back(entry);
            }
        }
        results
    }

    /// Returns the next transaction, unless one is in flight or nothing is pending. It contains one
    /// change per row, the oldest first.
    pub fn next_group(&mut self) -> Option<Vec<ClaimChange>> {
        if !self.in_flight.is_empty() || self.pending.is_empty() {
            return None;
        }
        let mut keys: Vec<ClaimRowKey> = Vec::new();
        for entry in std::mem::take(&mut self.pending) {
            let position = keys.binary_search(&entry.change.key);
            match position {
                Err(i) if self.in_flight.len() < self.group_max => {
                    keys.insert(i, entry.change.key.clone());
                    self.in_flight.push(entry);
                }
                _ => self.pending.push_back(entry),
            }
        }
        let changes = self.in_flight.iter().map(|entry| entry.change.clone());
        Some(changes.collect())
    }

    /// Applies the result of the transaction in flight. Changes that it does not resolve are queued
    /// again, ahead of all others.
    pub fn apply_result(&mut self, result: &GroupResult) -> Vec<(W, ClaimResult)> {
        let mut results = Vec::new();
        for entry in std::mem::take(&mut self.in_flight).into_iter().rev() {
            match result {
                GroupResult::Committed => {
                    let version = entry.change.expected + 1;
                    results.extend(entry.committed(version));
                }
                GroupResult::Conflicts(found) => {
                    let found = found.iter().find(|found| found.key == entry.change.key);
                    self.resolve(entry, found, &mut results);
                }
                GroupResult::NotRun => self.pending.push_front(entry),
                GroupResult::Unknown => self.pending.push_front(QueuedChange {
                    may_have_committed: true,
                    ..entry
                }),
            }
        }
        results.reverse();
        results
    }

    fn resolve(
        &mut self,
        mut entry: QueuedChange<W>,
        found: Option<&FoundClaim>,
        results: &mut Vec<(W, ClaimResult)>,
    ) {
        let Some(found) = found else {
            self.pending.push_front(entry);
            return;
        };
        match entry.change.resolve_conflict(found) {
            ConflictOutcome::Committed(version) => results.extend(entry.committed(version)),
            ConflictOutcome::Retry(version) => {
                entry.change.expected = version;
                self.pending.push_front(entry);
            }
            ConflictOutcome::Lost => {
                let taken = ClaimResult::Taken(found.clone());
                results.extend(entry.waiter.map(|waiter| (waiter, taken)));
            }
        }
    }
}

impl<W> QueuedChange<W> {
    fn committed(self, version: u64) -> Option<(W, ClaimResult)> {
        let waiter = self.waiter?;
        let claimed = Claimed::new(self.change, version);
        Some((waiter, ClaimResult::Claimed(claimed)))
    }
}
