use super::*;

/// Reason why a failed call is not sent again.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum RetryRefusal {
    /// The call may have run and must not run twice.
    #[display("the call may have run and is not idempotent")]
    MayHaveRun,
    /// Upstreams crashed while they ran this request.
    #[display("upstreams crashed while running this request")]
    Poisoned,
    /// The call was sent the maximum number of times.
    #[display("the call was sent the maximum number of times")]
    Attempts,
    /// The retry budget is exhausted.
    #[display("the retry budget is exhausted")]
    Budget,
}
