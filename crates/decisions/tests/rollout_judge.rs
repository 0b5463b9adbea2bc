//! Error rates of the verdicts on a version under canary, by simulation over many seeds.

use catkin_decisions::{
    AnswerCounts, AnswerOutcome, RolloutJudge, RolloutVerdict, RouteEvidence, VmLife,
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Duration;

/// Simulated rollouts per scenario.
const SEEDS: u64 = 400;

/// Responses of the new version in a simulated rollout, on each of two routes.
const TRIED: usize = 45;

/// Responses of the old version during the same time.
const OLD: usize = 600;

/// Behaviour of a version on a route.
#[derive(Clone, Copy)]
struct Behaviour {
    /// Fraction of failed responses.
    failures: f64,
    /// Fraction of slow responses, and the factor by which they are slower.
    slow: (f64, f64),
    /// Index of the first response with this behaviour; earlier ones follow the baseline.
    from: usize,
}

/// Baseline behaviour: some responses fail on any version, as on the simulated routes.
const USUAL: Behaviour = Behaviour {
    failures: 0.07,
    slow: (0.01, 5.0),
    from: 0,
};

fn answer(b: Behaviour, n: usize, rng: &mut Xoshiro256PlusPlus) -> AnswerOutcome {
    let b = if n < b.from { USUAL } else { b };
    if rng.random_bool(b.failures) {
        return AnswerOutcome::Failure;
    }
    let spread = 0.6 + 0.8 * rng.random::<f64>();
    let times = if rng.random_bool(b.slow.0) {
        b.slow.1
    } else {
        1.0
    };
    AnswerOutcome::Success(Duration::from_millis(20).mul_f64(spread * times))
}

/// Simulates a canary on two routes across several VMs. Returns the verdict, and the number of bad
/// responses until then.
fn trial(routes: [Behaviour; 2], seed: u64) -> (RolloutVerdict, u32) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut judge = RolloutJudge::default();
    let names = ["/once/", "/quick/"];
    let mut vms = Vec::new();
    for vm in 0..8 {
        let life = VmLife {
            vm: format!("vm-{vm}").into(),
            incarnation: 1,
        };
        vms.push((life, names.map(|name| RouteEvidence::new(name.into()))));
    }
    for n in 0..TRIED {
        for (route, behaviour) in routes.iter().enumerate() {
            for _ in 0..OLD / TRIED {
                let vm = rng.random_range(0..8_usize);
                let outcome = answer(USUAL, 0, &mut rng);
                vms[vm].1[route].old.count(outcome);
            }
            let vm = rng.random_range(0..8_usize);
            let outcome = answer(*behaviour, n, &mut rng);
            vms[vm].1[route].new.count(outcome);
        }
        for (life, evidence) in &vms {
            for route in evidence {
                judge.take(life, route);
            }
        }
        if let RolloutVerdict::Bad { .. } = judge.verdict() {
            break;
        }
    }
    (judge.verdict(), judge.answers().1)
}

/// Fractions of the simulated rollouts that end good, undecided and bad.
fn rates(routes: [Behaviour; 2]) -> (f64, f64, f64) {
    let verdicts = (0..SEEDS).map(|seed| trial(routes, seed).0);
    let (mut good, mut undecided, mut bad) = (0.0, 0.0, 0.0);
    for verdict in verdicts {
        *match verdict {
            RolloutVerdict::Good => &mut good,
            RolloutVerdict::Undecided => &mut undecided,
            RolloutVerdict::Bad { .. } => &mut bad,
        } += 1.0 / f64::from(u32::try_from(SEEDS).unwrap());
    }
    (good, undecided, bad)
}

fn print(kind: &str, (good, undecided, bad): (f64, f64, f64)) {
    println!("{kind}: good {good:.3}, undecided {undecided:.3}, bad {bad:.3}");
}

#[gtest]
fn good_version_is_seldom_rolled_back() {
    let rates = rates([USUAL, USUAL]);

    print("good", rates);
    expect_that!(rates.2, le(0.02));
    expect_that!(rates.0, ge(0.9));
}

/// Failures or slow responses, on both routes or on one, from the start or later.
#[gtest]
fn bad_version_is_seldom_taken_for_good() {
    let bad = |failures, slow, from| Behaviour {
        failures,
        slow,
        from,
    };
    let cases = [
        ("fails from the start", [bad(0.4, (0.01, 5.0), 0); 2]),
        ("all requests fail", [bad(1.0, (0.0, 1.0), 0); 2]),
        ("fails after 25 responses", [bad(0.5, (0.01, 5.0), 25); 2]),
        ("fails on one route", [USUAL, bad(0.45, (0.01, 5.0), 0)]),
        ("slow from the start", [bad(0.07, (0.5, 5.0), 0); 2]),
        ("slow after 25 responses", [bad(0.07, (0.6, 6.0), 25); 2]),
        ("slow on one route", [bad(0.07, (0.6, 5.0), 0), USUAL]),
    ];
    for (kind, routes) in cases {
        let rates = rates(routes);

        print(kind, rates);
        expect_that!(rates.0, le(0.01), "{kind}");
        expect_that!(rates.2, ge(0.9), "{kind}");
    }
}

/// The time limit for a rollback to reach all VMs starts at the fiftieth bad response; ten more may
/// be in flight when the version is found bad.
#[gtest]
fn bad_version_is_found_by_its_fortieth_bad_answer() {
    for failures in [0.3, 0.5, 1.0] {
        let routes = [Behaviour { failures, ..USUAL }; 2];
        let most = (0..SEEDS).map(|seed| trial(routes, seed).1).max();

        expect_that!(most, some(le(40)), "{failures}");
    }
}

/// Counts are cumulative: a report that arrives twice or late adds nothing.
#[gtest]
fn repeated_and_late_reports_add_nothing() {
    let mut judge = RolloutJudge::default();
    let life = VmLife {
        vm: "vm-1".into(),
        incarnation: 1,
    };
    let mut evidence = RouteEvidence::new("/quick/".into());
    for _ in 0..30 {
        evidence
            .old
            .count(AnswerOutcome::Success(Duration::from_millis(10)));
    }
    evidence.new.count(AnswerOutcome::Failure);
    let early = evidence.clone();
    evidence.new.count(AnswerOutcome::Failure);

    for report in [&evidence, &early, &evidence] {
        judge.take(&life, report);
    }

    expect_that!(judge.answers(), eq((2, 2)));
}

/// The last responses before the deadline are bad, but too few for a verdict.
#[gtest]
fn version_under_suspicion_is_not_good() {
    let life = VmLife {
        vm: "vm-1".into(),
        incarnation: 1,
    };
    let success = AnswerOutcome::Success(Duration::from_millis(10));
    let mut evidence = RouteEvidence::new("/quick/".into());
    let mut verdicts = Vec::new();
    for failures in [0, 2] {
        let mut judge = RolloutJudge::default();
        for _ in 0..40 {
            evidence.old.count(success);
            evidence.new.count(success);
        }
        judge.take(&life, &evidence);
        for _ in 0..failures {
            evidence.new.count(AnswerOutcome::Failure);
        }
        judge.take(&life, &evidence);
        verdicts.push(judge.verdict());
    }

    expect_that!(
        verdicts,
        eq(&[RolloutVerdict::Good, RolloutVerdict::Undecided])
    );
}

#[gtest]
fn counts_know_their_median_and_their_slow_answers() {
    let mut counts = AnswerCounts::default();
    for ms in [10, 10, 10, 10, 100] {
        counts.count(AnswerOutcome::Success(Duration::from_millis(ms)));
    }
    counts.count(AnswerOutcome::Failure);

    let median = counts.median().unwrap();

    expect_that!(counts.total(), eq(6));
    expect_that!(counts.bad(median + 3), eq(2));
}

/// Evidence of one VM. Each pair has the number of responses and how many of them took 200 ms; the
/// others took 2 ms.
fn moment(old: (u32, u32), new: (u32, u32)) -> RouteEvidence {
    let mut evidence = RouteEvidence::new("/quick/".into());
    let mut count = |(answers, late): (u32, u32), is_new: bool| {
        for n in 0..answers {
            let latency = Duration::from_millis(if n < late { 200 } else { 2 });
            let counts = if is_new {
                &mut evidence.new
            } else {
                &mut evidence.old
            };
            counts.count(AnswerOutcome::Success(latency));
        }
    };
    count(old, false);
    count(new, true);
    evidence
}

fn verdict_after(moments: &[RouteEvidence]) -> RolloutVerdict {
    let mut judge = RolloutJudge::default();
    let vm = VmLife {
        vm: "vm-1".into(),
        incarnation: 1,
    };
    let mut sum = RouteEvidence::new("/quick/".into());
    for moment in moments {
        sum.old.merge(&moment.old);
        sum.new.merge(&moment.new);
        judge.take(&vm, &sum);
    }
    judge.verdict()
}

/// Guards against rolling back a good version because the VM stalled for a moment.
#[gtest]
fn late_answers_of_a_moment_count_against_both_versions() {
    let usual = moment((400, 0), (60, 0));

    let verdict = verdict_after(&[usual.clone(), moment((12, 4), (4, 3))]);
    let only_new = verdict_after(&[usual, moment((12, 0), (4, 4))]);

    expect_that!(verdict, eq(&RolloutVerdict::Good));
    expect_that!(only_new, matches_pattern!(RolloutVerdict::Bad { .. }));
}

/// Guards against treating variations of a few milliseconds as slow responses.
#[gtest]
fn answers_within_milliseconds_are_not_slow() {
    let mut evidence = moment((400, 0), (0, 0));
    for _ in 0..60 {
        let outcome = AnswerOutcome::Success(Duration::from_millis(14));
        evidence.new.count(outcome);
    }

    expect_that!(verdict_after(&[evidence]), eq(&RolloutVerdict::Good));
}
