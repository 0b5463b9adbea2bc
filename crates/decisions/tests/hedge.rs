//! Hedging of late calls.

use catkin_decisions::{Hedge, HedgeConfig};
use googletest::prelude::*;
use proptest::prelude::*;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A hedge that has recorded 100 calls of 1 to 100 ms.
fn observed_hedge() -> Hedge {
    let mut hedge = Hedge::default();
    (1..=100).for_each(|n| hedge.record_latency(ms(n)));
    hedge
}

#[gtest]
fn a_hedge_is_due_past_the_p95() {
    let hedge = observed_hedge();

    expect_that!(hedge.delay(), some(eq(ms(96))));
}

#[gtest]
fn no_hedge_is_due_before_enough_calls() {
    let mut hedge = Hedge::default();

    hedge.record_latency(ms(5));

    expect_that!(hedge.delay(), none());
}

/// A call that is not idempotent, such as a ticket submission, is late. A hedge could run it twice.
#[gtest]
fn never_hedges_a_call_that_is_not_idempotent() {
    let mut hedge = observed_hedge();

    expect_that!(hedge.try_take(false), eq(false));
    expect_that!(hedge.try_take(true), eq(true));
}

/// All upstreams become slow at once and every call is late. Without the budget, hedges would double the
/// load.
#[gtest]
fn hedges_add_at_most_a_twentieth_when_all_calls_are_late() {
    let mut hedge = observed_hedge();

    let hedges = (0..1000)
        .filter(|_| {
            hedge.record_latency(ms(1000));
            hedge.try_take(true)
        })
        .count();

    expect_that!(hedges, le(1000 / 20 + 5));
}

proptest! {
    #[test]
    fn the_delay_is_the_p95_of_the_window(latencies in prop::collection::vec(0..1000_u64, 64..400)) {
        let mut hedge = Hedge::new(HedgeConfig { window: 64, ..HedgeConfig::default() });

        for n in &latencies {
            hedge.record_latency(ms(*n));
        }

        let mut last = latencies[latencies.len() - 64..].to_vec();
        last.sort_unstable();
        prop_assert_eq!(hedge.delay(), Some(ms(last[60])));
    }
}
