use super::*;

/// SHA-256 of a bearer key; the key itself is never kept.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hash of a key as a caller sends it.
    #[must_use]
    pub fn of(key: &str) -> Self {
        use sha2::Digest;
        Self(sha2::Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for KeyHash {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        let bytes = parse_hex(s).ok_or(Error::KeyHash)?;
        bytes.try_into().map(Self).map_err(|_| Error::KeyHash)
    }
}
