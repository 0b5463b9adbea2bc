//! When upstreams are asked whether they live, and what their losses are taken for.

use catkin_decisions::{
    AvailabilityZone, Crash, CrashTracker, Instant, SILENCE_TIMEOUT, UpstreamHealth,
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

/// Many calls wait at an upstream that says nothing. It is asked once, not once for each of them.
#[gtest]
fn silent_upstream_is_asked_once() {
    let mut health = UpstreamHealth::new(at(0));
    for _ in 0..50 {
        health.sent(at(1000));
    }
    let silent = at(1000).after(SILENCE_TIMEOUT);

    let asked = [
        health.probe_due(at(1100)),
        health.probe_due(silent),
        health.probe_due(silent.after(SILENCE_TIMEOUT)),
    ];

    expect_that!(asked, eq([false, true, false]));
}

/// Nothing runs at an upstream, so its silence means nothing.
#[gtest]
fn idle_upstream_is_not_asked() {
    let mut health = UpstreamHealth::new(at(0));
    health.sent(at(10));
    health.ended();

    let asked = health.probe_due(at(60_000));

    expect_that!(asked, eq(false));
}

/// An upstream does not answer. It is asked again, ever more rarely, and is trusted again as soon as
/// anything comes from it.
#[gtest]
fn suspect_is_asked_ever_more_rarely() {
    let mut health = UpstreamHealth::new(at(0));
    let mut asked = Vec::new();
    health.doubt(at(0));
    for ms in (0..8000).step_by(50) {
        if health.probe_due(at(ms)) {
            asked.push(ms);
            health.probed();
            health.doubt(at(ms));
        }
    }
    let suspect = health.is_suspect();
    health.heard(at(8000));

    expect_that!(asked, eq(&[400, 1200, 2800, 4400, 6000, 7600]));
    expect_that!(suspect, eq(true));
    expect_that!(health.is_suspect(), eq(false));
}

/// One upstream breaks again and again. That says nothing of its zone; three that are lost together
/// do, and the zone is used again soon after.
#[gtest]
fn zone_is_suspect_after_several_upstreams_are_lost_together() {
    let zone: AvailabilityZone = "a".parse().unwrap();
    let mut alarm = ZoneOutageDetector::default();

    let one = (0..5).any(|n| alarm.lost(&zone, &id("u1"), at(100 * n)));
    let apart = alarm.lost(&zone, &id("u2"), at(1500)) || alarm.lost(&zone, &id("u3"), at(2200));
    let together = alarm.lost(&zone, &id("u4"), at(2300)) || alarm.lost(&zone, &id("u5"), at(2400));

    expect_that!((one, apart, together), eq((false, false, true)));
    expect_that!(alarm.is_suspect(&zone, at(2500)), eq(true));
    expect_that!(alarm.is_suspect(&zone, at(5000)), eq(false));
    expect_that!(alarm.is_suspect(&"b".parse().unwrap(), at(2500)), eq(false));
}

/// A call crashes each upstream that runs it, and its caller sends it again to any VM. From the third
/// upstream on it is refused, whichever VM saw the deaths.
#[gtest]
fn body_is_refused_after_three_upstreams_died_under_it() {
    let mut tally = CrashTracker::default();
    let crash = |upstream: &str| Crash {
        digest: 7,
        upstream: id(upstream),
        at: at(0),
        cleared: false,
    };

    tally.crashed(crash("u1"));
    tally.crashed(crash("u2"));
    let heard_twice = tally.crashed(crash("u2"));
    let two = tally.refuses(7, at(10));
    tally.crashed(crash("u3"));

    expect_that!(heard_twice, eq(false));
    expect_that!(two, eq(false));
    expect_that!(tally.refuses(7, at(10)), eq(true));
    expect_that!(tally.refuses(8, at(10)), eq(false));
}

/// A call's upstreams died under it in zone after zone, by chance, and then it was answered in whole.
/// It is innocent and may come again.
#[gtest]
fn delivered_body_is_innocent() {
    let mut tally = CrashTracker::default();
    for upstream in ["u1", "u2", "u3"] {
        tally.crashed(Crash {
            digest: 7,
            upstream: id(upstream),
            at: at(0),
            cleared: false,
        });
    }

    tally.delivered(7);

    expect_that!(tally.refuses(7, at(10)), eq(false));
}
