use super::*;

/// An upstream that a request can be sent to.
#[derive(Debug, PartialEq)]
pub struct Candidate {
    /// Proof that the upstream may get new work.
    pub eligible: Eligible,
    /// Whether the upstream is in the VM's own availability zone.
    pub own_zone: bool,
    /// Requests in flight at the upstream: those of other VMs by its last report, plus the VM's own.
    pub load: u32,
    /// Number of requests that the upstream runs concurrently, at least 1.
    pub capacity: u32,
    /// Factor on the capacity, from 0 (used only if no other upstream is left) to 1.
    pub weight: f64,
    /// Average response latency, in seconds.
    pub latency: Option<f64>,
    /// Rendezvous score of the request's prefix for this upstream.
    pub affinity: u64,
}
