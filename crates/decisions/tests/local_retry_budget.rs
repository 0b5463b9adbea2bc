//! Tests of the retry budget that successful calls replenish.

use catkin_decisions::{FailedCall, LocalRetryBudget, LocalRetryBudgetConfig, RetryRefusal};
use googletest::prelude::*;
use proptest::prelude::*;
use std::time::Duration;

fn idempotent() -> FailedCall {
    FailedCall {
        idempotent: true,
        sent: 1,
        ..FailedCall::default()
    }
}

/// Number of calls sent, including retries, in an outage in which all `calls` fail.
fn sent_in_outage(budget: &mut LocalRetryBudget, calls: u32) -> u32 {
    (0..calls)
        .map(|_| {
            let mut call = idempotent();
            while budget.try_retry(call, 0.5).is_ok() {
                call.sent += 1;
            }
            call.sent
        })
        .sum()
}

/// Guards against retries that triple the load while all upstreams of a service fail. The outage would
/// continue after its cause has ended.
#[gtest]
fn an_outage_adds_at_most_a_tenth() {
    let mut budget = LocalRetryBudget::default();
    let mut unbounded = LocalRetryBudget::new(LocalRetryBudgetConfig {
        successes_per_retry: 0,
        ..LocalRetryBudgetConfig::default()
    });

    let sent = sent_in_outage(&mut budget, 1000);
    let baseline = sent_in_outage(&mut unbounded, 1000);

    expect_that!(sent, le(1100));
    expect_that!(baseline, eq(3000));
}

#[gtest]
fn successes_earn_retries() {
    let mut budget = LocalRetryBudget::default();
    sent_in_outage(&mut budget, 1000);

    let refused = budget.try_retry(idempotent(), 0.5);
    for _ in 0..10 {
        budget.record_success();
    }
    let allowed = budget.try_retry(idempotent(), 0.5);

    expect_that!(refused, err(eq(RetryRefusal::Budget)));
    expect_that!(allowed, ok(eq(Duration::from_millis(10))));
}

/// Guards against a retry of a write whose connection broke: it may have run, and a retry could write
/// the record twice.
#[gtest]
fn never_retries_a_call_that_may_have_run() {
    let mut budget = LocalRetryBudget::default();
    let call = FailedCall {
        sent: 1,
        ..FailedCall::default()
    };

    let refused = budget.try_retry(call, 0.5);
    let known_not_run = budget.try_retry(
        FailedCall {
            not_run: true,
            ..call
        },
        0.5,
    );

    expect_that!(refused, err(eq(RetryRefusal::MayHaveRun)));
    expect_that!(known_not_run, ok(anything()));
}

/// Guards against a retry of a request that crashes every upstream that runs it.
#[gtest]
fn never_retries_a_poisoned_request() {
    let mut budget = LocalRetryBudget::default();
    let call = FailedCall {
        poisoned: true,
        ..idempotent()
    };

    let refused = budget.try_retry(call, 0.5);

    expect_that!(refused, err(eq(RetryRefusal::Poisoned)));
    expect_that!(budget.available_retries(), eq(10));
}

proptest! {
    #[test]
    fn retries_never_exceed_the_earned_ones_and_the_burst(events in prop::collection::vec(any::<bool>(), 0..400)) {
        let mut budget = LocalRetryBudget::default();
        let (mut successes, mut retries) = (0, 0);

        for success in events {
            if success {
                budget.record_success();
                successes += 1;
            } else if budget.try_retry(idempotent(), 0.0).is_ok() {
                retries += 1;
            }
        }

        prop_assert!(retries <= 10 + successes / 10);
    }

    #[test]
    fn delays_stay_within_their_bound(sent in 1..3_u32, random in 0.0..1.0_f64) {
        let mut budget = LocalRetryBudget::default();

        let delay = budget.try_retry(FailedCall { sent, ..idempotent() }, random).expect("a full budget");

        prop_assert!(delay <= Duration::from_millis(20) * (1 << (sent - 1)));
    }
}
