use super::*;

/// A service of the bundle.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub id: ServiceId,
    /// What kind it is, with what only that kind has.
    pub kind: ServiceKind,
    /// Teams that may call it, sorted; empty means all.
    pub teams: Vec<TeamId>,
    /// Deadline of a call that names none.
    pub deadline: Duration,
}

impl Service {
    /// Whether a team may call this service.
    #[must_use]
    pub fn allows(&self, team: &TeamId) -> bool {
        self.teams.is_empty() || self.teams.binary_search(team).is_ok()
    }
}
