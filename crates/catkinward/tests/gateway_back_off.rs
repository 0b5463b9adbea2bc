//! Upstreams that ask the gateway for a back-off.

mod gateway_support;

use catkin_decisions::RefusalReason;
use catkinward::gateway::{Call, Reply};
use gateway_support::*;
use googletest::prelude::*;
use http::StatusCode;
use std::time::Duration;

const BACK_OFF: Duration = Duration::from_secs(3);

fn call_with_id(running: &Running, id: &str, path: &str) -> Call {
    Call {
        id: id.parse().unwrap(),
        ..running.call(path)
    }
}

fn is_ok(reply: &Reply) -> bool {
    matches!(
        reply,
        Reply::Whole {
            status: StatusCode::OK,
            ..
        }
    )
}

/// Guards against a call that was sent to an upstream after it asked for a back-off, since the call had selected it
/// before and waited for a connection.
#[gtest]
#[tokio::test(start_paused = true)]
async fn call_that_waits_for_a_connection_goes_elsewhere_after_a_back_off() {
    for path in ["/quick/1", "/once/1", "/stream/1"] {
        let stream = path == "/stream/1";
        let ok = move || {
            if stream {
                Script::Stream(events(1, 3), End::Whole)
            } else {
                Script::Whole(StatusCode::OK, "yes")
            }
        };
        let running = GatewayFixture::new(move |call| {
            match (call.call.id.as_str(), call.entry.zone.as_str()) {
                ("waits", "a") => Script::AcceptAfter(Duration::from_millis(100), Box::new(ok())),
                ("asked", "a") => Script::BackOff(BACK_OFF),
                _ => ok(),
            }
        })
        .upstream("plain-a", PLAIN, "a")
        .upstream("plain-b", PLAIN, "b")
        .upstream("engine-a", ENGINES, "a")
        .upstream("engine-b", ENGINES, "b")
        .start();

        let waits = running
            .gateway
            .handle(call_with_id(&running, "waits", path));
        let asked = async {
            tokio::time::sleep(Duration::from_millis(20)).await;
            running
                .gateway
                .handle(call_with_id(&running, "asked", path))
                .await
        };
        let (waits, asked) = tokio::join!(waits, asked);

        for reply in [waits, asked] {
            let served = if stream {
                read_stream(reply).await.1
            } else {
                is_ok(&reply)
            };
            expect_that!(served, eq(true), "{path}");
        }
        let to_a = running
            .sent_to()
            .into_iter()
            .filter(|id| id.ends_with("-a"));
        expect_that!(to_a.count(), eq(1), "{path}");
    }
}

/// Guards against calls of any kind that are held, or sent to an upstream as a last resort, while all upstreams of their
/// service back off.
#[gtest]
#[tokio::test(start_paused = true)]
async fn calls_of_each_kind_are_rejected_at_once_if_all_upstreams_back_off() {
    for path in ["/quick/1", "/once/1", "/stream/1", "/stream-once/1"] {
        let running = GatewayFixture::new(|_| Script::BackOff(BACK_OFF))
            .upstream("plain-a", PLAIN, "a")
            .upstream("plain-b", PLAIN, "b")
            .upstream("engine-a", ENGINES, "a")
            .upstream("engine-b", ENGINES, "b")
            .start();
        running.handle(path).await;
        let sent = running.sent_to().len();
        let start = running.timer.now();

        let reply = running.handle(path).await;

        let took = running.timer.now().since(start);
        let Reply::NotRun { not_run } = reply else {
            panic!("{path} is rejected, not {reply:?}");
        };
        expect_that!(not_run.reason(), eq(RefusalReason::BackOff), "{path}");
        let returns = not_run.retry_after() + Duration::from_millis(200);
        expect_that!(returns, gt(BACK_OFF), "{path}");
        expect_that!(took, lt(Duration::from_millis(10)), "{path}");
        expect_that!(running.sent_to().len(), eq(sent), "{path}");
    }
}

/// Guards against an upstream in its back-off that gets copies of a run, or a stream resumed from its copy.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_is_not_resumed_from_the_copy_of_an_upstream_that_backs_off() {
    let running =
        GatewayFixture::new(
            |call| match (call.call.id.as_str(), call.entry.zone.as_str()) {
                ("asked", "b") => Script::BackOff(Duration::from_secs(30)),
                ("asked", _) => Script::NotExecuted,
                (_, "a") => Script::Stream(events(1, 40), End::Break),
                _ => Script::Stream(events(41, 50), End::Whole),
            },
        )
        .upstream("engine-a", ENGINES, "a")
        .upstream("engine-b", ENGINES, "b")
        .upstream("engine-c", ENGINES, "c")
        .start();

    let reply = running
        .gateway
        .handle(call_with_id(&running, "stream", "/stream/1"))
        .await;
    // The copy of the run may be held by either of the other engines; one asks for a back-off while it grows.
    running
        .gateway
        .handle(call_with_id(&running, "asked", "/stream/1"))
        .await;
    let (_, whole) = read_stream(reply).await;

    expect_that!(whole, eq(true));
    let received = running.received.lock();
    let to_b = received.iter().filter(|call| call.upstream == "engine-b");
    expect_that!(to_b.count(), le(1));
}

/// Guards against a call that is sent to an upstream which is leaving by now, since the call had selected it before and
/// waited for a connection.
#[gtest]
#[tokio::test(start_paused = true)]
async fn call_that_waits_for_a_connection_goes_elsewhere_if_the_upstream_is_leaving() {
    for path in ["/quick/1", "/once/1"] {
        let running = GatewayFixture::new(|call| {
            let ok = Script::Whole(StatusCode::OK, "yes");
            if call.entry.zone.as_str() == "a" {
                Script::AcceptAfter(Duration::from_millis(100), Box::new(ok))
            } else {
                ok
            }
        })
        .upstream("plain-a", PLAIN, "a")
        .upstream("plain-b", PLAIN, "b")
        .start();

        let leaves = async {
            tokio::time::sleep(Duration::from_millis(20)).await;
            let mut entry = upstream("plain-a", PLAIN, "a");
            entry.leaving = true;
            running.gateway.upstream_updated(entry);
        };
        let (reply, ()) = tokio::join!(running.handle(path), leaves);

        expect_that!(is_ok(&reply), eq(true), "{path}");
        expect_that!(running.sent_to(), elements_are![eq("plain-b")], "{path}");
    }
}
