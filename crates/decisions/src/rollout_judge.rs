//! Judges a version under trial by its answers, beside those of the versions in use at the same time.
//!
//! An answer is bad if it is a failure of the upstream's own, or comes several times later than the median of the
//! old versions on its route. Some answers of the old versions are bad too; only a part that is larger by
//! [`EXCESS`] tells against the new one. A cumulative sum over the answers finds a version that turns bad late as
//! fast as one that is bad at once. Broken connections are not counted: engines of either version crash.
//!
//! A VM that stands still for a moment answers late for both versions. So the answers of a report are held against
//! those of the old versions in the same report, if these are worse than usual.

use super::*;

/// Part of bad answers beyond that of the old versions, from which on a version is bad.
const EXCESS: f64 = 0.2;

/// Half octaves above the median from which on an answer is slow: 2.8 to 4 times as late.
const SLOW_BUCKETS: u8 = 3;

/// Latency up to which no answer is slow, whatever the median.
const NEVER_SLOW: Duration = Duration::from_millis(20);

/// Answers of the old versions in one report from which on they tell how the VM and its links do at the moment.
const MOMENT: u32 = 4;

/// Answers of the old versions on a route from which on those of the new one are judged.
const BASELINE: u32 = 20;

/// Answers of the new version on each route before it can be good.
pub const MIN_ROUTE_SAMPLES: u32 = 20;

/// Sum of log-likelihood ratios at which a version is bad.
const ALARM: f64 = 7.0;

/// Sum up to which a version can be good.
const ACCEPTED: f64 = 3.5;

/// Least part of bad answers that is assumed of the old versions.
const LEAST_BAD: f64 = 0.02;

/// Most that is assumed.
const MOST_BAD: f64 = 0.7;

/// What is thought of a version under trial.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutVerdict {
    /// There is too little evidence.
    Undecided,
    /// It answers as the old versions do, on every route.
    Good,
    /// It answers worse on a route; `None` if only over all routes.
    Bad {
        /// The route.
        route: Option<Arc<str>>,
        /// Its answers there.
        answers: u32,
        /// The bad ones among them.
        bad: u32,
    },
}

/// What a report adds to the evidence on a route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JudgedReport {
    /// Answers of the old versions in the report.
    pub old: u32,
    /// The bad ones among them.
    pub old_bad: u32,
    /// Answers of the new version that were judged with it.
    pub new: u32,
    /// The bad ones among them.
    pub new_bad: u32,
    /// Part of bad answers that was expected of a good version.
    pub usual: f64,
    /// Latency bucket above which an answer is slow.
    pub slowest: u8,
    /// Cumulative sum against the new version on the route.
    pub sum: f64,
}

/// The evidence of all VMs.
#[derive(Clone, Debug, Default)]
pub struct RolloutJudge {
    /// Latest report of each VM on each route, sorted.
    reports: Vec<((VmIncarnation, Arc<str>), RouteEvidence)>,
    /// Sorted by route.
    routes: Vec<JudgedRoute>,
    all: Suspected,
}

#[derive(Clone, Debug)]
struct JudgedRoute {
    sum: RouteEvidence,
    /// The answers of the new version that were judged.
    judged: ResponseCounts,
    suspected: Suspected,
}

/// Cumulative sum of the evidence against a version.
#[derive(Clone, Copy, Debug, Default)]
struct Suspected {
    sum: f64,
    answers: u32,
    bad: u32,
}

impl RolloutJudge {
    /// Takes in a VM's counts of a route; returns what was judged, once the old versions have given enough answers.
    pub fn take(&mut self, vm: &VmIncarnation, evidence: &RouteEvidence) -> Option<JudgedReport> {
        let key = (vm.clone(), evidence.route.clone());
        let place = self.reports.binary_search_by(|(other, _)| other.cmp(&key));
        let index = place.unwrap_or_else(|index| {
            let nothing = RouteEvidence::new(evidence.route.clone());
            self.reports.insert(index, (key, nothing));
            index
        });
        let before = &self.reports[index].1;
        let (old, new) = (
            evidence.old.since(&before.old),
            evidence.new.since(&before.new),
        );
        self.reports[index].1.old.merge(&old);
        self.reports[index].1.new.merge(&new);
        let index = self.route(&evidence.route);
        let route = &mut self.routes[index];
        route.sum.old.merge(&old);
        route.sum.new.merge(&new);
        route.judge(&old, &mut self.all)
    }

    /// The verdict on what was taken in so far.
    #[must_use]
    pub fn verdict(&self) -> RolloutVerdict {
        for route in &self.routes {
            if route.suspected.sum >= ALARM {
                return route.suspected.bad_on(Some(route.sum.route.clone()));
            }
        }
        if self.all.sum >= ALARM {
            return self.all.bad_on(None);
        }
        let sums = self.routes.iter().map(|route| &route.suspected);
        let clear = sums.chain([&self.all]).all(|s| s.sum <= ACCEPTED);
        if clear && self.all.answers >= MIN_ROUTE_SAMPLES && self.wanted().is_empty() {
            return RolloutVerdict::Good;
        }
        RolloutVerdict::Undecided
    }

    /// Routes on which the new version was tried too little.
    #[must_use]
    pub fn wanted(&self) -> Vec<Arc<str>> {
        let short = self.routes.iter().filter(|route| route.is_short());
        short.map(|route| route.sum.route.clone()).collect()
    }

    /// Answers of the new version, and the bad ones among them.
    #[must_use]
    pub fn answers(&self) -> (u32, u32) {
        (self.all.answers, self.all.bad)
    }

    fn route(&mut self, name: &Arc<str>) -> usize {
        let place = self.routes.binary_search_by(|r| r.sum.route.cmp(name));
        place.unwrap_or_else(|index| {
            let route = JudgedRoute {
                sum: RouteEvidence::new(name.clone()),
                judged: ResponseCounts::default(),
                suspected: Suspected::default(),
            };
            self.routes.insert(index, route);
            index
        })
    }
}

impl JudgedRoute {
    /// Judges the answers that were not judged yet, once the old versions have given enough; `at_once` has those of the
    /// old versions in the same report.
    fn judge(&mut self, at_once: &ResponseCounts, all: &mut Suspected) -> Option<JudgedReport> {
        let old = &self.sum.old;
        let median = old.median().filter(|_| old.total() >= BASELINE)?;
        let slowest = (median + SLOW_BUCKETS).max(latency_bucket(NEVER_SLOW));
        let answers = self.sum.new.since(&self.judged);
        self.judged = self.sum.new.clone();
        let (total, bad) = (answers.total(), answers.bad(slowest));
        let mut usual = usual_bad(old.bad(slowest), old.total());
        if at_once.total() >= MOMENT {
            let part = f64::from(at_once.bad(slowest)) / f64::from(at_once.total());
            usual = usual.max(part.min(MOST_BAD));
        }
        self.suspected.add(total, bad, usual);
        all.add(total, bad, usual);
        Some(JudgedReport {
            old: at_once.total(),
            old_bad: at_once.bad(slowest),
            new: total,
            new_bad: bad,
            usual,
            slowest,
            sum: self.suspected.sum,
        })
    }

    fn is_short(&self) -> bool {
        self.sum.old.total() >= BASELINE && self.suspected.answers < MIN_ROUTE_SAMPLES
    }
}

impl Suspected {
    /// Adds answers; the good ones first, so that those that came between bad ones do not hide them.
    fn add(&mut self, total: u32, bad: u32, usual: f64) {
        let expected = (usual + EXCESS).min(0.95);
        let good = total.saturating_sub(bad);
        let for_good = ((1.0 - expected) / (1.0 - usual)).ln();
        self.sum = (self.sum + f64::from(good) * for_good).max(0.0);
        self.sum += f64::from(bad) * (expected / usual).ln();
        self.answers += total;
        self.bad += bad;
    }

    fn bad_on(&self, route: Option<Arc<str>>) -> RolloutVerdict {
        RolloutVerdict::Bad {
            route,
            answers: self.answers,
            bad: self.bad,
        }
    }
}

/// Part of bad answers that the old versions have at most, as far as so many answers tell.
fn usual_bad(bad: u32, total: u32) -> f64 {
    let (bad, total) = (f64::from(bad) + 0.5, f64::from(total) + 1.0);
    let part = bad / total;
    let error = (part * (1.0 - part) / total).sqrt();
    (part + error).clamp(LEAST_BAD, MOST_BAD)
}
