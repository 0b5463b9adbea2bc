//! When upstreams are probed, and how their losses affect their zone and the calls that ran there.

use catkin_decisions::{
    AvailabilityZone, Crash, CrashPhase, CrashTracker, Instant, PROBE_TIMEOUT, ProbeAttempt,
    SILENCE_TIMEOUT, UpstreamHealth, UpstreamIncarnation, ZoneOutageDetector,
};
use googletest::prelude::*;
use std::time::Duration;

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

/// A delay of this process that counts as a pause.
const OWN_DELAY: Duration = Duration::from_millis(100);

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

/// Guards against a pause of this process that counts as an upstream which does not answer its probe.
#[gtest]
fn probe_whose_timeout_fires_late_is_void_and_repeated_once() {
    let late = at(0).after(PROBE_TIMEOUT).after(OWN_DELAY);
    let first = ProbeAttempt::first(at(0), 0);

    let repeated = first.repeat(late, 0);
    let again = repeated.and_then(|probe| probe.repeat(late.after(OWN_DELAY * 4), 0));

    expect_that!(repeated.map(ProbeAttempt::sent), some(eq(late)));
    expect_that!(again.is_none(), eq(true));
}

/// Guards against an upstream that is down and is probed twice although this process did not pause.
#[gtest]
fn probe_whose_timeout_fires_in_time_is_not_repeated() {
    let first = ProbeAttempt::first(at(0), 3);

    let repeated = first.repeat(at(5).after(PROBE_TIMEOUT), 3);

    expect_that!(repeated.is_none(), eq(true));
}

/// Guards against a pause that ends just before the timeout of a probe: the response has arrived, but is not read yet.
#[gtest]
fn probe_within_which_a_check_is_late_is_void() {
    let mut health = UpstreamHealth::new(at(0));
    let first = ProbeAttempt::first(at(0), health.pauses());
    health.record_check(OWN_DELAY, at(100));

    let repeated = first.repeat(at(0).after(PROBE_TIMEOUT), health.pauses());

    expect_that!(repeated.is_some(), eq(true));
}

/// Guards against a pause of this process that counts as the silence of all upstreams.
#[gtest]
fn silence_is_counted_without_own_delays() {
    let mut health = UpstreamHealth::new(at(0));
    health.call_started(at(0));
    health.record_check(OWN_DELAY, at(100).after(OWN_DELAY));

    let silent = at(0).after(SILENCE_TIMEOUT);
    let before = health.start_probe_if_due(silent);
    let after = health.start_probe_if_due(silent.after(OWN_DELAY));

    expect_that!([before, after], eq([false, true]));
}

/// Guards against a delay that moves the last response into the future.
#[gtest]
fn data_read_after_a_pause_is_not_from_the_future() {
    let mut health = UpstreamHealth::new(at(0));
    health.call_started(at(0));
    health.record_activity(at(300));
    health.record_check(OWN_DELAY, at(300));

    let due = health.start_probe_if_due(at(300).after(SILENCE_TIMEOUT));

    expect_that!(due, eq(true));
}

/// Guards against a dead upstream that is never found on a VM whose checks and timeouts are always late.
#[gtest]
fn dead_upstream_is_found_although_all_checks_are_late() {
    let mut health = UpstreamHealth::new(at(0));
    health.call_started(at(0));
    let mut failed_at = None;
    let mut probe = None;
    for ms in (0..5000).step_by(250) {
        health.record_check(Duration::from_millis(200), at(ms));
        match probe {
            None if health.start_probe_if_due(at(ms)) => {
                probe = Some(ProbeAttempt::first(at(ms), health.pauses()));
            }
            None => {}
            Some(sent) => {
                probe = sent.repeat(at(ms), health.pauses());
                if probe.is_none() {
                    failed_at = failed_at.or(Some(ms));
                }
            }
        }
    }

    expect_that!(failed_at, some(le(1500)));
}
