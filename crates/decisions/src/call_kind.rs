use super::*;

/// What may be done with a call whose outcome is not known.
#[derive(Clone, Copy, Debug, Eq, PartialEq, EnumString, IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum CallKind {
    /// May run any number of times.
    Idempotent,
    /// Runs once at most.
    NonIdempotent,
    /// A stream of numbered events that another upstream may go on with after the last one handed on.
    ResumableStream,
    /// A stream of events that runs once at most.
    Stream,
}

impl CallKind {
    /// Whether the call may be sent again although an earlier send may have run.
    #[must_use]
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether its answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }
}
