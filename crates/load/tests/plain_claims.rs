//! Orders with an idempotency key run at most once over all VMs, whichever messages are lost.

mod router_support;

use catkin_border::platform::{PlatformFaults, PlatformOutage};
use catkin_standins::{PlainFault, PlainServer, PlainSettings, PlatformServer};
use catkinward::Settings;
use googletest::prelude::*;
use router_support::{Call, Router, free_address, order, plain_server};
use std::{sync::Arc, time::Duration};

/// Two routers with one plain upstream and a mock platform.
struct TestSystem {
    server: PlainServer,
    platform: PlatformServer,
    routers: [Arc<Router>; 2],
}

async fn system(service_time: Duration) -> TestSystem {
    let server = plain_server(PlainSettings {
        service_time,
        spread: 0.0,
        ..PlainSettings::default()
    })
    .await;
    let platform = PlatformServer::start(free_address(), PlatformFaults::default())
        .await
        .expect("the mock platform starts");
    let plain = [server.address()];
    let router = |vm: &'static str| {
        let settings = Settings {
            vm: vm.parse().expect("a valid name"),
            platform: Some(platform.address()),
            ..Settings::default()
        };
        Router::start_with(settings, &[], &plain)
    };
    let (one, two) = (router("vm-1").await, router("vm-2").await);
    TestSystem {
        routers: [Arc::new(one), Arc::new(two)],
        server,
        platform,
    }
}

fn call_with_idempotency_key(item: &str) -> Call {
    order(item).with("idempotency-key", "order-7")
}

fn runs(system: &TestSystem, call: &Call) -> u64 {
    system.server.run_counts().of_digest(call.digest())
}

/// The response to an order is lost between router and caller, and the caller retries at another VM.
#[gtest]
#[tokio::test]
async fn retried_order_gets_the_response_of_its_only_run() {
    let system = system(Duration::from_millis(5)).await;
    let order = call_with_idempotency_key("menu");

    let first = system.routers[0].call(&order).await;
    let again = system.routers[1].call(&order).await;

    expect_that!(first.outcome(), eq("answered"));
    expect_that!(again.status, eq(first.status));
    expect_that!(again.body, eq(&first.body));
    expect_that!(runs(&system, &order), eq(1));
}

/// A client sends the same order to two VMs concurrently.
#[gtest]
#[tokio::test]
async fn order_sent_to_two_vms_at_once_runs_once() {
    let system = system(Duration::from_millis(200)).await;
    let order = call_with_idempotency_key("menu");

    let calls = system.routers.iter().map(|router| router.call(&order));
    let replies = futures::future::join_all(calls).await;

    expect_that!(replies[0].outcome(), eq("answered"));
    expect_that!(replies[1].outcome(), eq("answered"));
    expect_that!(replies[1].body, eq(&replies[0].body));
    expect_that!(runs(&system, &order), eq(1));
}

#[gtest]
#[tokio::test]
async fn key_of_another_order_is_a_conflict() {
    let system = system(Duration::from_millis(5)).await;
    let (menu, leaflet) = (
        call_with_idempotency_key("menu"),
        call_with_idempotency_key("leaflet"),
    );
    system.routers[0].call(&menu).await;

    let reply = system.routers[1].call(&leaflet).await;

    expect_that!(reply.problem().type_, eq("catkinward:key_conflict"));
    expect_that!(reply.outcome(), eq("not_run"));
    expect_that!(runs(&system, &leaflet), eq(0));
}

/// The upstream runs an order and its response is truncated. Retries with the same key must return
/// "unknown" again, and the order must not run a second time.
#[gtest]
#[tokio::test]
async fn order_with_lost_response_stays_unknown() {
    let system = system(Duration::from_millis(5)).await;
    system.server.set_fault(PlainFault::BreakOff);
    let order = call_with_idempotency_key("menu");

    let first = system.routers[0].call(&order).await;
    system.server.set_fault(PlainFault::None);
    let again = system.routers[1].call(&order).await;

    expect_that!(first.outcome(), eq("unknown"));
    expect_that!(again.outcome(), eq("unknown"));
    expect_that!(runs(&system, &order), eq(1));
}

/// The upstream refuses an order. It has not run, so a retry with the same key must run it and must
/// not be taken for a duplicate.
#[gtest]
#[tokio::test]
async fn refused_order_can_be_retried() {
    let system = system(Duration::from_millis(5)).await;
    system.server.set_fault(PlainFault::Refuse);
    let order = call_with_idempotency_key("menu");

    let first = system.routers[0].call(&order).await;
    system.server.set_fault(PlainFault::None);
    let again = system.routers[1].call(&order).await;

    expect_that!(first.outcome(), eq("not_run"));
    expect_that!(again.outcome(), eq("answered"));
    expect_that!(runs(&system, &order), eq(1));
}

/// The table service is unavailable. Without a claim another VM could run the same order, so the order
/// must be refused.
#[gtest]
#[tokio::test]
async fn order_is_not_run_while_it_cannot_be_claimed() {
    let system = system(Duration::from_millis(5)).await;
    system.platform.change_faults(&PlatformFaults {
        outage: Some(PlatformOutage::Refused),
        ..PlatformFaults::default()
    });
    let order = call_with_idempotency_key("menu").with("catkin-deadline-ms", "800");

    let reply = system.routers[0].call(&order).await;

    expect_that!(reply.problem().type_, eq("catkinward:not_claimed"));
    expect_that!(reply.outcome(), eq("not_run"));
    expect_that!(runs(&system, &order), eq(0));
}

/// The table service stores a claim and its response is lost. The router must recognize its own claim
/// and not take it for that of another VM.
#[gtest]
#[tokio::test]
async fn order_runs_once_if_the_response_to_its_claim_is_lost() {
    let system = system(Duration::from_millis(5)).await;
    system.platform.change_faults(&PlatformFaults {
        lose_answers: Some(1),
        ..PlatformFaults::default()
    });
    let order = call_with_idempotency_key("menu");

    let reply = system.routers[0].call(&order).await;

    expect_that!(reply.outcome(), eq("answered"));
    expect_that!(runs(&system, &order), eq(1));
}

/// A caller disconnects while its order runs, and retries at another VM with the same key.
#[gtest]
#[tokio::test]
async fn order_of_a_disconnected_caller_is_found_by_its_key() {
    let system = system(Duration::from_millis(300)).await;
    let order = call_with_idempotency_key("menu");
    let calling = tokio::spawn({
        let (router, order) = (system.routers[0].clone(), order.clone());
        async move { router.call(&order).await.outcome() }
    });
    while runs(&system, &order) == 0 {
        tokio::task::yield_now().await;
    }
    calling.abort();

    let reply = system.routers[1].call(&order).await;

    expect_that!(reply.outcome(), eq("answered"));
    expect_that!(runs(&system, &order), eq(1));
}
