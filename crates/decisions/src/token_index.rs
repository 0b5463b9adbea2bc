use super::*;

/// Place of a token in a whole answer, from 0; also a number of tokens.
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
    /// As an index into a slice.
    #[must_use]
    pub fn as_usize(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }

    /// The index after this one.
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
