//! Tests of the adaptive limit on requests in flight at one upstream.

use catkin_decisions::{
    CapacityReport, CapacityShare, ConcurrencyLimit, Instant, Lane, UpstreamSlots,
};
use googletest::prelude::*;
use std::time::Duration;

fn ms(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}

/// Records responses of an upstream that runs `servers` requests of 20 ms at once, for a VM that always
/// has as many requests in flight as its limit allows.
fn respond_at_limit(limit: &mut ConcurrencyLimit, servers: u32, responses: u32) {
    for _ in 0..responses {
        let in_flight = limit.limit();
        limit.record_latency(ms(20) * in_flight.max(servers) / servers, in_flight);
    }
}

#[gtest]
fn rises_to_the_capacity_of_the_upstream_and_not_far_beyond() {
    let mut limit = ConcurrencyLimit::default();

    respond_at_limit(&mut limit, 16, 20_000);

    expect_that!(limit.limit(), all![ge(16), le(28)]);
}

#[gtest]
fn does_not_rise_while_it_is_not_reached() {
    let mut limit = ConcurrencyLimit::default();
    let before = limit.limit();

    for _ in 0..1000 {
        limit.record_latency(ms(20), 1);
    }

    expect_that!(limit.limit(), eq(before));
}

/// Guards against requests that accumulate inside an upstream, where no deadline applies, after it
/// became five times slower under load.
#[gtest]
fn falls_when_the_upstream_slows_down() {
    let mut limit = ConcurrencyLimit::default();
    respond_at_limit(&mut limit, 16, 5000);
    let before = limit.limit();

    for _ in 0..2000 {
        limit.record_latency(ms(100), limit.limit());
    }

    expect_that!(limit.limit(), le(before / 4));
}

/// Guards against a limit that stays near its minimum and leaves the upstream idle after its latency
/// has risen permanently, for example with a larger model. The upstream reports no waiting requests,
/// so the latency is not queueing.
#[gtest]
fn adapts_to_a_permanent_change_of_latency() {
    let mut limit = ConcurrencyLimit::default();
    respond_at_limit(&mut limit, 16, 5000);
    limit.record_waiting(0);

    for _ in 0..20_000 {
        limit.record_latency(ms(100), limit.limit());
    }

    expect_that!(limit.limit(), ge(8));
}

#[gtest]
fn falls_on_refusals_but_not_below_the_minimum() {
    let mut limit = ConcurrencyLimit::default();

    for _ in 0..100 {
        limit.record_overload();
    }

    expect_that!(limit.limit(), eq(1));
}

fn slots(capacity: u32, sharers: u32) -> UpstreamSlots {
    let mut slots = UpstreamSlots::default();
    let report = CapacityReport {
        capacity,
        waiting: 0,
    };
    let rounding_threshold = 999;
    slots.record_report(
        report,
        CapacityShare {
            sharers,
            rounding_threshold,
        },
    );
    slots
}

/// Guards against generations that fill an engine, so that a quick call waits minutes for one of them
/// to end.
#[gtest]
fn long_requests_leave_slots_to_quick_calls() {
    let mut slots = slots(10, 1);
    let now = Instant::default();
    slots.record_arrival(now, Lane::Quick);

    while slots.has_free_slot(now, Lane::Long) {
        slots.acquire(now, Lane::Long);
    }

    expect_that!(slots.in_flight(Lane::Long), eq(8));
    expect_that!(slots.has_free_slot(now, Lane::Quick), eq(true));
}

#[gtest]
fn engine_without_quick_calls_is_fully_used() {
    let slots = slots(10, 1);

    let share = slots.lane_limit(Instant(Duration::from_secs(100)), Lane::Long);

    expect_that!(share, eq(10));
}

#[gtest]
fn part_of_a_small_upstream_is_at_least_one_slot() {
    let slots = slots(4, 8);

    expect_that!(slots.limit(), eq(1));
}
