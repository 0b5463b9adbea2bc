use super::*;

/// Id of the crash of one upstream process, the same on all VMs that detect it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct UpstreamCrashId(pub u64);

impl fmt::Display for UpstreamCrashId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl UpstreamCrashId {
    /// Derives the id from the upstream and its incarnation.
    #[must_use]
    pub fn of(upstream: &UpstreamId, incarnation: Incarnation) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64_with_seed(
            upstream.as_str().as_bytes(),
            incarnation.0,
        ))
    }
}
