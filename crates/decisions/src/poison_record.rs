use super::*;

/// One crash of an upstream process while it ran a request. VMs exchange poison records by gossip.
///
/// Records merge by set union, and a cleared record stays cleared. The merge is therefore commutative
/// and idempotent: the order and number of deliveries do not matter.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PoisonRecord {
    /// Digest of the request that was in flight.
    pub digest: RequestDigest,
    /// The crashed process.
    #[serde(rename = "death")]
    pub crash: UpstreamCrashId,
    /// Whether the request has since got past the point at which the upstream crashed.
    pub cleared: bool,
    /// Milliseconds since the crash was first detected.
    pub age_ms: u32,
}
