//! Upstreams to which a call is sent while its first one is silent, and which of the two runs is kept.

mod gateway_support;

use catkin_decisions::{CallKind, Route};
use catkinward::gateway::{Reply, UpstreamCall};
use gateway_support::*;
use googletest::prelude::*;
use http::StatusCode;
use parking_lot::Mutex;
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Pauses of sound upstreams.
const PAUSES: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(2)];

/// Time that the first 20 events take.
const TWENTY_EVENTS: Duration = Duration::from_millis(600);

/// A pause of all upstreams at once, from the first call on.
#[derive(Clone, Default)]
struct SharedPause(Arc<Mutex<Option<Instant>>>);

impl SharedPause {
    /// Whether a call is the first; if so, the pause ends after this time.
    fn begins_with(&self, _call: &UpstreamCall, length: Duration) -> bool {
        let mut end = self.0.lock();
        let is_first = end.is_none();
        end.get_or_insert_with(|| Instant::now() + length);
        is_first
    }

    fn left(&self) -> Duration {
        let end = self.0.lock();
        end.map_or(Duration::ZERO, |end| {
            end.saturating_duration_since(Instant::now())
        })
    }
}

fn quick_route(max_upstreams: u32) -> Route {
    Route {
        max_upstreams,
        timeout: Duration::from_secs(4),
        ..route("/quick/", CallKind::Idempotent, PLAIN)
    }
}

/// Guards against a cut of a stream whose run is closed for a successor that is paused as well.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_outlasts_a_pause_of_all_engines() {
    for pause in PAUSES {
        let paused = SharedPause::default();
        let (probed, parts) = (paused.clone(), [events(1, 20), vec![Part::Pause(pause)]]);
        let parts = [parts.concat(), events(21, 40)].concat();
        let running = GatewayFixture::new(move |call| {
            if paused.begins_with(call, TWENTY_EVENTS + pause) {
                return Script::Stream(parts.clone(), End::Whole);
            }
            Script::AnswerAfter(paused.left(), Box::new(Script::NotExecuted))
        })
        .answers_probes(move |_| probed.left().is_zero())
        .default_upstreams()
        .start();

        let stream = read_stream(running.handle("/stream/1").await).await;

        expect_that!(stream, eq(&(text(1, 40), true)), "{pause:?}");
        let (received, closed) = (running.received.lock(), running.closed.lock());
        for (upstream, at) in closed.iter().filter(|c| c.0 != received[0].upstream) {
            let sent = received.iter().find(|r| r.upstream == *upstream).unwrap();
            expect_that!(at.since(sent.at), lt(Duration::from_millis(400)));
        }
    }
}

/// Guards against the loss of an idempotent call whose send is closed for a successor that is paused as well.
#[gtest]
#[tokio::test(start_paused = true)]
async fn call_outlasts_a_pause_of_all_upstreams() {
    for pause in PAUSES {
        let paused = SharedPause::default();
        let probed = paused.clone();
        let running = GatewayFixture::new(move |call| {
            let answer = if paused.begins_with(call, pause) {
                Script::Whole(StatusCode::OK, "first")
            } else {
                Script::NotExecuted
            };
            Script::AnswerAfter(paused.left(), Box::new(answer))
        })
        .answers_probes(move |_| probed.left().is_zero())
        .routes(vec![quick_route(2)])
        .default_upstreams()
        .start();

        let reply = running.handle("/quick/1").await;

        assert!(matches!(reply, Reply::Whole { .. }), "{pause:?} {reply:?}");
    }
}

/// Guards against the loss of an idempotent call whose silent send is closed before its successor has responded.
#[gtest]
#[tokio::test(start_paused = true)]
async fn silent_call_is_kept_until_its_successor_responds() {
    let silence = Duration::from_millis(700);
    let paused = SharedPause::default();
    let (probed, first) = (paused.clone(), Arc::new(Mutex::new(String::new())));
    let silent = first.clone();
    let running = GatewayFixture::new(move |call| {
        if paused.begins_with(call, silence) {
            *first.lock() = call.entry.id.to_string();
            let answer = Script::Whole(StatusCode::OK, "first");
            return Script::AnswerAfter(silence, Box::new(answer));
        }
        Script::AnswerAfter(Duration::from_millis(500), Box::new(Script::Lost))
    })
    .answers_probes(move |id| *silent.lock() != id || probed.left().is_zero())
    .routes(vec![quick_route(2)])
    .default_upstreams()
    .start();

    let reply = running.handle("/quick/1").await;

    assert!(matches!(reply, Reply::Whole { .. }), "{reply:?}");
}

/// Guards against more upstreams for a stream than its route allows, because a silent one is not counted.
#[gtest]
#[tokio::test(start_paused = true)]
async fn silent_run_counts_as_one_of_the_upstreams_of_its_route() {
    for pause in PAUSES {
        let paused = SharedPause::default();
        let (probed, first) = (paused.clone(), Arc::new(Mutex::new(String::new())));
        let silent = first.clone();
        let parts = [events(1, 20), vec![Part::Pause(pause)], events(21, 40)].concat();
        let running = GatewayFixture::new(move |call| {
            if paused.begins_with(call, TWENTY_EVENTS + pause) {
                *first.lock() = call.entry.id.to_string();
                return Script::Stream(parts.clone(), End::Whole);
            }
            Script::Stream(events(call.last_event.unwrap_or(0) + 1, 40), End::Whole)
        })
        .answers_probes(move |id| *silent.lock() != id || probed.left().is_zero())
        .routes(vec![Route {
            max_upstreams: 1,
            ..route("/stream/", CallKind::ResumableStream, ENGINES)
        }])
        .default_upstreams()
        .start();

        let stream = read_stream(running.handle("/stream/1").await).await;

        expect_that!(stream, eq(&(text(1, 40), true)), "{pause:?}");
        expect_that!(running.sent_to().len(), eq(1), "{pause:?}");
    }
}

/// Guards against a cut of a broken stream, because silent streams that no other engine may take used up the retries.
#[gtest]
#[tokio::test(start_paused = true)]
async fn broken_stream_resumes_beside_silent_streams_of_the_only_engine() {
    let pause = vec![Part::Pause(Duration::from_secs(8))];
    let parts = [events(1, 20), pause, events(21, 40)].concat();
    let running = GatewayFixture::new(move |call| match call.last_event {
        Some(last) => Script::Stream(events(last + 1, 40), End::Whole),
        None if call.call.target.as_ref().contains("broken") => {
            Script::Stream(events(1, 20), End::Break)
        }
        None => Script::Stream(parts.clone(), End::Whole),
    })
    .retry_budget(catkin_decisions::SharedRetryBudgetConfig {
        ratio: 0.0,
        slack: 20.0,
        ..Default::default()
    })
    .upstream("engine-a1", ENGINES, "a")
    .start();
    let mut silent = tokio::task::JoinSet::new();
    for n in 0..30 {
        let call = running.call(&format!("/stream/{n}"));
        let gateway = running.gateway.clone();
        silent.spawn(async move { read_stream(gateway.handle(call).await).await });
    }
    tokio::time::sleep(Duration::from_secs(3)).await;

    let stream = read_stream(running.handle("/stream/broken").await).await;

    expect_that!(stream, eq(&(text(1, 40), true)));
}

/// Guards against a stream that stays on the path that has failed, although another VM reaches its only engine.
#[gtest]
#[tokio::test(start_paused = true)]
async fn silent_stream_of_the_only_engine_resumes_there_through_another_vm() {
    let running = GatewayFixture::new(|call| {
        if call.path.is_direct() {
            return Script::Stream(events(1, 20), End::Hang);
        }
        let last = call.last_event.unwrap_or(0);
        Script::Stream(events(last + 1, 40), End::Whole)
    })
    .answers_probes(|_| false)
    .reached_by_others(true)
    .upstream("engine-a1", ENGINES, "a")
    .start();
    running.receive_peer_heartbeat();

    let stream = read_stream(running.handle("/stream/1").await).await;

    expect_that!(stream, eq(&(text(1, 40), true)));
}

/// Guards against a stream without event ids that appears complete and is empty, because its silent first run was sent a
/// successor before any event.
#[gtest]
#[tokio::test(start_paused = true)]
async fn events_without_ids_are_delivered_after_a_successor_was_cancelled() {
    let pause = Duration::from_millis(500);
    let paused = SharedPause::default();
    let probed = paused.clone();
    let parts = (1..=5).map(|n| Part::Bytes(format!("data: {n}\n\n")));
    let stream = Script::Stream(parts.collect(), End::Whole);
    let running = GatewayFixture::new(move |call| {
        let delay = if paused.begins_with(call, pause) {
            pause
        } else {
            Duration::from_secs(3)
        };
        Script::AnswerAfter(delay, Box::new(stream.clone()))
    })
    .answers_probes(move |_| probed.left().is_zero())
    .default_upstreams()
    .start();

    let (text, is_whole) = read_stream(running.handle("/stream/1").await).await;

    let all = (1..=5).map(|n| format!("data: {n}\n\n"));
    expect_that!(text, eq(&all.collect::<String>()));
    expect_that!(is_whole, eq(true));
}
