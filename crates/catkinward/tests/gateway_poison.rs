//! Calls that crash the upstreams that run them.

mod gateway_support;

use catkin_decisions::{Crash, RefusalReason};
use catkinward::gateway::Reply;
use gateway_support::*;
use googletest::prelude::*;
use http::StatusCode;
use parking_lot::Mutex;
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
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
            let crash = Crash {
                digest: call.digest(None),
                upstream: format!("plain-{n}").parse().unwrap(),
                at: running.timer.now(),
                cleared: false,
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
