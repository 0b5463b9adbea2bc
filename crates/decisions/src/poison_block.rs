use super::*;

/// Why a request may not start on an upstream.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum PoisonBlock {
    /// Upstreams crashed while running the request; it is refused until its poison records expire.
    #[display("upstreams crashed while running this request")]
    Refused,
    /// The request cannot run on this upstream now: another suspect request is on probation there,
    /// or the request already runs on another upstream.
    #[display("the request must wait for another upstream")]
    OtherUpstream,
}
