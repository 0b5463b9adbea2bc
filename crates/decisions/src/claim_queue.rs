//! Group commit of claims.
//!
//! Load pattern: many non-idempotent requests a second, each of which needs a row before its
//! dispatch and another write after it, on a table service that does several hundred transactions a
//! second for all VMs. With one transaction each, 8 VMs could serve no more than some 150 such
//! requests a second. With one transaction at a time per VM that takes all that wait, the number of
//! transactions is bounded by the service's latency and not by the requests.
//!
//! A lost answer is settled by sending the same changes again: a change that was made shows its own
//! token, and one that is still under way finds the row taken when it arrives. A mere read could
//! not settle it, since a late transaction may take effect after the read.

use super::*;

/// Changes that one transaction takes.
///
/// Bounds the request's size: 200 rows of up to 8 KB stay below 2 MB.
const GROUP_MAX: usize = 200;

/// Claims and ends of claims that wait for their transaction. `W` is told what became of a claim.
#[derive(Debug)]
pub struct ClaimQueue<W> {
    waiting: std::collections::VecDeque<Entry<W>>,
    in_flight: Vec<Entry<W>>,
    group_max: usize,
}

/// A change in the queue.
#[derive(Debug)]
struct Entry<W> {
    change: ClaimChange,
    /// Whom to tell; `None` for ends of claims.
    waiter: Option<W>,
    /// When a claim is given up.
    deadline: Instant,
    /// Whether a transaction with it may have taken effect.
    doubtful: bool,
}

/// What the table service answered to a group.
#[derive(Clone, Debug, PartialEq)]
pub enum GroupResult {
    /// All changes are made.
    Committed,
    /// None is made, since these rows are other than expected.
    Conflicts(Vec<FoundClaim>),
    /// None is made.
    NotRun,
    /// All may be made, or none.
    Unknown,
}

/// What became of a claim in the queue.
#[derive(Debug, PartialEq)]
pub enum ClaimResult {
    /// The key is claimed.
    Claimed(Claimed),
    /// Another try has the key.
    Taken(FoundClaim),
    /// It was given up at its deadline, without a dispatch.
    GivenUp,
}

impl<W> Default for ClaimQueue<W> {
    fn default() -> Self {
        Self::new(GROUP_MAX)
    }
}

impl<W> ClaimQueue<W> {
    /// An empty queue with at most `group_max` changes in a transaction.
    #[must_use]
    pub fn new(group_max: usize) -> Self {
        Self {
            waiting: std::collections::VecDeque::new(),
            in_flight: Vec::new(),
            group_max: group_max.max(1),
        }
    }

    /// Adds a try to claim a key, to be given up at `deadline`.
    pub fn claim(&mut self, change: ClaimChange, deadline: Instant, waiter: W) {
        self.waiting.push_back(Entry {
            change,
            waiter: Some(waiter),
            deadline,
            doubtful: false,
        });
    }

    /// Adds the end of a claim. It is never given up.
    pub fn end(&mut self, change: ClaimChange) {
        self.waiting.push_back(Entry {
            change,
            waiter: None,
            deadline: Instant(Duration::MAX),
            doubtful: false,
        });
    }

    /// Changes that wait or are under way.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len() + self.in_flight.len()
    }

    /// Whether nothing waits or is under way.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes out the claims whose deadline has passed.
    ///
    /// One that may have been made after all is given back by a release under its own token, or
    /// its key would look claimed until the row expires.
    pub fn give_up(&mut self, now: Instant) -> Vec<(W, ClaimResult)> {
        let mut told = Vec::new();
        for mut entry in std::mem::take(&mut self.waiting) {
            if now < entry.deadline {
                self.waiting.push_back(entry);
                continue;
            }
            told.extend(entry.waiter.take().map(|w| (w, ClaimResult::GivenUp)));
            if entry.doubtful {
                entry.change.record.stage = ClaimStage::Released;
                entry.deadline = Instant(Duration::MAX);
                self.waiting.push_back(entry);
            }
        }
        told
    }

    /// The next transaction, if none is under way and something waits: one change a row, the oldest
    /// first.
    pub fn next_group(&mut self) -> Option<Vec<ClaimChange>> {
        if !self.in_flight.is_empty() || self.waiting.is_empty() {
            return None;
        }
        let mut keys: Vec<ClaimRowKey> = Vec::new();
        for entry in std::mem::take(&mut self.waiting) {
            let place = keys.binary_search(&entry.change.key);
            match place {
                Err(i) if self.in_flight.len() < self.group_max => {
                    keys.insert(i, entry.change.key.clone());
                    self.in_flight.push(entry);
                }
                _ => self.waiting.push_back(entry),
            }
        }
        let changes = self.in_flight.iter().map(|entry| entry.change.clone());
        Some(changes.collect())
    }

    /// Takes the answer to the transaction under way. What is not settled by it waits again, before
    /// all others.
    pub fn answer(&mut self, answer: &GroupResult) -> Vec<(W, ClaimResult)> {
        let mut told = Vec::new();
        for entry in std::mem::take(&mut self.in_flight).into_iter().rev() {
            match answer {
                GroupResult::Committed => {
                    let version = entry.change.expected + 1;
                    told.extend(entry.made(version));
                }
                GroupResult::Conflicts(found) => {
                    let found = found.iter().find(|found| found.key == entry.change.key);
                    self.settle(entry, found, &mut told);
                }
                GroupResult::NotRun => self.waiting.push_front(entry),
                GroupResult::Unknown => self.waiting.push_front(Entry {
                    doubtful: true,
                    ..entry
                }),
            }
        }
        told.reverse();
        told
    }

    fn settle(
        &mut self,
        mut entry: Entry<W>,
        found: Option<&FoundClaim>,
        told: &mut Vec<(W, ClaimResult)>,
    ) {
        let Some(found) = found else {
            self.waiting.push_front(entry);
            return;
        };
        match entry.change.judge(found) {
            Judged::Made(version) => told.extend(entry.made(version)),
            Judged::Again(version) => {
                entry.change.expected = version;
                self.waiting.push_front(entry);
            }
            Judged::Lost => {
                let taken = ClaimResult::Taken(found.clone());
                told.extend(entry.waiter.map(|waiter| (waiter, taken)));
            }
        }
    }
}

impl<W> Entry<W> {
    fn made(self, version: u64) -> Option<(W, ClaimResult)> {
        let waiter = self.waiter?;
        let claimed = Claimed::new(self.change, version);
        Some((waiter, ClaimResult::Claimed(claimed)))
    }
}
