use super::*;

/// An attempt with a number and a forced prefix that must not deliver tokens before it is adopted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReservedAttempt {
    pub(crate) attempt: Attempt,
    pub(crate) prefix: TokenIndex,
}

impl ReservedAttempt {
    /// Attempt number, used for fencing.
    #[must_use]
    pub fn attempt(self) -> Attempt {
        self.attempt
    }

    /// Length of the forced prefix in tokens, which is the index of the first generated token.
    #[must_use]
    pub fn prefix(self) -> TokenIndex {
        self.prefix
    }
}
