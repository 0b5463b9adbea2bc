use super::*;

/// One experiment of plain calls under load, beside callers that go round robin to the upstreams.
#[derive(Clone, Debug)]
pub struct QuickScenario {
    /// Its name on the command line.
    pub name: &'static str,
    /// What it shows, in one line.
    pub about: &'static str,
    /// How long calls arrive.
    pub arrivals: Duration,
    /// Calls that arrive, as a share of what the upstreams can serve.
    pub load: f64,
    /// Part of the arrivals' time in which so many times as many calls arrive.
    pub burst: Option<(f64, f64, f64)>,
    /// Share of all calls that one team makes.
    pub hot_team: f64,
    /// Share of all calls that read one item.
    pub hot_key: f64,
    /// Share of all calls that write and may not be repeated.
    pub writes: f64,
    /// Generations a second for each engine beside.
    pub generations: f64,
    /// Faults of the plain upstreams, each at a share of the arrivals' time: of one, or of all.
    pub faults: &'static [(f64, Option<usize>, PlainFault)],
}

impl QuickScenario {
    /// A scenario at half load, to be filled in by update syntax.
    pub(crate) const BASE: Self = Self {
        name: "",
        about: "",
        arrivals: Duration::from_secs(5),
        load: 0.5,
        burst: None,
        hot_team: 0.0,
        hot_key: 0.0,
        writes: 0.1,
        generations: 0.0,
        faults: &[],
    };

    /// The scenario of that name, if there is one.
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
        about: "plain calls at half load",
        ..QuickScenario::BASE
    },
    QuickScenario {
        name: "burst",
        about: "three times what the upstreams serve, for a fifth of the time",
        burst: Some((0.4, 0.6, 6.0)),
        ..QuickScenario::BASE
    },
    QuickScenario {
        name: "hot-team",
        about: "one team makes three quarters of all calls, above what the upstreams serve",
        load: 1.5,
        hot_team: 0.75,
        ..QuickScenario::BASE
    },
    QuickScenario {
        name: "hot-key",
        about: "seven of ten calls read one item",
        load: 1.5,
        hot_key: 0.7,
        ..QuickScenario::BASE
    },
    QuickScenario {
        name: "slow-upstream",
        about: "one of three upstreams becomes ten times slower",
        faults: &[(0.3, Some(0), PlainFault::Slow)],
        ..QuickScenario::BASE
    },
    QuickScenario {
        name: "mixed-lengths",
        about: "generations run beside the plain calls",
        generations: 2.0,
        ..QuickScenario::BASE
    },
    QuickScenario {
        name: "overload",
        about: "twice what the upstreams serve",
        load: 2.0,
        ..QuickScenario::BASE
    },
    QuickScenario {
        name: "overload-5x",
        about: "five times what the upstreams serve",
        load: 5.0,
        ..QuickScenario::BASE
    },
    QuickScenario {
        name: "brownout",
        about: "all upstreams refuse for a fifth of the time",
        faults: &[
            (0.4, None, PlainFault::Refuse),
            (0.6, None, PlainFault::None),
        ],
        ..QuickScenario::BASE
    },
];
