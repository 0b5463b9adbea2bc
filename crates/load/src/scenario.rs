use super::*;

/// One experiment: a load, the faults that meet it, and what it may end in.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Its name on the command line.
    pub name: &'static str,
    /// What it shows, in one line.
    pub about: &'static str,
    /// How long calls arrive.
    pub arrivals: Duration,
    /// Generations that arrive a second for each engine.
    pub generations: f64,
    /// Fewest and most tokens of a generation.
    pub tokens: (u32, u32),
    /// Time of a decode step of the engines.
    pub step: Duration,
    /// Faults, each at a share of the arrivals' time.
    pub faults: &'static [(f64, Fault)],
    /// How services meet losses.
    pub recovery: RecoveryPolicy,
    /// Whether engines are reached through the fault-injecting proxy.
    pub linked: bool,
    /// What messages between routers take one way; zero for as long as they take.
    pub peer_delay: Duration,
    /// How long a caller waits for the next token before it turns to another router.
    pub patience: Duration,
    /// Longest time from the last arrival to the end of the run.
    pub tail: Duration,
}

/// A fault of a scenario. Which process it meets is drawn from the seed.
#[derive(Clone, Copy, Debug, PartialEq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// An engine process is killed.
    KillEngine,
    /// An engine process is stopped for so long, and goes on.
    PauseEngine(Duration),
    /// All open connections to one engine go silent for good.
    SilenceEngine,
    /// A router process is killed.
    KillRouter,
    /// A router process is stopped for so long, and goes on.
    PauseRouter(Duration),
    /// All router processes are stopped for a moment, again and again, as on VMs that wait for a processor.
    StutterRouters,
    /// A router process is asked to end.
    DrainRouter,
    /// A request arrives that crashes each engine which runs it; its caller sends it again.
    Poison,
    /// The same, from a caller without an idempotency key.
    KeylessPoison,
    /// The same, but engines crash before they answer.
    UnansweredPoison,
    /// A keyless one crashes two engines, its router is killed with the second, and its caller sends it again.
    PoisonKillingRouter,
    /// A keyless one arrives at two routers at once.
    PoisonAtTwoRouters,
    /// As `PoisonKillingRouter`, but the router is stopped for so long.
    PoisonPausingRouter(Duration),
}

impl Scenario {
    /// A scenario without faults, to be filled in by update syntax.
    pub(crate) const BASE: Self = Self {
        name: "",
        about: "",
        arrivals: Duration::from_secs(6),
        generations: 2.0,
        tokens: (50, 300),
        step: Duration::from_millis(10),
        faults: &[],
        recovery: RecoveryPolicy::LeastWait,
        linked: false,
        peer_delay: Duration::ZERO,
        patience: Duration::from_secs(10),
        tail: Duration::from_secs(12),
    };

    /// The scenario of that name.
    ///
    /// # Errors
    ///
    /// If there is none.
    pub fn find(name: &str) -> Result<Self, LoadError> {
        let found = SCENARIOS.iter().find(|scenario| scenario.name == name);
        found.cloned().ok_or_else(|| LoadError::UnknownScenario {
            name: name.to_owned(),
        })
    }
}
