//! Upstreams that crash and restart at the same address.

mod gateway_support;

use catkin_decisions::{ProcessStart, UpstreamEntry, UpstreamRestart};
use catkinward::gateway::Reply;
use gateway_support::*;
use googletest::prelude::*;
use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

/// All engines crashed and restarted while this VM is partitioned from the platform, so it has only outdated
/// IDs. An engine that refuses reports its current ID, and the next call uses it. Otherwise every call would
/// try one engine after the other until no retry is left.
#[gtest]
#[tokio::test(start_paused = true)]
async fn restarted_engine_is_used_by_its_reported_id() {
    let running = GatewayFixture::new(|call| {
        if call.entry.id.as_str() == "engine-a9" {
            Script::Stream(events(1, 3), End::Whole)
        } else {
            Script::OtherIncarnation(Some("engine-a9"))
        }
    })
    .upstream("engine-a1", ENGINES, "a")
    .start();
    running.handle("/stream/1").await;
    tokio::time::sleep(Duration::from_millis(50)).await;

    let stream = read_stream(running.handle("/stream/1").await).await;

    expect_that!(stream, eq(&(text(1, 3), true)));
}

/// The address of a plain upstream now belongs to another one, perhaps of another service. A call must not be
/// sent there based only on the ID that it reports.
#[gtest]
#[tokio::test(start_paused = true)]
async fn plain_upstream_is_not_used_by_its_reported_id() {
    let running = GatewayFixture::new(|_| Script::OtherIncarnation(Some("plain-a9")))
        .upstream("plain-a1", PLAIN, "a")
        .start();

    let first = running.handle("/once/1").await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    let second = running.handle("/once/1").await;

    expect_that!(first, pat!(Reply::NotRun { .. }));
    expect_that!(second, pat!(Reply::NotRun { .. }));
    expect_that!(running.sent_to(), eq(&["plain-a1"]));
}

/// Guards against a call that is sent to an engine of another service, which has got the address of its own.
#[gtest]
#[tokio::test(start_paused = true)]
async fn engine_is_not_used_by_its_reported_id_if_several_services_have_engines() {
    let running = GatewayFixture::new(|call| {
        if call.entry.id.as_str() == "engine-a9" {
            Script::Stream(events(1, 3), End::Whole)
        } else {
            Script::OtherIncarnation(Some("engine-a9"))
        }
    })
    .engine_service("other-engines")
    .upstream("engine-a1", ENGINES, "a")
    .start();
    running.handle("/stream/1").await;
    tokio::time::sleep(Duration::from_millis(50)).await;

    let reply = running.handle("/stream/1").await;

    expect_that!(reply, pat!(Reply::NotRun { .. }));
    expect_that!(running.sent_to(), eq(&["engine-a1"]));
}

/// An engine crashes during prefill and restarts under the same ID before it is probed, and its connection stays
/// silent. The new process answers health checks, so the caller would wait six seconds, unless the gateway
/// compares process start times.
#[gtest]
#[tokio::test(start_paused = true)]
async fn prompt_on_a_restarted_engine_is_prefilled_elsewhere() {
    let sends = Arc::new(AtomicUsize::new(0));
    let (count, started) = (sends.clone(), sends.clone());
    let running = GatewayFixture::new(move |_| {
        if count.fetch_add(1, Ordering::Relaxed) == 0 {
            return Script::Hang;
        }
        Script::Stream(events(1, 40), End::Whole)
    })
    .born(move |_| {
        Some(ProcessStart(
            1000 + 500 * u64::from(started.load(Ordering::Relaxed) > 0),
        ))
    })
    .upstream_started_at("engine-a1", ENGINES, "a", ProcessStart(1000))
    .upstream_started_at("engine-b1", ENGINES, "b", ProcessStart(1500))
    .start();
    let start = running.timer.now();

    let reply = running.handle("/stream/1").await;

    let first_event = running.timer.now().since(start);
    expect_that!(first_event, le(Duration::from_millis(500)));
    expect_that!(read_stream(reply).await, eq(&(text(1, 40), true)));
    expect_that!(running.sent_to()[0], eq("engine-a1@1000"));
}

/// An engine restarts under the same ID while streams run on it, and its new entry is the first sign of it. The
/// connections of the streams are silent; the streams must resume elsewhere at once.
#[gtest]
#[tokio::test(start_paused = true)]
async fn entry_of_a_later_process_moves_streams_of_the_earlier_one() {
    let running = GatewayFixture::new(|call| match call.last_event {
        Some(last) => Script::Stream(events(last + 1, 40), End::Whole),
        None => Script::Stream(events(1, 5), End::Hang),
    })
    .upstream_started_at("engine-a1", ENGINES, "a", ProcessStart(1000))
    .upstream_started_at("engine-b1", ENGINES, "b", ProcessStart(1000))
    .start();
    let reading = tokio::spawn(read_stream(running.handle("/stream/1").await));
    tokio::time::sleep(Duration::from_millis(170)).await;
    let start = running.timer.now();

    running.gateway.upstream_updated(upstream_started_at(
        "engine-a1",
        ENGINES,
        "a",
        ProcessStart(2000),
    ));
    tokio::time::sleep(Duration::from_millis(20)).await;

    expect_that!(running.received.lock().len(), eq(2));
    let stream = reading.await.unwrap();
    expect_that!(stream, eq(&(text(1, 40), true)));
    expect_that!(
        running.timer.now().since(start),
        le(Duration::from_millis(1300))
    );
}

/// The platform is unavailable while engines restart. A VM whose call was refused by a new process notifies the
/// other VMs, so that their calls go to the new process at once. Without that, a quarter of the sends of 90 VMs
/// are refused in such seconds (569 of 2,318), and each refusal costs a retry.
#[gtest]
#[tokio::test(start_paused = true)]
async fn restart_reported_by_a_peer_costs_no_retry() {
    let running = GatewayFixture::new(|call| {
        if call.entry.id.as_str() == "engine-a9" {
            Script::Stream(events(1, 3), End::Whole)
        } else {
            Script::OtherIncarnation(Some("engine-a9"))
        }
    })
    .upstream("engine-a1", ENGINES, "a")
    .start();
    let before = upstream("engine-a1", ENGINES, "a");
    let entry = UpstreamEntry {
        id: "engine-a9".parse().unwrap(),
        ..before.clone()
    };

    let restart = UpstreamRestart {
        before: before.id,
        entry,
        position: at_version(0),
    };
    running.gateway.receive_restart(&restart);
    let stream = read_stream(running.handle("/stream/1").await).await;

    expect_that!(stream, eq(&(text(1, 3), true)));
    expect_that!(running.sent_to(), eq(&["engine-a9"]));
}

/// An engine restarts and is drained before this VM learns of it, because the store throttles this VM while the
/// entry is written and removed. Two seconds later a peer reports the restart. If the report were applied, the engine
/// would get prompts 3.6 s after its drain was acknowledged, where 3 s are allowed, and would stop while running them.
#[gtest]
#[tokio::test(start_paused = true)]
async fn restart_of_a_removed_upstream_is_ignored() {
    let running = GatewayFixture::new(|_| Script::Stream(events(1, 3), End::Whole))
        .upstream("engine-a1", ENGINES, "a")
        .upstream("engine-b1", ENGINES, "b")
        .start();
    let before = upstream("engine-a1", ENGINES, "a");
    let restart = UpstreamRestart {
        before: before.id.clone(),
        entry: UpstreamEntry {
            id: "engine-a9".parse().unwrap(),
            ..before
        },
        position: at_version(0),
    };
    running
        .gateway
        .upstream_removed(&"engine-a9".parse().unwrap());

    running.gateway.receive_restart(&restart);
    read_stream(running.handle("/stream/1").await).await;

    expect_that!(running.sent_to(), not(contains(eq("engine-a9"))));
}
