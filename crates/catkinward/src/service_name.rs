use super::*;

/// Names by which the services of a process find each other.
#[derive(
    Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, EnumString, IntoStaticStr, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ServiceName {
    /// Queues and places of all services.
    Admission,
    /// The bundle in force.
    Bundle,
    /// Word of releases.
    BundleWatch,
    /// Claims of idempotency keys.
    Claims,
    /// The state of a graceful shutdown.
    Drain,
    /// Generations under way.
    Generations,
    /// Connections to other processes.
    Connections,
    /// Events of this process.
    Timeline,
    /// The platform's table service, object store and VM list.
    Platform,
    /// The other VMs.
    Peers,
    /// Slices of the teams' limits.
    TeamLimits,
    /// Ticks for parts that do something now and then.
    Timer,
    /// Upstreams and what is known of them.
    Upstreams,
}
