use super::*;

/// An end event as received from an engine, not yet validated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedEnd {
    /// Request that the event names.
    pub request_id: RequestId,
    /// Attempt that the event names.
    pub attempt: Attempt,
    /// Number of tokens of the complete response, including the forced prefix.
    pub tokens: TokenIndex,
    /// Why the response ended.
    pub finish: Finish,
}
