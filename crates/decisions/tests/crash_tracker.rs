//! Counting of upstreams that crash while running the same call.

use catkin_decisions::{Crash, CrashPhase, CrashTracker, Instant, UpstreamIncarnation};
use googletest::prelude::*;
use std::time::Duration;

const CRASHING: u64 = 1;
const HARMLESS: u64 = 2;

fn at(seconds: u64) -> Instant {
    Instant(Duration::from_secs(seconds))
}

fn upstream(n: u64) -> UpstreamIncarnation {
    format!("engine-{n}").parse().expect("a valid name")
}

fn crash(digest: u64, n: u64, seconds: u64) -> Crash {
    Crash::of_body(digest, upstream(n), CrashPhase::BeforeEvent, at(seconds))
}

fn tracker(crashes: impl IntoIterator<Item = Crash>) -> CrashTracker {
    let mut tracker = CrashTracker::default();
    for crash in crashes {
        tracker.record_crash(crash);
    }
    tracker
}

/// Sends crashes from one VM to another, as a heartbeat does.
fn send_crashes(from: &mut CrashTracker, to: &mut CrashTracker, seconds: u64) {
    for crash in from.next_to_send(12, at(seconds)) {
        to.record_reported(crash.received(at(seconds)), at(seconds));
    }
}

#[gtest]
fn third_crash_refuses_the_call() {
    let refused = [2, 3].map(|n| {
        let tracker = tracker((0..n).map(|n| crash(CRASHING, n, 0)));
        tracker.is_refused(CRASHING, at(1))
    });

    expect_that!(refused, eq([false, true]));
}

/// A zone's engines crash together under forty calls, and a heartbeat holds twelve crashes. If always the
/// latest twelve were sent, a call recorded before the others would never be reported and would cost each
/// VM three engines.
#[gtest]
fn every_crash_is_sent_eventually() {
    let mut local = tracker((0..40).map(|n| crash(n, n % 5, 0)));
    let mut peer = CrashTracker::default();

    for _ in 0..4 {
        send_crashes(&mut local, &mut peer, 1);
    }

    let received = (0..40).filter(|n| peer.crash_count(*n, at(1)) == 1);
    expect_that!(received.count(), eq(40));
}

/// Engines crash under a call by coincidence, and it receives a complete response in the end. Crashes that
/// another VM received and sends back must not cause the call to be refused when its caller retries it.
#[gtest]
fn completed_call_is_not_refused_for_crashes_sent_back() {
    let mut local = tracker((0..3).map(|n| crash(HARMLESS, n, 0)));
    let mut peer = CrashTracker::default();
    send_crashes(&mut local, &mut peer, 0);
    local.record_complete_response(HARMLESS);

    send_crashes(&mut peer, &mut local, 1);

    expect_that!(local.is_refused(HARMLESS, at(1)), eq(false));
}

/// The other VM learns that the call received a response, and serves it as well.
#[gtest]
fn peers_learn_that_a_call_completed() {
    let mut local = tracker((0..3).map(|n| crash(HARMLESS, n, 0)));
    let mut peer = CrashTracker::default();
    send_crashes(&mut local, &mut peer, 0);
    let before = peer.is_refused(HARMLESS, at(1));

    local.record_complete_response(HARMLESS);
    send_crashes(&mut local, &mut peer, 1);

    expect_that!(before, eq(true));
    expect_that!(peer.is_refused(HARMLESS, at(1)), eq(false));
}

/// A crash after a complete response counts like any other.
#[gtest]
fn crashes_after_a_complete_response_count() {
    let mut tracker = tracker((0..2).map(|n| crash(CRASHING, n, 0)));
    tracker.record_complete_response(CRASHING);

    for n in 2..5 {
        tracker.record_crash(crash(CRASHING, n, 1));
    }

    expect_that!(tracker.is_refused(CRASHING, at(2)), eq(true));
}

/// A stream ran beside the call that crashes engines when the third of them crashed, and has lost two more
/// engines by coincidence since. If the first crash were attributed to it, its caller would be refused for
/// ten minutes.
#[gtest]
fn crashes_explained_by_a_refused_call_are_not_attributed_to_others() {
    let crashing = (0..3).map(|n| crash(CRASHING, n, n));
    let beside = [(2, 2), (3, 4), (4, 5)].map(|(n, seconds)| crash(HARMLESS, n, seconds));

    let tracker = tracker(crashing.chain(beside));

    expect_that!(tracker.is_refused(CRASHING, at(6)), eq(true));
    expect_that!(tracker.is_refused(HARMLESS, at(6)), eq(false));
}

/// Two calls under which the same engines crashed cannot be distinguished.
#[gtest]
fn calls_with_the_same_crashes_are_both_refused() {
    let both = [CRASHING, HARMLESS].map(|digest| (0..3).map(move |n| crash(digest, n, n)));

    let tracker = tracker(both.into_iter().flatten());

    let refused = [CRASHING, HARMLESS].map(|digest| tracker.is_refused(digest, at(4)));
    expect_that!(refused, eq([true, true]));
}

fn crash_after_event(digest: u64, n: u64, seconds: u64) -> Crash {
    Crash {
        phase: CrashPhase::AfterEvent,
        ..crash(digest, n, seconds)
    }
}

/// Guards against sending an accepted call on after its third crash before an event.
#[gtest]
fn third_crash_before_an_event_forbids_another_send() {
    let forbidden = [2, 3].map(|n| {
        let tracker = tracker((0..n).map(|n| crash(CRASHING, n, 0)));
        tracker.forbids_resend(CRASHING, at(1))
    });

    expect_that!(forbidden, eq([false, true]));
}

/// Guards against two failures: a call that crashes engines after an event is sent on for ever, and one whose
/// engines crash by coincidence in the middle of its stream is cut.
#[gtest]
fn crashes_after_an_event_count_half() {
    let forbidden = [5, 6].map(|n| {
        let tracker = tracker((0..n).map(|n| crash_after_event(CRASHING, n, 0)));
        tracker.forbids_resend(CRASHING, at(1))
    });

    expect_that!(forbidden, eq([false, true]));
}

/// Guards against a report of a VM whose run had produced events, which must not hide that another run had not.
#[gtest]
fn crash_before_an_event_outweighs_one_after_it() {
    for order in [[0, 1], [1, 0]] {
        let reports = [crash(CRASHING, 0, 0), crash_after_event(CRASHING, 0, 0)];
        let others = (1..3).map(|n| crash(CRASHING, n, 0));

        let tracker = tracker(order.map(|i| reports[i].clone()).into_iter().chain(others));

        expect_that!(tracker.forbids_resend(CRASHING, at(1)), eq(true));
    }
}

/// Guards against two bodies that crash the same engines hiding each other: the second one may not cost
/// more than three engines of its own.
#[gtest]
fn second_crashing_body_is_stopped_after_three_crashes_of_its_own() {
    let first = (0..3).map(|n| crash(CRASHING, n, n));
    let second = (1..6).map(|n| crash(HARMLESS, n, n + 1));

    let tracker = tracker(first.chain(second));

    expect_that!(tracker.forbids_resend(CRASHING, at(9)), eq(true));
    expect_that!(tracker.forbids_resend(HARMLESS, at(9)), eq(true));
}

/// Guards against a VM that has started since a body was refused and loses three engines to it.
#[gtest]
fn refused_bodies_are_known_to_vms_that_start_later() {
    let mut tracker = tracker((0..3).map(|n| crash(CRASHING, n, n)));
    tracker.record_crash(crash(HARMLESS, 7, 1));
    let mut other = CrashTracker::default();

    send_crashes(&mut tracker, &mut other, 300);
    for crash in tracker.next_refused(at(300)) {
        other.record_reported(crash.received(at(300)), at(300));
    }

    expect_that!(other.is_refused(CRASHING, at(301)), eq(true));
    expect_that!(other.crash_count(HARMLESS, at(301)), eq(0));
}

/// Guards against a crash of many engines under thousands of calls, which evicted the crashes of a refused body.
#[gtest]
fn crash_of_many_engines_does_not_clear_a_refused_body() {
    let refused = (0..3).map(|n| crash(CRASHING, n, 0));
    let others = (0..9000).map(|n| crash(100 + n, 10 + n / 500, 1 + n / 500));

    let tracker = tracker(refused.chain(others));

    expect_that!(tracker.is_refused(CRASHING, at(30)), eq(true));
}
