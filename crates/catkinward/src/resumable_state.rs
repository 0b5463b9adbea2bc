use super::*;

/// State of a generation whose caller gave an idempotency key and may reconnect with it.
#[derive(Clone, Debug, PartialEq)]
pub struct ResumableState {
    /// Chain of the tokens that this VM delivers.
    pub chain: ChainId,
    /// Chains that this one continues, oldest first, each with the number of tokens taken over from
    /// it.
    pub lineage: Vec<(ChainId, TokenIndex)>,
}

impl ResumableState {
    /// Starts a new chain without a lineage.
    #[must_use]
    pub fn new_chain() -> Self {
        Self {
            chain: ChainId(rand::random()),
            lineage: Vec::new(),
        }
    }

    /// Starts a chain that continues the one in a progress replica.
    #[must_use]
    pub fn continue_from(record: &ProgressRecord) -> Self {
        let mut lineage = record.head.lineage.clone();
        lineage.push((record.chain, record.tokens.len()));
        Self {
            lineage,
            ..Self::new_chain()
        }
    }

    /// Returns the chain that the generation started with, on whichever VM that was.
    #[must_use]
    pub fn root(&self) -> ChainId {
        self.lineage.first().map_or(self.chain, |(chain, _)| *chain)
    }
}
