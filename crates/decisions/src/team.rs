use super::*;

/// A team, its key and its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name.
    pub id: TeamId,
    /// Hash of its bearer key.
    pub key: KeyHash,
    /// Share under load, relative to the other teams.
    pub weight: u32,
    /// Requests a second over all VMs.
    pub requests_per_second: Option<u32>,
    /// Generated tokens a second over all VMs.
    pub tokens_per_second: Option<u32>,
}
