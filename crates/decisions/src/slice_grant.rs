use super::*;

/// Reply of the allocator of a limit to a [`SliceRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SliceGrant {
    /// Team whose limit is shared.
    pub team: TeamId,
    /// Limit of the team that the slice is part of.
    pub kind: LimitKind,
    /// Rate that the VM may admit during the lease, per second.
    pub rate: f64,
    /// Rate that the VM may admit after the lease has expired, per second.
    pub floor: f64,
    /// Duration of the lease in milliseconds, counted from the time of the request.
    pub lease_ms: u32,
}
