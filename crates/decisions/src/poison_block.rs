use super::*;

/// Why a request may not start on an upstream.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum PoisonBlock {
    /// Upstreams died under it; it runs nowhere until its marks expire.
    #[display("upstreams died under this request")]
    Refused,
    /// Not on this upstream now: another suspect is watched there, or it runs elsewhere.
    #[display("the request must wait for another upstream")]
    Elsewhere,
}
