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

/// A body crashes every upstream that runs it, and its caller sends it again and again. Nothing runs it
/// after the third death.
#[gtest]
#[tokio::test(start_paused = true)]
async fn body_that_crashes_upstreams_is_refused_by_the_third_death() {
    let running = GatewayFixture::new(|_| Script::Lost)
        .usual_upstreams()
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

/// A request's body has crashed upstreams under other VMs, and its caller comes here next. After three it is
/// refused before it takes a fourth one with all that runs there; two may be chance.
#[gtest]
#[tokio::test(start_paused = true)]
async fn body_that_crashed_upstreams_of_other_vms_is_refused_here() {
    for (crashes, refused) in [(2, false), (3, true)] {
        let running = GatewayFixture::new(|_| Script::Whole(StatusCode::OK, "yes"))
            .usual_upstreams()
            .start();
        let call = running.call("/quick/1");
        for n in 1..=crashes {
            let crash = Crash {
                digest: call.digest(None),
                upstream: format!("plain-{n}").parse().unwrap(),
                at: running.timer.now(),
                cleared: false,
            };
            running.hear_of_crash(n, crash);
        }

        let reply = running.gateway.handle(call).await;

        expect_that!(matches!(reply, Reply::NotRun { .. }), eq(refused));
        expect_that!(running.sent_to().is_empty(), eq(refused));
    }
}

/// A stream whose request kills each engine that begins to run it. Engines that died did not count against the
/// stream, so one caller's try went on from engine to engine, and all that ran on them lost their work. Each
/// VM's log showed `run of a stream lost` with `loss=broken` up to twelve times under one request.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_under_which_engines_die_ends_after_the_third() {
    let killed = Arc::new(Mutex::new(Vec::new()));
    let dead = killed.clone();
    let running = GatewayFixture::new(move |call| {
        killed.lock().push(call.entry.id.to_string());
        Script::Lost
    })
    .alive(move |id| !dead.lock().iter().any(|dead| dead == id))
    .usual_upstreams()
    .start();

    let reply = running.handle("/stream/1").await;

    expect_that!(matches!(reply, Reply::Unknown), eq(true));
    expect_that!(running.sent_to().len(), eq(3));
}

/// Connections to three engines are reset one after the other, as when a VM on the way loses track of them. The
/// engines live and answer so; were their request taken for one that kills, its caller would get nothing.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_whose_connections_are_reset_goes_on() {
    let sends = AtomicUsize::new(0);
    let running = GatewayFixture::new(move |_| match sends.fetch_add(1, Ordering::Relaxed) {
        0..4 => Script::Lost,
        _ => Script::Stream(events(1, 40), End::Whole),
    })
    .usual_upstreams()
    .start();

    let stream = read_stream(running.handle("/stream/1").await).await;

    expect_that!(stream, eq(&(text(1, 40), true)));
}

/// Engines die under a stream, but each had made events by then: the request does not kill what begins to run
/// it, and its caller gets the whole answer.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_that_made_events_before_each_death_goes_on() {
    let killed = Arc::new(Mutex::new(Vec::new()));
    let dead = killed.clone();
    let running = GatewayFixture::new(move |call| {
        let first = call.last_event.map_or(1, |last| last + 1);
        let mut killed = killed.lock();
        if killed.len() == 4 {
            return Script::Stream(events(first, 40), End::Whole);
        }
        killed.push(call.entry.id.to_string());
        Script::Stream(events(first, first + 2), End::Break)
    })
    .alive(move |id| !dead.lock().iter().any(|dead| dead == id))
    .usual_upstreams()
    .start();

    let stream = read_stream(running.handle("/stream/1").await).await;

    expect_that!(stream, eq(&(text(1, 40), true)));
}
