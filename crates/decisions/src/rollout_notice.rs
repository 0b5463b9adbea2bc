use super::*;

/// What VMs tell each other of a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutNotice {
    /// The order.
    #[serde(rename = "o")]
    pub order: RolloutOrder,
    /// Milliseconds until its deadline.
    #[serde(rename = "l")]
    pub left_ms: u32,
    /// How far it is.
    #[serde(rename = "p")]
    pub progress: RolloutProgress,
    /// Address of the owner, if there is one.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<SocketAddr>,
    /// Milliseconds since the owner was last heard.
    #[serde(rename = "g")]
    pub owner_age_ms: u32,
}

/// How far a rollout is, as its owner has decided.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RolloutProgress {
    /// Term of the owner: each owner has a higher one than that before.
    #[serde(rename = "t")]
    pub term: u64,
    /// Counts the owner's decisions.
    #[serde(rename = "n")]
    pub number: u32,
    /// The phase.
    #[serde(rename = "p")]
    pub phase: RolloutPhase,
    /// Whether the end is in the store.
    #[serde(rename = "e", default, skip_serializing_if = "std::ops::Not::not")]
    pub stored: bool,
}

impl RolloutProgress {
    /// Before any owner.
    pub const UNOWNED: Self = Self {
        term: 0,
        number: 0,
        phase: RolloutPhase::Running,
        stored: false,
    };

    /// Whether there is nothing left to do.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.phase.is_final() && self.stored
    }

    /// Whether this takes the place of another one: the end of a rollout is never undone. Completion goes before a
    /// rollback, since the upstreams of the old version have stopped then.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        let rank = |progress: &Self| {
            let end = progress.phase.is_final().then_some(progress.phase);
            (end, progress.stored, progress.term, progress.number)
        };
        rank(self) > rank(other)
    }
}
