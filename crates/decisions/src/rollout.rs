//! A rollout as one VM knows it.

use super::*;

/// Time without a word of the owner after which another VM takes over.
pub const OWNER_TIMEOUT: Duration = Duration::from_secs(2);

/// Wait of each rank before it takes over, so that one VM after the other tries.
const RANK_WAIT: Duration = Duration::from_millis(400);

/// Ranks that wait; the others try together with the last of these.
const RANKS: u32 = 5;

/// A rollout as one VM knows it.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// The order.
    pub order: RolloutOrder,
    /// Its deadline.
    pub deadline: Instant,
    /// How far it is.
    pub progress: RolloutProgress,
    /// Address of the owner.
    pub owner: Option<SocketAddr>,
    /// When the owner was last heard, by whomever; the begin of the rollout before that.
    pub owner_heard: Instant,
    /// Routes on which the new version has to be tried first.
    pub wanted: Vec<Arc<str>>,
    /// This VM's part of the exposures.
    pub grants: ExposureGrants,
    /// What this VM has seen, sorted by route.
    evidence: Vec<SeenRoute>,
}

#[derive(Clone, Debug)]
struct SeenRoute {
    counts: RouteEvidence,
    /// Whether it has changed since it was reported.
    changed: bool,
}

impl Rollout {
    /// A rollout that has just become known.
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

    /// Takes in what another VM knows of the same order; whether the progress is new.
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

    /// What other VMs are told.
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

    /// Whether it is time for the VM of a rank to take the rollout over.
    #[must_use]
    pub fn needs_owner(&self, rank: usize, now: Instant) -> bool {
        let rank = u32::try_from(rank).unwrap_or(RANKS).min(RANKS);
        let silence = if self.progress.term == 0 {
            Duration::ZERO
        } else {
            OWNER_TIMEOUT
        };
        !self.progress.is_settled() && now.since(self.owner_heard) >= silence + RANK_WAIT * rank
    }

    /// Counts a request; leave for it to go to the new version, if it is one that should.
    pub fn request(&mut self, route: &str, now: Instant) -> Option<ExposurePermit> {
        self.grants.count_request();
        let wanted = self.wanted.is_empty() || self.wanted.iter().any(|w| w.as_ref() == route);
        if self.progress.phase != RolloutPhase::Running || !wanted {
            return None;
        }
        self.grants.expose(now)
    }

    /// Counts an answer of an upstream; whether it is a failure of the new version.
    pub fn answered(&mut self, route: &Arc<str>, is_new: bool, outcome: ResponseOutcome) -> bool {
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
        is_new && outcome == ResponseOutcome::Failure
    }

    /// At most so many routes with counts that were not reported yet.
    pub fn to_report(&mut self, most: usize) -> Vec<RouteEvidence> {
        let changed = self.evidence.iter_mut().filter(|seen| seen.changed);
        let report = |seen: &mut SeenRoute| {
            seen.changed = false;
            seen.counts.clone()
        };
        changed.take(most).map(report).collect()
    }

    /// Has all counts reported once more, as to a new owner.
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
