//! Calls that crash the upstreams that run them.

mod gateway_support;

use catkin_decisions::{BodyCrash, CrashPhase, PromptPart, RefusalReason, UpstreamEntry};
use catkinward::gateway::{Call, Prompt, Reply, UpstreamCall};
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

/// A body crashes every upstream that runs it, and its caller keeps retrying. No upstream runs it after the
/// third crash.
#[gtest]
#[tokio::test(start_paused = true)]
async fn body_that_crashes_upstreams_is_refused_after_the_third_crash() {
    let running = GatewayFixture::new(|_| Script::Lost)
        .default_upstreams()
        .start();
    for upstream in ["plain-a", "plain-b", "plain-c"] {
        running.handle("/once/1").await;
        let last = running.sent_to().last().unwrap().clone();
        running.gateway.upstream_removed(&last.parse().unwrap());
        let _ = upstream;
    }
    let before = running.sent_to().len();

    let reply = running.handle("/once/1").await;

    let Reply::NotRun { not_run } = reply else {
        panic!("{reply:?}");
    };
    expect_that!(not_run.reason(), eq(RefusalReason::Poisoned));
    expect_that!(running.sent_to().len(), eq(before));
}

/// A request's body has crashed upstreams of other VMs, and its caller retries here. After three crashes it is
/// refused before it crashes a fourth upstream with all its runs; two crashes may be a coincidence.
#[gtest]
#[tokio::test(start_paused = true)]
async fn body_that_crashed_upstreams_of_other_vms_is_refused_here() {
    for (crashes, refused) in [(2, false), (3, true)] {
        let running = GatewayFixture::new(|_| Script::Whole(StatusCode::OK, "yes"))
            .default_upstreams()
            .start();
        let call = running.call("/quick/1");
        for n in 1..=crashes {
            let crash = BodyCrash {
                digest: call.digest(None),
                upstream: format!("plain-{n}").parse().unwrap(),
                cleared: false,
                phase: CrashPhase::BeforeEvent,
                age_ms: 0,
            };
            running.receive_crash(n, crash);
        }

        let reply = running.gateway.handle(call).await;

        expect_that!(matches!(reply, Reply::NotRun { .. }), eq(refused));
        expect_that!(running.sent_to().is_empty(), eq(refused));
    }
}

/// A stream crashes each engine that starts to run it. If crashed engines do not count against the stream, one
/// attempt of a caller crashes engine after engine with all their runs, and the log shows `run of a stream lost`
/// with `loss=broken` up to twelve times for one request.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_that_crashes_engines_ends_after_the_third_crash() {
    let crashed = Arc::new(Mutex::new(Vec::new()));
    let down = crashed.clone();
    let running = GatewayFixture::new(move |call| {
        crashed.lock().push(call.entry.id.to_string());
        Script::Lost
    })
    .answers_probes(move |id| !down.lock().iter().any(|down| down == id))
    .default_upstreams()
    .start();

    let reply = running.handle("/stream/1").await;

    expect_that!(matches!(reply, Reply::Unknown), eq(true));
    expect_that!(running.sent_to().len(), eq(3));
}

/// Connections to engines are reset one after the other, as when a VM on the path loses its connection state. The
/// engines answer health checks, so the request must not be taken for one that crashes them; its caller would
/// get nothing.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_whose_connections_are_reset_resumes() {
    let sends = AtomicUsize::new(0);
    let running = GatewayFixture::new(move |_| match sends.fetch_add(1, Ordering::Relaxed) {
        0..4 => Script::Lost,
        _ => Script::Stream(events(1, 40), End::Whole),
    })
    .default_upstreams()
    .start();

    let stream = read_stream(running.handle("/stream/1").await).await;

    expect_that!(stream, eq(&(text(1, 40), true)));
}

/// Engines crash while they run a stream, but each has produced events before. The request therefore does not
/// count as the cause, and its caller gets the complete response.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_that_produced_events_before_each_crash_resumes() {
    let crashed = Arc::new(Mutex::new(Vec::new()));
    let down = crashed.clone();
    let running = GatewayFixture::new(move |call| {
        let first = call.last_event.map_or(1, |last| last + 1);
        let mut crashed = crashed.lock();
        if crashed.len() == 4 {
            return Script::Stream(events(first, 40), End::Whole);
        }
        crashed.push(call.entry.id.to_string());
        Script::Stream(events(first, first + 2), End::Break)
    })
    .answers_probes(move |id| !down.lock().iter().any(|down| down == id))
    .default_upstreams()
    .start();

    let stream = read_stream(running.handle("/stream/1").await).await;

    expect_that!(stream, eq(&(text(1, 40), true)));
}

/// Time for which a crashed engine accepts no connection.
const RESTART_TIME: Duration = Duration::from_secs(3);

/// Engines that crash while they run a call and are back some seconds later, without a start time.
#[derive(Clone, Default)]
struct RestartingEngines(Arc<Mutex<Vec<(String, tokio::time::Instant)>>>);

impl RestartingEngines {
    /// Schedules a crash of the engine that runs a call.
    fn crash_after(&self, call: &UpstreamCall, wait: Duration) {
        let at = tokio::time::Instant::now() + wait;
        self.0.lock().push((call.entry.id.to_string(), at));
    }

    fn is_up(&self, id: &str) -> bool {
        let now = tokio::time::Instant::now();
        let crashes = self.0.lock();
        !crashes
            .iter()
            .any(|(crashed, at)| crashed == id && *at <= now && now < *at + RESTART_TIME)
    }
}

/// A gateway with eighteen engines in three zones.
fn many_engines(
    script: impl Fn(&UpstreamCall) -> Script + Send + Sync + 'static,
) -> GatewayFixture {
    let mut fixture = GatewayFixture::new(script);
    for n in 0..18 {
        fixture = fixture.upstream(&format!("engine-{n}"), ENGINES, ["a", "b", "c"][n % 3]);
    }
    fixture
}

/// Guards against a stream that waits for seconds in each engine before it crashes it: the first engine is
/// back when the third one crashes, and counted as alive.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_is_not_sent_again_after_its_third_crash_though_engines_are_back() {
    let wait = Duration::from_secs(2);
    let engines = RestartingEngines::default();
    let up = engines.clone();
    let running = many_engines(move |call| {
        engines.crash_after(call, wait);
        Script::Stream(vec![Part::Pause(wait)], End::Break)
    })
    .answers_probes(move |id| up.is_up(id))
    .start();

    let reply = running
        .handle_for("/stream/1", Duration::from_secs(25))
        .await;

    expect_that!(matches!(reply, Reply::Unknown), eq(true));
    expect_that!(running.sent_to().len(), eq(3));
}

/// Guards against a stream that produces an event in each engine before it crashes it: the event cleared the
/// crashes, and the stream was sent twelve times. Three retries after the third crash are the most.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_that_crashes_engines_after_an_event_ends() {
    let wait = Duration::from_secs(1);
    let engines = RestartingEngines::default();
    let up = engines.clone();
    let running = many_engines(move |call| {
        engines.crash_after(call, wait);
        let next = call.last_event.map_or(1, |last| last + 1);
        Script::Stream(
            vec![Part::Pause(wait), Part::Bytes(event(next))],
            End::Break,
        )
    })
    .answers_probes(move |id| up.is_up(id))
    .start();

    let (_, complete) = read_stream(
        running
            .handle_for("/stream/1", Duration::from_secs(25))
            .await,
    )
    .await;

    expect_that!(complete, eq(false));
    expect_that!(running.sent_to().len(), le(6));
}

/// Records that a call's body crashed engines of other VMs.
fn crash_elsewhere(running: &Running, call: &Call, engines: std::ops::Range<usize>) {
    for n in engines {
        let crash = BodyCrash {
            digest: call.digest(None),
            upstream: format!("engine-{n}").parse().unwrap(),
            cleared: false,
            phase: CrashPhase::BeforeEvent,
            age_ms: 0,
        };
        running.receive_crash(n, crash);
    }
}

/// Guards against resends of a call that was accepted before its body had crashed three upstreams of other VMs.
#[gtest]
#[tokio::test(start_paused = true)]
async fn call_accepted_before_the_third_crash_is_not_sent_again() {
    for path in ["/stream/1", "/quick/1"] {
        let running = GatewayFixture::new(|_| Script::Lost)
            .default_upstreams()
            .start();
        let call = running.call(path);
        let digest_of = call.clone();
        let gateway = running.gateway.clone();
        let reply = tokio::spawn(async move { gateway.handle(call).await });
        tokio::time::sleep(Duration::from_millis(2)).await;

        crash_elsewhere(&running, &digest_of, 20..23);
        let reply = reply.await.unwrap();

        expect_that!(matches!(reply, Reply::Unknown), eq(true), "{path}");
        expect_that!(running.sent_to().len(), eq(1), "{path}");
    }
}

/// Guards against a crash by a call that already waits in an engine when its body is refused.
#[gtest]
#[tokio::test(start_paused = true)]
async fn waiting_call_is_withdrawn_when_its_body_is_refused() {
    let before_the_head = Script::Hang;
    let after_the_head = Script::Stream(Vec::new(), End::Hang);
    for (path, script) in [
        ("/stream/1", before_the_head.clone()),
        ("/stream/1", after_the_head),
        ("/quick/1", before_the_head),
    ] {
        let running = GatewayFixture::new(move |_| script.clone())
            .default_upstreams()
            .start();
        let call = running.call(path);
        let digest_of = call.clone();
        let gateway = running.gateway.clone();
        let reply = tokio::spawn(async move { gateway.handle(call).await });
        tokio::time::sleep(Duration::from_millis(20)).await;

        crash_elsewhere(&running, &digest_of, 20..23);
        let reply = tokio::time::timeout(Duration::from_millis(10), reply).await;

        expect_that!(matches!(reply, Ok(Ok(Reply::Unknown))), eq(true), "{path}");
        expect_that!(running.sent_to().len(), eq(1), "{path}");
    }
}

/// Guards against cutting a stream that produces events when its body is refused by coincidence.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_that_produces_events_continues_when_its_body_is_refused() {
    let running = GatewayFixture::new(|_| Script::Stream(events(1, 40), End::Whole))
        .default_upstreams()
        .start();
    let call = running.call("/stream/1");
    let digest_of = call.clone();
    let reply = running.gateway.handle(call).await;

    crash_elsewhere(&running, &digest_of, 20..23);

    expect_that!(read_stream(reply).await, eq(&(text(1, 40), true)));
}

/// Guards against refusing a stream whose engines crashed under another body, while it waited beside it.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_that_waited_beside_a_refused_body_completes() {
    let crashed = Arc::new(Mutex::new(Vec::new()));
    let down = crashed.clone();
    let running = GatewayFixture::new(move |call| {
        let mut crashed = crashed.lock();
        if crashed.len() == 3 {
            return Script::Stream(events(1, 40), End::Whole);
        }
        crashed.push(call.entry.id.to_string());
        Script::Stream(vec![Part::Pause(Duration::from_millis(300))], End::Break)
    })
    .answers_probes(move |id| !down.lock().iter().any(|down| down == id))
    .default_upstreams()
    .start();
    for n in [
        "engine-a1",
        "engine-a2",
        "engine-b1",
        "engine-b2",
        "engine-c1",
        "engine-c2",
    ] {
        let crash = BodyCrash {
            digest: 1,
            upstream: n.parse().unwrap(),
            cleared: false,
            phase: CrashPhase::BeforeEvent,
            age_ms: 0,
        };
        running.receive_crash(1, crash);
        tokio::time::sleep(Duration::from_millis(2)).await;
    }

    let stream = read_stream(running.handle("/stream/1").await).await;

    expect_that!(stream, eq(&(text(1, 40), true)));
}

/// Guards against losing the crash of an engine that is back at its address before a probe asks. Its new
/// entry shows the restart while the call waits in a fourth engine.
#[gtest]
#[tokio::test(start_paused = true)]
async fn crash_of_an_engine_that_is_back_at_once_counts() {
    let running =
        many_engines(|_| Script::Stream(vec![Part::Pause(Duration::from_secs(1))], End::Break))
            .start();
    let call = running.call("/stream/1");
    let gateway = running.gateway.clone();
    let reply = tokio::spawn(async move { gateway.handle(call).await });
    let mut restarted = Vec::<UpstreamEntry>::new();

    for n in 0..10 {
        tokio::time::sleep(Duration::from_millis(1300)).await;
        let sent_to = running.sent_to();
        let Some(crashed) = sent_to.iter().rev().nth(1) else {
            continue;
        };
        let known = restarted.iter().find(|entry| entry.id.as_str() == crashed);
        let before = known.cloned();
        let next = UpstreamEntry {
            id: format!("next-{n}").parse().unwrap(),
            ..before.unwrap_or_else(|| upstream(crashed, ENGINES, "a"))
        };
        restarted.push(next.clone());
        running.gateway.upstream_updated(next);
    }

    expect_that!(matches!(reply.await, Ok(Reply::Unknown)), eq(true));
    expect_that!(running.sent_to().len(), le(4));
}

/// Calls with different bodies, whose prompts share parts.
fn call_with_part(running: &Running, n: usize, part: &str) -> Call {
    let parts = ["shared", part, "own"].map(|id| PromptPart {
        id: id.into(),
        tokens: 200,
    });
    Call {
        id: format!("call-{n}").parse().unwrap(),
        body: format!("body {n}").into(),
        prompt: Some(Prompt {
            tokens: 600,
            max_generated: 800,
            parts: parts.into(),
        }),
        ..running.call("/stream/1")
    }
}

/// A gateway whose engines crash under calls with the part `crashing`, and are back some seconds later.
fn engines_that_crash_under_a_part() -> Running {
    let engines = RestartingEngines::default();
    let up = engines.clone();
    let crashes = |call: &UpstreamCall| {
        let prompt = call.call.prompt.as_ref().unwrap();
        prompt.parts.iter().any(|part| &*part.id == "crashing")
    };
    many_engines(move |call| {
        if !crashes(call) {
            return Script::Stream(events(1, 60), End::Whole);
        }
        let wait = Duration::from_secs(1);
        engines.crash_after(call, wait);
        Script::Stream(vec![Part::Pause(wait)], End::Break)
    })
    .answers_probes(move |id| up.is_up(id))
    .start()
}

/// Guards against requests whose bodies differ and whose prompts share a part that crashes engine after engine.
#[gtest]
#[tokio::test(start_paused = true)]
async fn part_that_crashes_engines_is_refused_whatever_the_body() {
    let running = engines_that_crash_under_a_part();
    for n in 0..2 {
        let call = call_with_part(&running, n, "crashing");
        let reply = running.gateway.handle(call).await;
        expect_that!(matches!(reply, Reply::Unknown), eq(true));
    }
    let sends = running.sent_to().len();

    let again = call_with_part(&running, 3, "crashing");
    let again = running.gateway.handle(again).await;
    let sound = call_with_part(&running, 4, "sound");
    let sound = read_stream(running.gateway.handle(sound).await).await;

    let Reply::NotRun { not_run } = again else {
        panic!("{again:?}");
    };
    expect_that!(not_run.reason(), eq(RefusalReason::CrashingPart));
    expect_that!(sends, le(4));
    expect_that!(sound, eq(&(text(1, 60), true)));
}

/// Guards against a crash by a call that already waits in an engine when a part of its prompt is blamed.
#[gtest]
#[tokio::test(start_paused = true)]
async fn waiting_call_is_withdrawn_when_a_part_of_its_prompt_is_blamed() {
    let running = many_engines(|_| Script::Hang).start();
    let waiting = call_with_part(&running, 0, "crashing");
    let gateway = running.gateway.clone();
    let reply = tokio::spawn(async move { gateway.handle(waiting).await });
    tokio::time::sleep(Duration::from_secs(1)).await;

    let service = ENGINES.parse().unwrap();
    for n in 0..3 {
        running.receive_crash_of_part(&service, "crashing", n);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let reply = tokio::time::timeout(Duration::from_millis(10), reply).await;

    expect_that!(matches!(reply, Ok(Ok(Reply::Unknown))), eq(true));
    expect_that!(running.sent_to().len(), eq(1));
}

/// Guards against refusing a part that a coincidence of crashes blamed, though its calls get past their beginning.
#[gtest]
#[tokio::test(start_paused = true)]
async fn calls_that_get_past_their_beginning_clear_their_parts() {
    let running = many_engines(|_| Script::Stream(events(1, 60), End::Whole)).start();
    let service = ENGINES.parse().unwrap();
    for n in 0..6 {
        running.receive_crash_of_part(&service, "shared", n);
        let call = call_with_part(&running, n, "sound");
        let stream = read_stream(running.gateway.handle(call).await).await;
        expect_that!(stream, eq(&(text(1, 60), true)), "call {n}");
    }
}
