use super::*;

/// One death of an upstream under one request, as VMs tell each other.
///
/// Marks merge by union, and a cleared one stays cleared, so that it does not matter in which order
/// or how often they come.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PoisonRecord {
    /// The request.
    pub digest: RequestDigest,
    /// The death.
    pub death: UpstreamCrashId,
    /// True once the request got past the point at which the upstream died.
    pub cleared: bool,
    /// Milliseconds since the death was noticed.
    pub age_ms: u32,
}
