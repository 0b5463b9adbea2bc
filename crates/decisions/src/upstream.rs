use super::*;

/// An upstream of the bundle.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Id.
    pub id: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Services it serves, sorted.
    pub services: Vec<ServiceId>,
    /// True if it refuses orders with an old fencing number.
    pub enforces_fencing: bool,
    /// True if it checks who orders.
    pub checks_orderer: bool,
}
