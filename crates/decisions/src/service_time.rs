//! Estimates the queueing time of a request from the observed service times.
//!
//! Load pattern: more requests arrive than can be served, and those admitted into an overlong queue are
//! served late or not at all. Without an estimate of the wait a request is refused only after its
//! deadline has passed, which is the worst moment for its caller.
//!
//! By Little's law, `slots / mean service time` requests start per second while all slots are in use. That
//! holds from the first response on, and also when slots are few and slow because other VMs use the same
//! upstreams. The weight of 1/16 smooths service times whose variation is as large as their mean, and
//! follows an upstream that becomes slow within a few dozen responses.

use super::*;

/// Inverse of the weight of a new sample in the moving average.
const WEIGHT_DIVISOR: u32 = 16;

/// Exponential moving average of service times.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    mean: Option<Duration>,
}

impl ServiceTime {
    /// Records how long a request occupied its slot.
    pub fn record_sample(&mut self, sample: Duration) {
        let mean = self.mean.unwrap_or(sample);
        let previous = mean / WEIGHT_DIVISOR * (WEIGHT_DIVISOR - 1);
        self.mean = Some(previous + sample / WEIGHT_DIVISOR);
    }

    /// The moving average; `None` before the first sample.
    #[must_use]
    pub fn mean(&self) -> Option<Duration> {
        self.mean
    }

    /// Expected time until a request starts that has `ahead` others before it in the queue for `slots`
    /// slots; zero before the first sample.
    #[must_use]
    pub fn wait(&self, ahead: u32, slots: u32) -> Duration {
        let mean = self.mean.unwrap_or_default();
        mean.saturating_mul(ahead) / slots.max(1)
    }
}
