//! Fixtures for tests of poison requests (which crash their upstream) and of requests suspected of being
//! poison.

// Each test file uses only some of the functions.
#![allow(dead_code)]

use catkin_decisions::{
    Incarnation, Instant, PoisonTracker, RequestDigest, TrackedRunId, UpstreamId,
};
use std::time::Duration;

pub const FIRST: Incarnation = Incarnation(1);

pub fn digest(n: u64) -> RequestDigest {
    format!("{n:032x}").parse().expect("32 hexadecimal digits")
}

pub fn poison_digest() -> RequestDigest {
    digest(0)
}

pub fn unrelated_digest() -> RequestDigest {
    digest(1)
}

pub fn at(seconds: u64) -> Instant {
    Instant(Duration::from_secs(seconds))
}

pub fn engine(n: usize) -> UpstreamId {
    format!("engine-{n}").parse().expect("a valid name")
}

pub fn start(tracker: &mut PoisonTracker, digest: RequestDigest, n: usize) -> TrackedRunId {
    start_at(tracker, digest, n, at(0))
}

pub fn start_at(
    tracker: &mut PoisonTracker,
    digest: RequestDigest,
    n: usize,
    now: Instant,
) -> TrackedRunId {
    let engine = engine(n);
    tracker
        .may_start(digest, &engine, true, now)
        .expect("it may start");
    let run = tracker.started(digest, engine, FIRST, now);
    tracker.response_started(run);
    run
}

pub fn crash(tracker: &mut PoisonTracker, n: usize) {
    crash_at(tracker, n, at(0));
}

pub fn crash_at(tracker: &mut PoisonTracker, n: usize, now: Instant) {
    tracker.upstream_crashed(&engine(n), FIRST, now);
}
