//! State of a rollout on one VM.

use super::*;

/// Time without contact with the owner after which another VM takes over.
pub const OWNER_TIMEOUT: Duration = Duration::from_secs(2);

/// Additional delay per rank before a takeover, so that the VMs try one after another.
const RANK_DELAY: Duration = Duration::from_millis(400);

/// Highest rank with a delay of its own; VMs of higher ranks use the same delay.
const MAX_DELAYED_RANK: u32 = 5;

/// State of a rollout on one VM.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// The order that started the rollout.
    pub order: RolloutOrder,
    /// Time by which the new version takes over or is rolled back.
    pub deadline: Instant,
    /// Progress as decided by the owner.
    pub progress: RolloutProgress,
    /// Address of the owner, if there is one.
    pub owner: Option<SocketAddr>,
    /// Last contact of any VM with the owner; the start of the rollout before the first contact.
    pub owner_last_seen: Instant,
    /// Routes on which the new version still needs samples; empty if any route may be used.
    pub undersampled_routes: Vec<Arc<str>>,
    /// Canary requests granted to this VM.
    pub grants: ExposureGrants,
    /// Era of the store in which the order is missing, because the store has lost it.
    pub missing_in: Option<StoreEra>,
    /// Responses that this VM has observed, sorted by route.
    evidence: Vec<ObservedRoute>,
}

#[derive(Clone, Debug)]
struct ObservedRoute {
    counts: RouteEvidence,
    /// Whether the counts have changed since they were last reported.
    changed: bool,
}

impl Rollout {
    /// Creates the state of a new rollout whose deadline is in `left`.
    #[must_use]
    pub fn new(order: RolloutOrder, left: Duration, now: Instant) -> Self {
        Self {
            order,
            deadline: now.after(left),
            progress: RolloutProgress::UNOWNED,
            owner: None,
            owner_last_seen: now,
            undersampled_routes: Vec::new(),
            grants: ExposureGrants::default(),
            missing_in: None,
            evidence: Vec::new(),
        }
    }

    /// Merges the state that another VM has of the same order. Returns whether the progress, or the
    /// position of the order, has changed.
    pub fn merge(&mut self, notice: &RolloutNotice, now: Instant) -> bool {
        let is_later_era = notice.order.written > self.order.written;
        if is_later_era {
            // The store may have lost the end of the rollout with its copy.
            self.order.written = notice.order.written;
            self.progress.stored = false;
        }
        let progress = RolloutProgress {
            stored: notice.progress.stored && notice.order.written == self.order.written,
            ..notice.progress
        };
        let last_seen = now.before(Duration::from_millis(notice.owner_age_ms.into()));
        let same_owner = progress.term == self.progress.term;
        if notice.owner.is_some() && same_owner {
            self.owner_last_seen = self.owner_last_seen.max(last_seen);
        }
        self.deadline = self.deadline.min(now.after(notice.time_left()));
        if !progress.supersedes(&self.progress) {
            return is_later_era;
        }
        if progress.term > self.progress.term {
            self.owner_last_seen = last_seen;
            self.grants.attach(progress.term);
        }
        self.progress = progress;
        self.owner = notice.owner;
        true
    }

    /// Returns the state to advertise to other VMs.
    #[must_use]
    pub fn notice(&self, now: Instant) -> RolloutNotice {
        let ms = |duration: Duration| u32::try_from(duration.as_millis()).unwrap_or(u32::MAX);
        RolloutNotice {
            order: self.order.clone(),
            left_ms: ms(self.deadline.since(now)),
            progress: self.progress,
            owner: self.owner,
            owner_age_ms: ms(now.since(self.owner_last_seen)),
        }
    }

    /// Whether the VM of this rank should take over the rollout now.
    #[must_use]
    pub fn needs_owner(&self, rank: usize, now: Instant) -> bool {
        let rank = u32::try_from(rank)
            .unwrap_or(MAX_DELAYED_RANK)
            .min(MAX_DELAYED_RANK);
        let timeout = if self.progress.term == 0 {
            Duration::ZERO
        } else {
            OWNER_TIMEOUT
        };
        !self.progress.is_end_stored()
            && self.missing_in <= Some(self.order.written.era)
            && now.since(self.owner_last_seen) >= timeout + RANK_DELAY * rank
    }

    /// Counts a request, and returns a permit if the request should go to the new version.
    pub fn count_request(&mut self, route: &str, now: Instant) -> Option<ExposurePermit> {
        self.grants.count_request();
        let is_eligible_route = self.undersampled_routes.is_empty()
            || self.undersampled_routes.iter().any(|r| r.as_ref() == route);
        if self.progress.phase != RolloutPhase::Running || !is_eligible_route {
            return None;
        }
        self.grants.spend_grant(now)
    }

    /// Counts a response of an upstream. Returns whether it is a failure of the new version.
    pub fn count_response(
        &mut self,
        route: &Arc<str>,
        is_new: bool,
        outcome: ResponseOutcome,
    ) -> bool {
        let position = self
            .evidence
            .binary_search_by(|observed| observed.counts.route.cmp(route));
        let index = position.unwrap_or_else(|index| {
            let observed = ObservedRoute {
                counts: RouteEvidence::new(route.clone()),
                changed: true,
            };
            self.evidence.insert(index, observed);
            index
        });
        let observed = &mut self.evidence[index];
        observed.changed = true;
        if is_new {
            observed.counts.new.count(outcome);
        } else {
            observed.counts.old.count(outcome);
        }
        is_new && outcome == ResponseOutcome::Failure
    }

    /// Returns the counts that have not been reported yet, for at most `max_routes` routes.
    pub fn take_unreported(&mut self, max_routes: usize) -> Vec<RouteEvidence> {
        let changed = self.evidence.iter_mut().filter(|observed| observed.changed);
        let report = |observed: &mut ObservedRoute| {
            observed.changed = false;
            observed.counts.clone()
        };
        changed.take(max_routes).map(report).collect()
    }

    /// Marks all counts as unreported, for a new owner.
    pub fn mark_unreported(&mut self) {
        for observed in &mut self.evidence {
            observed.changed = true;
        }
    }
}

impl RolloutNotice {
    /// Time until the deadline.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        Duration::from_millis(self.left_ms.into())
    }
}
