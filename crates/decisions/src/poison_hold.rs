use super::*;

/// Why a request may not start on an upstream.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum PoisonHold {
    /// Upstreams crashed while they ran the request; all VMs refuse it until its marks expire.
    #[display("upstreams died under this request")]
    Refused,
    /// The request cannot run on this upstream now: another suspect is isolated there, or the
    /// request already runs on another upstream.
    #[display("the request must wait for another upstream")]
    Elsewhere,
}
