//! Conditions under which a graceful shutdown ends.

use catkinward::Drain;
use googletest::prelude::*;
use std::{sync::Arc, time::Duration};

const GRACE: Duration = Duration::from_secs(1);

/// The router is told to shut down while a generation runs that takes minutes. If the drain ended
/// first, the HTTP library would close its connection half a minute later.
#[gtest]
#[tokio::test(start_paused = true)]
async fn drain_lasts_as_long_as_a_request_is_in_flight() {
    let drain = Arc::new(Drain::default());
    let request = drain.enter();
    drain.begin();

    let early = tokio::time::timeout(Duration::from_secs(600), drain.close_when_idle(GRACE)).await;
    drop(request);
    let late = tokio::time::timeout(2 * GRACE, drain.close_when_idle(GRACE)).await;

    expect_that!(early, err(anything()));
    expect_that!(late, ok(eq(&())));
}

/// The load balancer keeps sending for some seconds after the readiness check fails. Requests that
/// arrive in that time are still served, and the drain waits for them.
#[gtest]
#[tokio::test(start_paused = true)]
async fn request_within_the_grace_period_prolongs_the_drain() {
    let drain = Arc::new(Drain::default());
    drain.begin();
    let finished = tokio::spawn({
        let drain = drain.clone();
        async move { drain.close_when_idle(GRACE).await }
    });
    tokio::time::sleep(GRACE / 2).await;
    let request = drain.enter();

    tokio::time::sleep(GRACE * 5).await;

    expect_that!(request.is_some(), eq(true));
    expect_that!(finished.is_finished(), eq(false));
}

/// A request arrives after the drain has ended and before the process exits. It would be
/// interrupted, so it is rejected.
#[gtest]
#[tokio::test(start_paused = true)]
async fn no_request_begins_after_the_drain() {
    let drain = Arc::new(Drain::default());
    drain.begin();
    drain.close_when_idle(GRACE).await;

    let request = drain.enter();

    expect_that!(request.is_none(), eq(true));
}
