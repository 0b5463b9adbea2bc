use super::*;

/// Copies of other VMs' generations, sorted by id and chain, bounded in bytes and in age.
///
/// Nobody looks after these copies: each expires by itself, and when the bound in bytes is reached
/// the one that was longest without news goes first.
#[derive(Debug)]
pub struct ProgressStore {
    limits: ProgressLimits,
    records: Vec<(Instant, ProgressRecord)>,
    size: usize,
}

/// Bounds of a store of copies.
#[derive(Clone, Copy, Debug)]
pub struct ProgressLimits {
    /// Bytes of all copies together.
    pub size: usize,
    /// How long a copy is kept without news: longer than a caller takes to come back.
    pub age: Duration,
}

/// What a store made of an update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProgressStoreResult {
    /// The copy is up to it.
    Kept,
    /// It leaves a gap, or is older than the copy.
    Refused,
    /// Another VM goes on with the generation, under this attempt.
    Superseded(Attempt),
}

impl Default for ProgressLimits {
    fn default() -> Self {
        Self {
            size: 16 * 1024 * 1024,
            age: Duration::from_secs(120),
        }
    }
}

impl ProgressStore {
    /// An empty store.
    #[must_use]
    pub fn new(limits: ProgressLimits) -> Self {
        Self {
            limits,
            records: Vec::new(),
            size: 0,
        }
    }

    /// Takes in an update.
    pub fn keep(&mut self, now: Instant, update: &ProgressUpdate) -> ProgressStoreResult {
        if let Some(attempt) = self.superseded_by(update) {
            return ProgressStoreResult::Superseded(attempt);
        }
        let kept = match self.position(&update.id, update.chain) {
            Ok(i) => {
                let (at, record) = &mut self.records[i];
                let before = record.tokens.size();
                let merged = record.merge(update);
                *at = if merged { now } else { *at };
                self.size = self.size + record.tokens.size() - before;
                merged
            }
            Err(i) => ProgressRecord::begin(update).is_some_and(|record| {
                self.size += record.tokens.size();
                self.records.insert(i, (now, record));
                true
            }),
        };
        self.evict();
        if kept {
            ProgressStoreResult::Kept
        } else {
            ProgressStoreResult::Refused
        }
    }

    /// The best copy of a generation for a caller at `point`.
    #[must_use]
    pub fn find(&self, id: &RequestId, point: &ResumePoint) -> Option<&ProgressRecord> {
        self.of(id)
            .filter(|record| record.reaches(point))
            .reduce(|best, other| if best.is_behind(other) { other } else { best })
    }

    /// Any copy of a generation, to see what its key was used for.
    #[must_use]
    pub fn any(&self, id: &RequestId) -> Option<&ProgressRecord> {
        self.of(id).next()
    }

    /// Drops the copies that have expired.
    pub fn expire(&mut self, now: Instant) {
        let age = self.limits.age;
        self.records.retain(|(at, _)| now.since(*at) <= age);
        self.size = self.records.iter().map(|(_, r)| r.tokens.size()).sum();
    }

    /// Number of copies, and their bytes.
    #[must_use]
    pub fn usage(&self) -> (usize, usize) {
        (self.records.len(), self.size)
    }

    fn of(&self, id: &RequestId) -> impl Iterator<Item = &ProgressRecord> {
        let start = self.records.partition_point(|(_, record)| record.id < *id);
        let records = self.records[start..].iter().map(|(_, record)| record);
        records.take_while(move |record| record.id == *id)
    }

    /// A VM that was paused wakes up and sends on what another has taken over. The copy of the
    /// other names the chain that it goes on from.
    fn superseded_by(&self, update: &ProgressUpdate) -> Option<Attempt> {
        self.of(&update.id)
            .filter(|record| record.head.shared_with(update.chain).is_some())
            .map(|record| record.attempt)
            .max()
    }

    fn evict(&mut self) {
        while self.size > self.limits.size {
            let oldest = self
                .records
                .iter()
                .enumerate()
                .min_by_key(|(_, (at, _))| *at);
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
