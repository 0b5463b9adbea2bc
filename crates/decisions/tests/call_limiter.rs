//! Tests that the platform call limiter prevents retry storms during an outage and at its end.

use catkin_decisions::{CallLimiter, CallLimiterSettings, Instant};
use googletest::prelude::*;
use std::time::Duration;

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

fn budget() -> CallLimiter {
    CallLimiter::new(CallLimiterSettings {
        refill_interval: Duration::from_millis(100),
        burst: 5,
        ..CallLimiterSettings::default()
    })
}

#[gtest]
fn allows_a_burst_and_then_the_configured_rate() {
    let mut budget = budget();

    let at_once = (0..20).filter(|_| budget.try_take(at(1000))).count();
    let over_a_second = (1..=100)
        .filter(|tick| budget.try_take(at(1000 + tick * 10)))
        .count();

    expect_that!(at_once, eq(5));
    expect_that!(over_a_second, eq(10));
}

/// Guards against a retry storm during an outage of a minute in which a call is due every
/// millisecond. If all were sent, the platform would have to refuse them when it recovers.
#[gtest]
fn few_calls_probe_an_outage() {
    let mut budget = budget();

    let mut sent = 0;
    for ms in 0..60_000 {
        if budget.try_take(at(ms)) {
            sent += 1;
            budget.record_failure(at(ms), 0.5);
        }
    }

    expect_that!(sent, all![ge(60), le(100)]);
}

/// Guards against a burst of accumulated calls when an outage ends. The first response ends the
/// backoff, and the waiting calls are sent at the configured rate.
#[gtest]
fn no_retry_storm_at_the_end_of_an_outage() {
    let mut budget = budget();
    for ms in 0..60_000 {
        if budget.try_take(at(ms)) {
            budget.record_failure(at(ms), 1.0);
        }
    }

    let sent = (60_000..62_000)
        .filter(|ms| {
            let allowed = budget.try_take(at(*ms));
            if allowed {
                budget.record_response();
            }
            allowed
        })
        .count();

    expect_that!(sent, all![ge(10), le(5 + 20)]);
}

/// Guards against a backoff after a single lost response, which would delay the call that finds out
/// whether the lost call took effect.
#[gtest]
fn a_single_failure_causes_no_backoff() {
    let mut budget = budget();
    assert!(budget.try_take(at(0)));
    budget.record_failure(at(0), 1.0);

    let next = budget.try_take(at(1));

    expect_that!(next, eq(true));
    expect_that!(budget.time_until_available(at(1)), eq(Duration::ZERO));
}
