//! Counts of the responses of an old and a new version, small enough for a datagram.

use super::*;

/// Responses of one version on one route.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ResponseCounts {
    /// Failures caused by the upstream itself.
    #[serde(rename = "f")]
    pub failures: u32,
    /// Successes by latency bucket, sorted; see [`latency_bucket`].
    #[serde(rename = "s")]
    pub successes: Vec<(u8, u32)>,
}

/// Responses of both versions on one route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// Name of the route.
    #[serde(rename = "r")]
    pub route: Arc<str>,
    /// Responses of the versions in use.
    #[serde(rename = "b")]
    pub old: ResponseCounts,
    /// Responses of the version under canary.
    #[serde(rename = "a")]
    pub new: ResponseCounts,
}

/// Outcome of a request to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseOutcome {
    /// The request succeeded after this time; for a stream, the time to its first event.
    Success(Duration),
    /// The request failed, and the upstream itself caused the failure.
    Failure,
}

/// Latency buckets per octave.
const BUCKETS_PER_OCTAVE: f64 = 2.0;

/// Returns the bucket of a latency: half octaves of milliseconds.
#[must_use]
pub fn latency_bucket(latency: Duration) -> u8 {
    let ms = (latency.as_secs_f64() * 1000.0).max(1.0);
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let bucket = (ms.log2() * BUCKETS_PER_OCTAVE) as u8;
    bucket
}

impl ResponseCounts {
    /// Counts a response.
    pub fn count(&mut self, outcome: ResponseOutcome) {
        match outcome {
            ResponseOutcome::Failure => self.failures += 1,
            ResponseOutcome::Success(latency) => self.add(latency_bucket(latency), 1),
        }
    }

    /// Number of all responses.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.failures + self.successes.iter().map(|(_, count)| count).sum::<u32>()
    }

    /// Number of responses that failed or are in a bucket above `max_good_bucket`.
    #[must_use]
    pub fn bad(&self, max_good_bucket: u8) -> u32 {
        let slow = self.successes.iter().filter(|(b, _)| *b > max_good_bucket);
        self.failures + slow.map(|(_, count)| count).sum::<u32>()
    }

    /// Bucket of the median latency of the successes.
    #[must_use]
    pub fn median(&self) -> Option<u8> {
        let all = self.successes.iter().map(|(_, count)| count).sum::<u32>();
        let mut seen = 0;
        let middle = self.successes.iter().find(|(_, count)| {
            seen += count;
            2 * seen >= all
        });
        middle.map(|(bucket, _)| *bucket)
    }

    /// Returns the counts added since `before`; counts never decrease.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        let count_before = |bucket: u8| match before.position(bucket) {
            Ok(index) => before.successes[index].1,
            Err(_) => 0,
        };
        let successes = self.successes.iter();
        Self {
            failures: self.failures.saturating_sub(before.failures),
            successes: successes
                .map(|(b, count)| (*b, count.saturating_sub(count_before(*b))))
                .filter(|(_, count)| *count > 0)
                .collect(),
        }
    }

    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &Self) {
        self.failures += other.failures;
        for (bucket, count) in &other.successes {
            self.add(*bucket, *count);
        }
    }

    fn add(&mut self, bucket: u8, count: u32) {
        match self.position(bucket) {
            Ok(index) => self.successes[index].1 += count,
            Err(index) => self.successes.insert(index, (bucket, count)),
        }
    }

    fn position(&self, bucket: u8) -> Result<usize, usize> {
        self.successes.binary_search_by(|(b, _)| b.cmp(&bucket))
    }
}

impl RouteEvidence {
    /// Creates empty counts for a route.
    #[must_use]
    pub fn new(route: Arc<str>) -> Self {
        Self {
            route,
            old: ResponseCounts::default(),
            new: ResponseCounts::default(),
        }
    }
}
