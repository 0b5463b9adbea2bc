use super::*;

/// The state that an engine is ordered to take.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineState {
    /// The engine.
    pub upstream: UpstreamId,
    /// All models that it shall hold, sorted.
    pub models: Vec<Model>,
}
