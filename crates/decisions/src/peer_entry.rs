use super::*;

/// Another VM of the system, as this one knows it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PeerEntry {
    /// The VM.
    pub vm: VmId,
    /// Its address for peers.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: AvailabilityZone,
}
