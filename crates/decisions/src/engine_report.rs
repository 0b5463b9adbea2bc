use super::*;

/// What an engine says of the models that it holds.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// When it was asked.
    pub at: Instant,
    /// Loaded models, sorted, with the streams running on each.
    pub loaded: Vec<(Model, u32)>,
    /// Models being loaded, sorted; `None` if the engine doesn't say.
    pub loading: Option<Vec<Model>>,
    /// True if its role is to serve.
    pub serves: bool,
    /// Largest term that it took an order with.
    pub highest_term: Term,
}

impl EngineReport {
    /// Streams on a model; `None` if it is not loaded.
    #[must_use]
    pub fn streams(&self, model: &Model) -> Option<u32> {
        let i = self.loaded.binary_search_by(|(m, _)| m.cmp(model)).ok()?;
        Some(self.loaded[i].1)
    }

    /// Whether a model is loaded.
    #[must_use]
    pub fn has(&self, model: &Model) -> bool {
        self.streams(model).is_some()
    }
}
