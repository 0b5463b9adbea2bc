use super::*;
use sha2::{Digest, Sha256};

/// What makes two calls of one team the same call.
///
/// The digest is a cryptographic one: with a short hash a collision would hand a caller the answer
/// to another's call.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallKey {
    digest: [u8; 32],
    team: TeamId,
}

impl CallKey {
    /// The key of a call with these parts, which are service, method, path, headers and body.
    pub fn new<'a>(team: TeamId, parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            // The length keeps two lists of parts with the same concatenation apart.
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
