use super::*;

/// Why a failed call is not sent again.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum RetryRefusal {
    /// It may have run, and a second run would do harm.
    #[display("the call may have run and is not idempotent")]
    MayHaveRun,
    /// Upstreams died under this very request.
    #[display("upstreams died under this request")]
    Poisoned,
    /// It was sent often enough.
    #[display("the call was sent as often as it may be")]
    Attempts,
    /// Successes have not earned a retry.
    #[display("the retry budget is used up")]
    Budget,
}
