use super::*;

/// A model version with its adapter.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Model {
    /// Model name.
    pub name: Arc<str>,
    /// Model version.
    pub version: Arc<str>,
    /// Adapter name.
    pub adapter: Option<Arc<str>>,
}

impl Model {
    /// Whether a request for `wanted` can run on this loaded model; one that names no adapter runs
    /// on any.
    #[must_use]
    pub fn satisfies(&self, wanted: &Self) -> bool {
        self.name == wanted.name
            && self.version == wanted.version
            && (wanted.adapter.is_none() || self.adapter == wanted.adapter)
    }
}
