//! Parts of a capacity that several nodes use.

use catkin_decisions::{
    CapacityReport, CapacityShare, Instant, Lane, UpstreamId, UpstreamSlots, VmId,
};
use googletest::prelude::*;

fn node(i: usize) -> VmId {
    format!("vm-{i}").parse().expect("a valid name")
}

fn upstream(i: usize) -> UpstreamId {
    format!("worker-{i}").parse().expect("a valid id")
}

/// Sum of the parts of all nodes at 100 upstreams of this capacity.
fn sum_of_parts(capacity: u32, nodes: usize, lane: Lane) -> u32 {
    let sharers = u32::try_from(nodes).expect("a small number");
    let parts = (0..nodes).flat_map(|i| {
        (0..100)
            .map(move |j| CapacityShare::of(&node(i), &upstream(j), sharers).part(capacity, lane))
    });
    parts.sum()
}

/// Four places among three nodes: rounded down a quarter of each upstream would stay idle, rounded
/// up half as much again would wait in it.
#[gtest]
fn parts_add_up_to_the_capacity_where_they_are_no_whole_numbers() {
    let sum = sum_of_parts(4, 3, Lane::Long);

    expect_that!(sum, all![ge(380), le(420)]);
}

#[gtest]
fn parts_for_quick_calls_make_up_for_the_time_that_they_travel() {
    let sum = sum_of_parts(16, 8, Lane::Quick);

    expect_that!(sum, all![ge(1860), le(1980)]);
}

#[gtest]
fn part_is_at_least_one_place() {
    let share = CapacityShare::of(&node(0), &upstream(0), 400);

    expect_that!(share.part(8, Lane::Long), eq(1));
}

fn places() -> UpstreamSlots {
    let mut places = UpstreamSlots::default();
    let report = CapacityReport {
        capacity: 10,
        waiting: 0,
    };
    let share = CapacityShare {
        sharers: 1,
        draw: 999,
    };
    places.reported(report, share);
    places
}

/// A hot team takes every place that it gets. A call of another team must not wait behind what the
/// upstream has taken beyond its capacity.
#[gtest]
fn teams_below_their_share_find_room_that_others_do_not_fill() {
    let mut places = places();
    let now = Instant::default();
    let alone = places.share(now, Lane::Quick);
    places.note_light(now);

    while places.has_room(now, Lane::Quick) {
        places.enter(now, Lane::Quick);
    }

    expect_that!(alone, eq(12));
    expect_that!(places.in_flight(Lane::Quick), eq(10));
    expect_that!(places.has_extra_room(), eq(true));
}
