//! Decides which versions of a service's upstreams one VM may send requests to.
//!
//! A version under canary receives requests only by grants of the rollout's owner, and a version
//! that was rolled back receives none until a new order names it. A version without an order counts
//! as in use by the service, as after a release. Its order may still be on the way, however, so the
//! version is held back for [`ORDER_TIMEOUT`].

use super::*;
use std::collections::VecDeque;

/// How long a new version is held back, so that an order for it can arrive first.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// One in this many upstreams of a new version receives canary requests, so that each of them gets
/// a typical load.
const UPSTREAMS_PER_CANARY: usize = 10;

/// Maximum number of orders that are remembered after they were withdrawn or replaced. Only those of the
/// last seconds can be in an older copy of the store.
const MAX_PAST_ORDERS: usize = 64;

/// Settings of rollouts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Limit on the requests that a version under canary receives.
    pub limit: ExposureLimit,
}

/// Which requests an upstream may receive.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionAdmission {
    /// All requests.
    Open,
    /// Only requests with a permit for the canary.
    Canary,
    /// Only requests that no other upstream accepts, since this upstream stops when the rollout
    /// ends.
    Retired,
    /// No requests.
    Blocked,
}

/// Rollouts tracked by one VM, and the versions that it has seen.
#[derive(Clone, Debug, Default)]
pub struct Rollouts {
    settings: Option<RolloutSettings>,
    /// Current rollouts, sorted by service.
    tracked: Vec<Rollout>,
    /// Versions sorted by service and version, with the time from which each may receive requests.
    versions: Vec<(ServiceId, SoftwareVersion, Instant)>,
    /// Versions that were rolled back, sorted.
    rolled_back: Vec<(ServiceId, SoftwareVersion)>,
    /// Services whose order was withdrawn, sorted by service.
    withdrawn: Vec<Withdrawal>,
    /// Orders that were withdrawn or replaced, oldest first. The store restores them if it returns from an
    /// older copy.
    past: VecDeque<RolloutOrder>,
}

#[derive(Clone, Debug)]
struct Withdrawal {
    service: ServiceId,
    /// Position of the store as of which the order was gone.
    at: StorePosition,
    /// The rollout of the order, if it was known here.
    rollout: Option<Rollout>,
}

impl Rollouts {
    /// Creates an empty set of rollouts; without settings, no rollout is accepted.
    #[must_use]
    pub fn new(settings: Option<RolloutSettings>) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Settings of rollouts; `None` if rollouts are disabled.
    #[must_use]
    pub fn settings(&self) -> Option<RolloutSettings> {
        self.settings
    }

    /// Records the version of an upstream. `at_start` is set when the upstreams are read for the
    /// first time: all of their versions then count as in use, except those that an order names.
    pub fn observe_version(&mut self, entry: &UpstreamEntry, at_start: bool, now: Instant) {
        let (Some(_), Some(version)) = (self.settings, &entry.version) else {
            return;
        };
        let key = (&entry.service, version);
        if let Err(index) = self.versions.binary_search_by(|(s, v, _)| (s, v).cmp(&key)) {
            let is_first = !self.versions.iter().any(|(s, _, _)| *s == entry.service);
            let admitted_from = if at_start || is_first {
                now
            } else {
                now.after(ORDER_TIMEOUT)
            };
            let observed = (entry.service.clone(), version.clone(), admitted_from);
            self.versions.insert(index, observed);
        }
    }

    /// Merges the state of a rollout, from the operator's table or from another VM. Returns whether
    /// it changed anything.
    pub fn merge(&mut self, notice: &RolloutNotice, now: Instant) -> bool {
        if self.settings.is_none() {
            return false;
        }
        let (service, written) = (&notice.order.service, notice.order.written);
        if self.is_withdrawn(service, written) {
            return false;
        }
        let position = self.position(service);
        let index = match position {
            Ok(index) if self.tracked[index].order.is_same(&notice.order) => {
                let before = self.tracked[index].order.clone();
                let changed = self.tracked[index].merge(notice, now);
                if before.written.version != self.tracked[index].order.written.version {
                    self.remember(before);
                }
                self.record_end(index);
                return changed;
            }
            _ if self.is_restored(&notice.order) => return false,
            Ok(index) if self.tracked[index].order.written > written => return false,
            Ok(index) => {
                // The new order replaces the previous one. The version of the previous order
                // receives no more requests unless it had taken over.
                let previous = self.tracked.remove(index);
                if previous.progress.phase != RolloutPhase::Completed {
                    self.exclude(&previous.order);
                }
                self.remember(previous.order);
                index
            }
            Err(index) => index,
        };
        let mut rollout = Rollout::new(notice.order.clone(), notice.time_left(), now);
        rollout.merge(notice, now);
        self.tracked.insert(index, rollout);
        self.record_end(index);
        true
    }

    /// Records that the order of a service was withdrawn at this position of the store. Returns its
    /// rollout if the end is not stored yet in this era of the store.
    pub fn withdraw(&mut self, service: &ServiceId, at: StorePosition) -> Option<Rollout> {
        let withdrawal = self.withdrawal_mut(service);
        let is_later_era = at.era > withdrawal.at.era;
        withdrawal.at = withdrawal.at.max(at);
        let Ok(index) = self.position(service) else {
            let withdrawn = self.withdrawal_mut(service).rollout.as_mut();
            // The store may have lost the end with the first withdrawal.
            return withdrawn.filter(|_| is_later_era).map(|rollout| {
                rollout.order.written.era = at.era;
                rollout.progress.stored = false;
                rollout.clone()
            });
        };
        if self.tracked[index].order.written > at {
            return None;
        }
        let mut rollout = self.tracked.remove(index);
        self.remember(rollout.order.clone());
        let is_end_stored = rollout.progress.is_end_stored();
        if rollout.progress.phase != RolloutPhase::Completed {
            self.exclude(&rollout.order);
        }
        let withdrawn = rollout.clone();
        if !rollout.progress.phase.is_final() {
            rollout.progress.phase = RolloutPhase::RolledBack;
        }
        self.withdrawal_mut(service).rollout = Some(rollout);
        (!is_end_stored).then_some(withdrawn)
    }

    /// Records that the store held no order of a service at this position. After a return of the store from
    /// an older copy, the operator writes an order again that the store has lost, so it is withdrawn only if
    /// it was read in the same era.
    pub fn withdraw_missing(&mut self, service: &ServiceId, at: StorePosition) -> Option<Rollout> {
        let index = self.position(service).ok()?;
        if self.tracked[index].order.written.era != at.era {
            return None;
        }
        self.withdraw(service, at)
    }

    /// Whether an order was withdrawn or replaced before the store restored it from an older copy.
    #[must_use]
    pub fn is_restored(&self, order: &RolloutOrder) -> bool {
        self.past.iter().any(|past| order.is_restored(past))
    }

    /// Returns the rollout of a service.
    pub fn get_mut(&mut self, service: &ServiceId) -> Option<&mut Rollout> {
        let index = self.position(service).ok()?;
        Some(&mut self.tracked[index])
    }

    /// Iterates over all rollouts.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Rollout> {
        self.tracked.iter_mut()
    }

    /// Returns the states to advertise to other VMs.
    #[must_use]
    pub fn notices(&self, now: Instant) -> Vec<RolloutNotice> {
        self.tracked.iter().map(|r| r.notice(now)).collect()
    }

    /// Whether all upstreams of a service may receive all requests.
    #[must_use]
    pub fn admits_all(&self, service: &ServiceId, now: Instant) -> bool {
        self.position(service).is_err()
            && !self.rolled_back.iter().any(|(s, _)| s == service)
            && !self
                .versions
                .iter()
                .any(|(s, _, admitted_from)| s == service && now < *admitted_from)
    }

    /// Which requests an upstream may receive. One whose version is not known may have any.
    #[must_use]
    pub fn admission(&self, entry: &UpstreamEntry, now: Instant) -> VersionAdmission {
        if self.settings.is_none() {
            return VersionAdmission::Open;
        }
        let Some(version) = &entry.version else {
            return if self.admits_all(&entry.service, now) {
                VersionAdmission::Open
            } else {
                VersionAdmission::Blocked
            };
        };
        let rollout = self.position(&entry.service).ok();
        if let Some(Rollout {
            order, progress, ..
        }) = rollout.map(|index| &self.tracked[index])
        {
            let is_new = order.to == *version;
            match progress.phase {
                RolloutPhase::Completed if is_new => return VersionAdmission::Open,
                RolloutPhase::Completed => return VersionAdmission::Retired,
                RolloutPhase::RolledBack if is_new => return VersionAdmission::Blocked,
                _ if is_new => return VersionAdmission::Canary,
                _ => {}
            }
        }
        if self.is_rolled_back(&entry.service, version) || self.is_held_back(entry, version, now) {
            return VersionAdmission::Blocked;
        }
        VersionAdmission::Open
    }

    /// Selects the upstreams of a new version that receive canary requests, out of those that
    /// accept calls. The selection is the same on all VMs.
    #[must_use]
    pub fn canary_upstreams<'a>(
        order: &RolloutOrder,
        mut upstreams: Vec<&'a Arc<UpstreamEntry>>,
    ) -> Vec<&'a Arc<UpstreamEntry>> {
        let count = upstreams.len().div_ceil(UPSTREAMS_PER_CANARY);
        let key = format!("{} {}", order.service, order.to);
        upstreams = rendezvous_rank(&key, upstreams, |entry| entry.id.as_str().to_owned());
        upstreams.truncate(count);
        upstreams
    }

    fn is_held_back(&self, entry: &UpstreamEntry, version: &SoftwareVersion, now: Instant) -> bool {
        let key = (&entry.service, version);
        let position = self.versions.binary_search_by(|(s, v, _)| (s, v).cmp(&key));
        position.is_ok_and(|index| now < self.versions[index].2)
    }

    fn is_rolled_back(&self, service: &ServiceId, version: &SoftwareVersion) -> bool {
        let key = (service, version);
        let position = self.rolled_back.binary_search_by(|(s, v)| (s, v).cmp(&key));
        position.is_ok()
    }

    fn is_withdrawn(&self, service: &ServiceId, written: StorePosition) -> bool {
        let position = self
            .withdrawn
            .binary_search_by(|withdrawal| withdrawal.service.cmp(service));
        position.is_ok_and(|index| self.withdrawn[index].at > written)
    }

    fn withdrawal_mut(&mut self, service: &ServiceId) -> &mut Withdrawal {
        let position = self
            .withdrawn
            .binary_search_by(|withdrawal| withdrawal.service.cmp(service));
        let index = position.unwrap_or_else(|index| {
            let withdrawal = Withdrawal {
                service: service.clone(),
                at: StorePosition::default(),
                rollout: None,
            };
            self.withdrawn.insert(index, withdrawal);
            index
        });
        &mut self.withdrawn[index]
    }

    fn remember(&mut self, order: RolloutOrder) {
        if self.past.len() == MAX_PAST_ORDERS {
            self.past.pop_front();
        }
        self.past.push_back(order);
    }

    /// Records how a rollout has ended: a version that was rolled back stays excluded until a new
    /// order names it, and a version that has taken over is in use.
    fn record_end(&mut self, index: usize) {
        let Rollout {
            order, progress, ..
        } = &self.tracked[index];
        let (order, phase) = (order.clone(), progress.phase);
        match phase {
            RolloutPhase::RolledBack => self.exclude(&order),
            RolloutPhase::Completed => self
                .rolled_back
                .retain(|(s, v)| (s, v) != (&order.service, &order.to)),
            RolloutPhase::Running | RolloutPhase::Completing => {}
        }
    }

    fn exclude(&mut self, order: &RolloutOrder) {
        let key = (&order.service, &order.to);
        let position = self.rolled_back.binary_search_by(|(s, v)| (s, v).cmp(&key));
        if let Err(index) = position {
            let excluded = (order.service.clone(), order.to.clone());
            self.rolled_back.insert(index, excluded);
        }
    }

    fn position(&self, service: &ServiceId) -> Result<usize, usize> {
        self.tracked
            .binary_search_by(|rollout| rollout.order.service.cmp(service))
    }
}
