/// Number of priorities of routes that are told apart for one priority of a team.
const ROUTE_PRIORITIES: u8 = 3;

/// The least urgent priority that engines know.
const LEAST_URGENT: u8 = 9;

/// Priority of a call to a service whose routes have different priorities, from 0, the most urgent, to 9. The priority
/// of the caller's team takes precedence; calls of equal teams are ranked by their routes, of which priorities beyond 2
/// count as 2. Without a priority of the team, that of the route is used as it is.
#[must_use]
pub fn ranked_priority(team: Option<u8>, route: u8) -> u8 {
    let Some(team) = team else {
        return route.min(LEAST_URGENT);
    };
    let within_team = route.min(ROUTE_PRIORITIES - 1);
    team.saturating_mul(ROUTE_PRIORITIES)
        .saturating_add(within_team)
        .min(LEAST_URGENT)
}
