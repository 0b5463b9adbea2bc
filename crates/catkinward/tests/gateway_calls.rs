//! Plain calls through a gateway: retries, and the replies to callers.

mod gateway_support;

use catkin_decisions::{CallKind, RefusalReason, Route, SharedRetryBudgetConfig};
use catkinward::gateway::Reply;
use gateway_support::*;
use googletest::prelude::*;
use http::StatusCode;
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

/// Runs `first` for the first send and responds successfully from the second send on.
fn fails_first(
    first: Script,
) -> impl Fn(&catkinward::gateway::UpstreamCall) -> Script + Send + Sync {
    let sends = AtomicUsize::new(0);
    move |_| {
        if sends.fetch_add(1, Ordering::Relaxed) == 0 {
            return first.clone();
        }
        Script::Whole(StatusCode::OK, "yes")
    }
}

fn gateway_failing_first(first: Script) -> Running {
    GatewayFixture::new(fails_first(first))
        .default_upstreams()
        .start()
}

/// An upstream fails an idempotent call, breaks its connection, accepts no connection, or refuses. Another
/// upstream must serve the call.
#[gtest]
#[tokio::test(start_paused = true)]
async fn idempotent_call_fails_over_to_another_upstream() {
    let firsts = [
        Script::Whole(StatusCode::INTERNAL_SERVER_ERROR, "no"),
        Script::Lost,
        Script::NoConnection,
        Script::NotExecuted,
        Script::Unsigned(StatusCode::OK),
    ];
    for first in firsts {
        let running = gateway_failing_first(first.clone());

        let reply = running.handle("/quick/1").await;

        let good = matches!(
            reply,
            Reply::Whole {
                status: StatusCode::OK,
                ..
            }
        );
        expect_that!(good, eq(true), "after {first:?}");
        let sent_to = running.sent_to();
        expect_that!(sent_to.len(), eq(2));
        expect_that!(sent_to[0], not(eq(&sent_to[1])));
    }
}

/// A non-idempotent call is sent again only if there is evidence that it has not run; otherwise, for example,
/// a record could be written twice.
#[gtest]
#[tokio::test(start_paused = true)]
async fn non_idempotent_call_is_retried_only_with_evidence_that_it_has_not_run() {
    let cases = [
        (Script::Lost, 1),
        (Script::Whole(StatusCode::INTERNAL_SERVER_ERROR, "no"), 1),
        (Script::Unsigned(StatusCode::OK), 1),
        (Script::Whole(StatusCode::SERVICE_UNAVAILABLE, "busy"), 1),
        (Script::NotExecuted, 2),
        (Script::NoConnection, 2),
        (Script::OtherIncarnation(None), 2),
    ];
    for (first, sends) in cases {
        let running = gateway_failing_first(first.clone());

        running.handle("/once/1").await;

        expect_that!(running.sent_to().len(), eq(sends), "after {first:?}");
    }
}

/// The connection to the upstream broke, or the upstream's status would tell the caller that the call has not
/// run although the upstream did not state it. A "not run" reply would make the caller send the call again,
/// and it could run twice.
#[gtest]
#[tokio::test(start_paused = true)]
async fn call_that_may_have_run_is_never_reported_as_not_run() {
    let firsts = [
        Script::Lost,
        Script::Whole(StatusCode::SERVICE_UNAVAILABLE, "busy"),
    ];
    for first in firsts {
        let running = gateway_failing_first(first.clone());

        let reply = running.handle("/once/1").await;

        expect_that!(reply, pat!(Reply::Unknown), "after {first:?}");
    }
}

/// Every upstream refuses. The caller is told at once that the call has not run, and when to retry, instead
/// of waiting until its deadline.
#[gtest]
#[tokio::test(start_paused = true)]
async fn call_refused_by_all_upstreams_is_refused_at_once() {
    let running = GatewayFixture::new(|_| Script::NotExecuted)
        .default_upstreams()
        .start();
    let start = running.timer.now();

    let reply = running.handle("/once/1").await;

    let Reply::NotRun { not_run } = reply else {
        panic!("{reply:?}");
    };
    expect_that!(not_run.reason(), eq(RefusalReason::UpstreamRefused));
    expect_that!(not_run.retry_after(), gt(Duration::ZERO));
    let waited = running.timer.now().since(start);
    expect_that!(waited, le(Duration::from_millis(100)));
}

/// All upstreams fail for a while. Retries must not exceed the budget, because that would multiply the load
/// just when there is the least capacity.
#[gtest]
#[tokio::test(start_paused = true)]
async fn retries_stay_within_the_budget() {
    let running = GatewayFixture::new(|_| Script::Whole(StatusCode::INTERNAL_SERVER_ERROR, "no"))
        .default_upstreams()
        .retry_budget(SharedRetryBudgetConfig {
            ratio: 0.2,
            slack: 10.0,
            ..SharedRetryBudgetConfig::default()
        })
        .start();
    for _ in 0..100 {
        running.handle("/quick/1").await;
    }

    let retries = running.sent_to().len() - 100;

    expect_that!(retries, all![ge(20), le(30)]);
}

/// An upstream never responds. The caller gets a reply at the route's timeout, and the upstream is given no
/// more time than that.
#[gtest]
#[tokio::test(start_paused = true)]
async fn call_ends_at_its_deadline() {
    let running = GatewayFixture::new(|_| Script::Hang)
        .default_upstreams()
        .start();
    let start = running.timer.now();

    let reply = running.handle("/once/1").await;

    let waited = running.timer.now().since(start);
    expect_that!(reply, pat!(Reply::TimedOut));
    expect_that!(
        waited,
        all![ge(Duration::from_secs(1)), le(Duration::from_millis(1100))]
    );
    expect_that!(
        running.received.lock()[0].time_left,
        le(Duration::from_secs(1))
    );
}

/// A reused connection is dead although its upstream lives. An idempotent call must fail over to another
/// upstream instead of waiting until its deadline.
#[gtest]
#[tokio::test(start_paused = true)]
async fn idempotent_call_on_a_dead_connection_fails_over() {
    let running = gateway_failing_first(Script::Hang);

    let reply = running.handle("/quick/1").await;

    expect_that!(reply, pat!(Reply::Whole { .. }));
    expect_that!(running.sent_to().len(), eq(2));
}

/// The only upstream is slow, so there is no other to fail over to. The call must wait for the late response.
#[gtest]
#[tokio::test(start_paused = true)]
async fn call_waits_for_a_slow_response_of_the_only_upstream() {
    let running = GatewayFixture::new(|_| {
        let late = Part::Pause(Duration::from_millis(800));
        Script::Stream(vec![late, Part::Bytes("late".to_owned())], End::Whole)
    })
    .upstream("plain-a", PLAIN, "a")
    .start();

    let reply = running.handle("/quick/1").await;

    let Reply::Whole { body, .. } = reply else {
        panic!("{reply:?}");
    };
    expect_that!(body.as_ref(), eq(b"late"));
    expect_that!(running.sent_to().len(), eq(1));
}

/// A non-idempotent call must not use a connection that has been idle for long: if the upstream is just
/// closing it, an error would not tell whether the call has run.
#[gtest]
#[tokio::test(start_paused = true)]
async fn non_idempotent_call_uses_no_long_idle_connection() {
    let running = GatewayFixture::new(|_| Script::Whole(StatusCode::OK, "yes"))
        .default_upstreams()
        .start();

    running.handle("/once/1").await;
    running.handle("/quick/1").await;

    let received = running.received.lock();
    expect_that!(received[0].max_idle, lt(Duration::from_secs(1)));
    expect_that!(received[1].max_idle, gt(received[0].max_idle));
}

/// One malformed call breaks its connection on every upstream. That must not make the upstreams suspect: the
/// next call is served as usual.
#[gtest]
#[tokio::test(start_paused = true)]
async fn malformed_call_does_not_make_its_upstreams_suspect() {
    let bad = Arc::new(AtomicBool::new(true));
    let is_bad = bad.clone();
    let running = GatewayFixture::new(move |_| {
        if is_bad.load(Ordering::Relaxed) {
            return Script::Lost;
        }
        Script::Whole(StatusCode::OK, "yes")
    })
    .default_upstreams()
    .start();
    running.handle("/quick/1").await;
    bad.store(false, Ordering::Relaxed);

    let reply = running.handle("/quick/2").await;

    expect_that!(reply, pat!(Reply::Whole { .. }));
    expect_that!(running.probes.lock().is_empty(), eq(true));
}

/// Calls whose path matches no route or whose key belongs to no team are sent to no upstream.
#[gtest]
#[tokio::test(start_paused = true)]
async fn unknown_routes_and_keys_are_refused() {
    let running = GatewayFixture::new(|_| Script::Whole(StatusCode::OK, "yes"))
        .default_upstreams()
        .key("key-1", "team-1")
        .start();
    let mut wrong = running.call("/quick/1");
    wrong.key = Some("key-2".into());

    let no_route = running.handle("/nowhere/1").await;
    let no_key = running.handle("/quick/1").await;
    let wrong_key = running.gateway.handle(wrong).await;

    expect_that!(no_route, pat!(Reply::NoRoute));
    expect_that!(no_key, pat!(Reply::UnknownKey));
    expect_that!(wrong_key, pat!(Reply::UnknownKey));
    expect_that!(running.sent_to().is_empty(), eq(true));
}

/// The service has an upstream in each of six availability zones, and those of five are full. The sixth must serve
/// the call: a fixed send limit sized for three zones would refuse the caller while a slot is free.
#[gtest]
#[tokio::test(start_paused = true)]
async fn call_finds_the_free_upstream_of_the_last_zone() {
    // The order of equal zones is random; a VM that has been refused by the full ones starts with the free one.
    for _ in 0..40 {
        let mut fixture = GatewayFixture::new(|call| {
            if call.entry.id.as_str() == "plain-f" {
                Script::Whole(StatusCode::OK, "yes")
            } else {
                Script::NotExecuted
            }
        });
        for zone in ["a", "b", "c", "d", "e", "f"] {
            fixture = fixture.upstream(&format!("plain-{zone}"), PLAIN, zone);
        }
        let running = fixture.start();

        let reply = running.handle("/once/1").await;

        expect_that!(reply, matches_pattern!(Reply::Whole { .. }));
    }
}

/// Guards against upstreams that are given more time for a call that is sent again than its caller has left.
#[gtest]
#[tokio::test(start_paused = true)]
async fn call_that_is_sent_again_carries_the_time_that_is_left() {
    let wait = Duration::from_millis(300);
    let running = GatewayFixture::new(fails_first(Script::AcceptAfter(
        wait,
        Box::new(Script::Lost),
    )))
    .default_upstreams()
    .start();

    running.handle("/quick/1").await;

    let received = running.received.lock();
    expect_that!(received.len(), eq(2));
    let deadline = Duration::from_secs(1);
    expect_that!(received[1].time_left + wait, le(deadline));
}

/// Guards against calls and streams that run on more upstreams than their route allows.
#[gtest]
#[tokio::test(start_paused = true)]
async fn call_runs_on_no_more_upstreams_than_its_route_allows() {
    let routes = [
        route("/quick/", CallKind::Idempotent, PLAIN),
        route("/stream/", CallKind::ResumableStream, ENGINES),
    ]
    .map(|route| Route {
        max_upstreams: 2,
        ..route
    });
    for path in ["/quick/1", "/stream/1"] {
        for fault in [
            Script::Whole(StatusCode::INTERNAL_SERVER_ERROR, "no"),
            Script::Unsigned(StatusCode::OK),
        ] {
            let script = fault.clone();
            let running = GatewayFixture::new(move |_| script.clone())
                .default_upstreams()
                .routes(routes.to_vec())
                .start();

            running.handle(path).await;

            expect_that!(running.sent_to().len(), eq(2), "{path} {fault:?}");
        }
    }
}
