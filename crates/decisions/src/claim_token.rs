use super::*;

/// Random number that one try to claim a key bears, so that its sender recognises its own row when
/// the answer was lost.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimToken(pub u128);

impl fmt::Display for ClaimToken {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for ClaimToken {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        u128::from_str_radix(s, 16)
            .map(Self)
            .map_err(|source| Error::Number {
                what: "claim token",
                source,
            })
    }
}
