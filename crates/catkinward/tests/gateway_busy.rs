//! Streams of scheduled services on engines that are busy, dead, or have lost a call.

mod gateway_support;

use catkin_decisions::{LoadSample, SharedRetryBudgetConfig};
use catkinward::gateway::Call;
use gateway_support::*;
use googletest::prelude::*;
use parking_lot::Mutex;
use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{task::JoinSet, time};

/// Time that an engine takes to process a prompt.
const PREFILL: Duration = Duration::from_millis(1030);

/// Age of a report when it arrives.
const REPORT_DELAY: Duration = Duration::from_millis(200);

/// Arrival of a call, and the end of its prefill.
type Prefill = (time::Instant, time::Instant);

/// Engines with their calls, whose prompts each processes one after the other.
#[derive(Clone, Default)]
struct Engines(Arc<Mutex<BTreeMap<String, Vec<Prefill>>>>);

impl Engines {
    /// Adds a call; returns the time until its first event.
    fn add(&self, id: &str) -> Duration {
        let mut engines = self.0.lock();
        let calls = engines.entry(id.to_owned()).or_default();
        let now = time::Instant::now();
        let free_at = calls.last().map_or(now, |(_, end)| now.max(*end));
        calls.push((now, free_at + PREFILL));
        free_at + PREFILL - now
    }

    fn report(&self, id: &str) -> LoadSample {
        let engines = self.0.lock();
        let now = time::Instant::now();
        let calls = engines.get(id).into_iter().flatten();
        let counted = calls.filter(|(arrival, end)| {
            // The 40 events of a stream take 1.2 s.
            let end = *end + Duration::from_millis(1200);
            *arrival + REPORT_DELAY <= now && now < end + REPORT_DELAY
        });
        LoadSample {
            running: 0,
            waiting: u32::try_from(counted.count()).unwrap(),
        }
    }
}

fn stream_call(running: &Running, path: &str, timeout: Duration) -> Call {
    Call {
        timeout: Some(timeout),
        ..running.call(path)
    }
}

/// Starts a stream; returns its text and whether it is complete.
fn read(
    running: &Running,
    path: &str,
    timeout: Duration,
) -> impl Future<Output = (String, bool)> + use<> {
    let call = stream_call(running, path, timeout);
    let gateway = running.gateway.clone();
    async move { read_stream(gateway.handle(call).await).await }
}

/// Sends 24 streams to two engines at twice the rate at which these process prompts; returns whether all are complete,
/// and the number of sends.
async fn overload(scheduled: bool) -> (bool, usize) {
    let engines = Engines::default();
    let reports = engines.clone();
    let mut fixture = GatewayFixture::new(move |call| {
        let first_event_after = engines.add(call.entry.id.id.as_str());
        let stream = Script::Stream(events(1, 40), End::Whole);
        Script::AnswerAfter(first_event_after, Box::new(stream))
    })
    .loads(move |id| reports.report(id))
    .upstream("engine-a1", ENGINES, "a")
    .upstream("engine-a2", ENGINES, "a");
    if scheduled {
        fixture = fixture.scheduled(false);
    }
    let running = fixture.start();
    let mut streams = JoinSet::new();
    for _ in 0..24 {
        streams.spawn(read(&running, "/stream/1", Duration::from_secs(25)));
        time::sleep(PREFILL / 4).await;
    }
    let streams = streams.join_all().await;
    let complete = streams.iter().all(|stream| *stream == (text(1, 40), true));
    (complete, running.sent_to().len())
}

/// Guards against streams that are sent again from live engines at twice the load. Without scheduling they are, which
/// shows that the load suffices.
#[gtest]
#[tokio::test(start_paused = true)]
async fn no_stream_is_sent_again_from_a_live_engine_at_twice_the_load() {
    let (complete, sends) = overload(true).await;
    let (_, unscheduled_sends) = overload(false).await;

    expect_that!((complete, sends), eq((true, 24)));
    expect_that!(unscheduled_sends, gt(24));
}

/// Guards against a stream on a dead engine that waits because other runs there have no events, and against health checks
/// that these delay.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_of_a_dead_engine_goes_on_in_time_under_load() {
    let sends = Arc::new(AtomicUsize::new(0));
    let died = Arc::new(Mutex::new(None));
    let (dies, dead) = (died.clone(), died.clone());
    let running = GatewayFixture::new(move |call| {
        if call.last_event.is_none() && sends.fetch_add(1, Ordering::Relaxed) == 0 {
            let death = time::Instant::now() + Duration::from_millis(605);
            *dies.lock() = Some((call.entry.id.to_string(), death));
            return Script::Stream(events(1, 20), End::Hang);
        }
        match call.last_event {
            Some(last) => Script::Stream(events(last + 1, 40), End::Whole),
            None => Script::Hang,
        }
    })
    .answers_probes(move |id| {
        let dead = dead.lock();
        !matches!(&*dead, Some((engine, at)) if engine == id && time::Instant::now() >= *at)
    })
    .loads(|_| LoadSample {
        running: 1,
        waiting: 20,
    })
    .scheduled(true)
    .default_upstreams()
    .start();
    let begin = running.timer.now();
    let stream = tokio::spawn(read(&running, "/stream/1", Duration::from_secs(25)));
    let mut waiting = JoinSet::new();
    for _ in 0..12 {
        time::sleep(Duration::from_millis(20)).await;
        waiting.spawn(read(&running, "/stream/1", Duration::from_secs(20)));
    }

    expect_that!(stream.await.unwrap(), eq(&(text(1, 40), true)));
    // The 40 events take 1.2 s.
    let pause = running
        .timer
        .now()
        .since(begin)
        .saturating_sub(Duration::from_millis(1200));
    expect_that!(pause, le(Duration::from_millis(700)));
}

/// How the service of a stream is served: as a scheduled one without or with KV copies, or not scheduled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Service {
    Scheduled,
    WithCopies,
    Unscheduled,
}

/// Sends a stream whose first run is lost on the way, to engines that report `calls`; returns when it was sent again.
async fn sent_again_at(service: Service, calls: u32, first: Script) -> Option<Duration> {
    let sends = AtomicUsize::new(0);
    let mut fixture = GatewayFixture::new(move |call| {
        if sends.fetch_add(1, Ordering::Relaxed) == 0 {
            return first.clone();
        }
        let last = call.last_event.unwrap_or(0);
        Script::Stream(events(last + 1, 40), End::Whole)
    })
    .loads(move |_| LoadSample {
        running: calls,
        waiting: 0,
    })
    .default_upstreams();
    if service != Service::Unscheduled {
        fixture = fixture.scheduled(service == Service::WithCopies);
    }
    let running = fixture.start();
    let stream = read(&running, "/stream/1", Duration::from_secs(20));
    let _ = time::timeout(Duration::from_secs(15), stream).await;
    let received = running.received.lock();
    let second = received.get(1)?;
    Some(second.at.since(received[0].at))
}

/// Guards against a call that was lost on the way and is not sent again, and against changed timeouts of a service that is
/// not scheduled.
#[gtest]
#[tokio::test(start_paused = true)]
async fn lost_call_is_sent_again() {
    let lost = sent_again_at(Service::Scheduled, 0, Script::Hang).await;
    let busy = sent_again_at(Service::Scheduled, 1, Script::Hang).await;
    let unscheduled = sent_again_at(Service::Unscheduled, 1, Script::Hang).await;
    let hang = Script::Stream(Vec::new(), End::Hang);
    let lost_after_head = sent_again_at(Service::Scheduled, 0, hang).await;

    let (from, to) = (Duration::from_secs(6), Duration::from_millis(7100));
    expect_that!(lost, some(all![ge(from), le(to)]));
    expect_that!(lost_after_head, some(all![ge(from), le(to)]));
    expect_that!(busy, none());
    expect_that!(
        unscheduled,
        some(all![ge(from), le(from + Duration::from_millis(10))])
    );
}

/// Guards against a preempted run that is sent to another engine, which would prefill its prompt again, and against one
/// that its engine has lost and that waits for ever.
#[gtest]
#[tokio::test(start_paused = true)]
async fn preempted_run_without_a_copy_waits() {
    let pauses = |pause| {
        let parts = [events(1, 20), vec![Part::Pause(pause)], events(21, 40)];
        Script::Stream(parts.concat(), End::Whole)
    };
    let pause = Duration::from_secs(3);

    let busy = sent_again_at(Service::Scheduled, 1, pauses(pause)).await;
    let lost = sent_again_at(Service::Scheduled, 0, pauses(pause)).await;
    let copied = sent_again_at(Service::WithCopies, 1, pauses(pause)).await;
    let unscheduled = sent_again_at(Service::Unscheduled, 1, pauses(pause)).await;

    // The pause begins after 600 ms.
    expect_that!(busy, none());
    expect_that!(lost, some(le(Duration::from_secs(2))));
    for handed_over in [copied, unscheduled] {
        expect_that!(handed_over, some(le(Duration::from_millis(1100))));
    }
}

/// Guards against checks every 200 ms of an engine that processes a prompt, and against others for a service that is not
/// scheduled.
#[gtest]
#[tokio::test(start_paused = true)]
async fn engine_that_processes_a_prompt_is_checked_less_often() {
    let mut checks = Vec::new();
    for scheduled in [true, false] {
        let stream = Script::Stream(events(1, 40), End::Whole);
        let wait = Duration::from_millis(4900);
        let mut fixture =
            GatewayFixture::new(move |_| Script::AnswerAfter(wait, Box::new(stream.clone())))
                .upstream("engine-a1", ENGINES, "a");
        if scheduled {
            fixture = fixture.scheduled(false);
        }
        let running = fixture.start();
        read(&running, "/stream/1", Duration::from_secs(20)).await;
        checks.push(running.probes.lock().len());
    }

    expect_that!(checks, elements_are![all![ge(&7), le(&8)], ge(&20)]);
}

/// Sends streams whose first runs break when the single retry of the budget is in use; returns the priorities of the
/// streams that got it.
async fn retried(calls: &'static [(&'static str, Duration)]) -> Vec<u8> {
    let resent = Arc::new(Mutex::new(Vec::new()));
    let record = resent.clone();
    let running = GatewayFixture::new(move |call| match call.last_event {
        None => Script::Stream(events(1, 10), End::Break),
        Some(last) => {
            record.lock().push(call.priority);
            Script::Stream(events(last + 1, 40), End::Whole)
        }
    })
    .retry_budget(SharedRetryBudgetConfig {
        ratio: 0.0,
        slack: 1.2,
        ..SharedRetryBudgetConfig::default()
    })
    .scheduled(false)
    .default_upstreams()
    .start();
    time::sleep(Duration::from_secs(12)).await;
    let (first, _) = read(&running, "/stream/1", Duration::from_secs(20)).await;
    assert_eq!(first, text(1, 40));
    resent.lock().clear();
    // The first retry leaves the window some 10.25 s after it was used; the streams break 0.3 s after their start.
    time::sleep(Duration::from_millis(7900)).await;
    let mut streams = JoinSet::new();
    for (path, timeout) in calls {
        streams.spawn(read(&running, path, *timeout));
        time::sleep(Duration::from_millis(30)).await;
    }
    streams.join_all().await;
    resent.lock().clone()
}

/// Guards against a retry for a less urgent stream while a more urgent one waits, and for one that cannot complete.
#[gtest]
#[tokio::test(start_paused = true)]
async fn scarce_retries_go_to_urgent_calls_that_can_complete() {
    const LONG: Duration = Duration::from_secs(20);
    const SHORT: Duration = Duration::from_millis(2200);

    let urgent = retried(&[("/stream/1", LONG), ("/urgent/1", LONG)]).await;
    let in_time = retried(&[("/urgent/1", SHORT), ("/stream/1", LONG)]).await;

    expect_that!(urgent, eq(&[0]));
    expect_that!(in_time, eq(&[1]));
}
