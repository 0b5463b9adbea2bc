//! Budget of calls of the platform: no storm in an outage or at its end.

use catkin_decisions::{CallLimiter, CallLimiterSettings, Instant};
use googletest::prelude::*;
use std::time::Duration;

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

fn budget() -> CallLimiter {
    CallLimiter::new(CallLimiterSettings {
        per_call: Duration::from_millis(100),
        burst: 5,
        ..CallLimiterSettings::default()
    })
}

#[gtest]
fn a_burst_and_then_the_rate_are_let_through() {
    let mut budget = budget();

    let at_once = (0..20).filter(|_| budget.take(at(1000))).count();
    let over_a_second = (1..=100)
        .filter(|tick| budget.take(at(1000 + tick * 10)))
        .count();

    expect_that!(at_once, eq(5));
    expect_that!(over_a_second, eq(10));
}

/// The platform is out for a minute while calls wait for it every millisecond. If each one were
/// sent, the platform would have to refuse them all when it comes back, and callers would wait on.
#[gtest]
fn an_outage_is_probed_by_few_calls() {
    let mut budget = budget();

    let mut sent = 0;
    for ms in 0..60_000 {
        if budget.take(at(ms)) {
            sent += 1;
            budget.failed(at(ms), 0.5);
        }
    }

    expect_that!(sent, all![ge(60), le(100)]);
}

/// The outage ends. The first answered call opens the budget, and what had waited comes at the
/// budget's rate.
#[gtest]
fn the_end_of_an_outage_brings_no_storm() {
    let mut budget = budget();
    for ms in 0..60_000 {
        if budget.take(at(ms)) {
            budget.failed(at(ms), 1.0);
        }
    }

    let sent = (60_000..62_000)
        .filter(|ms| {
            let taken = budget.take(at(*ms));
            if taken {
                budget.answered();
            }
            taken
        })
        .count();

    expect_that!(sent, all![ge(10), le(5 + 20)]);
}

/// One answer is lost. The call that finds out what happened must not wait for a pause.
#[gtest]
fn a_single_fault_pauses_nothing() {
    let mut budget = budget();
    assert!(budget.take(at(0)));
    budget.failed(at(0), 1.0);

    let next = budget.take(at(1));

    expect_that!(next, eq(true));
    expect_that!(budget.wait(at(1)), eq(Duration::ZERO));
}
