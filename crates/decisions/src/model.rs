use super::*;

/// A model version with an optional adapter.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Model {
    /// Name of the model, without version and adapter.
    pub name: Arc<str>,
    /// Version of the model; only equal versions match.
    pub version: Arc<str>,
    /// Name of the adapter; `None` for the base model, and in a request for any adapter.
    pub adapter: Option<Arc<str>>,
}

impl Model {
    /// Whether a request for `wanted` can run on this loaded model. A request that names no adapter runs
    /// with any adapter.
    #[must_use]
    pub fn satisfies(&self, wanted: &Self) -> bool {
        self.name == wanted.name
            && self.version == wanted.version
            && (wanted.adapter.is_none() || self.adapter == wanted.adapter)
    }
}
