use super::*;

/// What became of a try to claim a key.
#[derive(Debug, PartialEq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ClaimVerdict {
    /// The key is claimed: the request may be dispatched once.
    Claimed(Claimed),
    /// The same request has the key and may still be running.
    InProgress(FoundClaim),
    /// The same request came to an end.
    Done(ClaimOutcome),
    /// Another request has the key.
    Conflict,
    /// The table service could not be asked in time. The request did not run, and will not.
    NotRun,
}

impl ClaimVerdict {
    /// Verdict on a request of this digest, by the row that has its key. `clocks_differ` bounds how
    /// far the holder's clock may be behind this VM's.
    ///
    /// A holder that is past the request's deadline will record no end any more: it is gone or
    /// paused. Whether the request ran is then unknown; to dispatch it again could run it twice.
    #[must_use]
    pub fn of_row(
        digest: &RequestDigest,
        found: FoundClaim,
        now: WallTime,
        clocks_differ: Duration,
    ) -> Self {
        let Some(record) = &found.record else {
            // Written in a form that this version cannot read: whatever it says, the key is taken.
            return Self::Done(ClaimOutcome::Unknown);
        };
        if record.digest != *digest {
            return Self::Conflict;
        }
        match &record.stage {
            ClaimStage::Done(outcome) => Self::Done(outcome.clone()),
            ClaimStage::Claimed
                if record.kind == ClaimKind::Call && record.deadline.after(clocks_differ) < now =>
            {
                Self::Done(ClaimOutcome::Unknown)
            }
            ClaimStage::Claimed | ClaimStage::Released => Self::InProgress(found),
        }
    }
}
