//! State of a rollout on one VM.

use super::*;

/// Time without contact with the owner after which another VM takes over.
pub const OWNER_LOST: Duration = Duration::from_secs(2);

/// Additional delay per rank before a takeover, so that the VMs try one after another.
const RANK_WAIT: Duration = Duration::from_millis(400);

/// Highest rank with a delay of its own; VMs of higher ranks use the same delay.
const RANKS: u32 = 5;

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
    pub owner_heard: Instant,
    /// Routes on which the new version still needs samples; empty if any route may be used.
    pub wanted: Vec<Arc<str>>,
    /// Canary requests granted to this VM.
    pub grants: ExposureGrants,
    /// Responses that this VM has observed, sorted by route.
    evidence: Vec<SeenRoute>,
}

#[derive(Clone, Debug)]
struct SeenRoute {
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
            owner_heard: now,
            wanted: Vec::new(),
            grants: ExposureGrants::default(),
            evidence: Vec::new(),
        }
    }

    /// Merges the state that another VM has of the same order. Returns whether the progress has
    /// changed.
    pub fn take(&mut self, notice: &RolloutNotice, now: Instant) -> bool {
        let heard = now.before(Duration::from_millis(notice.owner_age_ms.into()));
        let same_owner = notice.progress.term == self.progress.term;
        if notice.owner.is_some() && same_owner {
            self.owner_heard = self.owner_heard.max(heard);
        }
        self.deadline = self.deadline.min(now.after(notice.left()));
        if !notice.progress.supersedes(&self.progress) {
            return false;
        }
        if notice.progress.term > self.progress.term {
            self.owner_heard = heard;
            self.grants.attach(notice.progress.term);
        }
        self.progress = notice.progress;
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
            owner_age_ms: ms(now.since(self.owner_heard)),
        }
    }

    /// Whether the VM of this rank should take over the rollout now.
    #[must_use]
    pub fn needs_owner(&self, rank: usize, now: Instant) -> bool {
        let rank = u32::try_from(rank).unwrap_or(RANKS).min(RANKS);
        let silence = if self.progress.term == 0 {
            Duration::ZERO
        } else {
            OWNER_LOST
        };
        !self.progress.is_settled() && now.since(self.owner_heard) >= silence + RANK_WAIT * rank
    }

    /// Counts a request, and returns a permit if the request should go to the new version.
    pub fn request(&mut self, route: &str, now: Instant) -> Option<Exposed> {
        self.grants.count_request();
        let wanted = self.wanted.is_empty() || self.wanted.iter().any(|w| w.as_ref() == route);
        if self.progress.phase != RolloutPhase::Running || !wanted {
            return None;
        }
        self.grants.expose(now)
    }

    /// Counts a response of an upstream. Returns whether it is a failure of the new version.
    pub fn answered(&mut self, route: &Arc<str>, is_new: bool, outcome: AnswerOutcome) -> bool {
        let place = self
            .evidence
            .binary_search_by(|seen| seen.counts.route.cmp(route));
        let index = place.unwrap_or_else(|index| {
            let seen = SeenRoute {
                counts: RouteEvidence::new(route.clone()),
                changed: true,
            };
            self.evidence.insert(index, seen);
            index
        });
        let seen = &mut self.evidence[index];
        seen.changed = true;
        if is_new {
            seen.counts.new.count(outcome);
        } else {
            seen.counts.old.count(outcome);
        }
        is_new && outcome == AnswerOutcome::Failure
    }

    /// Returns the counts that have not been reported yet, for at most `most` routes.
    pub fn to_report(&mut self, most: usize) -> Vec<RouteEvidence> {
        let changed = self.evidence.iter_mut().filter(|seen| seen.changed);
        let report = |seen: &mut SeenRoute| {
            seen.changed = false;
            seen.counts.clone()
        };
        changed.take(most).map(report).collect()
    }

    /// Marks all counts as unreported, for a new owner.
    pub fn report_anew(&mut self) {
        for seen in &mut self.evidence {
            seen.changed = true;
        }
    }
}

impl RolloutNotice {
    /// Time until the deadline.
    #[must_use]
    pub fn left(&self) -> Duration {
        Duration::from_millis(self.left_ms.into())
    }
}
