//! Lines of the decision log, bounded under load.
//!
//! Each decision that touches a call has a line with the call's id. On a busy VM the lines of one
//! kind could cost more than the calls, so each kind has a budget for a second; what is left out is
//! counted in a line of its own. Lines that tell of a failure are never left out.

use super::*;

/// Lines of one kind in a second. At 100 bytes a token and some 300 bytes a line this bounds a kind
/// at 60 kB/s; a VM of today sees some 20 calls a second.
const LINES_PER_SECOND: u32 = 200;

/// Kinds of lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::EnumCount, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LineKind {
    /// A call was accepted or answered at once.
    Accepted,
    /// A call was sent to an upstream.
    Sent,
    /// A call was answered.
    Answered,
    /// What is believed of an upstream changed.
    Belief,
    /// The outcome of a health check.
    Probe,
}

/// Budgets of lines.
#[derive(Debug, Default)]
pub struct CallLog {
    second: AtomicU64,
    written: [AtomicU64; <LineKind as strum::EnumCount>::COUNT],
}

impl CallLog {
    /// Whether a line of a kind may be written now.
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
                tracing::warn!(left_out, "lines left out in the last second");
            }
        }
    }
}
