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
