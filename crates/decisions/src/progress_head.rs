use super::*;

/// Properties of a generation that stay the same on every VM and engine that continues it. A response
/// continued with another model version or seed would be a mixture of two responses.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ProgressHead {
    /// Digest of the request, to detect another request under the same idempotency key.
    pub digest: RequestDigest,
    /// Version of the bundle in force when the request was accepted.
    pub bundle: BundleVersion,
    /// Model, with version and adapter, that generates the response.
    pub model: Model,
    /// Sampling seed passed to every engine that continues the generation.
    pub seed: u64,
    /// Chains that this generation continues, oldest first, each with the number of tokens that were
    /// taken over from it.
    pub lineage: Vec<(ChainId, TokenIndex)>,
}

impl ProgressHead {
    /// Returns the number of tokens that the generation has in common with `chain`, or `None` if it
    /// does not continue that chain.
    #[must_use]
    pub fn shared_tokens(&self, chain: ChainId) -> Option<TokenIndex> {
        let found = self.lineage.iter().find(|(ancestor, _)| *ancestor == chain);
        found.map(|(_, tokens)| *tokens)
    }
}
