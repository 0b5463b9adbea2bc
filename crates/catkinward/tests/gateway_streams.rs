//! Streams through a gateway, in particular those that lose their upstreams.

mod gateway_support;

use catkin_decisions::SharedRetryBudgetConfig;
use catkinward::gateway::{Reply, UpstreamCall};
use gateway_support::*;
use googletest::prelude::*;
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

/// Upstreams that break the first run after 20 events and otherwise continue after the last event.
fn break_first_run() -> impl Fn(&UpstreamCall) -> Script + Send + Sync {
    let calls = AtomicUsize::new(0);
    move |call| {
        let first = call.last_event.map_or(1, |last| last + 1);
        if calls.fetch_add(1, Ordering::Relaxed) == 0 {
            Script::Stream(events(first, 20), End::Break)
        } else {
            Script::Stream(events(first, 40), End::Whole)
        }
    }
}

/// An engine crashes in the middle of a stream. The stream resumes from its KV copy in another availability
/// zone, and the caller gets every event once.
#[gtest]
#[tokio::test(start_paused = true)]
async fn broken_stream_resumes_from_its_kv_copy() {
    let running = GatewayFixture::new(break_first_run())
        .default_upstreams()
        .start();

    let stream = read_stream(running.handle("/stream/1").await).await;

    expect_that!(stream, eq(&(text(1, 40), true)));
    let received = running.received.lock();
    expect_that!(received.len(), eq(2));
    expect_that!(received[1].from_copy, some(eq("call-1")));
    expect_that!(received[1].last_event, some(eq(20)));
    expect_that!(received[0].upstream, starts_with("engine-a"));
    expect_that!(received[1].upstream, not(starts_with("engine-a")));
}

/// An engine's VM loses power in the middle of a stream, so that the connection stays open but silent. The
/// engine is probed once and does not answer; the caller waits less than half a second.
#[gtest]
#[tokio::test(start_paused = true)]
async fn silent_stream_resumes_within_half_a_second() {
    let stream_sent = Arc::new(AtomicBool::new(false));
    let (on_send, on_probe) = (stream_sent.clone(), stream_sent.clone());
    let running = GatewayFixture::new(move |call| {
        let first = call.last_event.map_or(1, |last| last + 1);
        if on_send.swap(true, Ordering::Relaxed) {
            Script::Stream(events(first, 40), End::Whole)
        } else {
            Script::Stream(events(1, 20), End::Hang)
        }
    })
    .answers_probes(move |id| !(on_probe.load(Ordering::Relaxed) && id.starts_with("engine-a")))
    .default_upstreams()
    .start();
    let start = running.timer.now();

    let stream = read_stream(running.handle("/stream/1").await).await;

    // 40 events take 1.2 s.
    let pause = running
        .timer
        .now()
        .since(start)
        .saturating_sub(Duration::from_millis(1210));
    expect_that!(stream, eq(&(text(1, 40), true)));
    // 200 ms of silence, up to 50 ms until the next check, 180 ms for the answer to the probe.
    expect_that!(pause, le(Duration::from_millis(440)));
}

/// An engine's VM loses power during prefill, when silence is normal. The engine is probed and does not answer,
/// and the prompt is prefilled on another engine at once.
#[gtest]
#[tokio::test(start_paused = true)]
async fn prompt_on_a_dead_engine_is_prefilled_elsewhere_at_once() {
    let sends = Arc::new(AtomicUsize::new(0));
    let count = sends.clone();
    let running = GatewayFixture::new(move |_| {
        if count.fetch_add(1, Ordering::Relaxed) == 0 {
            return Script::Hang;
        }
        Script::Stream(events(1, 40), End::Whole)
    })
    .answers_probes(move |id| sends.load(Ordering::Relaxed) != 1 || !id.starts_with("engine-a"))
    .default_upstreams()
    .start();
    let start = running.timer.now();

    let reply = running.handle("/stream/1").await;

    let first_event = running.timer.now().since(start);
    expect_that!(first_event, le(Duration::from_millis(500)));
    expect_that!(read_stream(reply).await, eq(&(text(1, 40), true)));
}

/// A connection goes dead in the middle of a stream, while its engine answers health checks on new connections.
/// The stream resumes elsewhere; the caller waits less than 0.7 s.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_on_a_dead_connection_resumes_elsewhere() {
    let running = GatewayFixture::new(|call| match call.last_event {
        Some(last) => Script::Stream(events(last + 1, 40), End::Whole),
        None => Script::Stream(events(1, 20), End::Hang),
    })
    .default_upstreams()
    .start();
    let start = running.timer.now();

    let stream = read_stream(running.handle("/stream/1").await).await;

    let pause = running
        .timer
        .now()
        .since(start)
        .saturating_sub(Duration::from_millis(1210));
    expect_that!(stream, eq(&(text(1, 40), true)));
    expect_that!(pause, le(Duration::from_millis(600)));
}

/// The engine that holds the KV copy of a stream crashes, and some seconds later the engine that runs the
/// stream. Without a new copy the complete prompt is prefilled again, and the caller waits for seconds.
#[gtest]
#[tokio::test(start_paused = true)]
async fn kv_copy_is_remade_after_its_holder_is_lost() {
    let running = GatewayFixture::new(|call| {
        let first = call.last_event.map_or(1, |last| last + 1);
        if call.last_event.is_none() {
            Script::Stream(events(1, 100), End::Break)
        } else {
            Script::Stream(events(first, 120), End::Whole)
        }
    })
    .default_upstreams()
    .start();
    let reply = running.handle("/stream/1").await;
    let reading = tokio::spawn(read_stream(reply));
    tokio::time::sleep(Duration::from_millis(900)).await;
    let holder = running.received.lock()[0].copy_to.clone().unwrap();
    let lost_holder = ["b", "c"]
        .iter()
        .flat_map(|zone| [1, 2].map(|n| format!("engine-{zone}{n}")))
        .find(|id| upstream(id, ENGINES, "b").address.to_string() == holder)
        .unwrap();
    running
        .gateway
        .upstream_removed(&lost_holder.parse().unwrap());

    let stream = reading.await.unwrap();

    expect_that!(stream, eq(&(text(1, 120), true)));
    let received = running.received.lock();
    let copies = running.copies.lock();
    expect_that!(copies.first(), some(not(eq(&lost_holder))));
    expect_that!(received.len(), eq(2));
    expect_that!(received[1].from_copy, some(eq("copy-1")));
    expect_that!(copies.contains(&received[1].upstream), eq(true));
    expect_that!(running.freed.lock().is_empty(), eq(true));
}

/// The upstreams of the own zone are lost, so a stream runs in another zone with its KV copy in a third one.
/// Then the own zone is partitioned from both, while its caller is still connected here. The stream resumes from a
/// copy made in the own zone after upstreams were back there. Without it the prompt would be prefilled again, which
/// takes two to five seconds, since all streams of the zone share its few upstreams.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_of_a_partitioned_zone_resumes_from_a_copy_in_the_zone() {
    let partitioned = Arc::new(AtomicBool::new(false));
    let is_partitioned = partitioned.clone();
    let running = GatewayFixture::new(move |call| {
        let first = call.last_event.map_or(1, |last| last + 1);
        if call.entry.zone.as_str() == "a" {
            return Script::Stream(events(first, 100), End::Whole);
        }
        Script::Stream(events(first, 60), End::Hang)
    })
    .answers_probes(move |id| !is_partitioned.load(Ordering::Relaxed) || id.starts_with("engine-a"))
    .upstream("engine-b1", ENGINES, "b")
    .upstream("engine-c1", ENGINES, "c")
    .start();
    let reply = running.handle("/stream/1").await;
    let reading = tokio::spawn(read_stream(reply));
    tokio::time::sleep(Duration::from_millis(300)).await;
    running
        .gateway
        .upstream_updated(upstream("engine-a1", ENGINES, "a"));
    tokio::time::sleep(Duration::from_millis(1200)).await;

    partitioned.store(true, Ordering::Relaxed);
    let stream = reading.await.unwrap();

    expect_that!(stream, eq(&(text(1, 100), true)));
    expect_that!(running.copies.lock().first(), some(eq("engine-a1")));
    let received = running.received.lock();
    expect_that!(received.len(), eq(2));
    expect_that!(received[1].upstream, eq("engine-a1"));
    expect_that!(received[1].from_copy, some(eq("copy-1")));
}

/// A new KV copy was made for a stream that then completes. Its holder would keep memory for it for seconds, so
/// the copy must be freed.
#[gtest]
#[tokio::test(start_paused = true)]
async fn unused_kv_copy_is_freed() {
    let running = GatewayFixture::new(|_| Script::Stream(events(1, 100), End::Whole))
        .default_upstreams()
        .start();
    let reply = running.handle("/stream/1").await;
    let reading = tokio::spawn(read_stream(reply));
    tokio::time::sleep(Duration::from_millis(900)).await;
    for zone in ["b", "c"] {
        for n in [1, 2] {
            let lost_holder = format!("engine-{zone}{n}");
            if running.received.lock()[0].copy_to
                == Some(upstream(&lost_holder, ENGINES, zone).address.to_string())
            {
                running
                    .gateway
                    .upstream_removed(&lost_holder.parse().unwrap());
            }
        }
    }

    let stream = reading.await.unwrap();
    tokio::time::sleep(Duration::from_millis(10)).await;

    expect_that!(stream, eq(&(text(1, 100), true)));
    expect_that!(*running.freed.lock(), eq(&["copy-1"]));
}

/// The copy holder does not have the copy: it arrived too late, or there was no free memory. The prompt is
/// prefilled again on another engine, and no event is lost.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_without_a_kv_copy_is_prefilled_again() {
    let running = GatewayFixture::new(|call| match (call.last_event, &call.copy_from) {
        (None, _) => Script::Stream(events(1, 20), End::Break),
        (Some(_), Some(_)) => Script::NotExecuted,
        (Some(last), None) => Script::Stream(events(last + 1, 40), End::Whole),
    })
    .default_upstreams()
    .start();

    let stream = read_stream(running.handle("/stream/1").await).await;

    expect_that!(stream, eq(&(text(1, 40), true)));
    expect_that!(running.sent_to().len(), eq(3));
}

/// An engine crashes while it writes an event. The caller must not get the truncated event: the next engine
/// starts with the complete one.
#[gtest]
#[tokio::test(start_paused = true)]
async fn truncated_event_is_not_delivered() {
    let running = GatewayFixture::new(|call| {
        if let Some(last) = call.last_event {
            return Script::Stream(events(last + 1, 40), End::Whole);
        }
        let mut parts = events(1, 20);
        parts.push(Part::Bytes("id: 21\nda".to_owned()));
        Script::Stream(parts, End::Break)
    })
    .default_upstreams()
    .start();

    let stream = read_stream(running.handle("/stream/1").await).await;

    expect_that!(stream, eq(&(text(1, 40), true)));
}

/// A run ends regularly, but within an event. The stream is incomplete, and the rest must come from another
/// engine.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_that_ends_within_an_event_is_resumed() {
    let running = GatewayFixture::new(|call| {
        if let Some(last) = call.last_event {
            return Script::Stream(events(last + 1, 40), End::Whole);
        }
        let mut parts = events(1, 20);
        parts.push(Part::Bytes("id: 21\nda".to_owned()));
        Script::Stream(parts, End::Whole)
    })
    .default_upstreams()
    .start();

    let stream = read_stream(running.handle("/stream/1").await).await;

    expect_that!(stream, eq(&(text(1, 40), true)));
}

/// The next engine repeats events that the caller has, or skips some. The caller must get each event exactly
/// once.
#[gtest]
#[tokio::test(start_paused = true)]
async fn caller_gets_each_event_once_despite_repeats_and_gaps() {
    let runs = AtomicUsize::new(0);
    let running = GatewayFixture::new(move |call| {
        match (runs.fetch_add(1, Ordering::Relaxed), call.last_event) {
            (0, _) => Script::Stream(events(1, 20), End::Break),
            (1, _) => Script::Stream([events(15, 22), events(24, 30)].concat(), End::Whole),
            (_, Some(last)) => Script::Stream(events(last + 1, 40), End::Whole),
            (_, None) => Script::Lost,
        }
    })
    .default_upstreams()
    .start();

    let stream = read_stream(running.handle("/stream/1").await).await;

    expect_that!(stream, eq(&(text(1, 40), true)));
}

/// A stream that is not resumable loses its engine. It is cut, and no second engine runs it.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_that_is_not_resumable_is_cut_and_not_retried() {
    let running = GatewayFixture::new(break_first_run())
        .default_upstreams()
        .start();

    let stream = read_stream(running.handle("/stream-once/1").await).await;

    expect_that!(stream, eq(&(text(1, 20), false)));
    expect_that!(running.sent_to().len(), eq(1));
}

/// A caller reconnects with its last event ID after its VM crashed. The stream resumes from there.
#[gtest]
#[tokio::test(start_paused = true)]
async fn caller_reconnects_with_its_last_event() {
    let running = GatewayFixture::new(|call| {
        Script::Stream(events(call.last_event.unwrap() + 1, 30), End::Whole)
    })
    .default_upstreams()
    .start();
    let mut call = running.call("/stream/1");
    call.last_event = Some(12);

    let stream = read_stream(running.gateway.handle(call).await).await;

    expect_that!(stream, eq(&(text(13, 30), true)));
    expect_that!(running.received.lock()[0].last_event, some(eq(12)));
}

/// All VMs are killed and restart, and the callers of their streams reconnect. The engine that has a caller's
/// prompt cached may be in any zone. The stream must resume there, so that the prompt is not prefilled again.
#[gtest]
#[tokio::test(start_paused = true)]
async fn reconnecting_caller_resumes_on_the_engine_that_caches_its_prompt() {
    for holder in ["engine-a2", "engine-b1", "engine-c2"] {
        let running = GatewayFixture::new(|call| {
            Script::Stream(events(call.last_event.unwrap() + 1, 30), End::Whole)
        })
        .default_upstreams()
        .cached_on(holder)
        .start();
        let mut call = running.call("/stream/1");
        call.last_event = Some(12);

        let stream = read_stream(running.gateway.handle(call).await).await;

        expect_that!(stream, eq(&(text(13, 30), true)));
        expect_that!(running.sent_to(), elements_are![eq(holder)]);
    }
}

/// A caller has less time left than the prefill of its prompt takes. It is told at once that the call has not
/// run; otherwise an engine would prefill the prompt in vain, and the caller would leave at its deadline.
#[gtest]
#[tokio::test(start_paused = true)]
async fn caller_without_time_for_prefill_is_refused_at_once() {
    let running = GatewayFixture::new(|_| Script::Stream(events(1, 30), End::Whole))
        .default_upstreams()
        .start();
    let mut call = running.call("/stream/1");
    call.timeout = Some(Duration::from_millis(900));
    let start = running.timer.now();

    let reply = running.gateway.handle(call).await;

    assert!(matches!(reply, Reply::NotRun { .. }), "{reply:?}");
    expect_that!(
        running.timer.now().since(start),
        le(Duration::from_millis(70))
    );
    expect_that!(running.sent_to(), is_empty());
}

/// A caller has less time left than the prefill of its prompt takes, but an engine has the prompt cached.
#[gtest]
#[tokio::test(start_paused = true)]
async fn caller_without_time_for_prefill_is_served_from_the_prompt_cache() {
    let running = GatewayFixture::new(|_| Script::Stream(events(1, 20), End::Whole))
        .default_upstreams()
        .cached_on("engine-b1")
        .start();
    let mut call = running.call("/stream/1");
    call.timeout = Some(Duration::from_millis(900));

    let stream = read_stream(running.gateway.handle(call).await).await;

    expect_that!(stream, eq(&(text(1, 20), true)));
}

/// A caller has less time left than complete streams take, and no event yet, so it is refused at once. A caller
/// with the same time whose stream is almost complete is served.
#[gtest]
#[tokio::test(start_paused = true)]
async fn caller_without_time_for_the_complete_stream_is_refused_at_once() {
    let running = GatewayFixture::new(|call| {
        let first = call.last_event.map_or(1, |last| last + 1);
        Script::Stream(events(first, 30), End::Whole)
    })
    .default_upstreams()
    .start();
    for _ in 0..8 {
        read_stream(running.handle("/stream/1").await).await;
    }
    let sent = running.sent_to().len();
    let mut call = running.call("/stream/1");
    call.timeout = Some(Duration::from_millis(1600));
    let mut resumed_call = running.call("/stream/1");
    resumed_call.timeout = Some(Duration::from_millis(1600));
    resumed_call.last_event = Some(25);

    let refused = running.gateway.handle(call).await;
    let refused_sends = running.sent_to().len() - sent;
    let served = read_stream(running.gateway.handle(resumed_call).await).await;

    expect_that!(refused, pat!(Reply::NotRun { .. }));
    expect_that!(refused_sends, eq(0));
    expect_that!(served, eq(&(text(26, 30), true)));
}

/// The caller leaves in the middle of a stream. The run must end at once, so that its engine stops.
#[gtest]
#[tokio::test(start_paused = true)]
async fn run_ends_when_its_caller_leaves() {
    let running = GatewayFixture::new(|_| Script::Stream(events(1, 40), End::Hang))
        .default_upstreams()
        .answers_probes(|_| true)
        .start();
    let reply = running.handle("/stream/1").await;

    drop(reply);
    tokio::time::sleep(Duration::from_secs(5)).await;

    // An upstream is probed only while a call is in flight there.
    expect_that!(running.probes.lock().len(), eq(0));
    expect_that!(running.gateway.drain.in_flight(), eq(0));
}

/// No engine accepts the stream. Its caller is told at once that it has not run, and when to retry.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_refused_by_all_engines_is_refused_as_not_run() {
    let running = GatewayFixture::new(|_| Script::NotExecuted)
        .default_upstreams()
        .start();
    let start = running.timer.now();

    let reply = running.handle("/stream/1").await;

    let waited = running.timer.now().since(start);
    let Reply::NotRun { not_run } = reply else {
        panic!("{reply:?}");
    };
    expect_that!(not_run.retry_after(), gt(Duration::ZERO));
    expect_that!(waited, le(Duration::from_millis(500)));
}

/// The deadline passes in the middle of a stream. The stream must be cut then and not wait any longer.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_ends_at_its_deadline() {
    let running = GatewayFixture::new(|_| Script::Stream(events(1, 5), End::Hang))
        .default_upstreams()
        .start();
    let mut call = running.call("/stream/1");
    call.timeout = Some(Duration::from_secs(3));
    let start = running.timer.now();

    let stream = read_stream(running.gateway.handle(call).await).await;

    expect_that!(stream, eq(&(text(1, 5), false)));
    let took = running.timer.now().since(start);
    expect_that!(took, le(Duration::from_millis(3100)));
}

/// Engines crash while they run two streams, and the retry budget has one retry left. The second stream waits until
/// the budget window has advanced, and its caller gets the complete response a second late. If it were cut, its
/// caller would reconnect and the prompt would be prefilled again.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_waits_when_the_retry_budget_is_used_up() {
    let running = GatewayFixture::new(|call| match call.last_event {
        Some(last) => Script::Stream(events(last + 1, 40), End::Whole),
        None => Script::Stream(events(1, 20), End::Break),
    })
    .retry_budget(SharedRetryBudgetConfig {
        ratio: 0.0,
        slack: 2.0,
        window: Duration::from_secs(1),
        ..SharedRetryBudgetConfig::default()
    })
    .default_upstreams()
    .start();

    let (first, second) = tokio::join!(running.handle("/stream/1"), running.handle("/stream/2"));
    let (first, second) = tokio::join!(read_stream(first), read_stream(second));

    expect_that!(first, eq(&(text(1, 40), true)));
    expect_that!(second, eq(&(text(1, 40), true)));
}

/// Guards against a KV copy that two runs resume from: a handle is good for one, and the second would be rejected or
/// continue from the memory of another run.
#[gtest]
#[tokio::test(start_paused = true)]
async fn each_kv_copy_is_used_for_one_resume() {
    for resumed in [Script::Lost, Script::NotExecuted, Script::NoConnection] {
        let resumes = AtomicUsize::new(0);
        let running = GatewayFixture::new(move |call| {
            let first = call.last_event.map_or(1, |last| last + 1);
            if call.copy_from.is_some() && resumes.fetch_add(1, Ordering::Relaxed) < 2 {
                return resumed.clone();
            }
            if first < 20 {
                Script::Stream(events(first, 20), End::Break)
            } else {
                Script::Stream(events(first, 40), End::Whole)
            }
        })
        .default_upstreams()
        .start();

        let stream = read_stream(running.handle("/stream/1").await).await;

        expect_that!(stream, eq(&(text(1, 40), true)));
        let received = running.received.lock();
        let mut used = received
            .iter()
            .filter_map(|call| Some((call.upstream.clone(), call.from_copy.clone()?)))
            .collect::<Vec<_>>();
        let uses = used.len();
        used.sort();
        used.dedup();
        expect_that!(uses, ge(1));
        expect_that!(used.len(), eq(uses));
    }
}
