use super::*;

/// How a call may be recovered when its outcome is unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq, EnumString, IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum CallKind {
    /// A call that may run any number of times.
    Idempotent,
    /// A call that must run at most once.
    NonIdempotent,
    /// A stream of numbered events that another upstream can resume after the last delivered event.
    ResumableStream,
    /// A stream of events that must run at most once.
    Stream,
}

impl CallKind {
    /// Returns whether the call may be sent again although an earlier attempt may have run.
    #[must_use]
    pub fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the response is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }
}
