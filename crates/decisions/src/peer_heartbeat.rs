use super::*;

/// A VM's word on itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Its name.
    #[serde(rename = "v")]
    pub vm: Arc<str>,
    /// Its availability zone.
    #[serde(rename = "z")]
    pub zone: AvailabilityZone,
    /// Tells one life of its process from another.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Counts its notes.
    #[serde(rename = "n")]
    pub number: u64,
    /// Upstreams on which it has streams.
    #[serde(rename = "l")]
    pub loads: Vec<PeerLoad>,
    /// Upstreams that do not answer it.
    #[serde(rename = "s")]
    pub suspects: Vec<UpstreamIncarnation>,
    /// Calls under which upstreams died.
    #[serde(rename = "c")]
    pub crashes: Vec<Crash>,
    /// A few other VMs that it knows.
    #[serde(rename = "m")]
    pub members: Vec<MemberStatus>,
    /// Whether it knows few VMs of its zone, and would like to be told of more.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub wants_members: bool,
    /// Rollouts that it knows.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<RolloutNotice>,
}

/// A VM's load on one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerLoad {
    /// The upstream.
    #[serde(rename = "u")]
    pub upstream: UpstreamIncarnation,
    /// The VM's streams there, and copies of the memory of others.
    #[serde(rename = "c")]
    pub calls: u32,
    /// Milliseconds until the prompts that it has sent there will have been read.
    #[serde(rename = "r")]
    pub reading_ms: u32,
}

/// A VM's word on another one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    #[serde(rename = "v")]
    pub vm: Arc<str>,
    /// Its availability zone, if it is not the sender's.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<AvailabilityZone>,
    /// Where it takes notes.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Milliseconds since it was heard of.
    #[serde(rename = "g")]
    pub age_ms: u32,
}
