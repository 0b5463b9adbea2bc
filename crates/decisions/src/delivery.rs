use super::*;

/// What a relay makes of an event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Delivery {
    /// The next token of the answer, for the caller.
    Token(TokenIndex, Token),
    /// The answer is whole.
    End(Finish),
    /// Nothing for the caller.
    Dropped(DropReason),
}
