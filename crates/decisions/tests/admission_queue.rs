//! Admission: who waits, who is refused at once, and what becomes of those whose time is over.

use catkin_decisions::{
    AdmissionConfig, AdmissionQueue, Arrival, CapacityReport, CapacityShare, Instant, Lane,
    QueuePosition, QueueTeam, Queued, RefusalReason, UpstreamId,
};
use googletest::prelude::*;
use std::time::Duration;

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

fn upstream() -> UpstreamId {
    "worker".parse().expect("a valid id")
}

fn arrival(deadline_ms: u64) -> Arrival {
    Arrival {
        team: QueueTeam {
            id: "counter".parse().expect("a valid name"),
            weight: 1,
        },
        lane: Lane::Quick,
        cost: 1,
        deadline: at(deadline_ms),
    }
}

/// A queue before one upstream with two places and calls of 100 ms.
fn queue() -> AdmissionQueue<u32> {
    let mut queue = AdmissionQueue::new(AdmissionConfig::default());
    queue.set_upstreams([upstream()]);
    let report = CapacityReport {
        capacity: 2,
        waiting: 0,
    };
    let share = CapacityShare {
        sharers: 1,
        draw: 999,
    };
    queue.reported(&upstream(), report, share);
    queue.enter(at(0), Lane::Quick, &upstream());
    queue.leave(Lane::Quick, &upstream(), Some(Duration::from_millis(100)));
    queue
}

/// The same with both places taken.
fn full_queue() -> AdmissionQueue<u32> {
    let mut queue = queue();
    queue.enter(at(0), Lane::Quick, &upstream());
    queue.enter(at(0), Lane::Quick, &upstream());
    queue
}

fn admit(queue: &mut AdmissionQueue<u32>, request: u32, deadline_ms: u64) -> QueuePosition {
    queue
        .offer(at(0), &arrival(deadline_ms), Queued::new(request))
        .expect("it can start in time")
}

#[gtest]
fn request_with_room_starts_however_near_its_deadline() {
    let mut queue = queue();

    let place = queue.offer(at(0), &arrival(110), Queued::new(1));

    expect_that!(place.is_ok(), eq(true));
    let dispatched = queue.dispatch(at(0), Lane::Quick, &upstream());
    expect_that!(dispatched.map(|it| *it.request()), some(eq(1)));
}

/// Twenty calls wait for two places of 100 ms each, so the next one would start after a second. Its
/// caller gives up after half of that, and is better told now.
#[gtest]
fn refuses_at_once_what_cannot_start_in_time() {
    let mut queue = full_queue();
    for request in 0..20 {
        admit(&mut queue, request, 60_000);
    }

    let refused = queue.offer(at(0), &arrival(600), Queued::new(99));

    let refused = refused.expect_err("it cannot start in time");
    expect_that!(refused.reason(), eq(RefusalReason::DeadlineTooNear));
    // 21 calls at 20 a second take 1050 ms; 6/10 of the 500 ms until its latest start are allowed.
    expect_that!(refused.retry_after(), eq(Duration::from_millis(750)));
    expect_that!(refused.into_request(), eq(99));
}

#[gtest]
fn refuses_what_the_queue_cannot_hold() {
    let mut queue = AdmissionQueue::new(AdmissionConfig {
        longest_queue: 1,
        ..AdmissionConfig::default()
    });
    admit(&mut queue, 1, 1000);

    let refused = queue.offer(at(0), &arrival(1000), Queued::new(2));

    let refused = refused.expect_err("the queue is full");
    expect_that!(refused.reason(), eq(RefusalReason::QueueFull));
}

/// Upstreams turn slow after a call was admitted. It is told so at its latest start, while its
/// caller still has time for something else, and never sent.
#[gtest]
fn request_that_cannot_start_any_more_is_refused_before_its_deadline() {
    let mut queue = full_queue();
    admit(&mut queue, 1, 1000);

    let early = queue.expire(at(899));
    let expired = queue.expire(at(900));

    expect_that!(early.len(), eq(0));
    expect_that!(expired.len(), eq(1));
    expect_that!(expired[0].reason(), eq(RefusalReason::DeadlineTooNear));
    expect_that!(queue.waiting(Lane::Quick), eq(0));
}

#[gtest]
fn caller_that_left_frees_its_place_in_the_queue() {
    let mut queue = full_queue();
    let first = admit(&mut queue, 1, 60_000);
    admit(&mut queue, 2, 60_000);

    let withdrawn = queue.withdraw(first).expect("it still waits");

    expect_that!(withdrawn.reason(), eq(RefusalReason::CallerLeft));
    queue.leave(Lane::Quick, &upstream(), None);
    let next = queue.dispatch(at(1), Lane::Quick, &upstream());
    expect_that!(next.map(|it| *it.request()), some(eq(2)));
}

#[gtest]
fn upstream_without_room_is_named_full_until_a_place_is_given_back() {
    let mut queue = full_queue();

    let full = queue.full(at(0), Lane::Quick);
    queue.leave(Lane::Quick, &upstream(), None);

    expect_that!(full, eq(&vec![upstream()]));
    expect_that!(queue.full(at(0), Lane::Quick), is_empty());
}

/// A new bundle names the upstreams anew while requests are in flight on one that stays. Were its
/// count lost, the upstream would be sent as much again as it already runs.
#[gtest]
fn upstream_that_stays_keeps_its_count() {
    let mut queue = full_queue();

    queue.set_upstreams([upstream(), "another".parse().expect("a valid id")]);

    expect_that!(queue.full(at(0), Lane::Quick), eq(&vec![upstream()]));
}
