use super::*;
use serde::{Deserialize, Serialize};

/// Number of runs of each request on a mock upstream, sorted by key and digest.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RunCounts {
    /// Entries, one for each key and digest.
    pub runs: Vec<RunCount>,
}

/// Number of runs of one request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunCount {
    /// Idempotency key, empty if the request had none; on an engine, the request id.
    pub key: Arc<str>,
    /// [`request_digest`] of the request.
    pub digest: u64,
    /// Number of runs.
    pub count: u64,
}

impl RunCounts {
    /// Counts a run and returns the number of runs of that request so far.
    pub fn add(&mut self, key: &str, digest: u64) -> u64 {
        let position = self
            .runs
            .binary_search_by(|run| (&*run.key, run.digest).cmp(&(key, digest)));
        match position {
            Ok(i) => {
                self.runs[i].count += 1;
                self.runs[i].count
            }
            Err(i) => {
                let key = key.into();
                let count = 1;
                self.runs.insert(i, RunCount { key, digest, count });
                count
            }
        }
    }

    /// Returns the number of runs of all requests with that digest.
    #[must_use]
    pub fn of_digest(&self, digest: u64) -> u64 {
        self.runs
            .iter()
            .filter(|run| run.digest == digest)
            .map(|run| run.count)
            .sum()
    }
}

/// Returns the digest of a request's query and body, which identifies its runs in [`RunCounts`].
#[must_use]
pub fn request_digest(query: &str, body: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(body, xxhash_rust::xxh3::xxh3_64(query.as_bytes()))
}
