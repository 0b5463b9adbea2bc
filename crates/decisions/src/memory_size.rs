use super::*;

/// Size of memory, in bytes.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct MemorySize(pub usize);

impl MemorySize {
    /// The size of this many megabytes.
    #[must_use]
    pub const fn megabytes(count: usize) -> Self {
        Self(count.saturating_mul(1_000_000))
    }
}

impl fmt::Display for MemorySize {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} B", self.0)
    }
}

impl FromStr for MemorySize {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        let number = s.strip_suffix(" B").unwrap_or(s);
        number.parse().map(Self).map_err(|source| Error::Number {
            what: "memory size",
            source,
        })
    }
}
