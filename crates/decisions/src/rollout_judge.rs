//! Judges a version under canary by its responses, compared with those of the versions in use at
//! the same time.
//!
//! A response is bad if it is a failure caused by the upstream itself, or if it arrives several
//! times later than the median of the old versions on its route. Some responses of the old versions
//! are bad too, so only a fraction that is larger by [`EXCESS`] counts against the new version. A
//! cumulative sum (CUSUM) over the responses detects a version that turns bad late as fast as one
//! that is bad from the start. Broken connections are not counted, since engines of either version
//! crash.
//!
//! A VM that stalls for a moment delays the responses of both versions. The responses in a report
//! are therefore compared with those of the old versions in the same report if these are worse than
//! the baseline.

use super::*;

/// Fraction of bad responses, above that of the old versions, from which a version is bad.
const EXCESS: f64 = 0.2;

/// A response is slow if it is more than this many half octaves above the median, which is 2.8 to 4
/// times the median latency.
const SLOW_BUCKETS: u8 = 3;

/// Latency up to which no response is slow, whatever the median.
const NEVER_SLOW: Duration = Duration::from_millis(20);

/// Minimum number of responses of the old versions in one report for them to show the current
/// condition of the VM and its links.
const MOMENT: u32 = 4;

/// Minimum number of responses of the old versions on a route before the new version is judged on
/// it.
const BASELINE: u32 = 20;

/// Minimum number of responses of the new version on each route before it can be judged good.
pub const ROUTE_TRIES: u32 = 20;

/// Sum of log-likelihood ratios from which a version is bad.
const ALARM: f64 = 7.0;

/// Maximum sum of log-likelihood ratios of a good version.
const ACCEPTED: f64 = 3.5;

/// Lower bound on the assumed fraction of bad responses of the old versions.
const LEAST_BAD: f64 = 0.02;

/// Upper bound on the assumed fraction of bad responses of the old versions.
const MOST_BAD: f64 = 0.7;

/// Verdict on a version under canary.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutVerdict {
    /// There is too little evidence.
    Undecided,
    /// The version responds as the old versions do, on every route.
    Good,
    /// The version responds worse than the old versions.
    Bad {
        /// Route with the bad responses; `None` if the evidence suffices only over all routes
        /// together.
        route: Option<Arc<str>>,
        /// Responses of the version on that route.
        answers: u32,
        /// Bad responses among them.
        bad: u32,
    },
}

/// Evidence that one report adds on a route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct JudgedReport {
    /// Responses of the old versions in the report.
    pub old: u32,
    /// Bad responses among them.
    pub old_bad: u32,
    /// Responses of the new version that were judged with the report.
    pub new: u32,
    /// Bad responses among them.
    pub new_bad: u32,
    /// Fraction of bad responses expected of a good version.
    pub usual: f64,
    /// Latency bucket above which a response is slow.
    pub slowest: u8,
    /// Cumulative sum against the new version on the route.
    pub sum: f64,
}

/// Evidence reported by all VMs.
#[derive(Clone, Debug, Default)]
pub struct RolloutJudge {
    /// Latest report of each VM on each route, sorted.
    reports: Vec<((VmLife, Arc<str>), RouteEvidence)>,
    /// Evidence of all VMs by route, sorted.
    routes: Vec<JudgedRoute>,
    all: Suspected,
}

#[derive(Clone, Debug)]
struct JudgedRoute {
    sum: RouteEvidence,
    /// Responses of the new version that have been judged.
    judged: AnswerCounts,
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
    /// Applies the counts of a VM on a route. Returns the evidence they added, once the old
    /// versions have enough responses on the route.
    pub fn take(&mut self, vm: &VmLife, evidence: &RouteEvidence) -> Option<JudgedReport> {
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

    /// Verdict on the evidence so far.
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
        if clear && self.all.answers >= ROUTE_TRIES && self.wanted().is_empty() {
            return RolloutVerdict::Good;
        }
        RolloutVerdict::Undecided
    }

    /// Routes on which the new version has too few responses.
    #[must_use]
    pub fn wanted(&self) -> Vec<Arc<str>> {
        let short = self.routes.iter().filter(|route| route.is_short());
        short.map(|route| route.sum.route.clone()).collect()
    }

    /// Number of responses of the new version, and of the bad ones among them.
    #[must_use]
    pub fn answers(&self) -> (u32, u32) {
        (self.all.answers, self.all.bad)
    }

    fn route(&mut self, name: &Arc<str>) -> usize {
        let place = self.routes.binary_search_by(|r| r.sum.route.cmp(name));
        place.unwrap_or_else(|index| {
            let route = JudgedRoute {
                sum: RouteEvidence::new(name.clone()),
                judged: AnswerCounts::default(),
                suspected: Suspected::default(),
            };
            self.routes.insert(index, route);
            index
        })
    }
}

impl JudgedRoute {
    /// Judges the responses that have not been judged yet, once the old versions have enough
    /// responses. `at_once` has the responses of the old versions in the same report.
    fn judge(&mut self, at_once: &AnswerCounts, all: &mut Suspected) -> Option<JudgedReport> {
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
        self.sum.old.total() >= BASELINE && self.suspected.answers < ROUTE_TRIES
    }
}

impl Suspected {
    /// Adds responses to the sum. The good ones are added first, so that good responses between bad
    /// ones do not mask them.
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

/// Estimates the fraction of bad responses of the old versions: one standard error above the
/// observed fraction, to allow for a small number of responses.
fn usual_bad(bad: u32, total: u32) -> f64 {
    let (bad, total) = (f64::from(bad) + 0.5, f64::from(total) + 1.0);
    let part = bad / total;
    let error = (part * (1.0 - part) / total).sqrt();
    (part + error).clamp(LEAST_BAD, MOST_BAD)
}
