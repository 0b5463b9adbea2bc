use super::*;

/// Result of relaying an engine event to the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Delivery {
    /// The next token of the response, to be sent to the caller.
    Token(TokenIndex, Token),
    /// The response is complete.
    End(Finish),
    /// The event was dropped; nothing is sent to the caller.
    Dropped(DropReason),
}
