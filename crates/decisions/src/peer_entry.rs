use super::*;

/// Identity and address of another VM.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PeerEntry {
    /// Id of the VM.
    pub vm: VmId,
    /// Address on which the VM accepts connections of peers.
    pub address: SocketAddr,
    /// Availability zone of the VM.
    pub zone: AvailabilityZone,
}
