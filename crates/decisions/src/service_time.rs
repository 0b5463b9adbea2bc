//! The observed service rate, and from it how long a request will wait.
//!
//! Load pattern: more comes in than can be served, and each request admitted into a queue too long
//! is answered late or not at all. Without an estimate of the wait a request is refused only when
//! its deadline is over, which is the worst moment for its caller.
//!
//! By Little's law `places / mean service time` requests start each second while all places are
//! taken; that holds from the first answer on, and also when places are few and slow because other
//! nodes use the same upstreams. The weight of a sixteenth evens out service times that differ by
//! their own size and follows an upstream that turns slow within some dozens of answers.

use super::*;

/// Weight of a new sample in the mean, as a divisor.
const WEIGHT_DIVISOR: u32 = 16;

/// Moving mean of service times.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    mean: Option<Duration>,
}

impl ServiceTime {
    /// Takes the time that a request held its place.
    pub fn observe(&mut self, sample: Duration) {
        let mean = self.mean.unwrap_or(sample);
        let kept = mean / WEIGHT_DIVISOR * (WEIGHT_DIVISOR - 1);
        self.mean = Some(kept + sample / WEIGHT_DIVISOR);
    }

    /// The mean, once there is one.
    #[must_use]
    pub fn mean(&self) -> Option<Duration> {
        self.mean
    }

    /// How long until a request starts that has `ahead` others before it for `places` places; zero
    /// while nothing was observed.
    #[must_use]
    pub fn wait(&self, ahead: u32, places: u32) -> Duration {
        let mean = self.mean.unwrap_or_default();
        mean.saturating_mul(ahead) / places.max(1)
    }
}
