use super::*;

/// A run of a suspect request, which is one that may have crashed an upstream. The run is announced
/// to the other VMs before the request is sent: if the VM fails together with the upstream, the other
/// VMs know which request was in flight.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct SuspectRun {
    /// Digest of the suspect request.
    #[serde(rename = "d")]
    pub digest: RequestDigest,
    /// Upstream to which the request is sent.
    #[serde(rename = "u")]
    pub upstream: UpstreamId,
    /// Incarnation of the upstream process.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Distinguishes the announcements of the same run, of one VM or several; none from a VM of an
    /// earlier version.
    #[serde(rename = "n", default, skip_serializing_if = "Option::is_none")]
    pub announcement: Option<u64>,
}

impl SuspectRun {
    /// Whether two runs must not take place at the same time: the same request could crash two
    /// upstreams, or the crash of one upstream could not be attributed to one of two requests.
    #[must_use]
    pub fn conflicts(&self, other: &Self) -> bool {
        (self.digest == other.digest) != (self.upstream == other.upstream)
    }

    /// Identifies the possible crash of the upstream process, as in the poison records of the request.
    #[must_use]
    pub fn crash(&self) -> UpstreamCrashId {
        UpstreamCrashId::of(&self.upstream, self.incarnation)
    }
}
