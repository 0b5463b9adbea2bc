use super::*;

/// Maximum number of parts of a call to which crashes are attributed; the last ones, which fewer calls share.
const MAX_ATTRIBUTED_PARTS: usize = 16;

/// The attributes of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallAttributes {
    /// Digest of path, team and body.
    pub body: u64,
    /// Parts of the prompt that other prompts may share, in order.
    pub parts: Arc<[PartId]>,
}

impl CallAttributes {
    /// Attributes of a call whose prompt shares these parts with others.
    #[must_use]
    pub fn new(body: u64, parts: impl IntoIterator<Item = PartId>) -> Self {
        Self {
            body,
            parts: parts.into_iter().collect(),
        }
    }

    /// The parts to which a crash under the call is attributed, each with its position in the prompt.
    pub(crate) fn attributed_parts(&self) -> impl Iterator<Item = (u16, &PartId)> {
        let skipped = self.parts.len().saturating_sub(MAX_ATTRIBUTED_PARTS);
        let parts = self.parts.iter().enumerate().skip(skipped);
        parts.map(|(position, part)| (u16::try_from(position).unwrap_or(u16::MAX), part))
    }
}
