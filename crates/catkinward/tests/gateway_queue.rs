//! The queue of streams of a scheduled service that wait for room at an upstream.

mod gateway_support;

use catkin_decisions::{CallKind, ConfigVersion, RefusalReason, Route, RouteTable, RoutingConfig};
use catkinward::gateway::{Call, Reply};
use gateway_support::*;
use googletest::prelude::*;
use std::{sync::Arc, time::Duration};
use tokio::task::JoinHandle;

/// Memory for two calls of the fixture, which take 8,800 tokens each.
const TWO_CALLS: u32 = 17_600;

fn ranked_routes() -> Vec<Route> {
    [("/urgent/", 0), ("/stream/", 2)]
        .map(|(prefix, priority)| Route {
            priority,
            target_latency: Duration::from_secs(8),
            ..route(prefix, CallKind::ResumableStream, ENGINES)
        })
        .into()
}

/// A gateway with one engine, whose streams take 10 s and whose memory has room for one stream beside the
/// reserve for urgent ones.
fn one_engine() -> GatewayFixture {
    GatewayFixture::new(|_| Script::Stream(events(1, 333), End::Whole))
        .upstream("engine-1", ENGINES, "a")
        .routes(ranked_routes())
        .kv_capacity(Some(TWO_CALLS))
}

impl Running {
    /// Starts to handle a call whose caller reads the whole response.
    fn start_call(&self, id: &str, path: &str) -> JoinHandle<Reply> {
        let call = Call {
            id: id.parse().unwrap(),
            timeout: Some(Duration::from_secs(25)),
            ..self.call(path)
        };
        let gateway = self.gateway.clone();
        tokio::spawn(async move { gateway.handle(call).await })
    }

    fn start_calls(&self, count: usize, path: &str) -> Vec<JoinHandle<Reply>> {
        let ids = (0..count).map(|i| format!("call-{i}"));
        ids.map(|id| self.start_call(&id, path)).collect()
    }

    /// Starts a stream and returns its reply, which holds the room of its engine until it is dropped.
    async fn occupy(&self, path: &str) -> Reply {
        let reply = self.start_call("first", path).await.unwrap();
        assert!(matches!(reply, Reply::Events { .. }), "{reply:?}");
        reply
    }
}

fn refusal(reply: &Reply) -> Option<(RefusalReason, Duration)> {
    match reply {
        Reply::NotRun { not_run } => Some((not_run.reason(), not_run.retry_after())),
        _ => None,
    }
}

async fn wait(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Guards against calls that wait in an engine instead of the VM, and against an urgent call that starts after others
/// that arrived before it.
#[gtest]
#[tokio::test(start_paused = true)]
async fn streams_wait_for_room_and_urgent_ones_start_first() {
    let running = one_engine().start();
    let first = running.occupy("/stream/1").await;
    let second = running.occupy("/urgent/1").await;
    let other = running.start_call("other", "/stream/2");
    wait(10).await;
    let urgent = running.start_call("urgent", "/urgent/2");
    wait(500).await;
    let sent_while_full = running.sent_to().len();

    drop(first);
    let urgent = urgent.await.unwrap();
    let sent_after_first = running.sent_to().len();
    drop((second, urgent));

    expect_that!(other.await.unwrap(), pat!(Reply::Events { .. }));
    expect_that!((sent_while_full, sent_after_first), eq((2, 3)));
}

/// Guards against two calls that get the same room: all that wait are selected for before any of them is sent.
#[gtest]
#[tokio::test(start_paused = true)]
async fn room_for_one_call_starts_one_of_those_that_wait() {
    let running = one_engine().start();
    let first = running.occupy("/stream/1").await;
    let waiting = running.start_calls(5, "/stream/2");
    wait(500).await;

    drop(first);
    wait(500).await;

    expect_that!(running.sent_to().len(), eq(2));
    expect_that!(
        waiting.iter().filter(|call| call.is_finished()).count(),
        eq(1)
    );
}

/// Guards against an engine that gets the call of a caller that has left.
#[gtest]
#[tokio::test(start_paused = true)]
async fn call_whose_caller_has_left_is_not_sent() {
    let running = one_engine().start();
    let first = running.occupy("/stream/1").await;
    let left = running.start_call("left", "/stream/2");
    wait(100).await;

    left.abort();
    drop(first);
    wait(500).await;

    expect_that!(running.sent_to().len(), eq(1));
    let next = running
        .handle_for("/stream/3", Duration::from_secs(25))
        .await;
    expect_that!(next, pat!(Reply::Events { .. }));
}

/// Guards against callers that wait for a VM until its process ends.
#[gtest]
#[tokio::test(start_paused = true)]
async fn shutdown_refuses_waiting_calls_at_once() {
    let running = one_engine().start();
    let _first = running.occupy("/stream/1").await;
    let waiting = running.start_call("waiting", "/stream/2");
    wait(100).await;
    let gateway = running.gateway.clone();

    let signalled = running.timer.now();
    tokio::spawn(async move { gateway.shut_down(Duration::from_secs(8), || ()).await });
    let reply = waiting.await.unwrap();
    let waited = running.timer.now().since(signalled);
    let later = running.start_call("later", "/stream/3").await.unwrap();

    let shutting_down = (RefusalReason::ShuttingDown, Duration::from_millis(20));
    expect_that!(refusal(&reply), some(eq(shutting_down)));
    expect_that!(waited, lt(Duration::from_millis(5)));
    expect_that!(refusal(&later), some(eq(shutting_down)));
    expect_that!(running.sent_to().len(), eq(1));
}

/// Guards against a caller that is told of a route that does not exist although its call was accepted before the
/// configuration dropped it.
#[gtest]
#[tokio::test(start_paused = true)]
async fn call_is_served_although_its_route_was_dropped_while_it_waited() {
    let fixture = one_engine();
    let config = RoutingConfig {
        version: ConfigVersion(2),
        routes: RouteTable::new(ranked_routes().split_off(1)),
        ..fixture.config()
    };
    let running = fixture.start();
    let first = (
        running.occupy("/urgent/1").await,
        running.occupy("/urgent/2").await,
    );
    let waiting = running.start_call("waiting", "/urgent/3");
    wait(100).await;

    running.gateway.put_config(Arc::new(config));
    wait(100).await;
    drop(first);

    expect_that!(waiting.await.unwrap(), pat!(Reply::Events { .. }));
}

/// Guards against a call that waits longer than it can complete, also if this process was suspended meanwhile. It is
/// refused as not run, with a delay.
#[gtest]
#[tokio::test(start_paused = true)]
async fn call_is_refused_when_its_latest_start_has_passed() {
    let running = one_engine().start();
    let _first = running.occupy("/stream/1").await;
    let waiting = running.start_call("waiting", "/stream/2");
    wait(20_000).await;
    let waits = !waiting.is_finished();
    running.gateway.record_suspension(Duration::from_secs(4));
    wait(4_050).await;

    let refusal = refusal(&waiting.await.unwrap());

    expect_that!(waits, eq(true));
    let (reason, retry_after) = refusal.expect("a refusal");
    expect_that!(reason, eq(RefusalReason::Overloaded));
    expect_that!(retry_after, ge(Duration::from_millis(100)));
    expect_that!(running.sent_to().len(), eq(1));
}

/// Guards against a VM that accepts more calls than it can start in time, and refuses them late.
#[gtest]
#[tokio::test(start_paused = true)]
async fn call_that_cannot_start_in_time_is_refused_at_once() {
    let running = one_engine().start();
    let _first = running.occupy("/stream/1").await;
    let waiting = running.start_calls(20, "/stream/2");
    wait(1).await;

    let refused = waiting.iter().filter(|call| call.is_finished()).count();
    expect_that!(refused, all![ge(10), lt(20)]);
}

/// Guards against a change for services that did not ask for scheduling: their calls are sent although the engine has
/// no room, with equal priorities as well as with an unknown memory.
#[gtest]
#[tokio::test(start_paused = true)]
async fn streams_of_an_unscheduled_service_never_wait() {
    let mut equal = ranked_routes();
    equal[0].priority = 2;
    for (routes, memory) in [(equal, Some(TWO_CALLS)), (ranked_routes(), None)] {
        let running = one_engine().routes(routes).kv_capacity(memory).start();
        let calls = running.start_calls(20, "/stream/1");
        wait(20).await;

        expect_that!(running.sent_to().len(), eq(20));
        expect_that!(calls.iter().all(JoinHandle::is_finished), eq(true));
    }
}
