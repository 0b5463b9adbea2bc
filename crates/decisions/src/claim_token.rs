use super::*;

/// Random number that identifies one attempt to claim a key. It lets the sender recognise its own
/// row after the result of the write was lost.
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
