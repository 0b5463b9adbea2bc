//! Ejects an upstream that failed, and brings it back gradually.
//!
//! An upstream that fails every call within a millisecond looks idle, so a choice by least load would send
//! it most of the traffic. When it works again, all VMs would return at once and find it cold. A failure
//! therefore ejects the upstream for a time that doubles with each failure, after which its weight climbs
//! from a tenth to the full weight. An ejected upstream is a last resort, but still usable: when all
//! upstreams are suspected, all are used.
//!
//! The first ejection covers the connections that are refused at first during a restart. The longest keeps
//! a recovered upstream idle for no longer than five times the lag of a load report. Both follow from the
//! report period of 500 ms.

use super::*;

/// Duration of the ejection after the first failure.
const FIRST_EJECTION: Duration = Duration::from_millis(250);

/// Longest duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(8);

/// Time in which the weight climbs back to the full weight.
const SLOW_START: Duration = Duration::from_secs(5);

/// Recent failures of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureEjection {
    failures: u32,
    last_failure: Instant,
}

impl FailureEjection {
    /// Records a failure: no connection, a broken or silent stream, or a malformed response. Failures of
    /// calls that were in flight together count as one.
    pub fn record_failure(&mut self, now: Instant) {
        let ejected_until = self.ejected_until();
        if self.failures == 0 || now >= ejected_until.after(SLOW_START) {
            self.failures = 1;
        } else if now >= ejected_until {
            self.failures += 1;
        }
        self.last_failure = now;
    }

    /// Fraction of its capacity with which the upstream counts, from 0 (ejected) to 1.
    #[must_use]
    pub fn weight(&self, now: Instant) -> f64 {
        if self.failures == 0 {
            return 1.0;
        }
        slow_start_weight(self.ejected_until(), SLOW_START, now)
    }

    fn ejected_until(&self) -> Instant {
        let doublings = self.failures.saturating_sub(1).min(16);
        let ejection = FIRST_EJECTION
            .saturating_mul(1 << doublings)
            .min(MAX_EJECTION);
        self.last_failure.after(ejection)
    }
}

/// Weight that climbs from a tenth at `start` to 1 after `time`; 0 before `start`.
pub(crate) fn slow_start_weight(start: Instant, time: Duration, now: Instant) -> f64 {
    if now < start {
        return 0.0;
    }
    let progress = now.since(start).as_secs_f64() / time.as_secs_f64();
    (0.1 + 0.9 * progress).min(1.0)
}
