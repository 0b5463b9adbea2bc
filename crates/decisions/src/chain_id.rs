use super::*;

/// Identifies one sequence of delivered tokens. A new generation is assigned a random id, and so is
/// each takeover by another VM, because from that point on the tokens of two VMs may differ.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct ChainId(pub u64);

impl fmt::Display for ChainId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for ChainId {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        u64::from_str_radix(s, 16)
            .map(Self)
            .map_err(|source| Error::Number {
                what: "chain id",
                source,
            })
    }
}
