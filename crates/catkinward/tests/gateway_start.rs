//! A gateway that has just started.

mod gateway_support;

use gateway_support::*;
use googletest::prelude::*;
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// All processes were killed, and callers come as soon as they take connections again, before the
/// configuration is read. Told to come back they would be lost, having no try left; they wait.
#[gtest]
#[tokio::test(start_paused = true)]
async fn call_waits_for_a_process_that_has_just_started() {
    let running = GatewayFixture::new(|_| Script::Hang).start_empty();
    let start = running.timer.now();
    let gateway = running.gateway.clone();
    let config = GatewayFixture::new(|_| Script::Hang).config();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(100)).await;
        gateway.put_config(config.into());
        tokio::time::sleep(Duration::from_millis(100)).await;
        gateway.put_upstreams(Vec::new());
    });

    running.gateway.known().await;

    let waited = running.timer.now().since(start);
    expect_that!(running.gateway.is_ready(), eq(true));
    expect_that!(waited, le(Duration::from_millis(210)));
}

/// The platform is away when a process starts. Its callers are not held for longer than a retry
/// elsewhere takes.
#[gtest]
#[tokio::test(start_paused = true)]
async fn call_does_not_wait_for_long_without_a_platform() {
    let running = GatewayFixture::new(|_| Script::Hang).start_empty();
    let start = running.timer.now();

    running.gateway.known().await;

    let waited = running.timer.now().since(start);
    expect_that!(running.gateway.is_ready(), eq(false));
    expect_that!(waited, le(Duration::from_millis(700)));
}

/// An availability zone is cut off, and the only upstream of a service within it is gone. Callers of that
/// service would wait for nothing: the VM is not ready until an upstream answers it again.
#[gtest]
#[tokio::test(start_paused = true)]
async fn vm_that_reaches_no_upstream_of_a_service_is_not_ready() {
    let cut = Arc::new(AtomicBool::new(false));
    let is_cut = cut.clone();
    let running = GatewayFixture::new(|_| Script::Hang)
        .default_upstreams()
        .answers_probes(move |id| !(is_cut.load(Ordering::Relaxed) && id.starts_with("plain")))
        .start();
    let before = running.gateway.is_ready();
    cut.store(true, Ordering::Relaxed);
    for _ in 0..3 {
        // Each call finds one more upstream out of reach.
        running.handle("/once/1").await;
    }
    let while_cut = running.gateway.is_ready();
    cut.store(false, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(2)).await;

    let after = running.gateway.is_ready();

    expect_that!((before, while_cut, after), eq((true, false, true)));
}

/// A cut-off availability zone has one upstream of a service left, beyond the cut, where the store cannot be
/// reached either: three seconds later its entry lapses. The VM, which had not been ready since the upstream
/// did not answer, is ready again, with no upstream of that service at all. Callers come back to it from the
/// zone that would serve them, and are refused for as long as the cut lasts: 414 times in five seconds of a
/// recorded day, `not_run`, `no_upstream`, from 37.2 s on, when the log of six VMs says `presence=gone` of it.
#[gtest]
#[tokio::test(start_paused = true)]
async fn vm_is_not_ready_once_the_last_upstream_of_a_service_has_lapsed() {
    let running = GatewayFixture::new(|_| Script::Hang)
        .upstream("plain-b", PLAIN, "b")
        .upstream("engine-a", ENGINES, "a")
        .answers_probes(|id| !id.starts_with("plain"))
        .start();
    running.handle("/once/1").await;
    let suspect = running.gateway.is_ready();

    running
        .gateway
        .upstream_removed(&"plain-b".parse().unwrap());

    tokio::time::sleep(Duration::from_secs(1)).await;
    let lapsed = running.gateway.is_ready();
    expect_that!((suspect, lapsed), eq((false, false)));
}

/// A service is taken out of operation, and its last upstream leaves. VMs that waited for it to come back would take
/// no callers of the other services either, for good.
#[gtest]
#[tokio::test(start_paused = true)]
async fn vm_is_ready_again_when_a_service_stays_without_upstreams() {
    let running = GatewayFixture::new(|_| Script::Hang)
        .upstream("plain-b", PLAIN, "b")
        .upstream("engine-a", ENGINES, "a")
        .start();
    let before = running.gateway.is_ready();
    running
        .gateway
        .upstream_removed(&"plain-b".parse().unwrap());
    let at_once = running.gateway.is_ready();

    tokio::time::sleep(Duration::from_secs(11)).await;

    let later = running.gateway.is_ready();
    expect_that!((before, at_once, later), eq((true, false, true)));
}
