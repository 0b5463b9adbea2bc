use super::*;
use sha2::{Digest, Sha256};

/// Identity of a call: two calls of one team with equal keys are the same call.
///
/// The digest is cryptographic, because with a short hash a collision would give a caller the
/// response to a different call.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallKey {
    digest: [u8; 32],
    team: TeamId,
}

impl CallKey {
    /// Creates the key of a call from its service, method, path, headers and body.
    pub fn new<'a>(team: TeamId, parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            // The length distinguishes lists of parts whose concatenations are equal.
            hasher.update(part.len().to_le_bytes());
            hasher.update(part);
        }
        Self {
            digest: hasher.finalize().into(),
            team,
        }
    }

    pub(crate) fn shard(&self) -> usize {
        usize::from(self.digest[0])
    }
}
