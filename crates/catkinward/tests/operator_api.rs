//! Contract of the operator API over HTTP.

use catkin_border::operator::{OperatorProblem, StatusReply, TimelineReply};
use catkin_decisions::KeyHash;
use catkinward::{
    Event, EventKind, Node, Settings,
    http_client::{Connections, HttpCall},
    http_server::Listener,
};
use googletest::prelude::*;
use http::{HeaderMap, StatusCode, header};
use std::{net::SocketAddr, sync::Arc};

const KEY: &str = "operator-key";

struct OperatorServer {
    node: Arc<Node>,
    address: SocketAddr,
}

async fn start_operator_server() -> OperatorServer {
    let node = Node::start(Settings {
        operator_key: Some(KeyHash::of(KEY)),
        ..Settings::default()
    })
    .expect("a node starts");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(any).await.expect("a free port");
    let address = listener.address().expect("an address");
    let serving = node.clone();
    tokio::spawn(async move { serving.serve_operators(listener).await });
    OperatorServer { node, address }
}

impl OperatorServer {
    async fn get(&self, path: &str, key: &str) -> (StatusCode, String) {
        let mut headers = HeaderMap::new();
        let bearer = format!("Bearer {key}").parse().expect("visible ASCII");
        headers.insert(header::AUTHORIZATION, bearer);
        let call = HttpCall {
            address: self.address,
            path: path.to_owned(),
            headers,
            ..HttpCall::default()
        };
        let connections = Connections::new().expect("a client");
        let (status, body) = connections.call_complete(call).await.expect("a response");
        (status, String::from_utf8(body.to_vec()).expect("text"))
    }

    fn record(&self, kind: EventKind, request: &str) {
        self.node.timeline.record(Event {
            request: Some(request.parse().expect("a valid name")),
            ..Event::new(kind)
        });
    }
}

#[gtest]
#[tokio::test]
async fn timeline_filters_by_request() {
    let server = start_operator_server().await;
    server.record(EventKind::Accepted, "a");
    server.record(EventKind::Accepted, "b&c");

    let (status, body) = server.get("/v1/timeline?request=b%26c", KEY).await;

    let reply: TimelineReply = serde_json::from_str(&body).expect("a timeline reply");
    expect_that!(status, eq(StatusCode::OK));
    expect_that!(reply.vm, eq("vm-1"));
    expect_that!(reply.availability_zone, eq("zone-1"));
    expect_that!(reply.events.len(), eq(1));
    expect_that!(reply.events[0].kind, eq("accepted"));
    expect_that!(reply.events[0].request.as_deref(), some(eq("b&c")));
}

#[gtest]
#[tokio::test]
async fn status_reports_the_bundle_in_force() {
    let server = start_operator_server().await;
    let (_, before) = server.get("/v1/status", KEY).await;
    let empty = r#"{"teams": [], "services": [], "upstreams": []}"#;
    server
        .node
        .activate_bundle(3, empty)
        .expect("a valid bundle");

    let (_, after) = server.get("/v1/status", KEY).await;

    let before: StatusReply = serde_json::from_str(&before).expect("a status");
    let after: StatusReply = serde_json::from_str(&after).expect("a status");
    expect_that!(before.ready, eq(false));
    expect_that!(before.bundle_digest, none());
    expect_that!(after.ready, eq(true));
    expect_that!(after.bundle_version, eq(3));
    let digest = server.node.bundle.current().digest.to_string();
    expect_that!(after.bundle_digest, some(eq(&digest)));
}

/// Requests without the operators' key, with an unknown path or with an invalid query must be refused
/// with the matching problem type.
#[gtest]
#[tokio::test]
async fn invalid_requests_are_refused_with_their_reason() {
    let server = start_operator_server().await;
    let cases = [
        ("/v1/status", "caller-key", 401, "unknown_key"),
        ("/v1/timeline", "", 401, "unknown_key"),
        ("/v1/bundle", KEY, 404, "no_such_path"),
        ("/v1/timeline?since=noon", KEY, 400, "malformed_query"),
        ("/v1/timeline?request=", KEY, 400, "malformed_query"),
        ("/v1/timeline?who=x", KEY, 400, "malformed_query"),
        (
            "/v1/timeline?request=a&request=b",
            KEY,
            400,
            "malformed_query",
        ),
    ];
    for (path, key, status, kind) in cases {
        let (found, body) = server.get(path, key).await;

        let problem: OperatorProblem = serde_json::from_str(&body).expect("a problem");
        expect_that!(found.as_u16(), eq(status), "{path}");
        expect_that!(problem.status, eq(status), "{path}");
        expect_that!(problem.type_, eq(&format!("catkinward:{kind}")), "{path}");
    }
}
