//! Whether new callers may come to this VM, and why not.

use super::*;

/// How long a service that has lost its last upstream counts as out of reach.
///
/// In an availability zone that is cut off, the entries of upstreams beyond the cut lapse a few seconds into it.
/// Taken for a service that nobody runs, it made the VM ready again in the middle of the cut, and callers came
/// back from the zone that serves them: `no_upstream` under each of their calls. Bounded, because a service that
/// is taken out of operation must not leave all VMs without callers.
const OUT_OF_REACH_FOR: Duration = Duration::from_secs(10);

/// How this VM stands to new callers.
#[derive(Clone, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Readiness {
    /// They may come.
    Ready,
    /// No configuration, or no table of upstreams, has been read yet.
    NothingKnown,
    /// None of the upstreams of a service answers.
    OutOfReach {
        /// The service.
        service: ServiceId,
        /// Its upstreams by their entries, all suspect; none where the last entry has lapsed.
        upstreams: usize,
    },
    /// A shutdown has begun.
    ShuttingDown,
}

/// Services that had upstreams when they were last looked at.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServicesSeen {
    /// Sorted by service, with the time at which it last had one.
    seen: Vec<(ServiceId, Instant)>,
}

impl ServicesSeen {
    /// Notes that a service has upstreams.
    pub(crate) fn has_some(&mut self, service: &ServiceId, now: Instant) {
        match self.position(service) {
            Ok(index) => self.seen[index].1 = now,
            Err(index) => self.seen.insert(index, (service.clone(), now)),
        }
    }

    /// Whether a service without upstreams had some a short while ago.
    pub(crate) fn had_some(&self, service: &ServiceId, now: Instant) -> bool {
        let seen = self.position(service).map(|index| self.seen[index].1);
        seen.is_ok_and(|at| now.since(at) < OUT_OF_REACH_FOR)
    }

    fn position(&self, service: &ServiceId) -> Result<usize, usize> {
        self.seen.binary_search_by(|(other, _)| other.cmp(service))
    }
}

impl GatewayState {
    /// A service that none of its upstreams serves this VM, with their number.
    fn out_of_reach(&mut self, now: Instant) -> Option<(ServiceId, usize)> {
        let config = self.config.get().cloned()?;
        let mut names = config.services.iter().map(|service| &service.name);
        names.find_map(|service| {
            let usable = self.directory.usable(service, now);
            let entries = usable.cloned().collect::<Vec<_>>();
            if entries.is_empty() {
                let lost = self.services_seen.had_some(service, now);
                return lost.then(|| (service.clone(), 0));
            }
            self.services_seen.has_some(service, now);
            let all_suspect = entries
                .iter()
                .all(|entry| self.upstream(entry, now).health.is_suspect());
            all_suspect.then(|| (service.clone(), entries.len()))
        })
    }
}

impl Gateway {
    /// Whether new callers may come: everything needed is known, no shutdown has begun, and no service
    /// is out of reach. In an availability zone that is cut off and has no upstream of a service left,
    /// callers of that service would wait for nothing; the platform sends them to another zone instead.
    /// Suspects are asked all the while, so the way back needs no call.
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
        match state.out_of_reach(now) {
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
