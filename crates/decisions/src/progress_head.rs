use super::*;

/// What a generation keeps for its whole life, whichever VM and engine go on with it: an answer
/// that went on with another model version or seed would be two answers mixed into one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ProgressHead {
    /// Digest of the request, so that another request under the same key is told apart.
    pub digest: RequestDigest,
    /// Bundle version it was accepted under.
    pub bundle: BundleVersion,
    /// The model that answers.
    pub model: Model,
    /// Sampling seed.
    pub seed: u64,
    /// Chains that it goes on from, the oldest first, each with the tokens taken over from it.
    pub lineage: Vec<(ChainId, TokenIndex)>,
}

impl ProgressHead {
    /// Tokens of `chain` that are also those of a generation of this head; `None` if it does not
    /// go on from that chain.
    #[must_use]
    pub fn shared_with(&self, chain: ChainId) -> Option<TokenIndex> {
        let found = self.lineage.iter().find(|(ancestor, _)| *ancestor == chain);
        found.map(|(_, tokens)| *tokens)
    }
}
