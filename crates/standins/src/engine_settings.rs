use super::*;

/// Settings of a stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Time of a decode step with one sequence.
    pub step: Duration,
    /// Time that each further sequence adds to a step.
    pub step_per_sequence: Duration,
    /// Time to compute one prompt or prefix token that is not cached.
    pub prefill_per_token: Duration,
    /// Sequences decoded at once.
    pub capacity: usize,
    /// Models loaded, as name and version.
    pub models: Vec<(Arc<str>, Arc<str>)>,
    /// Time to load a model.
    pub load_time: Duration,
    /// Where models are loaded from, if loads are counted.
    pub weight_store: Option<WeightStore>,
    /// Whether orders under an old fencing number are refused.
    pub enforces_fencing: bool,
    /// VMs that may give orders; empty means that nobody is checked.
    pub orderers: Vec<Arc<str>>,
    /// How long a sequence runs on, and stays readable, without a reader.
    pub detach_grace: Duration,
    /// Prompt and prefix tokens that its prefix cache holds.
    pub prefix_cache: usize,
    /// By how much its load reports lag behind the truth.
    pub load_lag: Duration,
    /// Seed of all sampling.
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
