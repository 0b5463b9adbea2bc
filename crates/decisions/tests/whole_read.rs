//! Cost of reading the complete table of upstreams in a large deployment.

use catkin_decisions::{
    Instant, ProcessStart, UpstreamDirectory, UpstreamEntry, UpstreamIncarnation, rendezvous_score,
};
use googletest::prelude::*;
use std::{net::SocketAddr, time::Duration};

/// Entries of `count` upstreams in random order of their ids, as the platform returns them, started at
/// `born`.
fn table(count: u32, born: u64) -> Vec<UpstreamEntry> {
    let entry = |n: u32| UpstreamEntry {
        id: UpstreamIncarnation {
            id: format!("u-{:016x}", rendezvous_score("upstream", &n.to_string()))
                .parse()
                .unwrap(),
            born: Some(ProcessStart(born)),
        },
        service: "engines".parse().unwrap(),
        address: SocketAddr::from(([10, 0, 0, 1], u16::try_from(8000 + n).unwrap())),
        zone: "a".parse().unwrap(),
        slots: 12,
        leaving: false,
        version: None,
    };
    (0..count).map(entry).collect()
}

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

/// Comparisons made by a first read, the same table again, one in which each upstream has restarted, one in
/// which all upstreams are new, and the entries one by one.
fn comparisons(count: u32) -> [u64; 5] {
    let mut directory = UpstreamDirectory::default();
    let mut before = 0;
    let mut step = |directory: &UpstreamDirectory| {
        let made = directory.comparisons() - before;
        before = directory.comparisons();
        made
    };
    directory.apply_snapshot(table(count, 1), at(0));
    let first = step(&directory);
    directory.apply_snapshot(table(count, 1), at(1000));
    let same = step(&directory);
    directory.apply_snapshot(table(count, 2), at(2000));
    let restarted = step(&directory);
    directory.apply_snapshot(table(2 * count, 2).split_off(count as usize), at(3000));
    let others = step(&directory);
    for entry in table(count, 3) {
        directory.apply_entry(entry);
    }
    [first, same, restarted, others, step(&directory)]
}

fn n_log_n(count: u32) -> f64 {
    f64::from(count) * f64::from(count).log2()
}

/// Each VM reads the complete table when the platform returns. With a scan over all upstreams for each
/// entry, a VM with an eighth of a core stalls for seconds in front of 900 of them, and its callers give
/// up. From 150 entries to 3,000, the work may grow no faster than that of sorting them.
#[gtest]
fn cost_of_a_complete_read_grows_like_sorting() {
    let few = comparisons(150);

    let many = comparisons(3000);

    let growth = n_log_n(3000) / n_log_n(150);
    for (step, (few, many)) in few.iter().zip(many).enumerate() {
        #[expect(clippy::cast_precision_loss)]
        let times = many as f64 / *few as f64;
        expect_that!(times, le(1.2 * growth), "step {step}: {few} and {many}");
    }
}
