use super::*;

/// A VM asks the home of a team's limit for its slice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SliceRequest {
    /// The team.
    pub team: TeamId,
    /// Which of its limits.
    pub kind: LimitKind,
    /// Who asks.
    pub vm: VmId,
    /// What its callers lately asked for, a second, refused calls counted in.
    pub demand: f64,
}
