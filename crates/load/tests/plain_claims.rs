//! Orders with an idempotency key: at most one run over all VMs, whatever is lost on the way.

mod router_support;

use catkin_border::platform::{PlatformFaults, PlatformOutage};
use catkin_standins::{PlainFault, PlainServer, PlainSettings, PlatformServer};
use catkinward::Settings;
use googletest::prelude::*;
use router_support::{Call, Router, free_address, order, plain_server};
use std::{sync::Arc, time::Duration};

/// Two routers before one plain service, with a platform.
struct System {
    server: PlainServer,
    platform: PlatformServer,
    routers: [Arc<Router>; 2],
}

async fn system(service_time: Duration) -> System {
    let server = plain_server(PlainSettings {
        service_time,
        spread: 0.0,
        ..PlainSettings::default()
    })
    .await;
    let platform = PlatformServer::start(free_address(), PlatformFaults::default())
        .await
        .expect("a platform");
    let plain = [server.address()];
    let router = |vm: &'static str| {
        let settings = Settings {
            vm: vm.parse().expect("a name"),
            platform: Some(platform.address()),
            ..Settings::default()
        };
        Router::start_with(settings, &[], &plain)
    };
    let (one, two) = (router("vm-1").await, router("vm-2").await);
    System {
        routers: [Arc::new(one), Arc::new(two)],
        server,
        platform,
    }
}

fn keyed(item: &str) -> Call {
    order(item).with("idempotency-key", "order-7")
}

fn runs(system: &System, call: &Call) -> u64 {
    system.server.run_counts().of_digest(call.digest())
}

/// The answer to an order is lost between router and caller, who sends it again to another VM.
#[gtest]
#[tokio::test]
async fn order_sent_again_gets_the_answer_of_its_one_run() {
    let system = system(Duration::from_millis(5)).await;
    let order = keyed("menu");

    let first = system.routers[0].call(&order).await;
    let again = system.routers[1].call(&order).await;

    expect_that!(first.outcome(), eq("answered"));
    expect_that!(again.status, eq(first.status));
    expect_that!(again.body, eq(&first.body));
    expect_that!(runs(&system, &order), eq(1));
}

/// An impatient client sends the same order to two VMs at once.
#[gtest]
#[tokio::test]
async fn order_sent_to_two_vms_at_once_runs_once() {
    let system = system(Duration::from_millis(200)).await;
    let order = keyed("menu");

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
    let (menu, leaflet) = (keyed("menu"), keyed("leaflet"));
    system.routers[0].call(&menu).await;

    let reply = system.routers[1].call(&leaflet).await;

    expect_that!(reply.problem().type_, eq("catkinward:key_conflict"));
    expect_that!(reply.outcome(), eq("not_run"));
    expect_that!(runs(&system, &leaflet), eq(0));
}

/// The upstream runs an order and its answer breaks off. The caller asks again with its key and is
/// told the same, however often: nobody knows whether it ran, and it is not run again.
#[gtest]
#[tokio::test]
async fn order_whose_answer_was_lost_stays_unknown() {
    let system = system(Duration::from_millis(5)).await;
    system.server.set_fault(PlainFault::BreakOff);
    let order = keyed("menu");

    let first = system.routers[0].call(&order).await;
    system.server.set_fault(PlainFault::None);
    let again = system.routers[1].call(&order).await;

    expect_that!(first.outcome(), eq("unknown"));
    expect_that!(again.outcome(), eq("unknown"));
    expect_that!(runs(&system, &order), eq(1));
}

/// The upstream refuses an order. It has not run, so its caller may send it again under the same
/// key, and it must not be taken for one that ran.
#[gtest]
#[tokio::test]
async fn order_that_was_refused_may_be_sent_again() {
    let system = system(Duration::from_millis(5)).await;
    system.server.set_fault(PlainFault::Refuse);
    let order = keyed("menu");

    let first = system.routers[0].call(&order).await;
    system.server.set_fault(PlainFault::None);
    let again = system.routers[1].call(&order).await;

    expect_that!(first.outcome(), eq("not_run"));
    expect_that!(again.outcome(), eq("answered"));
    expect_that!(runs(&system, &order), eq(1));
}

/// The table service is out. Without a claim another VM could run the same order, so it is refused.
#[gtest]
#[tokio::test]
async fn order_is_not_run_while_it_cannot_be_claimed() {
    let system = system(Duration::from_millis(5)).await;
    system.platform.change_faults(&PlatformFaults {
        outage: Some(PlatformOutage::Refused),
        ..PlatformFaults::default()
    });
    let order = keyed("menu").with("catkin-deadline-ms", "800");

    let reply = system.routers[0].call(&order).await;

    expect_that!(reply.problem().type_, eq("catkinward:not_claimed"));
    expect_that!(reply.outcome(), eq("not_run"));
    expect_that!(runs(&system, &order), eq(0));
}

/// The table service takes a claim and its answer is lost. The router must find its own claim and
/// not take it for another's.
#[gtest]
#[tokio::test]
async fn order_runs_once_though_the_answer_to_its_claim_is_lost() {
    let system = system(Duration::from_millis(5)).await;
    system.platform.change_faults(&PlatformFaults {
        lose_answers: Some(1),
        ..PlatformFaults::default()
    });
    let order = keyed("menu");

    let reply = system.routers[0].call(&order).await;

    expect_that!(reply.outcome(), eq("answered"));
    expect_that!(runs(&system, &order), eq(1));
}

/// A caller hangs up while its order runs, and asks another VM for it with its key.
#[gtest]
#[tokio::test]
async fn order_of_a_caller_that_hung_up_is_found_by_its_key() {
    let system = system(Duration::from_millis(300)).await;
    let order = keyed("menu");
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
