//! The adaptive limit on what is in flight at one upstream.

use catkin_decisions::{
    CapacityReport, CapacityShare, ConcurrencyLimit, Instant, Lane, UpstreamSlots,
};
use googletest::prelude::*;
use std::time::Duration;

fn ms(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}

/// Answers of an upstream that runs `servers` requests of 20 ms at once, to a node that keeps its
/// whole limit in flight there.
fn answer_full(limit: &mut ConcurrencyLimit, servers: u32, answers: u32) {
    for _ in 0..answers {
        let in_flight = limit.limit();
        limit.answered(ms(20) * in_flight.max(servers) / servers, in_flight);
    }
}

#[gtest]
fn rises_to_what_the_upstream_runs_and_not_far_beyond() {
    let mut limit = ConcurrencyLimit::default();

    answer_full(&mut limit, 16, 20_000);

    expect_that!(limit.limit(), all![ge(16), le(28)]);
}

#[gtest]
fn does_not_rise_while_it_is_not_reached() {
    let mut limit = ConcurrencyLimit::default();
    let before = limit.limit();

    for _ in 0..1000 {
        limit.answered(ms(20), 1);
    }

    expect_that!(limit.limit(), eq(before));
}

/// An upstream turns five times slower under load. Requests would pile up inside it, where no
/// deadline reaches them, and its callers would wait for all of them.
#[gtest]
fn falls_when_the_upstream_slows_down() {
    let mut limit = ConcurrencyLimit::default();
    answer_full(&mut limit, 16, 5000);
    let before = limit.limit();

    for _ in 0..2000 {
        limit.answered(ms(100), limit.limit());
    }

    expect_that!(limit.limit(), le(before / 4));
}

/// An upstream stays slower for good, as with a larger model. A limit that never took that for its
/// new usual latency would stay near its minimum and leave the upstream idle. That nothing waits in
/// the upstream shows that its latency is its own.
#[gtest]
fn accepts_a_lasting_change_of_latency() {
    let mut limit = ConcurrencyLimit::default();
    answer_full(&mut limit, 16, 5000);
    limit.reported(0);

    for _ in 0..20_000 {
        limit.answered(ms(100), limit.limit());
    }

    expect_that!(limit.limit(), ge(8));
}

#[gtest]
fn falls_at_a_refusal_but_never_to_nothing() {
    let mut limit = ConcurrencyLimit::default();

    for _ in 0..100 {
        limit.overloaded();
    }

    expect_that!(limit.limit(), eq(1));
}

fn places(capacity: u32, sharers: u32) -> UpstreamSlots {
    let mut places = UpstreamSlots::default();
    let report = CapacityReport {
        capacity,
        waiting: 0,
    };
    let draw = 999;
    places.reported(report, CapacityShare { sharers, draw });
    places
}

/// Generations fill an engine. Without the reserve a quick call that comes then waits for one of
/// them to end, for minutes.
#[gtest]
fn long_requests_leave_places_to_quick_calls() {
    let mut places = places(10, 1);
    let now = Instant::default();
    places.note_arrival(now, Lane::Quick);

    while places.has_room(now, Lane::Long) {
        places.enter(now, Lane::Long);
    }

    expect_that!(places.in_flight(Lane::Long), eq(8));
    expect_that!(places.has_room(now, Lane::Quick), eq(true));
}

#[gtest]
fn engine_without_quick_calls_is_used_whole() {
    let places = places(10, 1);

    let share = places.share(Instant(Duration::from_secs(100)), Lane::Long);

    expect_that!(share, eq(10));
}

#[gtest]
fn part_of_a_small_upstream_is_at_least_one_place() {
    let places = places(4, 8);

    expect_that!(places.limit(), eq(1));
}
