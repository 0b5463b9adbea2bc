use super::*;

/// A token as an engine sent it, with all that tells where it belongs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedToken {
    /// Request that the engine says it answers.
    pub request_id: RequestId,
    /// Attempt that the engine made it in.
    pub attempt: Attempt,
    /// Place in the whole answer.
    pub index: TokenIndex,
    /// The token.
    pub token: Token,
}
