//! Choice of the upstream for a request.

use catkin_decisions::{
    Candidate, ChoiceInput, FailureEjection, Incarnation, Ineligible, Instant, Model,
    UpstreamRecord, UpstreamReport, choose, rendezvous_score,
};
use googletest::prelude::*;
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Duration;

const CAPACITY: u32 = 16;

fn at_ms(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

fn model(version: &str, adapter: Option<&str>) -> Model {
    Model {
        name: "catkin".into(),
        version: version.into(),
        adapter: adapter.map(Into::into),
    }
}

fn report(load: u32) -> UpstreamReport {
    UpstreamReport {
        incarnation: Incarnation(1),
        load,
        capacity: CAPACITY,
        serves: true,
        models: vec![model("1", None), model("1", Some("menus"))],
        ..UpstreamReport::default()
    }
}

/// An upstream that has been running long enough to have full weight, and has just reported `load`.
fn record(load: u32) -> UpstreamRecord {
    let mut record = UpstreamRecord::default();
    let pending = record.report_requested(at_ms(0));
    record.record_report(pending, report(load));
    let pending = record.report_requested(NOW);
    record.record_report(pending, report(load));
    record
}

const NOW: Instant = Instant(Duration::from_secs(60));

fn candidate(load: u32) -> Candidate {
    record(load).candidate(None, NOW).expect("eligible")
}

fn candidates(loads: &[u32]) -> Vec<Candidate> {
    loads.iter().map(|load| candidate(*load)).collect()
}

fn seeded(seed: u64) -> Xoshiro256PlusPlus {
    Xoshiro256PlusPlus::seed_from_u64(seed)
}

fn input(rng: &mut Xoshiro256PlusPlus) -> ChoiceInput {
    ChoiceInput {
        random: rng.random(),
        ..ChoiceInput::default()
    }
}

/// Number of times that each candidate is selected in 1000 choices.
fn choice_counts(candidates: &[Candidate], by_prefix: bool) -> Vec<u32> {
    let mut rng = seeded(7);
    let mut counts = vec![0; candidates.len()];
    for _ in 0..1000 {
        let input = ChoiceInput {
            by_prefix,
            ..input(&mut rng)
        };
        counts[choose(candidates, input).expect("there are some")] += 1;
    }
    counts
}

/// Number of requests that each of 40 upstreams gets when `vms` VMs send `requests` each, all based on the
/// same reports, by which one upstream is idle.
fn requests_per_upstream(
    vms: u64,
    requests: u32,
    decide: impl Fn(&[Candidate], ChoiceInput) -> usize,
) -> Vec<u32> {
    let mut got = vec![0; 40];
    for vm in 0..vms {
        let mut rng = seeded(vm);
        let mut records = vec![record(4); 40];
        records[13] = record(0);
        for _ in 0..requests {
            let candidates = records
                .iter()
                .map(|record| record.candidate(None, NOW).expect("eligible"))
                .collect::<Vec<_>>();
            let index = decide(&candidates, input(&mut rng));
            records[index].record_dispatch();
            got[index] += 1;
        }
    }
    got
}

fn least_loaded(candidates: &[Candidate], _: ChoiceInput) -> usize {
    (0..candidates.len())
        .min_by_key(|i| candidates[*i].load)
        .expect("there are some")
}

fn two_choices(candidates: &[Candidate], input: ChoiceInput) -> usize {
    choose(candidates, input).expect("there are some")
}

/// Many VMs choose by the same load reports, which are half a second old and show one idle upstream. If all
/// chose it, it would be overloaded until the next report (thundering herd).
#[gtest]
fn vms_on_the_same_stale_report_do_not_herd() {
    for vms in [8, 64] {
        let even_share = u32::try_from(vms).expect("few") * 4 / 40;

        let two_choices_counts = requests_per_upstream(vms, 4, two_choices);
        let least_loaded_counts = requests_per_upstream(vms, 4, least_loaded);

        let largest = *two_choices_counts.iter().max().expect("40 of them");
        let least_loaded_largest = *least_loaded_counts.iter().max().expect("40 of them");
        expect_that!(largest, le(even_share * 5 + 5), "{vms} VMs");
        expect_that!(least_loaded_largest, ge(largest * 4), "{vms} VMs");
    }
}

#[gtest]
fn own_dispatches_count_before_the_next_report() {
    let mut busy = record(0);
    (0..6).for_each(|_| busy.record_dispatch());

    let candidate = busy.candidate(None, NOW).expect("eligible");

    expect_that!(candidate.load, eq(6));
}

#[gtest]
fn own_requests_in_a_report_are_not_counted_twice() {
    let mut record = record(0);
    (0..6).for_each(|_| record.record_dispatch());
    let pending = record.report_requested(NOW);
    record.record_report(pending, report(8));
    record.record_end();

    let candidate = record.candidate(None, NOW).expect("eligible");

    expect_that!(candidate.load, eq(7));
}

#[gtest]
fn a_busier_upstream_is_chosen_less() {
    let counts = choice_counts(&candidates(&[2, 2, 12]), false);

    expect_that!(counts[2], eq(0));
}

#[gtest]
fn the_own_zone_is_used_while_it_has_capacity() {
    let mut candidates = candidates(&[CAPACITY - 1, CAPACITY - 1, 0]);
    candidates[2].own_zone = false;

    let counts = choice_counts(&candidates, false);

    expect_that!(counts[2], eq(0));
}

/// All engines of the own availability zone are full while those of another zone are idle.
#[gtest]
fn a_full_zone_overflows_to_others() {
    let mut candidates = candidates(&[CAPACITY, CAPACITY, 0]);
    candidates[2].own_zone = false;

    let counts = choice_counts(&candidates, false);

    expect_that!(counts[2], gt(300));
}

/// All upstreams of the own availability zone are lost, so only other zones have candidates.
#[gtest]
fn a_lost_zone_fails_over_to_others() {
    let mut candidates = candidates(&[3, 3]);
    for candidate in &mut candidates {
        candidate.own_zone = false;
    }

    let counts = choice_counts(&candidates, false);

    expect_that!(counts, each(gt(&300)));
}

/// An upstream that refuses all connections looks idle. Without ejection, requests would be sent to it
/// again and again and fail.
#[gtest]
fn a_failed_upstream_is_ejected_and_readmitted_slowly() {
    let mut records = [record(2), record(2), record(0)];
    records[2].record_failure(NOW);
    let candidates = records
        .iter()
        .map(|record| record.candidate(None, NOW).expect("eligible"))
        .collect::<Vec<_>>();
    let mut suspicion = FailureEjection::default();
    suspicion.record_failure(NOW);

    let counts = choice_counts(&candidates, false);
    let weights =
        [249, 251, 2750, 5251].map(|ms| suspicion.weight(NOW.after(Duration::from_millis(ms))));

    expect_that!(counts[2], eq(0));
    expect_that!(
        weights,
        elements_are![eq(0.0), near(0.1, 0.01), near(0.55, 0.01), eq(1.0)]
    );
}

/// All upstreams have failed at once, as after a network fault. Trying a suspect is better than refusing the
/// request.
#[gtest]
fn suspected_upstreams_are_the_last_resort() {
    let mut records = [record(2), record(2)];
    for record in &mut records {
        record.record_failure(NOW);
    }
    let candidates = records
        .iter()
        .map(|record| record.candidate(None, NOW).expect("eligible"))
        .collect::<Vec<_>>();

    expect_that!(
        choose(&candidates, ChoiceInput::default()),
        some(anything())
    );
}

/// A restarted engine is idle, but its cache is cold, so it must not get its full share at once.
#[gtest]
fn a_restarted_upstream_starts_slowly() {
    let mut fresh = record(0);
    let pending = fresh.report_requested(NOW);
    let restarted = UpstreamReport {
        incarnation: Incarnation(2),
        ..report(0)
    };
    fresh.record_report(pending, restarted);

    let weight = |after| {
        let now = NOW.after(Duration::from_millis(after));
        fresh.candidate(None, now).expect("eligible").weight
    };

    expect_that!(weight(0), near(0.1, 0.01));
    expect_that!(weight(2000), all![gt(0.2), lt(0.5)]);
}

fn eligible_candidates(records: &[UpstreamRecord], now: Instant) -> Vec<Candidate> {
    let candidates = records.iter().map(|record| record.candidate(None, now));
    candidates.map(|c| c.expect("eligible")).collect()
}

/// One upstream responds ten times slower than the others although its load is the same.
#[gtest]
fn a_slow_upstream_is_rarely_chosen() {
    let mut records = [record(2), record(2), record(2)];
    for (i, latency) in [20, 20, 200].into_iter().enumerate() {
        let now = NOW.after(Duration::from_millis(latency));
        records[i].record_response(Incarnation(1), NOW, now);
    }

    expect_that!(
        choice_counts(&eligible_candidates(&records, NOW), false)[2],
        eq(0)
    );
}

/// An upstream becomes ten times slower. Before its first slow response only the age of the requests in flight
/// shows it; if it got its full share until then, all of these requests would be late.
#[gtest]
fn an_upstream_whose_requests_wait_is_rarely_chosen() {
    let mut records = [record(2), record(2), record(2)];
    let later = NOW.after(Duration::from_millis(150));
    for record in &mut records {
        record.record_response(Incarnation(1), NOW, NOW.after(Duration::from_millis(20)));
        (0..4).for_each(|_| record.response_awaited(later));
    }
    let before = choice_counts(&eligible_candidates(&records, later), false)[2];
    (0..4).for_each(|_| records[2].response_ended(later));
    (0..4).for_each(|_| records[2].response_awaited(NOW));

    let after = choice_counts(&eligible_candidates(&records, later), false)[2];

    expect_that!(before, gt(250));
    expect_that!(after, eq(0));
}

#[gtest]
fn equal_prefixes_go_to_one_upstream_while_it_has_capacity() {
    let mut candidates = candidates(&[4, 4, 4, 4]);
    for (i, candidate) in candidates.iter_mut().enumerate() {
        candidate.affinity = rendezvous_score("prefix", &i.to_string());
    }
    let best = (0..4)
        .max_by_key(|i| candidates[*i].affinity)
        .expect("four of them");

    let with_room = choice_counts(&candidates, true)[best];
    candidates[best].load = CAPACITY;
    let without = choice_counts(&candidates, true)[best];

    expect_that!((with_room, without), eq((1000, 0)));
}

#[gtest]
fn only_an_upstream_with_the_model_is_eligible() {
    let record = record(0);
    let verdict = |version, adapter| {
        let model = model(version, adapter);
        record.candidate(Some(&model), NOW).map(|c| c.load)
    };

    expect_that!(verdict("1", None), ok(eq(0)));
    expect_that!(verdict("1", Some("menus")), ok(eq(0)));
    expect_that!(verdict("1", Some("maps")), err(eq(Ineligible::NotServing)));
    expect_that!(verdict("2", None), err(eq(Ineligible::NotServing)));
}

#[gtest]
fn only_an_engine_that_serves_is_eligible() {
    let mut record = record(0);
    let pending = record.report_requested(NOW);
    let standby = UpstreamReport {
        serves: false,
        ..report(0)
    };

    record.record_report(pending, standby);

    expect_that!(
        record.candidate(None, NOW),
        err(eq(&Ineligible::NotServing))
    );
}

proptest! {
    #[test]
    fn some_candidate_is_always_chosen_and_never_a_suspect(
        loads in prop::collection::vec((0..40_u32, any::<bool>(), any::<bool>()), 1..50),
        random in any::<[u32; 2]>(),
        by_prefix in any::<bool>(),
    ) {
        let mut candidates = Vec::new();
        for (load, own_zone, suspected) in &loads {
            candidates.push(Candidate {
                own_zone: *own_zone,
                weight: if *suspected { 0.0 } else { 1.0 },
                ..candidate(*load)
            });
        }

        let index = choose(&candidates, ChoiceInput { random, by_prefix }).expect("there are some");

        let all_suspected = loads.iter().all(|(_, _, suspected)| *suspected);
        prop_assert!(all_suspected || candidates[index].weight > 0.0);
    }
}
