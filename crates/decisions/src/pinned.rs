use super::*;

/// What a generation keeps for its whole life, whichever VM and engine go on with it: an answer
/// that went on with another model version or seed would be two answers mixed into one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Pinned {
    /// Bundle version it was accepted under.
    pub bundle: BundleVersion,
    /// The model that answers.
    pub model: Model,
    /// Sampling seed.
    pub seed: u64,
}
