use super::*;

/// Replicas of the progress of other VMs' generations, sorted by id and chain.
///
/// Size and age are bounded. No VM deletes replicas explicitly: each expires, and at the size limit
/// the least recently updated one is evicted.
#[derive(Debug)]
pub struct ProgressStore {
    limits: ProgressLimits,
    records: Vec<(Instant, ProgressRecord)>,
    size: usize,
}

/// Limits of a [`ProgressStore`].
#[derive(Clone, Copy, Debug)]
pub struct ProgressLimits {
    /// Maximum total size of the replicas, in bytes.
    pub max_bytes: usize,
    /// Time after its last update at which a replica expires. It exceeds the time that a caller
    /// takes to reconnect.
    pub ttl: Duration,
}

/// Result of storing an update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProgressStoreResult {
    /// The replica includes the update.
    Stored,
    /// The update would leave a gap, or belongs to an older attempt than the replica.
    Refused,
    /// Another VM has taken over the generation, with this attempt.
    Superseded(Attempt),
}

impl Default for ProgressLimits {
    fn default() -> Self {
        Self {
            max_bytes: 16 * 1024 * 1024,
            ttl: Duration::from_secs(120),
        }
    }
}

impl ProgressStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new(limits: ProgressLimits) -> Self {
        Self {
            limits,
            records: Vec::new(),
            size: 0,
        }
    }

    /// Stores an update.
    pub fn apply(&mut self, now: Instant, update: &ProgressUpdate) -> ProgressStoreResult {
        match self.superseded_by(update) {
            Some(attempt) => ProgressStoreResult::Superseded(attempt),
            None => self.apply_own(now, update),
        }
    }

    /// Stores the progress of a generation that this VM has run, even if another VM has taken it over
    /// since: the caller here may have received more tokens than the other VM has continued from.
    pub fn apply_own(&mut self, now: Instant, update: &ProgressUpdate) -> ProgressStoreResult {
        let stored = match self.position(&update.id, update.chain) {
            Ok(i) => {
                let (updated_at, record) = &mut self.records[i];
                let before = record.tokens.size();
                let merged = record.merge(update);
                *updated_at = if merged { now } else { *updated_at };
                self.size = self.size + record.tokens.size() - before;
                merged
            }
            Err(i) => ProgressRecord::from_first_update(update).is_some_and(|record| {
                self.size += record.tokens.size();
                self.records.insert(i, (now, record));
                true
            }),
        };
        self.evict();
        if stored {
            ProgressStoreResult::Stored
        } else {
            ProgressStoreResult::Refused
        }
    }

    /// Returns the best replica of a generation from which a caller at `point` can be resumed.
    #[must_use]
    pub fn find(&self, id: &RequestId, point: &ResumePoint) -> Option<&ProgressRecord> {
        self.replicas_of(id)
            .filter(|record| record.can_resume(point))
            .reduce(|best, other| {
                if best.is_worse_than(other) {
                    other
                } else {
                    best
                }
            })
    }

    /// Returns any replica of a generation, to check for which request its key was used.
    #[must_use]
    pub fn find_any(&self, id: &RequestId) -> Option<&ProgressRecord> {
        self.replicas_of(id).next()
    }

    /// Returns the highest attempt of a generation in any replica. A VM that takes the generation over
    /// needs it: an engine refuses attempts with smaller numbers.
    #[must_use]
    pub fn highest_attempt(&self, id: &RequestId) -> Option<Attempt> {
        self.replicas_of(id).map(|record| record.attempt).max()
    }

    /// Removes expired replicas.
    pub fn expire(&mut self, now: Instant) {
        let ttl = self.limits.ttl;
        self.records
            .retain(|(updated_at, _)| now.since(*updated_at) <= ttl);
        self.size = self.records.iter().map(|(_, r)| r.tokens.size()).sum();
    }

    /// Returns the number of replicas and their total size in bytes.
    #[must_use]
    pub fn usage(&self) -> (usize, usize) {
        (self.records.len(), self.size)
    }

    fn replicas_of(&self, id: &RequestId) -> impl Iterator<Item = &ProgressRecord> {
        let start = self.records.partition_point(|(_, record)| record.id < *id);
        let records = self.records[start..].iter().map(|(_, record)| record);
        records.take_while(move |record| record.id == *id)
    }

    /// Returns the attempt with which another VM has taken over the chain of an update. A paused VM
    /// may resume and send updates after a takeover; the replica of the new VM lists the chain in
    /// its lineage.
    fn superseded_by(&self, update: &ProgressUpdate) -> Option<Attempt> {
        self.replicas_of(&update.id)
            .filter(|record| record.head.shared_tokens(update.chain).is_some())
            .map(|record| record.attempt)
            .max()
    }

    fn evict(&mut self) {
        while self.size > self.limits.max_bytes {
            let oldest = self
                .records
                .iter()
                .enumerate()
                .min_by_key(|(_, (updated_at, _))| *updated_at);
            let Some((i, _)) = oldest else { return };
            let (_, record) = self.records.remove(i);
            self.size -= record.tokens.size();
        }
    }

    fn position(&self, id: &RequestId, chain: ChainId) -> Result<usize, usize> {
        self.records
            .binary_search_by(|(_, record)| (&record.id, record.chain).cmp(&(id, chain)))
    }
}
