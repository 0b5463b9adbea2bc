/// Fleet sizes: those of the two existing deployments, and a small one for quick runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Size {
    /// Small fleet for tests: 6 engines.
    #[default]
    Small,
    /// The deployment that renders coverage maps: 18 engines.
    Cobalt,
    /// The deployment for print orders: 36 engines.
    Thistlegate,
}

/// Numbers of processes, zones and teams of a fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSize {
    /// Number of router processes.
    pub routers: usize,
    /// Number of engine processes.
    pub engines: usize,
    /// Number of processes of the plain service.
    pub plain_upstreams: usize,
    /// Number of availability zones over which the processes are spread.
    pub zones: usize,
    /// Number of teams that make calls.
    pub teams: usize,
}

impl Size {
    /// Returns the numbers of processes, zones and teams of this size.
    #[must_use]
    pub fn fleet(self) -> FleetSize {
        let (routers, engines, teams) = match self {
            Self::Small => (3, 6, 4),
            Self::Cobalt => (8, 18, 10),
            Self::Thistlegate => (8, 36, 10),
        };
        FleetSize {
            routers,
            engines,
            plain_upstreams: 3,
            zones: 3,
            teams,
        }
    }
}
