//! Judges a version under canary by its responses, compared with those of the versions in use at
//! the same time.
//!
//! A response is bad if it is a failure caused by the upstream itself, or if it arrives several
//! times later than the median of the old versions on its route. Some responses of the old versions
//! are bad too, so only a fraction that is larger by [`EXCESS_BAD_FRACTION`] counts against the new
//! version. A cumulative sum (CUSUM) over the responses detects a version that turns bad late as
//! fast as one that is bad from the start. Broken connections are not counted, since engines of
//! either version crash.
//!
//! A VM that stalls for a moment delays the responses of both versions, on all routes. The responses
//! in a report are therefore compared with those of the old versions in the same report if these are
//! worse than the baseline: with all of them on the same route, and with the slow ones on all routes.

use super::*;

/// Fraction of bad responses, above that of the old versions, from which a version is bad.
const EXCESS_BAD_FRACTION: f64 = 0.2;

/// A response is slow if its latency bucket is more than this many above the median's. Two buckets are a
/// factor of 2, so a response is slow from 2.8 to 4 times the median latency.
const SLOW_BUCKETS: u8 = 3;

/// Latency up to which no response is slow, whatever the median.
const MIN_SLOW_LATENCY: Duration = Duration::from_millis(20);

/// Minimum number of responses of the old versions on a route of a report for judging the new version
/// by all of them.
const MIN_REPORT_SAMPLES: u32 = 4;

/// Number of responses of the old versions, as slow as the baseline, that are added to those of a
/// report on all routes. Callers that wait for late responses send few requests, so the report of a
/// VM that stalls may hold only one or two.
const PRIOR_SAMPLES: f64 = 1.0;

/// Minimum number of responses of the old versions on a route before the new version is judged on
/// it. Until then the responses of the new version are kept and not judged.
const MIN_BASELINE_SAMPLES: u32 = 20;

/// Minimum number of responses of the new version on each route before it can be judged good.
pub const MIN_ROUTE_SAMPLES: u32 = 20;

/// Sum of log-likelihood ratios from which a version is bad.
const BAD_THRESHOLD: f64 = 7.0;

/// Maximum sum of log-likelihood ratios of a good version.
const GOOD_THRESHOLD: f64 = 3.5;

/// Lower bound on the assumed fraction of bad responses of the old versions.
const MIN_BAD_FRACTION: f64 = 0.02;

/// Upper bound on the assumed fraction of bad responses of the old versions.
const MAX_BAD_FRACTION: f64 = 0.7;

/// Upper bound on the assumed fraction of bad responses of both versions. If the old versions reach it
/// in a report, the report says nothing about the new version.
const MAX_FRACTION: f64 = 0.95;

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
    /// Responses of the old versions on the route.
    pub old: u32,
    /// Bad responses among them.
    pub old_bad: u32,
    /// Successful responses of the old versions on all routes of the report.
    pub old_successes: u32,
    /// Slow responses among them.
    pub old_slow: u32,
    /// Responses of the new version that were judged with the report.
    pub new: u32,
    /// Bad responses among them.
    pub new_bad: u32,
    /// Fraction of bad responses expected of a good version.
    pub expected_bad: f64,
    /// Latency bucket above which a response is slow.
    pub max_good_bucket: u8,
    /// Cumulative sum against the new version on the route.
    pub sum: f64,
}

/// Evidence reported by all VMs.
#[derive(Clone, Debug, Default)]
pub struct RolloutJudge {
    /// Latest report of each VM on each route, sorted.
    reports: Vec<((VmIncarnation, Arc<str>), RouteEvidence)>,
    /// Evidence of all VMs by route, sorted.
    routes: Vec<JudgedRoute>,
    all_routes: Cusum,
}

/// Successful responses of the old versions on all routes of a report, and the slow ones among them.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    successes: u32,
    slow: u32,
}

#[derive(Clone, Debug)]
struct JudgedRoute {
    sum: RouteEvidence,
    /// Responses of the new version that have been judged.
    judged: ResponseCounts,
    cusum: Cusum,
}

/// Cumulative sum of the evidence against a version.
#[derive(Clone, Copy, Debug, Default)]
struct Cusum {
    sum: f64,
    responses: u32,
    bad: u32,
}

impl RolloutJudge {
    /// Applies a report: the counts of a VM on some routes. Returns the evidence that it added on each
    /// route on which the old versions have enough responses.
    pub fn record_report(
        &mut self,
        vm: &VmIncarnation,
        evidence: &[RouteEvidence],
    ) -> Vec<(Arc<str>, JudgedReport)> {
        let mut pace = Pace::default();
        let mut old_counts = Vec::new();
        for evidence in evidence {
            let old = self.merge(vm, evidence);
            let index = self.route(&evidence.route);
            if let Some(max_good_bucket) = self.routes[index].max_good_bucket() {
                pace.successes += old.total() - old.failures;
                pace.slow += old.bad(max_good_bucket) - old.failures;
            }
            old_counts.push(old);
        }
        let mut judged = Vec::new();
        for (evidence, old) in evidence.iter().zip(&old_counts) {
            let index = self.route(&evidence.route);
            let added = self.routes[index].judge(old, pace, &mut self.all_routes);
            judged.extend(added.map(|added| (evidence.route.clone(), added)));
        }
        judged
    }

    /// Adds the counts of a VM on a route to those of all VMs. Returns what they add to the responses
    /// of the old versions.
    fn merge(&mut self, vm: &VmIncarnation, evidence: &RouteEvidence) -> ResponseCounts {
        let key = (vm.clone(), evidence.route.clone());
        let position = self.reports.binary_search_by(|(other, _)| other.cmp(&key));
        let index = position.unwrap_or_else(|index| {
            let empty = RouteEvidence::new(evidence.route.clone());
            self.reports.insert(index, (key, empty));
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
        old
    }

    /// Verdict on the evidence so far.
    #[must_use]
    pub fn verdict(&self) -> RolloutVerdict {
        for route in &self.routes {
            if route.cusum.sum >= BAD_THRESHOLD {
                return route.cusum.bad_verdict(Some(route.sum.route.clone()));
            }
        }
        if self.all_routes.sum >= BAD_THRESHOLD {
            return self.all_routes.bad_verdict(None);
        }
        let sums = self.routes.iter().map(|route| &route.cusum);
        let all_below_threshold = sums
            .chain([&self.all_routes])
            .all(|s| s.sum <= GOOD_THRESHOLD);
        if all_below_threshold
            && self.all_routes.responses >= MIN_ROUTE_SAMPLES
            && self.undersampled_routes().is_empty()
        {
            return RolloutVerdict::Good;
        }
        RolloutVerdict::Undecided
    }

    /// Routes on which the new version has too few responses.
    #[must_use]
    pub fn undersampled_routes(&self) -> Vec<Arc<str>> {
        let undersampled = self.routes.iter().filter(|route| route.is_undersampled());
        undersampled.map(|route| route.sum.route.clone()).collect()
    }

    /// Number of responses of the new version, and of the bad ones among them.
    #[must_use]
    pub fn totals(&self) -> (u32, u32) {
        (self.all_routes.responses, self.all_routes.bad)
    }

    fn route(&mut self, name: &Arc<str>) -> usize {
        let position = self.routes.binary_search_by(|r| r.sum.route.cmp(name));
        position.unwrap_or_else(|index| {
            let route = JudgedRoute {
                sum: RouteEvidence::new(name.clone()),
                judged: ResponseCounts::default(),
                cusum: Cusum::default(),
            };
            self.routes.insert(index, route);
            index
        })
    }
}

impl JudgedRoute {
    /// Latency bucket above which a response is slow, once the old versions have enough responses.
    fn max_good_bucket(&self) -> Option<u8> {
        let old = &self.sum.old;
        let median = old
            .median()
            .filter(|_| old.total() >= MIN_BASELINE_SAMPLES)?;
        Some((median + SLOW_BUCKETS).max(latency_bucket(MIN_SLOW_LATENCY)))
    }

    /// Judges the responses that have not been judged yet, once the old versions have enough
    /// responses. `same_report` and `pace` have the responses of the old versions in the same report.
    fn judge(
        &mut self,
        same_report: &ResponseCounts,
        pace: Pace,
        all_routes: &mut Cusum,
    ) -> Option<JudgedReport> {
        let max_good_bucket = self.max_good_bucket()?;
        let responses = self.sum.new.since(&self.judged);
        self.judged = self.sum.new.clone();
        let (total, mut bad) = (responses.total(), responses.bad(max_good_bucket));
        let old = &self.sum.old;
        let usual = estimate_bad_fraction(old.bad(max_good_bucket), old.total());
        let mut expected_bad = usual;
        if f64::from(responses.failures) > (usual + EXCESS_BAD_FRACTION) * f64::from(total) {
            // A VM that stalls delays responses, but it does not make requests fail.
            if pace.slow_fraction(usual) > usual {
                bad = responses.failures;
            }
        } else {
            expected_bad = usual.max(pace.slow_fraction(usual));
        }
        if same_report.total() >= MIN_REPORT_SAMPLES {
            let fraction =
                f64::from(same_report.bad(max_good_bucket)) / f64::from(same_report.total());
            expected_bad = expected_bad.max(fraction.min(MAX_BAD_FRACTION));
        }
        self.cusum.add(total, bad, expected_bad);
        all_routes.add(total, bad, expected_bad);
        Some(JudgedReport {
            old: same_report.total(),
            old_bad: same_report.bad(max_good_bucket),
            old_successes: pace.successes,
            old_slow: pace.slow,
            new: total,
            new_bad: bad,
            expected_bad,
            max_good_bucket,
            sum: self.cusum.sum,
        })
    }

    fn is_undersampled(&self) -> bool {
        self.sum.old.total() >= MIN_BASELINE_SAMPLES && self.cusum.responses < MIN_ROUTE_SAMPLES
    }
}

impl Pace {
    /// Estimates the fraction of slow responses of the old versions while the report was collected.
    fn slow_fraction(self, usual: f64) -> f64 {
        let slow = f64::from(self.slow) + PRIOR_SAMPLES * usual;
        (slow / (f64::from(self.successes) + PRIOR_SAMPLES)).min(MAX_FRACTION)
    }
}

impl Cusum {
    /// Adds responses to the sum. The good ones are added first, so that good responses between bad
    /// ones do not mask them.
    fn add(&mut self, total: u32, bad: u32, expected_bad: f64) {
        let bad_if_worse = (expected_bad + EXCESS_BAD_FRACTION).min(MAX_FRACTION);
        let good = total.saturating_sub(bad);
        let good_weight = ((1.0 - bad_if_worse) / (1.0 - expected_bad)).ln();
        self.sum = (self.sum + f64::from(good) * good_weight).max(0.0);
        self.sum += f64::from(bad) * (bad_if_worse / expected_bad).ln();
        self.responses += total;
        self.bad += bad;
    }

    fn bad_verdict(&self, route: Option<Arc<str>>) -> RolloutVerdict {
        RolloutVerdict::Bad {
            route,
            answers: self.responses,
            bad: self.bad,
        }
    }
}

/// Estimates the fraction of bad responses of the old versions: one standard error above the
/// observed fraction, to allow for a small number of responses.
fn estimate_bad_fraction(bad: u32, total: u32) -> f64 {
    let (bad, total) = (f64::from(bad) + 0.5, f64::from(total) + 1.0);
    let fraction = bad / total;
    let standard_error = (fraction * (1.0 - fraction) / total).sqrt();
    (fraction + standard_error).clamp(MIN_BAD_FRACTION, MAX_BAD_FRACTION)
}
