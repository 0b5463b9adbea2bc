use super::*;

/// A load report, as far as decisions use it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamReport {
    /// The process that reports.
    pub incarnation: Incarnation,
    /// Requests being run or queued there.
    pub load: u32,
    /// Those of them that are queued there.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub capacity: u32,
    /// True once it wants no new work.
    pub leaving: bool,
    /// True if its role is to serve.
    pub serves: bool,
    /// Loaded models.
    pub models: Vec<Model>,
}

impl UpstreamReport {
    /// Whether it can run a request for `model`; a request of a plain service names none.
    #[must_use]
    pub fn suits(&self, model: Option<&Model>) -> bool {
        self.serves && model.is_none_or(|model| self.models.iter().any(|m| is_loaded(m, model)))
    }
}

fn is_loaded(loaded: &Model, model: &Model) -> bool {
    loaded.name == model.name
        && loaded.version == model.version
        && (model.adapter.is_none() || loaded.adapter == model.adapter)
}
