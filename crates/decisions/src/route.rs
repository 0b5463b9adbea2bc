use super::*;

/// A route, which selects calls by host and path prefix and determines how they are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route in the configuration.
    pub name: Arc<str>,
    /// Host name that a call must have.
    pub host: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Kind of the calls, which determines whether they may be retried.
    pub kind: CallKind,
    /// Maximum time that a caller waits for the complete response.
    pub timeout: Duration,
    /// Target latency of the response, or of a stream's first event.
    pub target_latency: Duration,
    /// Target for the time between two events of a stream; `None` for other calls.
    pub target_event_gap: Option<Duration>,
    /// Priority of the calls; 0 is the highest.
    pub priority: u8,
    /// Services that share the calls by weight; never empty.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of upstreams that one call may run on.
    pub max_upstreams: u32,
    /// Whether callers may call without a key.
    pub public: bool,
}

/// A service of a route, with its share of the calls.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: ServiceId,
    /// Weight relative to the route's other targets.
    pub weight: u32,
}

impl Route {
    /// Selects the service for a call. `draw` is uniformly distributed; the same draw always selects
    /// the same service.
    #[must_use]
    pub fn service_for(&self, draw: u64) -> Option<&ServiceId> {
        let total = self
            .targets
            .iter()
            .map(|t| u64::from(t.weight))
            .sum::<u64>();
        if total == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut remaining = draw % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if remaining < weight {
                return Some(&target.service);
            }
            remaining -= weight;
        }
        None
    }
}
