use super::*;

/// Bandwidth of a VM's network link, in bits per second.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct LinkRate(pub u64);

impl LinkRate {
    /// Number of bytes that the link transfers in `time`.
    #[must_use]
    pub fn bytes_in(self, time: Duration) -> u64 {
        let bits = u128::from(self.0) * time.as_micros() / 1_000_000;
        u64::try_from(bits / 8).unwrap_or(u64::MAX)
    }
}

impl fmt::Display for LinkRate {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} bit/s", self.0)
    }
}

impl FromStr for LinkRate {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        let number = s.strip_suffix(" bit/s").unwrap_or(s);
        number.parse().map(Self).map_err(|source| Error::Number {
            what: "link rate",
            source,
        })
    }
}
