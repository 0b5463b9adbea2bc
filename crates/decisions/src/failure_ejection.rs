//! Suspicion of an upstream that failed, and its slow way back.
//!
//! Load pattern: an upstream fails every call within a millisecond and so looks idle; without
//! suspicion the least loaded choice sends it most of the traffic. When it works again, all VMs
//! would come back at once and find it cold. Here a failure takes it out for a doubling time, after
//! which its weight climbs from a tenth to the whole. Out means last resort, not never: when all
//! are suspected, all are used.
//!
//! Grounds for the figures: the first time out covers a restart's first refusals, the largest keeps
//! a returned upstream idle for no longer than a load report's lag times five. They follow from the
//! report period of 500 ms and are not tuned by a measurement.

use super::*;

/// Time out after the first failure.
const FIRST_OUT: Duration = Duration::from_millis(250);

/// Longest time out.
const LONGEST_OUT: Duration = Duration::from_secs(8);

/// Time of the climb back to the whole weight.
const CLIMB: Duration = Duration::from_secs(5);

/// Failures of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureEjection {
    failures: u32,
    last: Instant,
}

impl FailureEjection {
    /// Notes a failure: no connection, a broken or silent stream, a garbled answer. Failures of
    /// calls that were under way together count as one.
    pub fn failed(&mut self, now: Instant) {
        let back = self.back();
        if self.failures == 0 || now >= back.after(CLIMB) {
            self.failures = 1;
        } else if now >= back {
            self.failures += 1;
        }
        self.last = now;
    }

    /// Part of its capacity that the upstream counts with, from 0 (out) to 1.
    #[must_use]
    pub fn weight(&self, now: Instant) -> f64 {
        if self.failures == 0 {
            return 1.0;
        }
        climb(self.back(), CLIMB, now)
    }

    fn back(&self) -> Instant {
        let doublings = self.failures.saturating_sub(1).min(16);
        let out = FIRST_OUT.saturating_mul(1 << doublings).min(LONGEST_OUT);
        self.last.after(out)
    }
}

/// Weight that climbs from a tenth at `start` to 1 after `time`; 0 before `start`.
pub(crate) fn climb(start: Instant, time: Duration, now: Instant) -> f64 {
    if now < start {
        return 0.0;
    }
    let part = now.since(start).as_secs_f64() / time.as_secs_f64();
    (0.1 + 0.9 * part).min(1.0)
}
