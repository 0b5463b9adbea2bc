//! Measures the selection of an upstream for a stream among ten upstreams to a VM, in five zones:
//! `cargo run --release -p catkin-decisions --example placement_cost`.

use catkin_decisions::{
    Instant, PlacementCandidate, PlacementContext, Policy, UpstreamEntry, UpstreamLoad,
    select_upstream,
};
use std::{
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant as Clock},
};

const ZONES: usize = 5;
const UPSTREAMS_PER_VM: usize = 10;
const ROUNDS: u32 = 20;

fn main() {
    for vms in [30, 100, 300, 1_000, 2_000] {
        let entries = (0..vms * UPSTREAMS_PER_VM).map(entry).collect::<Vec<_>>();
        let zone_vms = (0..vms / ZONES)
            .map(|n| Arc::from(format!("edge-zone-0-{n}")))
            .collect::<Vec<Arc<str>>>();
        println!(
            "{vms} VMs: {:?} a selection",
            time_selection(&entries, &zone_vms)
        );
    }
}

fn entry(n: usize) -> Arc<UpstreamEntry> {
    let zone = format!("zone-{}", n % ZONES);
    Arc::new(UpstreamEntry {
        id: format!("i-{n:010x}").parse().expect("a valid id"),
        service: "engines".parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 80).into(),
        zone: zone.parse().expect("a valid name"),
        slots: 12,
        leaving: false,
        version: None,
    })
}

fn time_selection(entries: &[Arc<UpstreamEntry>], zone_vms: &[Arc<str>]) -> Duration {
    let (zone, load) = (entries[0].zone.clone(), UpstreamLoad::default());
    let context = PlacementContext {
        zone: &zone,
        vm: &zone_vms[0],
        zone_vms,
        stream: true,
        random: 0.5,
        now: Instant(Duration::from_secs(60)),
        policy: &Policy::default(),
    };
    let candidate = |entry| PlacementCandidate {
        entry,
        load: &load,
        suspect: false,
        suspect_zone: false,
        peer_calls: 0,
        load_is_complete: false,
        cached: 0,
        peer_prefill: Duration::ZERO,
    };
    let candidates = entries.iter().map(candidate).collect::<Vec<_>>();
    let start = Clock::now();
    for _ in 0..ROUNDS {
        black_box(select_upstream(black_box(&candidates), &context));
    }
    start.elapsed() / ROUNDS
}
