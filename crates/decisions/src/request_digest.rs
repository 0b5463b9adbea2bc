use super::*;

/// First 16 bytes of the SHA-256 hash of a team and a request body, written in hexadecimal. A retry
/// of the same request has the same digest.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RequestDigest(u64, u64);

impl RequestDigest {
    /// Computes the digest of a request body sent by a team.
    #[must_use]
    pub fn of(team: &TeamId, body: &[u8]) -> Self {
        let bytes = digest_bytes(&[team.as_str().as_bytes(), body]);
        let [high, low] = [0, 8].map(|start| {
            bytes[start..start + 8]
                .iter()
                .fold(0, |n, byte| n << 8 | u64::from(*byte))
        });
        Self(high, low)
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0, self.1)
    }
}

impl FromStr for RequestDigest {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        let parse = |part: Option<&str>| {
            u64::from_str_radix(part.unwrap_or_default(), 16).map_err(|source| Error::Number {
                what: "request digest",
                source,
            })
        };
        Ok(Self(parse(s.get(..16))?, parse(s.get(16..))?))
    }
}

impl RequestId {
    /// Derives the id from team and idempotency key, so every VM recognises a reconnecting caller.
    ///
    /// # Panics
    ///
    /// Never panics, because hexadecimal digits form a valid id.
    #[must_use]
    pub fn of_key(team: &TeamId, key: &str) -> Self {
        to_hex(&digest_bytes(&[team.as_str().as_bytes(), key.as_bytes()]))
            .parse()
            .expect("hexadecimal digits are visible ASCII")
    }
}

/// Hashes the parts, each preceded by its length, so that different lists of parts never form the
/// same input.
fn digest_bytes(parts: &[&[u8]]) -> [u8; 16] {
    use sha2::Digest;
    let mut sha = sha2::Sha256::new();
    for part in parts {
        sha.update(part.len().to_le_bytes());
        sha.update(part);
    }
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&sha.finalize()[..16]);
    bytes
}
