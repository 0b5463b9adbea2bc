//! Plain calls through a gateway: what is repeated, and what callers are told.

mod gateway_support;

use catkin_decisions::{RefusalReason, SharedRetryBudgetConfig};
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

/// Answers in whole from the second send on.
fn first_then(
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

fn after(first: Script) -> Running {
    GatewayFixture::new(first_then(first))
        .usual_upstreams()
        .start()
}

/// An upstream fails an idempotent call, breaks its connection, takes none, or refuses. Another one
/// serves it, and the caller notices nothing.
#[gtest]
#[tokio::test(start_paused = true)]
async fn idempotent_call_goes_to_another_upstream() {
    let firsts = [
        Script::Whole(StatusCode::INTERNAL_SERVER_ERROR, "no"),
        Script::Lost,
        Script::NoConnection,
        Script::NotExecuted,
        Script::Unsigned(StatusCode::OK),
    ];
    for first in firsts {
        let running = after(first.clone());

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

/// A call that may run only once is sent again only if it surely has not run. A survey record must not
/// be written twice.
#[gtest]
#[tokio::test(start_paused = true)]
async fn call_that_runs_once_is_sent_again_only_with_proof() {
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
        let running = after(first.clone());

        running.handle("/once/1").await;

        expect_that!(running.sent_to().len(), eq(sends), "after {first:?}");
    }
}

/// The connection to the upstream broke, or its answer promises what it did not say. "Not run" would
/// make the caller send the call again, and it could run twice.
#[gtest]
#[tokio::test(start_paused = true)]
async fn call_that_may_have_run_is_never_called_not_run() {
    let firsts = [
        Script::Lost,
        Script::Whole(StatusCode::SERVICE_UNAVAILABLE, "busy"),
    ];
    for first in firsts {
        let running = after(first.clone());

        let reply = running.handle("/once/1").await;

        expect_that!(reply, pat!(Reply::Unknown), "after {first:?}");
    }
}

/// Every upstream refuses. The caller is told at once that the call has not run, and when to come
/// back; it is not held until its deadline.
#[gtest]
#[tokio::test(start_paused = true)]
async fn call_that_everybody_refuses_is_answered_at_once() {
    let running = GatewayFixture::new(|_| Script::NotExecuted)
        .usual_upstreams()
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

/// All upstreams fail for a while. Calls are not multiplied beyond the budget just when there is the
/// least room for them.
#[gtest]
#[tokio::test(start_paused = true)]
async fn repeats_stay_within_the_budget() {
    let running = GatewayFixture::new(|_| Script::Whole(StatusCode::INTERNAL_SERVER_ERROR, "no"))
        .usual_upstreams()
        .repeats(SharedRetryBudgetConfig {
            ratio: 0.2,
            slack: 10.0,
            ..SharedRetryBudgetConfig::default()
        })
        .start();
    for _ in 0..100 {
        running.handle("/quick/1").await;
    }

    let repeats = running.sent_to().len() - 100;

    expect_that!(repeats, all![ge(20), le(30)]);
}

/// An upstream never answers. The caller has its answer when the route's time is over, and the time
/// that the upstream was given is not longer.
#[gtest]
#[tokio::test(start_paused = true)]
async fn call_ends_when_its_time_is_over() {
    let running = GatewayFixture::new(|_| Script::Hang)
        .usual_upstreams()
        .start();
    let start = running.timer.now();

    let reply = running.handle("/once/1").await;

    let waited = running.timer.now().since(start);
    expect_that!(reply, pat!(Reply::TimedOut));
    expect_that!(
        waited,
        all![ge(Duration::from_secs(1)), le(Duration::from_millis(1100))]
    );
    expect_that!(running.seen.lock()[0].time_left, le(Duration::from_secs(1)));
}

/// A kept connection has gone silent for good while its upstream lives. An idempotent call does not wait
/// there until its time is over, but is served elsewhere.
#[gtest]
#[tokio::test(start_paused = true)]
async fn idempotent_call_on_a_silent_connection_is_served_elsewhere() {
    let running = after(Script::Hang);

    let reply = running.handle("/quick/1").await;

    expect_that!(reply, pat!(Reply::Whole { .. }));
    expect_that!(running.sent_to().len(), eq(2));
}

/// The only upstream is slow, and there is none to go to. The call is not given up for that: its answer
/// comes late, but it comes.
#[gtest]
#[tokio::test(start_paused = true)]
async fn slow_answer_is_waited_for_where_there_is_no_other_upstream() {
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

/// A call that may run only once goes over a connection that is surely open: an error on one that its
/// upstream was just closing would leave it open whether the call has run.
#[gtest]
#[tokio::test(start_paused = true)]
async fn call_that_runs_once_takes_a_connection_that_is_surely_open() {
    let running = GatewayFixture::new(|_| Script::Whole(StatusCode::OK, "yes"))
        .usual_upstreams()
        .start();

    running.handle("/once/1").await;
    running.handle("/quick/1").await;

    let seen = running.seen.lock();
    expect_that!(seen[0].longest_idle, lt(Duration::from_secs(1)));
    expect_that!(seen[1].longest_idle, gt(seen[0].longest_idle));
}

/// One call breaks its connection on every upstream, since it is broken itself. That is no reason to
/// avoid them: the next call is served where it would have been.
#[gtest]
#[tokio::test(start_paused = true)]
async fn one_bad_call_does_not_make_its_upstreams_suspect() {
    let bad = Arc::new(AtomicBool::new(true));
    let is_bad = bad.clone();
    let running = GatewayFixture::new(move |_| {
        if is_bad.load(Ordering::Relaxed) {
            return Script::Lost;
        }
        Script::Whole(StatusCode::OK, "yes")
    })
    .usual_upstreams()
    .start();
    running.handle("/quick/1").await;
    bad.store(false, Ordering::Relaxed);

    let reply = running.handle("/quick/2").await;

    expect_that!(reply, pat!(Reply::Whole { .. }));
    expect_that!(running.probes.lock().is_empty(), eq(true));
}

/// No route takes a path, and no team holds a key. Neither is sent anywhere.
#[gtest]
#[tokio::test(start_paused = true)]
async fn unknown_routes_and_keys_are_refused() {
    let running = GatewayFixture::new(|_| Script::Whole(StatusCode::OK, "yes"))
        .usual_upstreams()
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

/// The service has an upstream in each of six availability zones, and those of five are full. The sixth serves the
/// call. With a bound made for three zones its caller was refused while a place was free.
#[gtest]
#[tokio::test(start_paused = true)]
async fn call_finds_the_free_upstream_of_the_last_zone() {
    // The order of equal zones is drawn; a VM that has met the full ones begins with the free one.
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
