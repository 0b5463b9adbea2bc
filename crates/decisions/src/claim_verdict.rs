use super::*;

/// Result of an attempt to claim a key.
#[derive(Debug, PartialEq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ClaimVerdict {
    /// The key is claimed: the request may be dispatched once.
    Claimed(Claimed),
    /// The same request has claimed the key and may still be running.
    InProgress(FoundClaim),
    /// The same request has ended.
    Done(ClaimOutcome),
    /// Another request has claimed the key.
    Conflict,
    /// The platform store could not be reached in time. The request did not run and will not run.
    NotRun,
}

impl ClaimVerdict {
    /// Verdict on a request with this digest, given the row that holds its key. `max_clock_skew` is
    /// the maximum by which the clock of the holder may lag this VM's clock.
    ///
    /// A holder past the deadline of the request has crashed or is paused, and records no outcome.
    /// Whether the request ran is then unknown, and dispatching it again could run it twice.
    #[must_use]
    pub fn from_row(
        digest: &RequestDigest,
        found: FoundClaim,
        now: WallTime,
        max_clock_skew: Duration,
    ) -> Self {
        let Some(record) = &found.record else {
            // This version cannot decode the record. Whatever the record contains, the key is
            // taken.
            return Self::Done(ClaimOutcome::Unknown);
        };
        if record.digest != *digest {
            return Self::Conflict;
        }
        match &record.stage {
            ClaimStage::Done(outcome) => Self::Done(outcome.clone()),
            ClaimStage::Claimed
                if record.kind == ClaimKind::Call
                    && record.deadline.after(max_clock_skew) < now =>
            {
                Self::Done(ClaimOutcome::Unknown)
            }
            ClaimStage::Claimed | ClaimStage::Released => Self::InProgress(found),
        }
    }
}
