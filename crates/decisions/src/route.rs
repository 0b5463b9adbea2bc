use super::*;

/// A route: which calls it takes and how they are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// Host that a call must name.
    pub host: Arc<str>,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: CallKind,
    /// Longest time that a caller is kept waiting for the whole answer.
    pub timeout: Duration,
    /// Time within which the answer, or a stream's first event, is of full use.
    pub target_latency: Duration,
    /// Longest pause between events that is still of full use, for streams.
    pub target_pause: Option<Duration>,
    /// Rank among calls; 0 is the highest.
    pub priority: u8,
    /// Services with the weight of each, never empty.
    pub targets: Vec<RouteTarget>,
    /// Upstreams on which one call may run at most.
    pub max_upstreams: u32,
    /// Whether callers need no key.
    pub public: bool,
}

/// One of the services of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the targets.
    pub weight: u32,
}

impl Route {
    /// The service for a call. `draw` is spread evenly over all numbers; the same draw gives the
    /// same service.
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
        let mut left = draw % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(&target.service);
            }
            left -= weight;
        }
        None
    }
}
