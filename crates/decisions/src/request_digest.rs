use super::*;

/// First 16 bytes of the SHA-256 over a team and a request body, in hexadecimal.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RequestDigest(Arc<str>);

impl RequestDigest {
    /// Digest of a team's request.
    #[must_use]
    pub fn of(team: &TeamId, body: &[u8]) -> Self {
        Self(digest_text(&[team.as_str().as_bytes(), body]).into())
    }
}

impl RequestId {
    /// The id of the request that a team sends under an idempotency key: the same on every VM, so
    /// that a caller who comes back to another one is recognised.
    ///
    /// # Panics
    ///
    /// Never: hexadecimal digits make a valid id.
    #[must_use]
    pub fn of_key(team: &TeamId, key: &str) -> Self {
        digest_text(&[team.as_str().as_bytes(), key.as_bytes()])
            .parse()
            .expect("hexadecimal digits are visible ASCII")
    }
}

/// Digest over parts; each one's length goes in too, so that no two lists of parts look alike.
fn digest_text(parts: &[&[u8]]) -> String {
    use sha2::Digest;
    let mut sha = sha2::Sha256::new();
    for part in parts {
        sha.update(part.len().to_le_bytes());
        sha.update(part);
    }
    to_hex(&sha.finalize()[..16])
}
