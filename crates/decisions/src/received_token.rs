use super::*;

/// A token as received from an engine, not yet validated, with its request, attempt and index.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedToken {
    /// Id of the request, as the engine sent it with the token.
    pub request_id: RequestId,
    /// Attempt that generated the token.
    pub attempt: Attempt,
    /// Index in the complete response, including the forced prefix.
    pub index: TokenIndex,
    /// Id and bytes of the token.
    pub token: Token,
}
