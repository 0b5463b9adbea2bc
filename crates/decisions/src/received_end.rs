use super::*;

/// An end event as an engine sent it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedEnd {
    /// Request that the engine says it ends.
    pub request_id: RequestId,
    /// Attempt that ends.
    pub attempt: Attempt,
    /// Tokens of the whole answer, the forced prefix counted in.
    pub tokens: TokenIndex,
    /// Why it ended.
    pub finish: Finish,
}
