use super::*;

/// How many events a relay dropped, by reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DroppedCounts {
    /// Events after the end.
    pub after_end: u64,
    /// Events of attempts no longer live.
    pub old_attempt: u64,
    /// Events delivered before.
    pub repeated: u64,
}

impl DroppedCounts {
    pub(crate) fn add(&mut self, reason: DropReason) {
        match reason {
            DropReason::AfterEnd => self.after_end += 1,
            DropReason::OldAttempt => self.old_attempt += 1,
            DropReason::Repeated => self.repeated += 1,
        }
    }
}
