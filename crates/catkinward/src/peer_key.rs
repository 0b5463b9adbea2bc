use super::*;
use hmac::{Hmac, KeyInit, Mac};

/// The secret that all VMs of a system share. Its `Debug` output does not reveal it, so it never
/// gets into logs.
#[derive(Clone, Default, Eq, PartialEq)]
pub struct PeerKey(Arc<str>);

impl PeerKey {
    /// Creates a key from its text.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Returns a proof of knowing the key: an HMAC over `parts`, which include the nonces of both
    /// ends.
    #[must_use]
    pub fn prove(&self, parts: &[&[u8]]) -> Vec<u8> {
        self.mac(parts).finalize().into_bytes().to_vec()
    }

    /// Returns whether `proof` was made with this key over `parts`.
    #[must_use]
    pub fn verify(&self, parts: &[&[u8]], proof: &[u8]) -> bool {
        self.mac(parts).verify_slice(proof).is_ok()
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<sha2::Sha256> {
        let mut mac = Hmac::<sha2::Sha256>::new_from_slice(self.0.as_bytes())
            .expect("HMAC accepts keys of any length");
        for part in parts {
            mac.update(&part.len().to_le_bytes());
            mac.update(part);
        }
        mac
    }
}

impl Debug for PeerKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PeerKey")
    }
}
