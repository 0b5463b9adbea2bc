use super::*;

/// What a generation has whose caller gave an idempotency key, and can come back with it.
#[derive(Clone, Debug, PartialEq)]
pub struct ResumableState {
    /// The chain of the tokens that this VM delivers.
    pub chain: ChainId,
    /// Chains that it goes on from, the oldest first, each with the tokens taken over from it.
    pub lineage: Vec<(ChainId, TokenIndex)>,
}

impl ResumableState {
    /// A chain of its own.
    #[must_use]
    pub fn begin() -> Self {
        Self {
            chain: ChainId(rand::random()),
            lineage: Vec::new(),
        }
    }

    /// A chain that goes on from a copy.
    #[must_use]
    pub fn go_on(record: &ProgressRecord) -> Self {
        let mut lineage = record.head.lineage.clone();
        lineage.push((record.chain, record.tokens.len()));
        Self {
            lineage,
            ..Self::begin()
        }
    }

    /// The chain that the generation began with, on whichever VM.
    #[must_use]
    pub fn root(&self) -> ChainId {
        self.lineage.first().map_or(self.chain, |(chain, _)| *chain)
    }
}
