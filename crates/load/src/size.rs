/// Sizes of a fleet: those of the two deployments of today, and a small one for quick runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Size {
    /// For tests.
    #[default]
    Small,
    /// Coverage maps: 18 engines.
    Cobalt,
    /// Print orders: 36 engines.
    Thistlegate,
}

/// Processes of a fleet, and what they are spread over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSize {
    /// Router processes.
    pub routers: usize,
    /// Engine processes.
    pub engines: usize,
    /// Processes of the plain service.
    pub plains: usize,
    /// Availability zones.
    pub zones: usize,
    /// Teams.
    pub teams: usize,
}

impl Size {
    /// Processes of this size.
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
            plains: 3,
            zones: 3,
            teams,
        }
    }
}
