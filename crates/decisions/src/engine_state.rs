use super::*;

/// The desired state of an engine, as sent to it in an order.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineState {
    /// Id of the engine.
    pub upstream: UpstreamId,
    /// All models that the engine should have loaded, sorted.
    pub models: Vec<Model>,
}
