//! Upstreams that fall over if they have to reject too many requests.

use catkin_decisions::{Brittleness, Instant, LoadSample, UpstreamLoad};
use googletest::prelude::*;
use std::time::Duration;

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

/// Load with this many calls, all of other VMs, reported at `ms`.
fn load(running: u32, ms: u64) -> UpstreamLoad {
    let mut load = UpstreamLoad::default();
    let sample = LoadSample {
        running,
        waiting: 0,
    };
    load.record_report(sample, at(ms));
    load
}

/// Guards against requests of many VMs that fill a brittle upstream at once, so that it has to reject some.
#[gtest]
fn half_of_a_brittle_upstream_is_kept_for_other_vms() {
    let mut brittleness = Brittleness::default();
    let sturdy = brittleness.has_room(4, &load(9, 0), 8, at(0));

    brittleness.apply(Some(5));

    expect_that!(sturdy, eq(true));
    expect_that!(brittleness.has_room(4, &load(1, 0), 8, at(0)), eq(true));
    expect_that!(brittleness.has_room(4, &load(2, 0), 8, at(0)), eq(false));
}

/// Guards against an upstream that gets nothing since the last report said that it was full.
#[gtest]
fn part_of_the_slots_is_used_whatever_was_reported() {
    let mut brittleness = Brittleness::default();
    brittleness.apply(Some(5));
    let mut load = load(16, 0);

    let before = brittleness.has_room(16, &load, 8, at(1));
    for _ in 0..2 {
        load.call_started(0, at(1));
    }
    let full = brittleness.has_room(16, &load, 8, at(1));

    expect_that!(before, eq(true));
    expect_that!(full, eq(false));
}

/// Guards against rejections by all VMs at once, whose knowledge of the load is late.
#[gtest]
fn rejections_of_all_vms_stay_below_what_the_upstream_bears() {
    for (vms, bearable) in [(2, 3), (8, 5), (8, 20)] {
        let mut fleet = vec![Brittleness::default(); vms];
        for vm in &mut fleet {
            vm.apply(Some(bearable));
        }
        let vms = u32::try_from(vms).unwrap();
        let mut rejections = Vec::new();

        for ms in 0..10_000 {
            for vm in &mut fleet {
                if vm.has_room(4, &UpstreamLoad::default(), vms, at(ms)) {
                    rejections.push(ms);
                    vm.record_rejection(at(ms));
                }
            }
        }

        // Each VM learns by one rejection that the upstream is full.
        let later = rejections
            .iter()
            .copied()
            .filter(|ms| *ms > 0)
            .collect::<Vec<u64>>();
        let in_second = |start: u64| {
            let second = start..start + 1_000;
            later.iter().filter(|ms| second.contains(ms)).count()
        };
        let most = later.iter().map(|start| in_second(*start)).max();
        expect_that!(most, some(le(usize::try_from(bearable.max(vms)).unwrap())));
    }
}

/// Guards against avoiding an upstream that is not brittle any more.
#[gtest]
fn response_without_the_statement_ends_it() {
    let mut brittleness = Brittleness::default();
    brittleness.apply(Some(5));
    brittleness.record_rejection(at(0));

    let changed = brittleness.apply(None);

    expect_that!(changed, eq(true));
    expect_that!(brittleness.has_room(4, &load(9, 1), 8, at(1)), eq(true));
}
