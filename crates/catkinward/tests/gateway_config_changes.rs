//! Calls that are served while the configuration changes. A call keeps the configuration by which it was accepted.

mod gateway_support;

use catkin_decisions::{ConfigVersion, Route, RouteTable, RoutingConfig};
use catkinward::gateway::Reply;
use gateway_support::*;
use googletest::prelude::*;
use http::StatusCode;
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// Changes a configuration in one respect.
type Change = fn(&mut RoutingConfig);

/// Changes of a configuration that could affect a call which is served.
const CHANGES: [(&str, Change); 7] = [
    ("routes are removed", |config| {
        config.routes = RouteTable::default();
    }),
    ("routes lead to another service", |config| {
        change_routes(config, |route| {
            route.targets[0].service = "other".parse().unwrap();
        });
    }),
    ("timeouts are shorter", |config| {
        change_routes(config, |route| {
            route.timeout = Duration::from_millis(50);
        });
    }),
    ("fewer upstreams per call", |config| {
        change_routes(config, |route| route.max_upstreams = 1);
    }),
    ("services are removed", |config| config.services.clear()),
    ("the key is revoked", |config| {
        config.keys = Some(Vec::new());
    }),
    ("limits are lower", |config| {
        config.limits.head_bytes = 1;
        config.limits.body_bytes = 1;
        config.limits.head_timeout = Duration::from_millis(1);
        config.limits.idle_timeout = Duration::from_millis(1);
    }),
];

fn change_routes(config: &mut RoutingConfig, change: fn(&mut Route)) {
    let changed = config.routes.iter().map(|route| {
        let mut route = Route::clone(route);
        change(&mut route);
        route
    });
    config.routes = RouteTable::new(changed.collect::<Vec<_>>());
}

/// Starts a gateway whose callers need a key, and the configuration that replaces its first one.
fn start(fixture: GatewayFixture, change: Change) -> (Running, RoutingConfig) {
    let fixture = fixture.default_upstreams().key("key-1", "team-1");
    let mut config = fixture.config();
    config.version = ConfigVersion(2);
    change(&mut config);
    (fixture.start(), config)
}

/// Handles a call with a key; the configuration changes 100 ms after its start.
async fn handle_beside(running: &Running, config: RoutingConfig, path: &str) -> Reply {
    let mut call = running.call(path);
    call.key = Some("key-1".into());
    let change = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(running.gateway.put_config(Arc::new(config)));
    };
    tokio::join!(running.gateway.handle(call), change).0
}

/// A call that waits for its upstream's response, and one that waits for its connection, are answered.
#[gtest]
#[tokio::test(start_paused = true)]
async fn waiting_call_is_answered_beside_each_change() {
    for (name, change) in CHANGES {
        for path in ["/quick/1", "/once/1"] {
            let (running, config) = start(
                GatewayFixture::new(|_| {
                    let answer = Script::Whole(StatusCode::OK, "yes");
                    Script::AcceptAfter(Duration::from_millis(300), answer.into())
                }),
                change,
            );

            let reply = handle_beside(&running, config, path).await;

            let status = |reply: &Reply| match reply {
                Reply::Whole { status, .. } => Some(*status),
                _ => None,
            };
            expect_that!(status(&reply), some(eq(StatusCode::OK)), "{name}, {path}");
        }
    }
}

/// Guards against a call that is refused by its first upstream after the change, and finds no other one.
#[gtest]
#[tokio::test(start_paused = true)]
async fn call_sent_again_after_each_change_is_answered() {
    for (name, change) in CHANGES {
        for path in ["/quick/1", "/once/1"] {
            let refused = AtomicBool::new(false);
            let (running, config) = start(
                GatewayFixture::new(move |_| {
                    if refused.swap(true, Ordering::Relaxed) {
                        return Script::Whole(StatusCode::OK, "yes");
                    }
                    let refusal = Script::NotExecuted;
                    Script::AcceptAfter(Duration::from_millis(300), refusal.into())
                }),
                change,
            );

            let reply = handle_beside(&running, config, path).await;

            let is_whole = matches!(reply, Reply::Whole { .. });
            expect_that!(is_whole, eq(true), "{name}, {path}: {reply:?}");
            expect_that!(running.sent_to().len(), eq(2), "{name}, {path}");
        }
    }
}

/// A stream that runs beyond the change is complete, whether or not it can be resumed.
#[gtest]
#[tokio::test(start_paused = true)]
async fn running_stream_completes_beside_each_change() {
    for (name, change) in CHANGES {
        for path in ["/stream/1", "/stream-once/1"] {
            let (running, config) = start(
                GatewayFixture::new(|_| {
                    let mut parts = vec![Part::Pause(Duration::from_millis(300))];
                    parts.extend(events(1, 40));
                    Script::Stream(parts, End::Whole)
                }),
                change,
            );

            let reply = handle_beside(&running, config, path).await;

            expect_that!(
                read_stream(reply).await,
                eq(&(text(1, 40), true)),
                "{name}, {path}"
            );
        }
    }
}

/// Guards against a stream whose run is lost after the change, and that does not go on because its route, its service
/// or its key is gone.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_resumes_after_each_change() {
    for (name, change) in CHANGES {
        let (running, config) = start(
            GatewayFixture::new(|call| match call.last_event {
                None => {
                    let mut parts = vec![Part::Pause(Duration::from_millis(300))];
                    parts.extend(events(1, 20));
                    Script::Stream(parts, End::Break)
                }
                Some(last) => Script::Stream(events(last + 1, 40), End::Whole),
            }),
            change,
        );

        let reply = handle_beside(&running, config, "/stream/1").await;

        expect_that!(read_stream(reply).await, eq(&(text(1, 40), true)), "{name}");
    }
}
