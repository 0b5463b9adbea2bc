use super::*;

/// A team with its bearer key, weight and rate limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name of the team, unique in the bundle.
    pub id: TeamId,
    /// Hash of the team's bearer key.
    pub key: KeyHash,
    /// Share of service under load, relative to the other teams.
    pub weight: u32,
    /// Limit on requests per second over all VMs; `None` if unlimited.
    pub requests_per_second: Option<u32>,
    /// Limit on generated tokens per second over all VMs; `None` if unlimited.
    pub tokens_per_second: Option<u32>,
}
