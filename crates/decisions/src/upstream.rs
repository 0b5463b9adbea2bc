use super::*;

/// Upstream as configured in the bundle.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Address it listens on.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Services it serves, sorted.
    pub services: Vec<ServiceId>,
    /// True if it rejects orders with an old fencing number.
    pub enforces_fencing: bool,
    /// True if it checks which VM sends an order.
    pub checks_orderer: bool,
}
