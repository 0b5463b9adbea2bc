use super::*;

/// Retry delay for a caller whose request got no memory: by then stalled requests have given way.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Reason why the body of a request is refused. The request has not run and will not run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, StdError, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum BodyRefusal {
    /// The body exceeds the size limit.
    #[display("the body exceeds the size limit")]
    TooLarge,
    /// The connection closed before the end of the body, or the body is malformed.
    #[display("the body is truncated or malformed")]
    Truncated,
    /// The body did not arrive within its time limit.
    #[display("the body did not arrive in time")]
    TimedOut,
    /// The body made no progress, or took too long, while other requests waited for memory.
    #[display("the body stalled while others waited for memory")]
    Displaced,
    /// Other requests hold the memory.
    #[display("there is no memory for the body")]
    NoMemory,
}

impl BodyRefusal {
    /// Delay after which a retry may succeed, if it depends on other requests.
    #[must_use]
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NoMemory => Some(RETRY_DELAY),
            Self::TooLarge | Self::Truncated | Self::TimedOut | Self::Displaced => None,
        }
    }
}
