//! Decisions of the owner of a rollout.

use super::*;

/// Time before the deadline at which a good version takes over. Until then a version may still turn
/// bad; afterwards there is no old version left to roll back to.
pub const COMPLETION_LEAD: Duration = Duration::from_millis(1500);

/// How long requests are delayed while the new version takes over, so that requests on the old
/// version can end.
pub const COMPLETION_WAIT: Duration = Duration::from_millis(300);

/// Minimum slots of the new version, as a fraction of those of the old one, for the new version to
/// take over.
const MIN_CAPACITY_FRACTION: f64 = 0.5;

/// Reason for a rollback.
#[derive(Clone, Debug, PartialEq)]
pub enum RollbackReason {
    /// The new version responds worse than the old one.
    Bad(RolloutVerdict),
    /// At the deadline, there was too little evidence to judge the new version.
    Undecided,
    /// At the deadline, the upstreams of the new version had too few slots in total to take over.
    TooFewUpstreams,
    /// The order is invalid.
    Fault(RolloutOrderError),
}

/// Next step of the owner.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerStep {
    /// Continue the canary.
    Wait,
    /// Let the new version take over.
    Complete,
    /// Roll the new version back.
    RollBack(RollbackReason),
}

/// Slots of those upstreams of a service that accept calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct VersionSlots {
    /// Slots of all versions except the ordered one.
    pub old: u32,
    /// Slots of the ordered version.
    pub new: u32,
}

/// The owner's state of one rollout.
#[derive(Clone, Debug)]
pub struct RolloutOwner {
    /// Term of this owner.
    pub term: u64,
    /// Position of the stored rollout record, as last written or read by this owner.
    pub position: StorePosition,
    /// Deadline by the store's clock, in milliseconds.
    pub deadline_ms: u64,
    /// Requests that the VMs have reported, and canary requests granted to them.
    pub ledger: ExposureLedger,
    /// Judges the new version by the responses that all VMs have reported.
    pub judge: RolloutJudge,
}

impl RolloutOwner {
    /// Creates the owner of a term. Only the owner of the first term grants the slack; otherwise
    /// each of several owners would grant it.
    #[must_use]
    pub fn new(term: u64, position: StorePosition, deadline_ms: u64, limit: ExposureLimit) -> Self {
        let slack = if term == 1 { limit.slack } else { 0 };
        Self {
            term,
            position,
            deadline_ms,
            ledger: ExposureLedger::new(ExposureLimit { slack, ..limit }),
            judge: RolloutJudge::default(),
        }
    }

    /// Returns what the owner does next: roll back, complete or wait. `left` is the time until the
    /// rollout's deadline.
    #[must_use]
    pub fn step(&self, left: Duration, slots: VersionSlots) -> OwnerStep {
        let verdict = self.judge.verdict();
        if let RolloutVerdict::Bad { .. } = verdict {
            return OwnerStep::RollBack(RollbackReason::Bad(verdict));
        }
        if left > COMPLETION_LEAD {
            return OwnerStep::Wait;
        }
        let enough = f64::from(slots.new) >= MIN_CAPACITY_FRACTION * f64::from(slots.old);
        match verdict {
            RolloutVerdict::Good if enough => OwnerStep::Complete,
            _ if !left.is_zero() => OwnerStep::Wait,
            RolloutVerdict::Good => OwnerStep::RollBack(RollbackReason::TooFewUpstreams),
            _ => OwnerStep::RollBack(RollbackReason::Undecided),
        }
    }
}
