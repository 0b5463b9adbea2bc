use super::*;

/// Zero-based index of a token in the complete response; also used as a number of tokens.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
pub struct TokenIndex(pub u32);

impl TokenIndex {
    /// Converts to an index into a slice.
    #[must_use]
    pub fn as_usize(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }

    /// The index of the following token.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl FromStr for TokenIndex {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        s.parse().map(Self).map_err(|source| Error::Number {
            what: "token index",
            source,
        })
    }
}
