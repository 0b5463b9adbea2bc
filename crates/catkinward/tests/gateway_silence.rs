//! Upstreams that fall silent for a while and go on, and what becomes of the calls that they run.

mod gateway_support;

use catkin_decisions::{
    BodyCrash, CallKind, CrashPhase, ProcessStart, Route, SharedRetryBudgetConfig,
};
use catkinward::gateway::{Reply, UpstreamCall};
use gateway_support::*;
use googletest::prelude::*;
use http::StatusCode;
use parking_lot::Mutex;
use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::time::Instant;

/// Silences of sound upstreams.
const SILENCES: [Duration; 3] = [
    Duration::from_millis(300),
    Duration::from_secs(1),
    Duration::from_secs(2),
];

/// The upstream of the first run, which answers no health check while it is silent.
#[derive(Clone, Default)]
struct SilentUpstream(Arc<Mutex<Option<(String, Instant)>>>);

impl SilentUpstream {
    /// Whether a call is the first; if so, its upstream is silent from now on until the given time has passed.
    fn takes(&self, call: &UpstreamCall, silent_for: Duration) -> bool {
        let mut first = self.0.lock();
        let is_first = first.is_none();
        first.get_or_insert_with(|| (call.entry.id.to_string(), Instant::now() + silent_for));
        is_first
    }

    fn answers(&self, id: &str) -> bool {
        let first = self.0.lock();
        !matches!(&*first, Some((silent, until)) if silent == id && Instant::now() < *until)
    }
}

/// What the first upstream sends: events up to 20, a silence, and the others.
fn silent_after_event_20(silence: Duration) -> Script {
    let parts = [events(1, 20), vec![Part::Pause(silence)], events(21, 40)];
    Script::Stream(parts.concat(), End::Whole)
}

/// Time that the first 20 events take.
const TWENTY_EVENTS: Duration = Duration::from_millis(600);

/// A gateway whose first run falls silent after event 20, while all later sends get `others`.
fn silent_midway(silence: Duration, others: Script) -> GatewayFixture {
    let first = SilentUpstream::default();
    let answers = first.clone();
    GatewayFixture::new(move |call| {
        if first.takes(call, TWENTY_EVENTS + silence) {
            return silent_after_event_20(silence);
        }
        others.clone()
    })
    .answers_probes(move |id| answers.answers(id))
}

/// A gateway whose first call gets `first`, from an upstream that answers no health check for the time of the
/// silence, while all later sends get `others`.
fn silent_at_first(silence: Duration, script: Script, others: Script) -> GatewayFixture {
    let first = SilentUpstream::default();
    let answers = first.clone();
    GatewayFixture::new(move |call| {
        if first.takes(call, silence) {
            return script.clone();
        }
        others.clone()
    })
    .answers_probes(move |id| answers.answers(id))
}

fn no_retries() -> SharedRetryBudgetConfig {
    SharedRetryBudgetConfig {
        ratio: 0.0,
        slack: 0.0,
        ..SharedRetryBudgetConfig::default()
    }
}

fn stream_route(max_upstreams: u32) -> Route {
    Route {
        max_upstreams,
        ..route("/stream/", CallKind::ResumableStream, ENGINES)
    }
}

fn quick_route(max_upstreams: u32) -> Route {
    Route {
        max_upstreams,
        timeout: Duration::from_secs(4),
        ..route("/quick/", CallKind::Idempotent, PLAIN)
    }
}

/// Guards against a cut of a stream that no other upstream may run, because its own is silent for a while.
#[gtest]
#[tokio::test(start_paused = true)]
async fn silence_within_a_stream_that_may_not_resume_is_waited_out() {
    for silence in SILENCES {
        let running = silent_midway(silence, Script::NotExecuted)
            .default_upstreams()
            .start();

        let stream = read_stream(running.handle("/stream-once/1").await).await;

        expect_that!(stream, eq(&(text(1, 40), true)), "{silence:?}");
        expect_that!(running.sent_to().len(), eq(1), "{silence:?}");
    }
}

/// Guards against the loss of a stream that no other upstream may run, because its own is silent before the head or
/// the first event.
#[gtest]
#[tokio::test(start_paused = true)]
async fn silence_before_a_stream_that_may_not_resume_is_waited_out() {
    for silence in SILENCES {
        let stream = Script::Stream(events(1, 40), End::Whole);
        let late = [vec![Part::Pause(silence)], events(1, 40)].concat();
        for first in [
            Script::AnswerAfter(silence, Box::new(stream)),
            Script::Stream(late, End::Whole),
        ] {
            let running = silent_at_first(silence, first, Script::NotExecuted)
                .default_upstreams()
                .start();

            let reply = running.handle("/stream-once/1").await;

            assert!(
                matches!(reply, Reply::Events { .. }),
                "{silence:?} {reply:?}"
            );
            expect_that!(read_stream(reply).await, eq(&(text(1, 40), true)));
            expect_that!(running.sent_to().len(), eq(1), "{silence:?}");
        }
    }
}

/// Guards against a cut of a resumable stream for which there is no other engine.
#[gtest]
#[tokio::test(start_paused = true)]
async fn silence_of_the_only_engine_is_waited_out() {
    for silence in SILENCES {
        let running = silent_midway(silence, Script::NotExecuted)
            .upstream("engine-a1", ENGINES, "a")
            .start();

        let stream = read_stream(running.handle("/stream/1").await).await;

        expect_that!(stream, eq(&(text(1, 40), true)), "{silence:?}");
        expect_that!(running.sent_to().len(), eq(1), "{silence:?}");
    }
}

/// Guards against the loss of a resumable stream whose only engine is silent before the head or the first event.
#[gtest]
#[tokio::test(start_paused = true)]
async fn silence_of_the_only_engine_before_the_first_event_is_waited_out() {
    for silence in SILENCES {
        let stream = Script::Stream(events(1, 40), End::Whole);
        let late = [vec![Part::Pause(silence)], events(1, 40)].concat();
        for first in [
            Script::AnswerAfter(silence, Box::new(stream)),
            Script::Stream(late, End::Whole),
        ] {
            let running = silent_at_first(silence, first, Script::NotExecuted)
                .upstream("engine-a1", ENGINES, "a")
                .start();

            let reply = running.handle("/stream/1").await;

            assert!(
                matches!(reply, Reply::Events { .. }),
                "{silence:?} {reply:?}"
            );
            expect_that!(read_stream(reply).await, eq(&(text(1, 40), true)));
            expect_that!(running.sent_to().len(), eq(1), "{silence:?}");
        }
    }
}

/// Guards against a cut of a stream that all other engines refuse, and against a flood of sends meanwhile.
#[gtest]
#[tokio::test(start_paused = true)]
async fn silent_stream_that_all_others_refuse_goes_on() {
    for silence in SILENCES {
        let running = silent_midway(silence, Script::NotExecuted)
            .default_upstreams()
            .start();

        let stream = read_stream(running.handle("/stream/1").await).await;

        expect_that!(stream, eq(&(text(1, 40), true)), "{silence:?}");
        expect_that!(running.sent_to().len(), le(8), "{silence:?}");
    }
}

/// Guards against a cut of a silent stream because the retry budget is used up.
#[gtest]
#[tokio::test(start_paused = true)]
async fn silent_stream_goes_on_without_retry_budget() {
    for silence in [
        SILENCES[0],
        SILENCES[1],
        SILENCES[2],
        Duration::from_secs(4),
    ] {
        let running = silent_midway(silence, Script::NotExecuted)
            .retry_budget(no_retries())
            .default_upstreams()
            .start();

        let stream = read_stream(running.handle("/stream/1").await).await;

        expect_that!(stream, eq(&(text(1, 40), true)), "{silence:?}");
        expect_that!(running.sent_to().len(), eq(1), "{silence:?}");
    }
}

/// Guards against a cut of a stream whose connection is silent, because its route allows no further upstream.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stalled_stream_at_its_maximum_of_upstreams_goes_on() {
    for silence in SILENCES {
        let running = GatewayFixture::new(move |_| silent_after_event_20(silence))
            .routes(vec![stream_route(1)])
            .default_upstreams()
            .start();

        let stream = read_stream(running.handle("/stream/1").await).await;

        expect_that!(stream, eq(&(text(1, 40), true)), "{silence:?}");
        expect_that!(running.sent_to().len(), eq(1), "{silence:?}");
    }
}

/// Guards against a cut of a silent stream that was sent as often as a stream may be.
#[gtest]
#[tokio::test(start_paused = true)]
async fn silent_stream_without_sends_left_goes_on() {
    for silence in SILENCES {
        let sends = AtomicUsize::new(0);
        let running = GatewayFixture::new(move |_| match sends.fetch_add(1, Ordering::Relaxed) {
            11 => silent_after_event_20(silence),
            _ => Script::NotExecuted,
        })
        .default_upstreams()
        .start();

        let stream = read_stream(running.handle("/stream/1").await).await;

        expect_that!(stream, eq(&(text(1, 40), true)), "{silence:?}");
        expect_that!(running.sent_to().len(), eq(12), "{silence:?}");
    }
}

/// Guards against a cut of a silent stream whose body is refused meanwhile, by coincidence.
#[gtest]
#[tokio::test(start_paused = true)]
async fn silent_stream_of_a_refused_body_goes_on() {
    for silence in SILENCES {
        let running = silent_midway(silence, Script::NotExecuted)
            .default_upstreams()
            .start();
        let call = running.call("/stream/1");
        let digest = call.digest(None);
        let reading = tokio::spawn(read_stream(running.gateway.handle(call).await));
        tokio::time::sleep(TWENTY_EVENTS).await;

        for n in 20..23 {
            let crash = BodyCrash {
                digest,
                upstream: format!("engine-{n}").parse().unwrap(),
                cleared: false,
                phase: CrashPhase::BeforeEvent,
                age_ms: 0,
            };
            running.receive_crash(n, crash);
        }

        let stream = reading.await.unwrap();
        expect_that!(stream, eq(&(text(1, 40), true)), "{silence:?}");
        expect_that!(running.sent_to().len(), eq(1), "{silence:?}");
    }
}

/// Guards against a cut of a stream that has resumed from a copy when its second engine falls silent.
#[gtest]
#[tokio::test(start_paused = true)]
async fn silence_after_a_resume_is_waited_out() {
    for silence in SILENCES {
        let first = SilentUpstream::default();
        let answers = first.clone();
        let running = GatewayFixture::new(move |call| match call.last_event {
            None => Script::Stream(events(1, 10), End::Break),
            Some(10) if first.takes(call, Duration::from_millis(300) + silence) => {
                let parts = [events(11, 20), vec![Part::Pause(silence)], events(21, 40)];
                Script::Stream(parts.concat(), End::Whole)
            }
            Some(_) => Script::NotExecuted,
        })
        .answers_probes(move |id| answers.answers(id))
        .default_upstreams()
        .start();

        let stream = read_stream(running.handle("/stream/1").await).await;

        expect_that!(stream, eq(&(text(1, 40), true)), "{silence:?}");
    }
}

/// Guards against a cut of a stream through another VM, whose health checks say nothing about its upstream.
#[gtest]
#[tokio::test(start_paused = true)]
async fn silence_behind_another_vm_is_waited_out() {
    for silence in SILENCES {
        let runs = AtomicUsize::new(0);
        let running = GatewayFixture::new(move |call| {
            if call.path.is_direct() {
                return Script::Lost;
            }
            match runs.fetch_add(1, Ordering::Relaxed) {
                0 => silent_after_event_20(silence),
                _ => Script::NotExecuted,
            }
        })
        .answers_probes(|_| false)
        .reached_by_others(true)
        .default_upstreams()
        .start();
        running.receive_peer_heartbeat();

        let stream = read_stream(running.handle("/stream/1").await).await;

        expect_that!(stream, eq(&(text(1, 40), true)), "{silence:?}");
    }
}

/// Guards against a successor that is preferred to an upstream which goes on before the successor has answered.
#[gtest]
#[tokio::test(start_paused = true)]
async fn upstream_that_goes_on_before_its_successor_answers_keeps_the_stream() {
    let never = Script::AnswerAfter(
        Duration::from_secs(60),
        Box::new(Script::Stream(events(21, 40), End::Whole)),
    );
    let running = silent_midway(Duration::from_millis(500), never)
        .default_upstreams()
        .start();

    let stream = read_stream(running.handle("/stream/1").await).await;

    expect_that!(stream, eq(&(text(1, 40), true)));
    let (sent, closed) = (running.sent_to(), running.closed.lock());
    expect_that!(sent.len(), eq(2));
    expect_that!(closed[0].0, eq(&sent[1]));
}

/// Guards against two engines that work on one stream for 400 ms: the second prefills the prompt before its head.
#[gtest]
#[tokio::test(start_paused = true)]
async fn silent_run_is_closed_soon_after_its_successor_began() {
    let prefill = Script::AnswerAfter(
        Duration::from_secs(2),
        Box::new(Script::Stream(events(21, 40), End::Whole)),
    );
    let running = silent_midway(Duration::from_secs(20), prefill)
        .default_upstreams()
        .start();

    let stream = read_stream(running.handle("/stream/1").await).await;

    expect_that!(stream, eq(&(text(1, 40), true)));
    let (received, closed) = (running.received.lock(), running.closed.lock());
    expect_that!(closed[0].0, eq(&received[0].upstream));
    expect_that!(
        closed[0].1.since(received[1].at),
        lt(Duration::from_millis(400))
    );
}

/// Guards against a stream that waits until its deadline for a process that has ended.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_that_may_not_resume_ends_with_its_process() {
    let running = GatewayFixture::new(|_| Script::Stream(events(1, 5), End::Hang))
        .upstream_started_at("engine-a1", ENGINES, "a", ProcessStart(1000))
        .upstream_started_at("engine-b1", ENGINES, "b", ProcessStart(1000))
        .start();
    let reading = tokio::spawn(read_stream(running.handle("/stream-once/1").await));
    tokio::time::sleep(Duration::from_millis(170)).await;

    let upstream = running.sent_to()[0].clone();
    let (id, zone) = (&upstream[..9], &upstream[7..8]);
    let later = upstream_started_at(id, ENGINES, zone, ProcessStart(2000));
    running.gateway.upstream_updated(later);
    let stream = tokio::time::timeout(Duration::from_millis(10), reading).await;

    expect_that!(matches!(stream, Ok(Ok((_, false)))), eq(true));
    expect_that!(running.sent_to().len(), eq(1));
}

/// Guards against the loss of an idempotent call that all other upstreams refuse while its own is silent.
#[gtest]
#[tokio::test(start_paused = true)]
async fn silent_call_that_all_others_refuse_gets_its_response() {
    for silence in SILENCES {
        let answer = Box::new(Script::Whole(StatusCode::OK, "late"));
        let first = Script::AnswerAfter(silence, answer);
        let running = silent_at_first(silence, first, Script::NotExecuted)
            .routes(vec![quick_route(5)])
            .default_upstreams()
            .start();

        let reply = running.handle("/quick/1").await;

        assert!(
            matches!(reply, Reply::Whole { .. }),
            "{silence:?} {reply:?}"
        );
        expect_that!(running.sent_to().len(), le(5), "{silence:?}");
    }
}

/// Guards against the loss of an idempotent call whose only upstream is silent.
#[gtest]
#[tokio::test(start_paused = true)]
async fn silent_call_on_the_only_upstream_gets_its_response() {
    for silence in SILENCES {
        let answer = Box::new(Script::Whole(StatusCode::OK, "late"));
        let first = Script::AnswerAfter(silence, answer);
        let running = silent_at_first(silence, first, Script::NotExecuted)
            .routes(vec![quick_route(5)])
            .upstream("plain-a", PLAIN, "a")
            .start();

        let reply = running.handle("/quick/1").await;

        assert!(
            matches!(reply, Reply::Whole { .. }),
            "{silence:?} {reply:?}"
        );
        expect_that!(running.sent_to().len(), eq(1), "{silence:?}");
    }
}

/// Guards against the loss of a silent idempotent call because the retry budget or the route allows no second send.
#[gtest]
#[tokio::test(start_paused = true)]
async fn silent_call_that_may_not_be_resent_gets_its_response() {
    let cases = [(5, no_retries()), (1, SharedRetryBudgetConfig::default())];
    for (max_upstreams, retry_budget) in cases {
        for silence in SILENCES {
            let answer = Box::new(Script::Whole(StatusCode::OK, "late"));
            let first = Script::AnswerAfter(silence, answer);
            let running = silent_at_first(silence, first, Script::NotExecuted)
                .routes(vec![quick_route(max_upstreams)])
                .retry_budget(retry_budget)
                .default_upstreams()
                .start();

            let reply = running.handle("/quick/1").await;

            assert!(
                matches!(reply, Reply::Whole { .. }),
                "{silence:?} {reply:?}"
            );
            expect_that!(running.sent_to().len(), eq(1), "{silence:?}");
        }
    }
}

/// Guards against the loss of a call without a response for half of its time, because the upstreams that it is then
/// sent to refuse it.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stalled_call_that_all_others_refuse_gets_its_response() {
    let sends = AtomicUsize::new(0);
    let running = GatewayFixture::new(move |_| {
        if sends.fetch_add(1, Ordering::Relaxed) > 0 {
            return Script::NotExecuted;
        }
        let answer = Box::new(Script::Whole(StatusCode::OK, "late"));
        Script::AnswerAfter(Duration::from_secs(3), answer)
    })
    .routes(vec![quick_route(5)])
    .default_upstreams()
    .start();

    let reply = running.handle("/quick/1").await;

    assert!(matches!(reply, Reply::Whole { .. }), "{reply:?}");
}

/// Guards against a second run of a non-idempotent call whose upstream is silent, and against its loss.
#[gtest]
#[tokio::test(start_paused = true)]
async fn silent_non_idempotent_call_runs_once_and_gets_its_response() {
    for silence in [Duration::from_millis(300), Duration::from_millis(900)] {
        let answer = Box::new(Script::Whole(StatusCode::OK, "late"));
        let first = Script::AnswerAfter(silence, answer);
        let running = silent_at_first(silence, first, Script::Whole(StatusCode::OK, "again"))
            .default_upstreams()
            .start();

        let reply = running.handle("/once/1").await;

        assert!(
            matches!(reply, Reply::Whole { .. }),
            "{silence:?} {reply:?}"
        );
        expect_that!(running.sent_to().len(), eq(1), "{silence:?}");
    }
}

/// Guards against a call that waits until its deadline for a process that has ended.
#[gtest]
#[tokio::test(start_paused = true)]
async fn non_idempotent_call_ends_with_its_process() {
    let running = GatewayFixture::new(|_| Script::Hang)
        .upstream_started_at("plain-a", PLAIN, "a", ProcessStart(1000))
        .start();
    let (gateway, call) = (running.gateway.clone(), running.call("/once/1"));
    let reply = tokio::spawn(async move { gateway.handle(call).await });
    tokio::time::sleep(Duration::from_millis(50)).await;

    let later = upstream_started_at("plain-a", PLAIN, "a", ProcessStart(2000));
    running.gateway.upstream_updated(later);
    let reply = tokio::time::timeout(Duration::from_millis(10), reply).await;

    expect_that!(matches!(reply, Ok(Ok(Reply::Unknown))), eq(true));
    expect_that!(running.sent_to().len(), eq(1));
}

/// Guards against a deadline that moves because health checks fail.
#[gtest]
#[tokio::test(start_paused = true)]
async fn silent_non_idempotent_call_ends_at_its_deadline() {
    let running = GatewayFixture::new(|_| Script::Hang)
        .answers_probes(|_| false)
        .default_upstreams()
        .start();
    let start = running.timer.now();

    let reply = running
        .handle_for("/once/1", Duration::from_millis(900))
        .await;

    expect_that!(reply, pat!(Reply::TimedOut));
    let waited = running.timer.now().since(start);
    expect_that!(waited, le(Duration::from_secs(1)));
}

/// Guards against a second send of a stream whose data arrives before the health check of its engine has failed.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_with_data_during_a_failed_health_check_is_not_sent_again() {
    let parts = [
        events(1, 20),
        vec![Part::Pause(Duration::from_millis(300))],
        events(21, 40),
    ];
    let running = GatewayFixture::new(move |_| Script::Stream(parts.concat(), End::Whole))
        .answers_probes(|_| false)
        .default_upstreams()
        .start();

    let stream = read_stream(running.handle("/stream/1").await).await;

    expect_that!(stream, eq(&(text(1, 40), true)));
    expect_that!(running.sent_to().len(), eq(1));
}

/// Guards against events that are dropped as duplicates, because a second send was cancelled and they have no IDs.
#[gtest]
#[tokio::test(start_paused = true)]
async fn events_without_ids_go_on_after_a_cancelled_second_send() {
    let word = |n: u64| Part::Bytes(format!("data: word {n}\n\n"));
    let parts = vec![word(1), Part::Pause(Duration::from_millis(500)), word(2)];
    let never = Script::AnswerAfter(Duration::from_secs(60), Box::new(Script::Lost));
    let first = Script::Stream(parts, End::Whole);
    let running = silent_at_first(Duration::from_millis(500), first, never)
        .default_upstreams()
        .start();

    let stream = read_stream(running.handle("/stream/1").await).await;

    let words = "data: word 1\n\ndata: word 2\n\n".to_owned();
    expect_that!(stream, eq(&(words, true)));
    expect_that!(running.sent_to().len(), eq(2));
}

/// Guards against a prompt that is prefilled again, because a silence from which nothing came used up its KV copy.
#[gtest]
#[tokio::test(start_paused = true)]
async fn kv_copy_outlives_a_silence_without_a_second_send() {
    let pause = vec![Part::Pause(Duration::from_secs(1))];
    let parts = [events(1, 20), pause, events(21, 30)].concat();
    let running = GatewayFixture::new(move |call| match (call.last_event, &call.copy_from) {
        (None, _) => Script::Stream(parts.clone(), End::Break),
        (Some(last), Some(_)) => Script::Stream(events(last + 1, 40), End::Whole),
        (Some(_), None) => Script::NotExecuted,
    })
    .routes(vec![stream_route(1)])
    .default_upstreams()
    .start();

    let stream = read_stream(running.handle("/stream/1").await).await;

    expect_that!(stream, eq(&(text(1, 40), true)));
    expect_that!(running.sent_to().len(), eq(2));
}

/// Guards against a stream of a VM that lost its path to the upstreams and waits between its attempts to reach others.
#[gtest]
#[tokio::test(start_paused = true)]
async fn silent_stream_of_a_vm_without_a_path_resumes_through_another_vm_in_time() {
    let sends = AtomicUsize::new(0);
    let mut fixture = GatewayFixture::new(move |call| {
        let is_first = sends.fetch_add(1, Ordering::Relaxed) == 0;
        match call.last_event {
            _ if is_first => Script::Stream(events(1, 20), End::Hang),
            Some(last) if !call.path.is_direct() => {
                Script::Stream(events(last + 1, 40), End::Whole)
            }
            _ => Script::NoConnection,
        }
    })
    .answers_probes(|_| false)
    .reached_by_others(true);
    for n in 0..12 {
        fixture = fixture.upstream(&format!("engine-{n}"), ENGINES, ["a", "b", "c"][n % 3]);
    }
    let running = fixture.start();
    let reply = running.handle("/stream/1").await;
    running.receive_peer_heartbeat();
    let start = running.timer.now();

    let stream = read_stream(reply).await;

    expect_that!(stream, eq(&(text(1, 40), true)));
    // The 40 events take 1.2 s.
    let pause = running
        .timer
        .now()
        .since(start)
        .saturating_sub(Duration::from_millis(1200));
    expect_that!(pause, le(Duration::from_millis(700)));
}
