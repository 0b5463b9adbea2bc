//! Tests of the parts into which VMs divide the capacity of an upstream.

use catkin_decisions::{
    CapacityReport, CapacityShare, Instant, Lane, UpstreamId, UpstreamSlots, VmId,
};
use googletest::prelude::*;

fn vm(i: usize) -> VmId {
    format!("vm-{i}").parse().expect("a valid name")
}

fn upstream(i: usize) -> UpstreamId {
    format!("worker-{i}").parse().expect("a valid id")
}

/// Sum of the parts of all VMs at 100 upstreams of this capacity.
fn sum_of_parts(capacity: u32, vms: usize, lane: Lane) -> u32 {
    let sharers = u32::try_from(vms).expect("a small number");
    let parts = (0..vms).flat_map(|i| {
        (0..100)
            .map(move |j| CapacityShare::of(&vm(i), &upstream(j), sharers).slots(capacity, lane))
    });
    parts.sum()
}

/// Guards against uniform rounding of 4 slots among 3 VMs: rounded down, a quarter of each upstream
/// would stay idle; rounded up, half as much again would wait inside it.
#[gtest]
fn rounded_parts_add_up_to_the_capacity() {
    let sum = sum_of_parts(4, 3, Lane::Long);

    expect_that!(sum, all![ge(380), le(420)]);
}

#[gtest]
fn parts_for_quick_calls_compensate_for_network_delay() {
    let sum = sum_of_parts(16, 8, Lane::Quick);

    expect_that!(sum, all![ge(1860), le(1980)]);
}

#[gtest]
fn part_is_at_least_one_slot() {
    let share = CapacityShare::of(&vm(0), &upstream(0), 400);

    expect_that!(share.slots(8, Lane::Long), eq(1));
}

fn slots() -> UpstreamSlots {
    let mut slots = UpstreamSlots::default();
    let report = CapacityReport {
        capacity: 10,
        waiting: 0,
    };
    let share = CapacityShare {
        sharers: 1,
        rounding_threshold: 999,
    };
    slots.record_report(report, share);
    slots
}

/// Guards against a hot team that fills an upstream beyond its capacity, so that a call of a team
/// below its fair share waits inside the upstream.
#[gtest]
fn teams_below_their_share_have_extra_slots() {
    let mut slots = slots();
    let now = Instant::default();
    let alone = slots.lane_limit(now, Lane::Quick);
    slots.record_below_share(now);

    while slots.has_free_slot(now, Lane::Quick) {
        slots.acquire(now, Lane::Quick);
    }

    expect_that!(alone, eq(12));
    expect_that!(slots.in_flight(Lane::Quick), eq(10));
    expect_that!(slots.has_extra_slot(), eq(true));
}
