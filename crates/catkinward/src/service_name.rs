use super::*;

/// Names of the services in the [`ServiceRegistry`].
#[derive(
    Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, EnumString, IntoStaticStr, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ServiceName {
    /// Request queues and concurrency slots of all services.
    Admission,
    /// The bundle in force.
    Bundle,
    /// Detection and fetching of new releases of the bundle.
    BundleWatch,
    /// Claims of idempotency keys.
    Claims,
    /// Memory for the requests of callers.
    CallerMemory,
    /// State of the graceful shutdown.
    Drain,
    /// Generations in progress.
    Generations,
    /// HTTP clients for calls to other processes.
    Connections,
    /// Recorded events of this process.
    Timeline,
    /// The platform's table service, object store and VM list.
    Platform,
    /// Links to the other VMs.
    Peers,
    /// Leases that this VM competes for.
    Leases,
    /// Orders to engines to load models.
    Orders,
    /// This VM's slices of the rate limits of teams.
    TeamLimits,
    /// Monotonic time and periodic ticks.
    Timer,
    /// Upstreams and their observed state.
    Upstreams,
}
