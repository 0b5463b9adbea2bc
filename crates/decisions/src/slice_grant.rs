use super::*;

/// The home's answer to a [`SliceRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SliceGrant {
    /// The team.
    pub team: TeamId,
    /// Which of its limits.
    pub kind: LimitKind,
    /// What the VM may let through, a second.
    pub rate: f64,
    /// What it may let through, a second, once the grant has expired.
    pub floor: f64,
    /// How long the grant lasts, in milliseconds, from when it was asked for.
    pub lease_ms: u32,
}
