use super::*;

/// An experiment of plain calls under load, compared with calls sent directly to the upstreams.
#[derive(Clone, Debug)]
pub struct QuickScenario {
    /// Name on the command line, in kebab case.
    pub name: &'static str,
    /// One-line description for `catkin-load list`.
    pub description: &'static str,
    /// Time for which calls arrive.
    pub arrival_window: Duration,
    /// Arrival rate, as a multiple of the upstreams' capacity.
    pub load: f64,
    /// Start and end of a burst, as shares of the arrival window, and its factor on the arrival rate.
    pub burst: Option<(f64, f64, f64)>,
    /// Share of all calls that come from team 0, the hot team.
    pub hot_team: f64,
    /// Share of reads that read the hot item.
    pub hot_key: f64,
    /// Share of all calls that are non-idempotent writes.
    pub writes: f64,
    /// Concurrent generations, in arrivals per second for each engine.
    pub generation_rate: f64,
    /// Faults of the plain upstreams: the share of the arrival window at which the fault starts, the
    /// index of the upstream (`None` for all), and the fault.
    pub faults: &'static [(f64, Option<usize>, PlainFault)],
}

impl QuickScenario {
    /// Default scenario at half load, for use with struct update syntax.
    pub(crate) const BASE: Self = Self {
        name: "",
        description: "",
        arrival_window: Duration::from_secs(5),
        load: 0.5,
        burst: None,
        hot_team: 0.0,
        hot_key: 0.0,
        writes: 0.1,
        generation_rate: 0.0,
        faults: &[],
    };

    /// Returns the scenario of this name.
    #[must_use]
    pub fn find(name: &str) -> Option<Self> {
        let found = QUICK_SCENARIOS
            .iter()
            .find(|scenario| scenario.name == name);
        found.cloned()
    }
}

/// All scenarios of plain calls.
pub const QUICK_SCENARIOS: &[QuickScenario] = &[
    QuickScenario {
        name: "quick",
        description: "plain calls at half of the upstreams' capacity",
        ..QuickScenario::BASE
    },
    QuickScenario {
        name: "burst",
        description: "three times the upstreams' capacity for a fifth of the time",
        burst: Some((0.4, 0.6, 6.0)),
        ..QuickScenario::BASE
    },
    QuickScenario {
        name: "hot-team",
        description: "one team makes three quarters of all calls, at 1.5 times the upstreams' capacity",
        load: 1.5,
        hot_team: 0.75,
        ..QuickScenario::BASE
    },
    QuickScenario {
        name: "hot-key",
        description: "70 % of all reads read one item, at 1.5 times the upstreams' capacity",
        load: 1.5,
        hot_key: 0.7,
        ..QuickScenario::BASE
    },
    QuickScenario {
        name: "slow-upstream",
        description: "one of three upstreams becomes ten times slower",
        faults: &[(0.3, Some(0), PlainFault::Slow)],
        ..QuickScenario::BASE
    },
    QuickScenario {
        name: "mixed-lengths",
        description: "generations run concurrently with the plain calls",
        generation_rate: 2.0,
        ..QuickScenario::BASE
    },
    QuickScenario {
        name: "overload",
        description: "twice the upstreams' capacity",
        load: 2.0,
        ..QuickScenario::BASE
    },
    QuickScenario {
        name: "overload-5x",
        description: "five times the upstreams' capacity",
        load: 5.0,
        ..QuickScenario::BASE
    },
    QuickScenario {
        name: "brownout",
        description: "all upstreams refuse calls for a fifth of the time",
        faults: &[
            (0.4, None, PlainFault::Refuse),
            (0.6, None, PlainFault::None),
        ],
        ..QuickScenario::BASE
    },
];
