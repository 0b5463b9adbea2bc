use super::*;

/// An experiment: a load of generations with injected faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name on the command line, in kebab case.
    pub name: &'static str,
    /// One-line description for `catkin-load list`.
    pub description: &'static str,
    /// Time for which calls arrive.
    pub arrival_window: Duration,
    /// Arrival rate of generations, per second for each engine.
    pub generation_rate: f64,
    /// Minimum and maximum number of tokens of a generation.
    pub tokens: (u32, u32),
    /// Duration of an engine's decode step.
    pub step: Duration,
    /// Faults, each with the share of the arrival window at which it is injected.
    pub faults: &'static [(f64, Fault)],
    /// Recovery policy of the generation service.
    pub recovery: RecoveryPolicy,
    /// Whether routers reach engines through the fault-injecting proxy.
    pub proxied: bool,
    /// One-way delay added to messages between routers; zero for none.
    pub peer_delay: Duration,
    /// Time without a token after which a caller reconnects to another router.
    pub token_timeout: Duration,
    /// Maximum time from the last arrival to the end of the run.
    pub max_tail: Duration,
}

/// A fault of a scenario. The affected process is drawn from the seed.
#[derive(Clone, Copy, Debug, PartialEq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// An engine process is killed.
    KillEngine,
    /// An engine process is stopped for this time and then continued.
    PauseEngine(Duration),
    /// All open connections to one engine stop carrying data permanently; new ones work.
    SilenceEngine,
    /// A router process is killed.
    KillRouter,
    /// A router process is stopped for this time and then continued.
    PauseRouter(Duration),
    /// All router processes are repeatedly stopped for a short time, as on VMs that wait for a CPU.
    StutterRouters,
    /// A router process is sent SIGTERM.
    DrainRouter,
    /// A request with an idempotency key crashes each engine that runs it; its caller retries.
    Poison,
    /// As `Poison`, but without an idempotency key.
    KeylessPoison,
    /// As `Poison`, but engines crash before they respond.
    UnansweredPoison,
    /// As `Poison`, but engines interrupt their streams and answer once more before they exit.
    LingeringPoison,
    /// A request without a key crashes two engines; its router is killed when the second is lost, and
    /// its caller retries at another.
    PoisonKillingRouter,
    /// A request without a key that crashes engines arrives at two routers concurrently.
    PoisonAtTwoRouters,
    /// As `PoisonKillingRouter`, but the router is stopped for this time and then continued.
    PoisonPausingRouter(Duration),
}

impl Scenario {
    /// Default scenario without faults, for use with struct update syntax.
    pub(crate) const BASE: Self = Self {
        name: "",
        description: "",
        arrival_window: Duration::from_secs(6),
        generation_rate: 2.0,
        tokens: (50, 300),
        step: Duration::from_millis(10),
        faults: &[],
        recovery: RecoveryPolicy::LeastWait,
        proxied: false,
        peer_delay: Duration::ZERO,
        token_timeout: Duration::from_secs(10),
        max_tail: Duration::from_secs(12),
    };

    /// Returns the scenario of this name.
    ///
    /// # Errors
    ///
    /// If no scenario has this name.
    pub fn find(name: &str) -> Result<Self, LoadError> {
        let found = SCENARIOS.iter().find(|scenario| scenario.name == name);
        found.cloned().ok_or_else(|| LoadError::UnknownScenario {
            name: name.to_owned(),
        })
    }
}
