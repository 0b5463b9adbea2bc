use super::*;

/// A service defined in the bundle.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name that callers use in the path of a call.
    pub id: ServiceId,
    /// Kind of the service with its specific settings.
    pub kind: ServiceKind,
    /// Teams that may call the service, sorted; empty if all may.
    pub teams: Vec<TeamId>,
    /// Deadline of a call that does not set one.
    pub deadline: Duration,
}

impl Service {
    /// Returns whether a team may call this service.
    #[must_use]
    pub fn allows(&self, team: &TeamId) -> bool {
        self.teams.is_empty() || self.teams.binary_search(team).is_ok()
    }
}
