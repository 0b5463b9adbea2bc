use super::*;

/// State of a rollout that VMs advertise to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutNotice {
    /// The order that started the rollout.
    #[serde(rename = "o")]
    pub order: RolloutOrder,
    /// Milliseconds until the deadline.
    #[serde(rename = "l")]
    pub left_ms: u32,
    /// Progress as decided by the owner.
    #[serde(rename = "p")]
    pub progress: RolloutProgress,
    /// Address of the owner, if there is one.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<SocketAddr>,
    /// Milliseconds since the last contact with the owner.
    #[serde(rename = "g")]
    pub owner_age_ms: u32,
}

/// Progress of a rollout, as decided by its owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RolloutProgress {
    /// Term of the owner; each owner has a higher one than its predecessor.
    #[serde(rename = "t")]
    pub term: u64,
    /// Sequence number of the owner's decision.
    #[serde(rename = "n")]
    pub number: u32,
    /// Phase of the rollout.
    #[serde(rename = "p")]
    pub phase: RolloutPhase,
    /// Whether the end of the rollout has been written to the platform store.
    #[serde(rename = "e", default, skip_serializing_if = "std::ops::Not::not")]
    pub stored: bool,
}

impl RolloutProgress {
    /// Progress before the first owner.
    pub const UNOWNED: Self = Self {
        term: 0,
        number: 0,
        phase: RolloutPhase::Running,
        stored: false,
    };

    /// Whether the rollout has ended and its end is stored.
    #[must_use]
    pub fn is_end_stored(&self) -> bool {
        self.phase.is_final() && self.stored
    }

    /// Whether this progress replaces another one. The end of a rollout is never undone. Completion
    /// takes precedence over a rollback, since the upstreams of the old version have stopped by
    /// then.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        let rank = |progress: &Self| {
            let end = progress.phase.is_final().then_some(progress.phase);
            (end, progress.stored, progress.term, progress.number)
        };
        rank(self) > rank(other)
    }
}
