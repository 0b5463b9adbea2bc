//! What the owner of a rollout decides.

use super::*;

/// Time before the deadline at which a good version takes over. Until then a version may still turn bad; afterwards
/// there is none to go back to.
pub const COMPLETION_LEAD: Duration = Duration::from_millis(1500);

/// How long requests wait for the new version to take over, in which those on the old one end.
pub const COMPLETION_WAIT: Duration = Duration::from_millis(300);

/// Least part of the old version's slots that the new one must have to take over.
const LEAST_CAPACITY: f64 = 0.5;

/// Why a version is rolled back.
#[derive(Clone, Debug, PartialEq)]
pub enum RollbackReason {
    /// It answers worse than the old one.
    Bad(RolloutVerdict),
    /// There was too little evidence at the deadline.
    Undecided,
    /// Its upstreams are too few at the deadline.
    TooFewUpstreams,
    /// The order is wrong.
    Fault(RolloutOrderError),
}

/// What the owner does next.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerStep {
    /// Goes on with the trial.
    Wait,
    /// Has the new version take over.
    Complete,
    /// Rolls it back.
    RollBack(RollbackReason),
}

/// Slots of a service's upstreams that take calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct VersionSlots {
    /// Of other versions than the ordered one.
    pub old: u32,
    /// Of the ordered one.
    pub new: u32,
}

/// The owner's state of one rollout.
#[derive(Clone, Debug)]
pub struct RolloutOwner {
    /// Term of this owner.
    pub term: u64,
    /// Version at which the durable record was last written.
    pub version: u64,
    /// Deadline by the store's clock, in milliseconds.
    pub deadline_ms: u64,
    /// Requests and grants of all VMs.
    pub ledger: ExposureLedger,
    /// Evidence of all VMs.
    pub judge: RolloutJudge,
}

impl RolloutOwner {
    /// The owner of a term. The slack is granted in the first term alone, or several owners would grant it each.
    #[must_use]
    pub fn new(term: u64, version: u64, deadline_ms: u64, limit: ExposureLimit) -> Self {
        let slack = if term == 1 { limit.slack } else { 0 };
        Self {
            term,
            version,
            deadline_ms,
            ledger: ExposureLedger::new(ExposureLimit { slack, ..limit }),
            judge: RolloutJudge::default(),
        }
    }

    /// What to do now.
    #[must_use]
    pub fn step(&self, left: Duration, slots: VersionSlots) -> OwnerStep {
        let verdict = self.judge.verdict();
        if let RolloutVerdict::Bad { .. } = verdict {
            return OwnerStep::RollBack(RollbackReason::Bad(verdict));
        }
        if left > COMPLETION_LEAD {
            return OwnerStep::Wait;
        }
        let enough = f64::from(slots.new) >= LEAST_CAPACITY * f64::from(slots.old);
        match verdict {
            RolloutVerdict::Good if enough => OwnerStep::Complete,
            _ if !left.is_zero() => OwnerStep::Wait,
            RolloutVerdict::Good => OwnerStep::RollBack(RollbackReason::TooFewUpstreams),
            _ => OwnerStep::RollBack(RollbackReason::Undecided),
        }
    }
}
