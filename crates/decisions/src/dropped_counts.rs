use super::*;

/// Number of events that a relay has dropped, by reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DroppedCounts {
    /// Events that arrived after the end of the response.
    pub after_end: u64,
    /// Events of superseded attempts.
    pub old_attempt: u64,
    /// Duplicates of delivered events.
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
