//! The retry budget.

use catkin_decisions::{FailedCall, RetryRefusal, ServiceRetryBudget, ServiceRetryBudgetConfig};
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

/// Calls sent in an outage that all callers' calls fail in.
fn sent_in_outage(budget: &mut ServiceRetryBudget, calls: u32) -> u32 {
    (0..calls)
        .map(|_| {
            let mut call = idempotent();
            while budget.retry(call, 0.5).is_ok() {
                call.sent += 1;
            }
            call.sent
        })
        .sum()
}

/// All upstreams of a service fail for a while. Without the budget each call is sent three times;
/// callers notice it as an outage that goes on after its cause is gone.
#[gtest]
fn an_outage_adds_at_most_a_tenth() {
    let mut budget = ServiceRetryBudget::default();
    let mut unbounded = ServiceRetryBudget::new(ServiceRetryBudgetConfig {
        successes_per_retry: 0,
        ..ServiceRetryBudgetConfig::default()
    });

    let sent = sent_in_outage(&mut budget, 1000);
    let baseline = sent_in_outage(&mut unbounded, 1000);

    expect_that!(sent, le(1100));
    expect_that!(baseline, eq(3000));
}

#[gtest]
fn successes_earn_retries() {
    let mut budget = ServiceRetryBudget::default();
    sent_in_outage(&mut budget, 1000);

    let refused = budget.retry(idempotent(), 0.5);
    for _ in 0..10 {
        budget.succeeded();
    }
    let paid = budget.retry(idempotent(), 0.5);

    expect_that!(refused, err(eq(RetryRefusal::Budget)));
    expect_that!(paid, ok(eq(Duration::from_millis(10))));
}

/// A survey write is sent, the connection breaks, and nobody knows whether it ran. A retry could
/// write the record twice.
#[gtest]
fn never_repeats_what_may_have_run() {
    let mut budget = ServiceRetryBudget::default();
    let call = FailedCall {
        sent: 1,
        ..FailedCall::default()
    };

    let refused = budget.retry(call, 0.5);
    let known_not_run = budget.retry(
        FailedCall {
            not_run: true,
            ..call
        },
        0.5,
    );

    expect_that!(refused, err(eq(RetryRefusal::MayHaveRun)));
    expect_that!(known_not_run, ok(anything()));
}

/// A request crashes each upstream that runs it. Retried, it would take one upstream after another.
#[gtest]
fn never_repeats_a_poisoned_request() {
    let mut budget = ServiceRetryBudget::default();
    let call = FailedCall {
        poisoned: true,
        ..idempotent()
    };

    let refused = budget.retry(call, 0.5);

    expect_that!(refused, err(eq(RetryRefusal::Poisoned)));
    expect_that!(budget.retries(), eq(10));
}

proptest! {
    #[test]
    fn retries_never_exceed_what_successes_earned(events in prop::collection::vec(any::<bool>(), 0..400)) {
        let mut budget = ServiceRetryBudget::default();
        let (mut successes, mut retries) = (0, 0);

        for success in events {
            if success {
                budget.succeeded();
                successes += 1;
            } else if budget.retry(idempotent(), 0.0).is_ok() {
                retries += 1;
            }
        }

        prop_assert!(retries <= 10 + successes / 10);
    }

    #[test]
    fn waits_stay_below_their_bound(sent in 1..3_u32, random in 0.0..1.0_f64) {
        let mut budget = ServiceRetryBudget::default();

        let wait = budget.retry(FailedCall { sent, ..idempotent() }, random).expect("a full budget");

        prop_assert!(wait <= Duration::from_millis(20) * (1 << (sent - 1)));
    }
}
