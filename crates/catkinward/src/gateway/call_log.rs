//! Rate limit for the lines of the decision log.
//!
//! Each decision about a call writes a line with the call's id. On a busy VM the lines of one kind
//! could cost more than the calls, so each kind has a budget per second, and a separate line
//! reports how many were dropped. Lines that report a failure are never dropped.

use super::*;

/// Maximum number of lines of one kind per second. At 100 bytes a token and some 300 bytes a line
/// this limits a kind to 60 kB/s; a VM currently serves some 20 calls per second.
const LINES_PER_SECOND: u32 = 200;

/// Kind of a rate-limited line.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::EnumCount, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LineKind {
    /// A call was accepted, or answered immediately.
    Accepted,
    /// A call was sent to an upstream.
    Sent,
    /// A call was answered.
    Answered,
    /// The observed state of an upstream changed.
    Belief,
    /// A health check ended.
    Probe,
    /// Upstreams were left out because of their limits, or a call was refused because they are full.
    Limited,
    /// A call waits for room at an upstream, or has got it.
    Queued,
}

/// Number of lines of each kind that were written in the current second.
#[derive(Debug, Default)]
pub struct CallLog {
    second: AtomicU64,
    written: [AtomicU64; <LineKind as strum::EnumCount>::COUNT],
}

impl CallLog {
    /// Counts a line of `kind`, and returns whether it may be written.
    pub fn admits(&self, kind: LineKind, now: Instant) -> bool {
        let second = now.0.as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.begin_second();
        }
        let written = self.written[kind as usize].fetch_add(1, Ordering::Relaxed);
        written < u64::from(LINES_PER_SECOND)
    }

    fn begin_second(&self) {
        for written in &self.written {
            let left_out = written
                .swap(0, Ordering::Relaxed)
                .saturating_sub(u64::from(LINES_PER_SECOND));
            if left_out > 0 {
                tracing::warn!(
                    left_out,
                    "log lines dropped by the rate limit within a second"
                );
            }
        }
    }
}
