use super::*;

/// The fields of a load report on which decisions depend.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamReport {
    /// Incarnation of the process that reports.
    pub incarnation: Incarnation,
    /// Number of requests that run or are queued there.
    pub load: u32,
    /// Number of requests that are queued there.
    pub waiting: u32,
    /// Number of requests that it runs at once.
    pub capacity: u32,
    /// True once it is leaving and wants no new work.
    pub leaving: bool,
    /// True if its role is to serve.
    pub serves: bool,
    /// Models that are loaded.
    pub models: Vec<Model>,
}

impl UpstreamReport {
    /// Whether it can run a request for `model`; a request of a plain service names none.
    #[must_use]
    pub fn can_run(&self, model: Option<&Model>) -> bool {
        self.serves && model.is_none_or(|model| self.models.iter().any(|m| m.satisfies(model)))
    }
}
