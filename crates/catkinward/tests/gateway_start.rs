//! A gateway that has just started, and its readiness.

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

/// All processes were killed, and callers connect as soon as the VMs listen again, before the
/// configuration is read. They wait: callers told to retry would be lost if they have no attempt
/// left.
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

    running.gateway.wait_until_current().await;

    let waited = running.timer.now().since(start);
    expect_that!(running.gateway.is_ready(), eq(true));
    expect_that!(waited, le(Duration::from_millis(210)));
}

/// The platform is unreachable when a process starts. Callers are not held for longer than a retry
/// at another VM takes.
#[gtest]
#[tokio::test(start_paused = true)]
async fn call_does_not_wait_for_long_without_a_platform() {
    let running = GatewayFixture::new(|_| Script::Hang).start_empty();
    let start = running.timer.now();

    running.gateway.wait_until_current().await;

    let waited = running.timer.now().since(start);
    expect_that!(running.gateway.is_ready(), eq(false));
    expect_that!(waited, le(Duration::from_millis(700)));
}

/// An availability zone is partitioned, and its only upstream of a service is gone. Callers of that
/// service would wait in vain, so the VM is not ready until such an upstream responds again.
#[gtest]
#[tokio::test(start_paused = true)]
async fn vm_without_reachable_upstream_of_a_service_is_not_ready() {
    let partitioned = Arc::new(AtomicBool::new(false));
    let is_partitioned = partitioned.clone();
    let running = GatewayFixture::new(|_| Script::Hang)
        .default_upstreams()
        .answers_probes(move |id| {
            !(is_partitioned.load(Ordering::Relaxed) && id.starts_with("plain"))
        })
        .start();
    let before = running.gateway.is_ready();
    partitioned.store(true, Ordering::Relaxed);
    for _ in 0..3 {
        // Each call finds one more upstream unreachable.
        running.handle("/once/1").await;
    }
    let while_partitioned = running.gateway.is_ready();
    partitioned.store(false, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(2)).await;

    let after = running.gateway.is_ready();

    expect_that!((before, while_partitioned, after), eq((true, false, true)));
}

/// A partitioned availability zone has one upstream of a service left, outside the partition. Three
/// seconds later its entry expires (`presence=gone`), since the store is unreachable too. Guards
/// against a VM that is then ready again without any upstream of the service: callers that came
/// back from a working zone were refused (`not_run`, `no_upstream`) 414 times in five seconds.
#[gtest]
#[tokio::test(start_paused = true)]
async fn vm_is_not_ready_once_the_last_upstream_of_a_service_has_expired() {
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
    let expired = running.gateway.is_ready();
    expect_that!((suspect, expired), eq((false, false)));
}

/// A service is taken out of operation, and its last upstream leaves. Guards against VMs that wait
/// for it forever and accept no callers of other services either.
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
