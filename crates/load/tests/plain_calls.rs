//! Calls of a plain service through a router, and the outcomes that their callers receive.

mod router_support;

use bytes::Bytes;
use catkin_standins::{FaultProxy, PlainFault, PlainServer, PlainSettings, ProxyFault};
use googletest::prelude::*;
use router_support::{Call, OTHER_KEY, Router, free_address, lookup, order, plain_server};
use std::{sync::Arc, time::Duration};

async fn servers(count: usize) -> Vec<PlainServer> {
    let servers = (0..count).map(|_| plain_server(PlainSettings::default()));
    futures::future::join_all(servers).await
}

/// Servers that all inject this fault.
async fn failing_servers(count: usize, fault: PlainFault) -> Vec<PlainServer> {
    let servers = servers(count).await;
    for server in &servers {
        server.set_fault(fault);
    }
    servers
}

async fn router(servers: &[PlainServer]) -> Router {
    let addresses = servers.iter().map(PlainServer::address);
    Router::start(&[], &addresses.collect::<Vec<_>>()).await
}

fn runs(servers: &[PlainServer], call: &Call) -> u64 {
    let runs = servers
        .iter()
        .map(|server| server.run_counts().of_digest(call.digest()));
    runs.sum()
}

#[gtest]
#[tokio::test]
async fn order_is_run_once_and_answered() {
    let servers = servers(3).await;
    let router = router(&servers).await;
    let order = order("menu");

    let reply = router.call(&order).await;

    expect_that!(reply.outcome(), eq("answered"));
    expect_that!(runs(&servers, &order), eq(1));
}

/// The upstream runs an order and its response is truncated. A retry by the router would print the
/// order twice, and the outcome "not run" would make the caller retry.
#[gtest]
#[tokio::test]
async fn order_with_truncated_response_is_unknown_and_not_retried() {
    let servers = failing_servers(3, PlainFault::BreakOff).await;
    let router = router(&servers).await;
    let order = order("menu");

    let reply = router.call(&order).await;

    expect_that!(reply.outcome(), eq("unknown"));
    expect_that!(runs(&servers, &order), eq(1));
}

/// The upstream executes a non-idempotent call and never responds. At the deadline the caller must learn
/// that the call may have been executed.
#[gtest]
#[tokio::test]
async fn order_without_response_is_unknown_at_its_deadline() {
    let servers = failing_servers(2, PlainFault::LoseAnswer).await;
    let router = router(&servers).await;
    let order = order("menu").with("catkin-deadline-ms", "1500");

    let reply = router.call(&order).await;

    expect_that!(reply.outcome(), eq("unknown"));
    expect_that!(runs(&servers, &order), eq(1));
}

async fn reply_through_proxy(fault: ProxyFault, call: &Call) -> (String, u64) {
    let server = plain_server(PlainSettings::default()).await;
    let proxy = FaultProxy::start(free_address())
        .await
        .expect("the proxy starts");
    let address = proxy
        .route(server.address())
        .await
        .expect("the proxy adds a route");
    let router = Router::start(&[], &[address]).await;
    let warm_up = router.call(&order("warm-up")).await;
    assert_eq!(warm_up.outcome(), "answered");
    assert!(proxy.inject(0, fault, Duration::ZERO));

    let reply = router.call(call).await;

    (reply.outcome(), runs(&[server], call))
}

/// The connection is reset while the response to an order is returned, so the order has run.
#[gtest]
#[tokio::test]
async fn order_with_reset_connection_is_unknown_and_not_retried() {
    let order = order("menu").with("catkin-deadline-ms", "1500");

    let (outcome, runs) = reply_through_proxy(ProxyFault::LoseAnswers, &order).await;

    expect_that!(outcome, eq("unknown"));
    expect_that!(runs, eq(1));
}

/// New connections are accepted and reset before a byte of the order is read. The reset may arrive
/// before or after the order is written, so the outcome is either "not run" or "unknown". The order
/// has not run and must not be retried.
#[gtest]
#[tokio::test]
async fn order_on_a_connection_that_is_reset_at_once_does_not_run() {
    let order = order("menu").with("catkin-deadline-ms", "1500");

    let (outcome, runs) = reply_through_proxy(ProxyFault::Refuse, &order).await;

    expect_that!(outcome, any![eq("unknown"), eq("not_run")]);
    expect_that!(runs, eq(0));
}

/// The upstream's process has just ended and its port refuses connections. No byte of the order was
/// sent, so the caller may retry.
#[gtest]
#[tokio::test]
async fn order_without_connection_is_not_run() {
    let server = plain_server(PlainSettings::default()).await;
    let router = Router::start(&[], &[server.address()]).await;
    let warm_up = router.call(&order("warm-up")).await;
    assert_eq!(warm_up.outcome(), "answered");
    server.kill();
    while tokio::net::TcpStream::connect(server.address())
        .await
        .is_ok()
    {}
    let order = order("menu").with("catkin-deadline-ms", "1000");

    let reply = router.call(&order).await;

    expect_that!(reply.outcome(), eq("not_run"));
    expect_that!(runs(&[server], &order), eq(0));
}

#[gtest]
#[tokio::test]
async fn order_that_an_upstream_refuses_is_not_run() {
    let servers = failing_servers(1, PlainFault::Refuse).await;
    let router = router(&servers).await;
    let order = order("menu");

    let reply = router.call(&order).await;

    expect_that!(reply.problem().type_, eq("catkinward:upstream_refused"));
    expect_that!(reply.outcome(), eq("not_run"));
    expect_that!(runs(&servers, &order), eq(0));
}

/// One of two upstreams truncates its responses. A lookup is idempotent, so the router retries it and
/// the caller does not see the failure.
#[gtest]
#[tokio::test]
async fn lookup_is_retried_at_another_upstream() {
    let servers = servers(2).await;
    servers[0].set_fault(PlainFault::BreakOff);
    let router = router(&servers).await;

    let replies = futures::future::join_all((0..8).map(|i| {
        let call = lookup(&format!("tile-{i}"));
        let router = &router;
        async move { router.call(&call).await.outcome() }
    }))
    .await;

    expect_that!(replies, each(eq("answered")));
}

/// The bundle allows retries of a lookup and its caller forbids them: the stricter rule applies. A path
/// that an upstream could normalize to a different one is never retried either.
#[gtest]
#[tokio::test]
async fn lookup_is_not_retried_if_its_caller_forbids_it() {
    let servers = failing_servers(3, PlainFault::BreakOff).await;
    let router = router(&servers).await;
    let forbidden = lookup("one").with("catkin-idempotent", "false");
    let disguised = Call {
        path: "items/../orders?item=two".to_owned(),
        ..lookup("two")
    };
    let repeated = lookup("three");

    for call in [&forbidden, &disguised, &repeated] {
        let reply = router.call(call).await;
        expect_that!(reply.outcome(), eq("unknown"));
    }

    expect_that!(runs(&servers, &forbidden), eq(1));
    expect_that!(runs(&servers, &disguised), eq(1));
    expect_that!(runs(&servers, &repeated), gt(1));
}

/// A caller declares an order idempotent and the bundle does not: it must not be retried, since a
/// duplicate order prints 2,000 leaflets too many.
#[gtest]
#[tokio::test]
async fn order_is_not_retried_even_if_its_caller_allows_it() {
    let servers = failing_servers(3, PlainFault::BreakOff).await;
    let router = router(&servers).await;
    let order = order("menu").with("catkin-idempotent", "true");

    router.call(&order).await;

    expect_that!(runs(&servers, &order), eq(1));
}

/// Thirty concurrent orders go to an upstream that serves one at a time, with deadlines shorter than
/// the total service time. Callers retry orders that were reported as not run, so the report must be
/// true.
#[gtest]
#[tokio::test]
async fn refused_orders_of_an_overload_have_not_run() {
    let server = plain_server(PlainSettings {
        service_time: Duration::from_millis(100),
        spread: 0.0,
        capacity: 1,
        ..PlainSettings::default()
    })
    .await;
    let router = Router::start(&[], &[server.address()]).await;
    let warm_up = router.call(&order("warm-up")).await;
    assert_eq!(warm_up.outcome(), "answered");
    let orders = (0..30)
        .map(|i| order(&i.to_string()).with("catkin-deadline-ms", "1000"))
        .collect::<Vec<_>>();

    let replies = futures::future::join_all(orders.iter().map(|order| router.call(order))).await;

    let mut refused = 0;
    for (order, reply) in orders.iter().zip(&replies) {
        let runs = runs(std::slice::from_ref(&server), order);
        match reply.outcome().as_str() {
            "answered" => expect_that!(runs, eq(1)),
            "not_run" => {
                refused += 1;
                expect_that!(runs, eq(0));
                expect_that!(reply.headers.contains_key("retry-after"), eq(true));
                expect_that!(reply.problem().retry_after_ms, some(gt(0)));
            }
            _ => expect_that!(runs, le(1)),
        }
    }
    expect_that!(refused, gt(0));
}

/// A caller disconnects while its order is queued. The order must not run, since no caller reads the
/// response.
#[gtest]
#[tokio::test]
async fn queued_order_of_a_disconnected_caller_does_not_run() {
    let server = plain_server(PlainSettings {
        service_time: Duration::from_millis(400),
        spread: 0.0,
        capacity: 1,
        ..PlainSettings::default()
    })
    .await;
    let router = Arc::new(Router::start(&[], &[server.address()]).await);
    let warm_up = router.call(&order("warm-up")).await;
    assert_eq!(warm_up.outcome(), "answered");
    let [first, left, last] = ["first", "left", "last"].map(order);
    let call = |order: Call| {
        let router = router.clone();
        tokio::spawn(async move { router.call(&order).await.outcome() })
    };

    let first = call(first);
    while server.run_counts().runs.len() < 2 {
        tokio::task::yield_now().await;
    }
    let leaving = call(left.clone());
    while !queue_length_is(&router, 1).await {}
    leaving.abort();
    while !queue_length_is(&router, 0).await {}
    let last = call(last).await.expect("the task does not panic");

    expect_that!(
        first.await.expect("the task does not panic"),
        eq("answered")
    );
    expect_that!(last, eq("answered"));
    expect_that!(runs(&[server], &left), eq(0));
}

async fn queue_length_is(router: &Router, length: usize) -> bool {
    tokio::task::yield_now().await;
    router
        .node
        .admission
        .queued_count(&"shopfront".parse().expect("a valid name"))
        == length
}

/// Fifty concurrent lookups of one tile, half of them from another team. The lookups of each team are
/// coalesced, and no team receives a response to the other's lookup.
#[gtest]
#[tokio::test]
async fn identical_lookups_are_coalesced_within_a_team() {
    let server = plain_server(PlainSettings {
        service_time: Duration::from_millis(300),
        spread: 0.0,
        ..PlainSettings::default()
    })
    .await;
    let router = Router::start(&[], &[server.address()]).await;
    let warm_up = router.call(&order("warm-up")).await;
    assert_eq!(warm_up.outcome(), "answered");
    let own = lookup("tile");
    let other = Call {
        key: OTHER_KEY,
        ..lookup("tile")
    };

    let calls = (0..50).map(|i| if i % 2 == 0 { &own } else { &other });
    let replies = futures::future::join_all(calls.map(|call| router.call(call))).await;

    expect_that!(
        replies.iter().all(|reply| reply.outcome() == "answered"),
        eq(true)
    );
    let bodies = |from: usize| replies.iter().skip(from).step_by(2).map(|r| r.body.clone());
    let of_team = |from| bodies(from).collect::<std::collections::BTreeSet<Bytes>>();
    expect_that!(of_team(0).is_disjoint(&of_team(1)), eq(true));
    expect_that!(runs(&[server], &own), all![ge(2), lt(10)]);
}

/// The caller of the first of several coalesced lookups disconnects. The other lookups must still be
/// answered.
#[gtest]
#[tokio::test]
async fn failed_lookup_does_not_fail_those_coalesced_with_it() {
    let server = plain_server(PlainSettings {
        service_time: Duration::from_millis(200),
        spread: 0.0,
        ..PlainSettings::default()
    })
    .await;
    let router = Arc::new(Router::start(&[], &[server.address()]).await);
    let warm_up = router.call(&order("warm-up")).await;
    assert_eq!(warm_up.outcome(), "answered");
    let tile = lookup("tile");
    let call = |call: Call| {
        let router = router.clone();
        tokio::spawn(async move { router.call(&call).await.outcome() })
    };

    let leader = call(tile.clone());
    while server.run_counts().of_digest(tile.digest()) == 0 {
        tokio::task::yield_now().await;
    }
    let follower = call(tile.clone());
    while router
        .node
        .admission
        .waiting_read_count(&"shopfront".parse().expect("a valid name"))
        == 0
    {
        tokio::task::yield_now().await;
    }
    leader.abort();

    expect_that!(
        follower.await.expect("the task does not panic"),
        eq("answered")
    );
}

#[gtest]
#[tokio::test]
async fn metrics_include_refusals_and_queues() {
    let servers = failing_servers(1, PlainFault::Refuse).await;
    let router = router(&servers).await;
    router.call(&order("menu")).await;

    let page = router.get("/metrics").await;

    let text = String::from_utf8_lossy(&page.body);
    expect_that!(text, contains_substring("catkin_refusals_total{"));
    expect_that!(text, contains_substring("reason=\"upstream_refused\""));
    expect_that!(
        text,
        contains_substring("catkin_in_flight{service=\"shopfront\"")
    );
    expect_that!(
        text,
        contains_substring("catkin_queue_length{service=\"shopfront\"")
    );
}

#[gtest]
#[tokio::test]
async fn service_of_another_kind_or_name_is_not_found() {
    let servers = servers(1).await;
    let router = router(&servers).await;

    for service in ["mapfront", "ticket-model"] {
        let reply = router.call_service(service, &lookup("menu")).await;

        expect_that!(reply.problem().type_, eq("catkinward:no_such_service"));
        expect_that!(reply.outcome(), eq("not_run"));
    }
}
