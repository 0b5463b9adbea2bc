use super::*;

/// Copies of other VMs' generations, sorted by id, bounded in bytes and in age.
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

    /// Takes in an update; returns whether the copy is now up to it.
    pub fn keep(&mut self, now: Instant, update: &ProgressUpdate) -> bool {
        let kept = match self.position(&update.id) {
            Ok(i) => {
                let (at, record) = &mut self.records[i];
                let before = record.tokens.size();
                let merged = record.merge(update);
                *at = if merged { now } else { *at };
                self.size = self.size + record.tokens.size() - before;
                merged
            }
            Err(i) => match ProgressRecord::begin(update) {
                Some(record) => {
                    self.size += record.tokens.size();
                    self.records.insert(i, (now, record));
                    true
                }
                None => false,
            },
        };
        self.evict();
        kept
    }

    /// The copy of a generation.
    #[must_use]
    pub fn find(&self, id: &RequestId) -> Option<&ProgressRecord> {
        self.position(id).ok().map(|i| &self.records[i].1)
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

    fn position(&self, id: &RequestId) -> Result<usize, usize> {
        self.records
            .binary_search_by(|(_, record)| record.id.cmp(id))
    }
}
