//! Measures the selection of an upstream: the time per decision with 40 candidates, and the largest
//! load after a stale report that shows one idle upstream of 40, for 8 and 64 VMs. Least-loaded and
//! random selection serve as comparison.

use catkin_decisions::{
    Candidate, ChoiceInput, Incarnation, Instant, UpstreamRecord, UpstreamReport, choose,
    rendezvous_score,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Duration;

const NOW: Instant = Instant(Duration::from_secs(60));
const UPSTREAMS: usize = 40;
const REQUESTS: u32 = 4;
const ROUNDS: u32 = 200_000;

type Decide = fn(&[Candidate], &mut Xoshiro256PlusPlus) -> usize;

fn record(load: u32) -> UpstreamRecord {
    let report = UpstreamReport {
        incarnation: Incarnation(1),
        load,
        capacity: 16,
        serves: true,
        ..UpstreamReport::default()
    };
    let mut record = UpstreamRecord::default();
    for at in [Instant::default(), NOW] {
        let pending = record.report_requested(at);
        record.record_report(pending, report.clone());
    }
    record
}

fn candidates(records: &[UpstreamRecord], prefix: u64) -> Vec<Candidate> {
    records
        .iter()
        .zip(NAMES)
        .filter_map(|(record, name)| {
            let mut candidate = record.candidate(None, NOW).ok()?;
            if prefix != 0 {
                candidate.affinity = rendezvous_score("prefix", name);
            }
            Some(candidate)
        })
        .collect()
}

const NAMES: [&str; UPSTREAMS] = ["engine"; UPSTREAMS];

fn two_choices(candidates: &[Candidate], rng: &mut Xoshiro256PlusPlus) -> usize {
    let input = ChoiceInput {
        random: rng.random(),
        by_prefix: false,
    };
    choose(candidates, input).unwrap_or_default()
}

fn least_loaded(candidates: &[Candidate], _: &mut Xoshiro256PlusPlus) -> usize {
    (0..candidates.len())
        .min_by_key(|i| candidates[*i].load)
        .unwrap_or_default()
}

fn at_random(candidates: &[Candidate], rng: &mut Xoshiro256PlusPlus) -> usize {
    rng.random_range(0..candidates.len())
}

/// Largest number of requests that one upstream receives before the next report.
fn max_load(vms: u64, decide: Decide) -> u32 {
    let mut got = [0; UPSTREAMS];
    for vm in 0..vms {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(vm);
        let mut records = vec![record(4); UPSTREAMS];
        records[13] = record(0);
        for _ in 0..REQUESTS {
            let i = decide(&candidates(&records, 0), &mut rng);
            records[i].record_dispatch();
            got[i] += 1;
        }
    }
    got.into_iter().max().unwrap_or_default()
}

fn main() {
    for vms in [8_u32, 64] {
        println!(
            "{vms} VMs, {REQUESTS} requests each on one report, mean {:.1}: largest {} by choice, {} least loaded, {} at random",
            f64::from(vms * REQUESTS) / 40.0,
            max_load(vms.into(), two_choices),
            max_load(vms.into(), least_loaded),
            max_load(vms.into(), at_random),
        );
    }
    let records = vec![record(4); UPSTREAMS];
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    for by_prefix in [false, true] {
        let start = std::time::Instant::now();
        for _ in 0..ROUNDS {
            let input = ChoiceInput {
                random: rng.random(),
                by_prefix,
            };
            let candidates = candidates(&records, u64::from(by_prefix));
            std::hint::black_box(choose(&candidates, input));
        }
        println!(
            "{UPSTREAMS} candidates, by prefix {by_prefix}: {:?} a decision",
            start.elapsed() / ROUNDS
        );
    }
}
