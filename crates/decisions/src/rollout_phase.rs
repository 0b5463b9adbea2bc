use super::*;

/// Phase of a rollout.
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
    /// The new version receives the fraction of the requests that is granted to it.
    Running,
    /// The new version is about to take over. Requests are delayed until then, so that none is
    /// interrupted when the old version stops.
    Completing,
    /// The new version receives no more requests.
    RolledBack,
    /// The new version has taken over; the upstreams of other versions stop.
    Completed,
}

impl RolloutPhase {
    /// Whether the rollout has ended.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::RolledBack | Self::Completed)
    }
}
