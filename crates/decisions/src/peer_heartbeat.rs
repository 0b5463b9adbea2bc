use super::*;

/// Periodic message in which a VM advertises its state to others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Name of the sending VM.
    #[serde(rename = "v")]
    pub vm: Arc<str>,
    /// Availability zone of the sending VM.
    #[serde(rename = "z")]
    pub zone: AvailabilityZone,
    /// Identifies the process of the VM; a restarted process has another value.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Sequence number of the heartbeat within the incarnation.
    #[serde(rename = "n")]
    pub number: u64,
    /// Load of the VM on the upstreams where it has streams.
    #[serde(rename = "l")]
    pub loads: Vec<PeerLoad>,
    /// Upstreams that do not respond to the VM, of services to which its path is not in doubt.
    #[serde(rename = "s")]
    pub suspects: Vec<UpstreamIncarnation>,
    /// Crashes of upstreams that the VM knows of, each with the digest of a call that was running.
    #[serde(rename = "c")]
    pub crashes: Vec<BodyCrash>,
    /// A few of the other VMs that the VM has received heartbeats or advertisements of.
    #[serde(rename = "m")]
    pub members: Vec<MemberStatus>,
    /// Whether the VM knows few VMs of its zone and requests more of them.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub wants_members: bool,
    /// Rollouts known to the VM, its own and those received from others.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<RolloutNotice>,
    /// Bandwidth of the sender's link, if it is known.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub link: Option<LinkRate>,
    /// Demand at the VM for each service whose upstreams have limits.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub demands: Vec<PeerDemand>,
    /// What upstreams stated lately of their limits, to the VM or to others.
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<PeerLimit>,
    /// Services to which the VM's path is in doubt, since most of their upstreams do not respond to it.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub doubtful: Vec<ServiceId>,
}

impl PeerHeartbeat {
    /// Demand for a service at the sender, in calls per second.
    #[must_use]
    pub fn demand(&self, service: &ServiceId) -> f64 {
        let found = self
            .demands
            .iter()
            .find(|demand| demand.service == *service);
        found.map_or(0.0, |demand| f64::from(demand.calls_per_100_s) / 100.0)
    }
}

/// Demand for a service at a VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerDemand {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Calls in a hundred seconds.
    #[serde(rename = "r")]
    pub calls_per_100_s: u32,
}

/// What an upstream stated of its limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerLimit {
    /// The upstream.
    #[serde(rename = "u")]
    pub upstream: UpstreamIncarnation,
    /// Its limit; `None` if the response named none.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<RequestRate>,
    /// Milliseconds since a VM received the response.
    #[serde(rename = "g")]
    pub age_ms: u32,
}

/// A VM's load on one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerLoad {
    /// The upstream that the load is on.
    #[serde(rename = "u")]
    pub upstream: UpstreamIncarnation,
    /// The VM's streams on the upstream, plus the KV copies kept there of streams on other upstreams.
    #[serde(rename = "c")]
    pub calls: u32,
    /// Milliseconds until the upstream has completed the prefill of the prompts that the VM sent there.
    #[serde(rename = "r")]
    pub reading_ms: u32,
    /// Memory promised to these calls and copies, in hundreds of tokens, rounded up; `None` for an upstream of a
    /// service that is not scheduled. A finer unit would take more bytes; thousands, rounded up, would leave room for
    /// eight calls of 9,040 tokens in 88,000 in place of nine.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub hundred_tokens: Option<u32>,
}

/// Memory that a call is taken to need if its VM does not advertise it, in tokens.
const UNKNOWN_CALL_TOKENS: u32 = 9000;

impl PeerLoad {
    /// Memory in tokens promised to the calls and copies.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        match self.hundred_tokens {
            Some(hundreds) => hundreds.saturating_mul(100),
            None => self.calls.saturating_mul(UNKNOWN_CALL_TOKENS),
        }
    }

    /// Converts an amount of memory for [`Self::hundred_tokens`].
    #[must_use]
    pub fn in_hundreds(tokens: u32) -> u32 {
        tokens.div_ceil(100)
    }
}

/// What one VM advertises of another one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the described VM.
    #[serde(rename = "v")]
    pub vm: Arc<str>,
    /// Availability zone of the described VM; `None` if it is that of the sender.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<AvailabilityZone>,
    /// Address on which the described VM receives heartbeats.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Milliseconds since the described VM was last seen.
    #[serde(rename = "g")]
    pub age_ms: u32,
    /// Bandwidth of the described VM's link, if it is known.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub link: Option<LinkRate>,
}
