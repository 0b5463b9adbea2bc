use super::*;

/// An attempt that has its number and forced prefix, but may not deliver before it is adopted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReservedAttempt {
    pub(crate) attempt: Attempt,
    pub(crate) prefix: TokenIndex,
}

impl ReservedAttempt {
    /// Its fencing number.
    #[must_use]
    pub fn attempt(self) -> Attempt {
        self.attempt
    }

    /// Tokens of its forced prefix; its first own token has this index.
    #[must_use]
    pub fn prefix(self) -> TokenIndex {
        self.prefix
    }
}
