//! Whether this VM accepts new callers, and the reason if it does not.

use super::*;

/// How long a service that has lost its last upstream counts as unreachable. In a partitioned
/// availability zone, the entries of upstreams outside expire after a few seconds. Taking them for
/// removed made the VM ready again during the partition, and callers that came back from a working
/// zone got `no_upstream`. Bounded so that taking a service out of operation does not leave all VMs
/// without callers.
const LOST_SERVICE_RETENTION: Duration = Duration::from_secs(10);

/// Readiness of this VM for new callers.
#[derive(Clone, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Readiness {
    /// New callers are accepted.
    Ready,
    /// No configuration, or no table of upstreams, has been read yet.
    NothingKnown,
    /// No upstream of a service responds.
    OutOfReach {
        /// The service whose upstreams are unreachable.
        service: ServiceId,
        /// Number of its upstreams with an entry, all suspect; 0 if the last entry has expired.
        upstreams: usize,
    },
    /// A shutdown has begun.
    ShuttingDown,
}

/// Services that had upstreams at a recent readiness check.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentServices {
    /// Sorted by service, with the time at which it last had an upstream.
    last_seen: Vec<(ServiceId, Instant)>,
}

impl RecentServices {
    /// Records that a service has upstreams.
    pub(crate) fn record_upstreams(&mut self, service: &ServiceId, now: Instant) {
        match self.position(service) {
            Ok(index) => self.last_seen[index].1 = now,
            Err(index) => self.last_seen.insert(index, (service.clone(), now)),
        }
    }

    /// Whether a service without upstreams had some within [`LOST_SERVICE_RETENTION`].
    pub(crate) fn had_recent_upstreams(&self, service: &ServiceId, now: Instant) -> bool {
        let last_seen = self.position(service).map(|index| self.last_seen[index].1);
        last_seen.is_ok_and(|at| now.since(at) < LOST_SERVICE_RETENTION)
    }

    fn position(&self, service: &ServiceId) -> Result<usize, usize> {
        self.last_seen
            .binary_search_by(|(other, _)| other.cmp(service))
    }
}

impl GatewayState {
    /// A service without a usable upstream for this VM, with the number of its upstreams.
    fn unreachable_service(&mut self, now: Instant) -> Option<(ServiceId, usize)> {
        let config = self.config.get().cloned()?;
        let mut names = config.services.iter().map(|service| &service.name);
        names.find_map(|service| {
            let usable = || self.directory.usable(service, now);
            if usable().next().is_none() {
                let lost = self.recent_services.had_recent_upstreams(service, now);
                return lost.then(|| (service.clone(), 0));
            }
            let all_suspect = usable().all(|entry| self.is_suspect(&entry.id));
            let count = if all_suspect { usable().count() } else { 0 };
            self.recent_services.record_upstreams(service, now);
            all_suspect.then(|| (service.clone(), count))
        })
    }
}

impl Gateway {
    /// Whether new callers are accepted: a configuration and upstreams are known, no shutdown has
    /// begun, and no service is unreachable. In a partitioned availability zone without an upstream
    /// of a service, callers of that service would wait in vain; the platform sends them to another
    /// zone. Suspect upstreams are probed all the time, so the VM becomes ready again without a
    /// call.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let readiness = self.readiness();
        let mut before = self.readiness.lock();
        if *before != readiness {
            log_readiness(&before, &readiness);
            *before = readiness.clone();
        }
        readiness == Readiness::Ready
    }

    fn readiness(&self) -> Readiness {
        if self.drain.has_begun() {
            return Readiness::ShuttingDown;
        }
        let now = self.timer.now();
        let mut state = self.state.lock();
        if !state.is_complete() {
            return Readiness::NothingKnown;
        }
        match state.unreachable_service(now) {
            Some((service, upstreams)) => Readiness::OutOfReach { service, upstreams },
            None => Readiness::Ready,
        }
    }
}

fn log_readiness(before: &Readiness, now: &Readiness) {
    let (name, before): (&str, &str) = (now.into(), before.into());
    if let Readiness::OutOfReach { service, upstreams } = now {
        tracing::warn!(readiness = name, before, %service, upstreams, "readiness changed");
    } else {
        tracing::info!(readiness = name, before, "readiness changed");
    }
}
