use super::*;

/// A run of a suspect, announced to other VMs before its order is sent: if the VM is lost together with the upstream,
/// they know under which request it died.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct SuspectRun {
    /// The request.
    #[serde(rename = "d")]
    pub digest: RequestDigest,
    /// The upstream that it is sent to.
    #[serde(rename = "u")]
    pub upstream: UpstreamId,
    /// The process of the upstream.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
}

impl SuspectRun {
    /// Whether the runs must not go on together: one request would crash two upstreams, or the death of one upstream could
    /// not tell two requests apart.
    #[must_use]
    pub fn conflicts(&self, other: &Self) -> bool {
        (self.digest == other.digest) != (self.upstream == other.upstream)
    }

    /// The death of the process that it is sent to.
    #[must_use]
    pub fn death(&self) -> UpstreamCrashId {
        UpstreamCrashId::of(&self.upstream, self.incarnation)
    }
}
