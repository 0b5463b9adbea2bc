use super::*;

/// How far a rollout is.
#[derive(
    Clone,
    Copy,
    Debug,
    EnumString,
    Eq,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    strum::Display,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum RolloutPhase {
    /// The new version gets the part of the requests that is granted to it.
    Running,
    /// The new version is about to take over: requests wait for that, so that none is cut off with the old one.
    Completing,
    /// The new version does not get requests any more.
    RolledBack,
    /// The new version has taken over; the upstreams of others stop.
    Completed,
}

impl RolloutPhase {
    /// Whether the rollout has ended.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::RolledBack | Self::Completed)
    }
}
