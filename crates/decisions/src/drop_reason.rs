use super::*;

/// Why a valid token or end event was not delivered to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq, EnumString, IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum DropReason {
    /// The event arrived after the end of the response.
    AfterEnd,
    /// The event belongs to a superseded attempt.
    OldAttempt,
    /// The event is a duplicate of one that was delivered.
    Repeated,
}
