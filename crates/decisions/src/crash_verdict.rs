use super::*;

/// Why a call is refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashRefusal {
    /// What the call has in common with those under which upstreams crashed.
    pub attribute: CallAttribute,
    /// Number of upstreams that crashed.
    pub crashes: usize,
    /// Time until the call may be tried.
    pub blocked_for: Duration,
}

/// Whether a call may be sent, as far as crashes are concerned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// It may.
    Admitted,
    /// Only as a trial of this part, by the VM whose turn it is.
    Trial {
        /// The part.
        part: PartId,
        /// The turn.
        slot: TrialSlot,
    },
    /// It may not.
    Refused(CrashRefusal),
}

/// Change of what is known of a part.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BlameChange {
    /// Calls with the part are refused from now on.
    Blamed(BlamedPart),
    /// They are no longer.
    Cleared(PartId),
}
