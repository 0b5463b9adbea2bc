//! When upstreams are probed, and how their losses affect their zone and the calls that ran there.

use catkin_decisions::{
    AvailabilityZone, Crash, CrashPhase, CrashTracker, Instant, SILENCE_TIMEOUT, UpstreamHealth,
    UpstreamIncarnation, ZoneOutageDetector,
};
use googletest::prelude::*;
use std::time::Duration;

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

fn id(name: &str) -> UpstreamIncarnation {
    name.parse().unwrap()
}

/// Many calls wait at a silent upstream. It is probed once, not once for each of them.
#[gtest]
fn silent_upstream_is_probed_once() {
    let mut health = UpstreamHealth::new(at(0));
    for _ in 0..50 {
        health.call_started(at(1000));
    }
    let silent = at(1000).after(SILENCE_TIMEOUT);

    let probed = [
        health.start_probe_if_due(at(1100)),
        health.start_probe_if_due(silent),
        health.start_probe_if_due(silent.after(SILENCE_TIMEOUT)),
    ];

    expect_that!(probed, eq([false, true, false]));
}

/// No call is in flight to an upstream, so its silence means nothing.
#[gtest]
fn idle_upstream_is_not_probed() {
    let mut health = UpstreamHealth::new(at(0));
    health.call_started(at(10));
    health.call_ended();

    let probed = health.start_probe_if_due(at(60_000));

    expect_that!(probed, eq(false));
}

/// An upstream does not respond. It is probed at growing intervals, and is trusted again as soon as
/// anything comes from it.
#[gtest]
fn suspect_is_probed_with_backoff() {
    let mut health = UpstreamHealth::new(at(0));
    let mut probe_times = Vec::new();
    health.record_failure(at(0));
    for ms in (0..8000).step_by(50) {
        if health.start_probe_if_due(at(ms)) {
            probe_times.push(ms);
            health.probe_ended();
            health.record_failure(at(ms));
        }
    }
    let suspect = health.is_suspect();
    health.record_activity(at(8000));

    expect_that!(probe_times, eq(&[400, 1200, 2800, 4400, 6000, 7600]));
    expect_that!(suspect, eq(true));
    expect_that!(health.is_suspect(), eq(false));
}

/// One upstream fails repeatedly, which says nothing about its zone. Three that are lost together make the
/// zone suspect, which is used again soon after.
#[gtest]
fn zone_is_suspect_after_several_upstreams_are_lost_together() {
    let zone: AvailabilityZone = "a".parse().unwrap();
    let mut alarm = ZoneOutageDetector::default();

    let one = (0..5).any(|n| alarm.record_loss(&zone, &id("u1"), at(100 * n)));
    let apart = alarm.record_loss(&zone, &id("u2"), at(1500))
        || alarm.record_loss(&zone, &id("u3"), at(2200));
    let together = alarm.record_loss(&zone, &id("u4"), at(2300))
        || alarm.record_loss(&zone, &id("u5"), at(2400));

    expect_that!((one, apart, together), eq((false, false, true)));
    expect_that!(alarm.is_suspect(&zone, at(2500)), eq(true));
    expect_that!(alarm.is_suspect(&zone, at(5000)), eq(false));
    expect_that!(alarm.is_suspect(&"b".parse().unwrap(), at(2500)), eq(false));
}

/// A call crashes each upstream that runs it, and its caller retries it on any VM. After three upstreams
/// have crashed it is refused, whichever VM observed the crashes.
#[gtest]
fn call_is_refused_after_three_crashes() {
    let mut tracker = CrashTracker::default();
    let crash = |upstream: &str| Crash::of_body(7, id(upstream), CrashPhase::BeforeEvent, at(0));

    tracker.record_crash(crash("u1"));
    tracker.record_crash(crash("u2"));
    let repeated_is_new = tracker.record_crash(crash("u2"));
    let refused_after_two = tracker.is_refused(7, at(10));
    tracker.record_crash(crash("u3"));

    expect_that!(repeated_is_new, eq(false));
    expect_that!(refused_after_two, eq(false));
    expect_that!(tracker.is_refused(7, at(10)), eq(true));
    expect_that!(tracker.is_refused(8, at(10)), eq(false));
}

/// A call's upstreams crashed in zone after zone by coincidence, and then it received a complete response.
/// It is cleared and may be sent again.
#[gtest]
fn completed_call_is_cleared() {
    let mut tracker = CrashTracker::default();
    for upstream in ["u1", "u2", "u3"] {
        tracker.record_crash(Crash::of_body(
            7,
            id(upstream),
            CrashPhase::BeforeEvent,
            at(0),
        ));
    }

    tracker.record_complete_response(7);

    expect_that!(tracker.is_refused(7, at(10)), eq(false));
}
