use super::*;

/// Settings of a mock engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Duration of a decode step with one sequence in the batch.
    pub step: Duration,
    /// Duration that each further sequence in the batch adds to a step.
    pub step_per_sequence: Duration,
    /// Prefill time of one prompt or prefix token that is not cached.
    pub prefill_per_token: Duration,
    /// Maximum number of sequences in a batch; more wait.
    pub capacity: usize,
    /// Names and versions of the models that are loaded at the start.
    pub models: Vec<(Arc<str>, Arc<str>)>,
    /// Time to load a model.
    pub load_time: Duration,
    /// Weight store that counts concurrent loads; `None` to count none.
    pub weight_store: Option<WeightStore>,
    /// Whether orders with a term below the highest seen one are refused (fencing).
    pub enforces_fencing: bool,
    /// VMs that may send orders; empty to accept orders from any VM.
    pub orderers: Vec<Arc<str>>,
    /// How long a sequence continues and stays readable without a reader.
    pub detach_grace: Duration,
    /// Capacity of the prefix cache in prompt tokens.
    pub prefix_cache: usize,
    /// Maximum age of the load reports, which are cached for this long.
    pub load_lag: Duration,
    /// Seed of the token sampling.
    pub seed: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            step: Duration::from_millis(10),
            step_per_sequence: Duration::from_micros(50),
            prefill_per_token: Duration::from_micros(20),
            capacity: 64,
            models: vec![("catkin".into(), "1".into())],
            load_time: Duration::from_secs(2),
            weight_store: None,
            enforces_fencing: true,
            orderers: Vec::new(),
            detach_grace: Duration::from_secs(10),
            prefix_cache: 200_000,
            load_lag: Duration::ZERO,
            seed: 1,
        }
    }
}
