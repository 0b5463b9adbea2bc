use super::*;

/// Why a token or end event was not delivered although nothing is wrong with it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, EnumString, IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum DropReason {
    /// It came after the answer had ended.
    AfterEnd,
    /// It was made in an attempt that is no longer live.
    OldAttempt,
    /// It has been delivered already.
    Repeated,
}
