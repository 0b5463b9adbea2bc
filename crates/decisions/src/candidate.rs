use super::*;

/// An upstream that may get a request.
#[derive(Debug, PartialEq)]
pub struct Candidate {
    /// Proof that it may.
    pub eligible: Eligible,
    /// True if it is in the VM's own availability zone.
    pub own_zone: bool,
    /// Requests there, as far as known: those of others by its last report, and the VM's own.
    pub load: u32,
    /// Requests that it runs at once, at least 1.
    pub capacity: u32,
    /// Part of its capacity that counts, from 0 (last resort) to 1.
    pub weight: f64,
    /// Average latency of its answers, in seconds.
    pub pace: Option<f64>,
    /// Rendezvous score of the request's prefix here.
    pub affinity: u64,
}
