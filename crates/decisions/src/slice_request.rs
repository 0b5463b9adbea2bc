use super::*;

/// Request of a VM for a slice, sent to the allocator of a team's limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SliceRequest {
    /// Team whose limit is shared.
    pub team: TeamId,
    /// Limit of the team that the slice is part of.
    pub kind: LimitKind,
    /// VM that requests the slice.
    pub vm: VmId,
    /// Recent demand of the VM's callers per second, including refused calls.
    pub demand: f64,
}
