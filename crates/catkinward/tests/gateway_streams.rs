//! Streams that lose their upstreams.

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

/// Upstreams that break the first run after 20 events and go on after the last event otherwise.
fn break_first() -> impl Fn(&UpstreamCall) -> Script + Send + Sync {
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

/// An engine dies in the middle of a stream. The stream goes on from the copy of its memory in another
/// availability zone, and the caller sees every event once.
#[gtest]
#[tokio::test(start_paused = true)]
async fn broken_stream_goes_on_from_its_copy() {
    let running = GatewayFixture::new(break_first()).usual_upstreams().start();

    let stream = read_stream(running.handle("/stream/1").await).await;

    expect_that!(stream, eq(&(text(1, 40), true)));
    let seen = running.seen.lock();
    expect_that!(seen.len(), eq(2));
    expect_that!(seen[1].from_copy, some(eq("call-1")));
    expect_that!(seen[1].last_event, some(eq(20)));
    expect_that!(seen[0].upstream, starts_with("engine-a"));
    expect_that!(seen[1].upstream, not(starts_with("engine-a")));
}

/// An engine's VM loses power in the middle of a stream: nothing comes any more, and nothing says so.
/// The engine is asked once and does not answer; the caller waits less than half a second.
#[gtest]
#[tokio::test(start_paused = true)]
async fn silent_stream_goes_on_within_half_a_second() {
    let dark = Arc::new(AtomicBool::new(false));
    let (died, asked) = (dark.clone(), dark.clone());
    let running = GatewayFixture::new(move |call| {
        let first = call.last_event.map_or(1, |last| last + 1);
        if died.swap(true, Ordering::Relaxed) {
            Script::Stream(events(first, 40), End::Whole)
        } else {
            Script::Stream(events(1, 20), End::Hang)
        }
    })
    .alive(move |id| !(asked.load(Ordering::Relaxed) && id.starts_with("engine-a")))
    .usual_upstreams()
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
    // 200 ms of silence, up to 50 ms until it is looked at, 180 ms for an answer.
    expect_that!(pause, le(Duration::from_millis(440)));
}

/// An engine's VM loses power while it reads a prompt, when silence is usual. The engine is asked and does
/// not answer, and the prompt is read elsewhere at once.
#[gtest]
#[tokio::test(start_paused = true)]
async fn prompt_on_a_dead_engine_is_read_elsewhere_at_once() {
    let sends = Arc::new(AtomicUsize::new(0));
    let count = sends.clone();
    let running = GatewayFixture::new(move |_| {
        if count.fetch_add(1, Ordering::Relaxed) == 0 {
            return Script::Hang;
        }
        Script::Stream(events(1, 40), End::Whole)
    })
    .alive(move |id| sends.load(Ordering::Relaxed) != 1 || !id.starts_with("engine-a"))
    .usual_upstreams()
    .start();
    let start = running.timer.now();

    let reply = running.handle("/stream/1").await;

    let first_event = running.timer.now().since(start);
    expect_that!(first_event, le(Duration::from_millis(500)));
    expect_that!(read_stream(reply).await, eq(&(text(1, 40), true)));
}

/// A connection goes silent for good in the middle of a stream, while its engine lives and answers
/// questions over new ones. The stream goes on elsewhere; the caller waits less than 0.7 s.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_on_a_silent_connection_goes_on_elsewhere() {
    let running = GatewayFixture::new(|call| match call.last_event {
        Some(last) => Script::Stream(events(last + 1, 40), End::Whole),
        None => Script::Stream(events(1, 20), End::Hang),
    })
    .usual_upstreams()
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

/// The engine that keeps the copy of a stream's memory dies, and some seconds later the stream's own.
/// Without a new copy the whole prompt is read again, and the caller waits for seconds.
#[gtest]
#[tokio::test(start_paused = true)]
async fn copy_whose_holder_is_lost_is_made_anew() {
    let running = GatewayFixture::new(|call| {
        let first = call.last_event.map_or(1, |last| last + 1);
        if call.last_event.is_none() {
            Script::Stream(events(1, 100), End::Break)
        } else {
            Script::Stream(events(first, 120), End::Whole)
        }
    })
    .usual_upstreams()
    .start();
    let reply = running.handle("/stream/1").await;
    let reading = tokio::spawn(read_stream(reply));
    tokio::time::sleep(Duration::from_millis(900)).await;
    let holder = running.seen.lock()[0].copy_to.clone().unwrap();
    let lost = ["b", "c"]
        .iter()
        .flat_map(|zone| [1, 2].map(|n| format!("engine-{zone}{n}")))
        .find(|id| upstream(id, ENGINES, "b").address.to_string() == holder)
        .unwrap();
    running.gateway.upstream_removed(&lost.parse().unwrap());

    let stream = reading.await.unwrap();

    expect_that!(stream, eq(&(text(1, 120), true)));
    let seen = running.seen.lock();
    let copies = running.copies.lock();
    expect_that!(copies.first(), some(not(eq(&lost))));
    expect_that!(seen.len(), eq(2));
    expect_that!(seen[1].from_copy, some(eq("copy-1")));
    expect_that!(copies.contains(&seen[1].upstream), eq(true));
    expect_that!(running.freed.lock().is_empty(), eq(true));
}

/// The upstreams of the own zone are lost, so a stream runs in another zone and its copy grows in a third;
/// then the own zone is cut off from both. Its caller is still here, and gets the rest from a copy that was
/// made in the own zone once upstreams were back there. Before, the prompt was read again: two to five
/// seconds, since all streams of the zone met on its few upstreams.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_of_a_zone_that_is_cut_off_goes_on_from_a_copy_there() {
    let cut = Arc::new(AtomicBool::new(false));
    let reached = cut.clone();
    let running = GatewayFixture::new(move |call| {
        let first = call.last_event.map_or(1, |last| last + 1);
        if call.entry.zone.as_str() == "a" {
            return Script::Stream(events(first, 100), End::Whole);
        }
        Script::Stream(events(first, 60), End::Hang)
    })
    .alive(move |id| !reached.load(Ordering::Relaxed) || id.starts_with("engine-a"))
    .upstream("engine-b1", ENGINES, "b")
    .upstream("engine-c1", ENGINES, "c")
    .start();
    let reply = running.handle("/stream/1").await;
    let reading = tokio::spawn(read_stream(reply));
    tokio::time::sleep(Duration::from_millis(300)).await;
    running
        .gateway
        .upstream_heard(upstream("engine-a1", ENGINES, "a"));
    tokio::time::sleep(Duration::from_millis(1200)).await;

    cut.store(true, Ordering::Relaxed);
    let stream = reading.await.unwrap();

    expect_that!(stream, eq(&(text(1, 100), true)));
    expect_that!(running.copies.lock().first(), some(eq("engine-a1")));
    let seen = running.seen.lock();
    expect_that!(seen.len(), eq(2));
    expect_that!(seen[1].upstream, eq("engine-a1"));
    expect_that!(seen[1].from_copy, some(eq("copy-1")));
}

/// A copy was made anew for a stream that then ends well. Its holder would keep room for it for seconds;
/// it is told that nobody will use it.
#[gtest]
#[tokio::test(start_paused = true)]
async fn copy_that_nobody_uses_is_freed() {
    let running = GatewayFixture::new(|_| Script::Stream(events(1, 100), End::Whole))
        .usual_upstreams()
        .start();
    let reply = running.handle("/stream/1").await;
    let reading = tokio::spawn(read_stream(reply));
    tokio::time::sleep(Duration::from_millis(900)).await;
    for zone in ["b", "c"] {
        for n in [1, 2] {
            let lost = format!("engine-{zone}{n}");
            if running.seen.lock()[0].copy_to
                == Some(upstream(&lost, ENGINES, zone).address.to_string())
            {
                running.gateway.upstream_removed(&lost.parse().unwrap());
            }
        }
    }

    let stream = reading.await.unwrap();
    tokio::time::sleep(Duration::from_millis(10)).await;

    expect_that!(stream, eq(&(text(1, 100), true)));
    expect_that!(*running.freed.lock(), eq(&["copy-1"]));
}

/// The holder of a copy has no copy: it came too late, or there was no room. The prompt is read again
/// elsewhere, and nothing is lost.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_without_a_copy_is_read_anew() {
    let running = GatewayFixture::new(|call| match (call.last_event, &call.copy_from) {
        (None, _) => Script::Stream(events(1, 20), End::Break),
        (Some(_), Some(_)) => Script::NotExecuted,
        (Some(last), None) => Script::Stream(events(last + 1, 40), End::Whole),
    })
    .usual_upstreams()
    .start();

    let stream = read_stream(running.handle("/stream/1").await).await;

    expect_that!(stream, eq(&(text(1, 40), true)));
    expect_that!(running.sent_to().len(), eq(3));
}

/// An engine dies while it writes an event. The caller must not see the half of it: the next engine
/// begins with the whole event.
#[gtest]
#[tokio::test(start_paused = true)]
async fn torn_event_is_not_handed_on() {
    let running = GatewayFixture::new(|call| {
        if let Some(last) = call.last_event {
            return Script::Stream(events(last + 1, 40), End::Whole);
        }
        let mut parts = events(1, 20);
        parts.push(Part::Bytes("id: 21\nda".to_owned()));
        Script::Stream(parts, End::Break)
    })
    .usual_upstreams()
    .start();

    let stream = read_stream(running.handle("/stream/1").await).await;

    expect_that!(stream, eq(&(text(1, 40), true)));
}

/// A stream ends in the middle of an event as if it were whole. It is not: the rest comes from
/// another engine.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_that_ends_within_an_event_is_not_whole() {
    let running = GatewayFixture::new(|call| {
        if let Some(last) = call.last_event {
            return Script::Stream(events(last + 1, 40), End::Whole);
        }
        let mut parts = events(1, 20);
        parts.push(Part::Bytes("id: 21\nda".to_owned()));
        Script::Stream(parts, End::Whole)
    })
    .usual_upstreams()
    .start();

    let stream = read_stream(running.handle("/stream/1").await).await;

    expect_that!(stream, eq(&(text(1, 40), true)));
}

/// The next engine sends events again that the caller has, or leaves some out. The caller gets each
/// once and none is missing.
#[gtest]
#[tokio::test(start_paused = true)]
async fn repeated_and_missing_events_do_not_reach_the_caller() {
    let runs = AtomicUsize::new(0);
    let running = GatewayFixture::new(move |call| {
        match (runs.fetch_add(1, Ordering::Relaxed), call.last_event) {
            (0, _) => Script::Stream(events(1, 20), End::Break),
            (1, _) => Script::Stream([events(15, 22), events(24, 30)].concat(), End::Whole),
            (_, Some(last)) => Script::Stream(events(last + 1, 40), End::Whole),
            (_, None) => Script::Lost,
        }
    })
    .usual_upstreams()
    .start();

    let stream = read_stream(running.handle("/stream/1").await).await;

    expect_that!(stream, eq(&(text(1, 40), true)));
}

/// A stream that may not be resumed loses its engine. It ends cut, and no second engine runs it.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_that_runs_once_is_cut_and_never_sent_again() {
    let running = GatewayFixture::new(break_first()).usual_upstreams().start();

    let stream = read_stream(running.handle("/stream-once/1").await).await;

    expect_that!(stream, eq(&(text(1, 20), false)));
    expect_that!(running.sent_to().len(), eq(1));
}

/// A caller comes back with its last event id after its VM died. The stream goes on from there.
#[gtest]
#[tokio::test(start_paused = true)]
async fn caller_comes_back_with_its_last_event() {
    let running = GatewayFixture::new(|call| {
        Script::Stream(events(call.last_event.unwrap() + 1, 30), End::Whole)
    })
    .usual_upstreams()
    .start();
    let mut call = running.call("/stream/1");
    call.last_event = Some(12);

    let stream = read_stream(running.gateway.handle(call).await).await;

    expect_that!(stream, eq(&(text(13, 30), true)));
    expect_that!(running.seen.lock()[0].last_event, some(eq(12)));
}

/// All VMs are killed and start anew, and the callers of their streams come back. The engine that read
/// a caller's prompt still holds it, in whatever zone it is: the stream goes on there, and the prompt is
/// not read a second time.
#[gtest]
#[tokio::test(start_paused = true)]
async fn caller_that_comes_back_goes_to_the_engine_that_holds_its_prompt() {
    for holder in ["engine-a2", "engine-b1", "engine-c2"] {
        let running = GatewayFixture::new(|call| {
            Script::Stream(events(call.last_event.unwrap() + 1, 30), End::Whole)
        })
        .usual_upstreams()
        .holder(holder)
        .start();
        let mut call = running.call("/stream/1");
        call.last_event = Some(12);

        let stream = read_stream(running.gateway.handle(call).await).await;

        expect_that!(stream, eq(&(text(13, 30), true)));
        expect_that!(running.sent_to(), elements_are![eq(holder)]);
    }
}

/// A caller comes back with less time than its prompt takes to be read. It is told at once that nothing
/// has run; before, an engine read the prompt for nobody, and the caller left at its deadline.
#[gtest]
#[tokio::test(start_paused = true)]
async fn caller_that_cannot_be_served_in_time_is_refused_at_once() {
    let running = GatewayFixture::new(|_| Script::Stream(events(1, 30), End::Whole))
        .usual_upstreams()
        .start();
    let mut call = running.call("/stream/1");
    call.patience = Some(Duration::from_millis(900));
    let start = running.timer.now();

    let reply = running.gateway.handle(call).await;

    assert!(matches!(reply, Reply::NotRun { .. }), "{reply:?}");
    expect_that!(
        running.timer.now().since(start),
        le(Duration::from_millis(70))
    );
    expect_that!(running.sent_to(), is_empty());
}

/// A caller comes back with less time than its prompt takes to be read, but an engine holds the prompt.
#[gtest]
#[tokio::test(start_paused = true)]
async fn caller_with_little_time_is_served_where_its_prompt_is_held() {
    let running = GatewayFixture::new(|_| Script::Stream(events(1, 20), End::Whole))
        .usual_upstreams()
        .holder("engine-b1")
        .start();
    let mut call = running.call("/stream/1");
    call.patience = Some(Duration::from_millis(900));

    let stream = read_stream(running.gateway.handle(call).await).await;

    expect_that!(stream, eq(&(text(1, 20), true)));
}

/// A caller comes back with less time than streams take from prompt to end, and has nothing of its own yet.
#[gtest]
#[tokio::test(start_paused = true)]
async fn caller_whose_stream_cannot_be_whole_in_time_is_refused_at_once() {
    let running = GatewayFixture::new(|call| {
        let first = call.last_event.map_or(1, |last| last + 1);
        Script::Stream(events(first, 30), End::Whole)
    })
    .usual_upstreams()
    .start();
    for _ in 0..8 {
        read_stream(running.handle("/stream/1").await).await;
    }
    let sent = running.sent_to().len();
    let mut call = running.call("/stream/1");
    call.patience = Some(Duration::from_millis(1600));
    let mut begun = running.call("/stream/1");
    begun.patience = Some(Duration::from_millis(1600));
    begun.last_event = Some(25);

    let refused = running.gateway.handle(call).await;
    let sent_for_it = running.sent_to().len() - sent;
    let served = read_stream(running.gateway.handle(begun).await).await;

    expect_that!(refused, pat!(Reply::NotRun { .. }));
    expect_that!(sent_for_it, eq(0));
    expect_that!(served, eq(&(text(26, 30), true)));
}

/// The caller leaves in the middle of a stream. The run is given up at once, so that its engine stops.
#[gtest]
#[tokio::test(start_paused = true)]
async fn run_ends_when_its_caller_leaves() {
    let running = GatewayFixture::new(|_| Script::Stream(events(1, 40), End::Hang))
        .usual_upstreams()
        .alive(|_| true)
        .start();
    let reply = running.handle("/stream/1").await;

    drop(reply);
    tokio::time::sleep(Duration::from_secs(5)).await;

    // An upstream is asked only while a call is in flight there.
    expect_that!(running.probes.lock().len(), eq(0));
    expect_that!(running.gateway.drain.in_flight(), eq(0));
}

/// No engine takes the stream. Its caller is told at once that it has not run, and when to come back.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_that_nobody_takes_is_refused_as_not_run() {
    let running = GatewayFixture::new(|_| Script::NotExecuted)
        .usual_upstreams()
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

/// Time runs out in the middle of a stream. It ends then, cut, and nothing waits longer.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_ends_when_its_time_is_over() {
    let running = GatewayFixture::new(|_| Script::Stream(events(1, 5), End::Hang))
        .usual_upstreams()
        .start();
    let mut call = running.call("/stream/1");
    call.patience = Some(Duration::from_secs(3));
    let start = running.timer.now();

    let stream = read_stream(running.gateway.handle(call).await).await;

    expect_that!(stream, eq(&(text(1, 5), false)));
    let took = running.timer.now().since(start);
    expect_that!(took, le(Duration::from_millis(3100)));
}

/// Engines crash under two streams, and the budget has one retry left. The second stream waits until the window
/// of the budget has gone on, and its caller gets the whole answer a second late. Cut, it would come back and
/// have its prompt read anew.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_waits_for_a_repeat_that_is_not_left() {
    let running = GatewayFixture::new(|call| match call.last_event {
        Some(last) => Script::Stream(events(last + 1, 40), End::Whole),
        None => Script::Stream(events(1, 20), End::Break),
    })
    .repeats(SharedRetryBudgetConfig {
        ratio: 0.0,
        slack: 2.0,
        window: Duration::from_secs(1),
        vms: 1,
    })
    .usual_upstreams()
    .start();

    let (first, second) = tokio::join!(running.handle("/stream/1"), running.handle("/stream/2"));
    let (first, second) = tokio::join!(read_stream(first), read_stream(second));

    expect_that!(first, eq(&(text(1, 40), true)));
    expect_that!(second, eq(&(text(1, 40), true)));
}
