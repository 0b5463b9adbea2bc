use super::*;

/// An engine's report on its models and its role.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// When the report was requested.
    pub requested_at: Instant,
    /// Loaded models, sorted, each with its number of running streams.
    pub loaded: Vec<(Model, u32)>,
    /// Models being loaded, sorted; `None` if the engine does not report them.
    pub loading: Option<Vec<Model>>,
    /// Whether the engine is in the serving role.
    pub serves: bool,
    /// Highest term of the orders that the engine has accepted.
    pub highest_term: Term,
}

impl EngineReport {
    /// Number of streams running on a model; `None` if the model is not loaded.
    #[must_use]
    pub fn streams(&self, model: &Model) -> Option<u32> {
        let i = self.loaded.binary_search_by(|(m, _)| m.cmp(model)).ok()?;
        Some(self.loaded[i].1)
    }

    /// Whether a model is loaded.
    #[must_use]
    pub fn is_loaded(&self, model: &Model) -> bool {
        self.streams(model).is_some()
    }
}
