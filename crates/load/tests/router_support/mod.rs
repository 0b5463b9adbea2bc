//! Test fixtures: a router in this process, with mock upstreams, and its callers.

// Each test file uses a different subset of this module.
#![allow(dead_code)]

use bytes::Bytes;
use catkin_border::{
    bundle,
    caller::{CompletionRequest, Problem},
};
use catkin_decisions::KeyHash;
use catkin_standins::{DEMO_KEY, PlainServer, PlainSettings, demo_bundle, request_digest};
use catkinward::{
    Node, Settings,
    http_client::{Connections, HttpCall, json_bytes},
    http_server::Listener,
};
use http::{HeaderMap, HeaderName, Method, StatusCode};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use volo_http::body::BodyConversion;

/// Bearer key of a second team.
pub const OTHER_KEY: &str = "other-key";

/// Loopback address with port 0, so that the system picks a free port.
pub fn free_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub async fn plain_server(settings: PlainSettings) -> PlainServer {
    PlainServer::start(free_address(), settings)
        .await
        .expect("a plain service starts")
}

/// A router in this process, with an HTTP client for its callers.
pub struct Router {
    pub address: SocketAddr,
    pub node: Arc<Node>,
    connections: Arc<Connections>,
}

/// A call of the plain service.
#[derive(Clone)]
pub struct Call {
    pub method: Method,
    pub path: String,
    pub body: &'static str,
    pub key: &'static str,
    pub headers: Vec<(&'static str, &'static str)>,
}

/// A non-idempotent order.
pub fn order(item: &str) -> Call {
    Call {
        method: Method::POST,
        path: format!("orders?item={item}"),
        body: "two thousand",
        key: DEMO_KEY,
        headers: Vec::new(),
    }
}

/// An idempotent lookup.
pub fn lookup(item: &str) -> Call {
    Call {
        method: Method::GET,
        path: format!("items?item={item}"),
        body: "",
        ..order(item)
    }
}

impl Call {
    pub fn with(mut self, name: &'static str, value: &'static str) -> Self {
        self.headers.push((name, value));
        self
    }

    /// Request digest under which a plain service counts the runs of this call.
    pub fn digest(&self) -> u64 {
        let query = self.path.split_once('?').map_or("", |(_, query)| query);
        request_digest(query, self.body.as_bytes())
    }
}

/// Response that a caller received.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Reply {
    pub fn problem(&self) -> Problem {
        serde_json::from_slice(&self.body).expect("a problem body")
    }

    /// Outcome according to the problem; `answered` if the call succeeded.
    pub fn outcome(&self) -> String {
        if self.status.is_success() {
            return "answered".to_owned();
        }
        self.problem().outcome.to_string()
    }
}

impl Router {
    pub async fn start(engines: &[SocketAddr], plain: &[SocketAddr]) -> Self {
        Self::start_with(Settings::default(), engines, plain).await
    }

    pub async fn start_with(
        settings: Settings,
        engines: &[SocketAddr],
        plain: &[SocketAddr],
    ) -> Self {
        let listener = Listener::bind(free_address()).await.expect("a free port");
        let address = listener.address().expect("a bound address");
        let node = Node::start(settings).expect("the node starts");
        let bundle = serde_json::to_string(&bundle_of(engines, plain)).expect("JSON");
        node.activate_bundle(1, &bundle).expect("a valid bundle");
        let serving = node.clone();
        tokio::spawn(async move { serving.serve(listener).await });
        Self {
            address,
            node,
            connections: Arc::new(Connections::new().expect("a client is created")),
        }
    }

    /// Makes a call. The router queues it until an upstream has reported its load.
    pub async fn call(&self, call: &Call) -> Reply {
        self.call_service("shopfront", call).await
    }

    pub async fn call_service(&self, service: &str, call: &Call) -> Reply {
        let mut headers = HeaderMap::new();
        let bearer = format!("Bearer {}", call.key)
            .parse()
            .expect("a valid header value");
        headers.insert(http::header::AUTHORIZATION, bearer);
        for (name, value) in &call.headers {
            let name: HeaderName = name.parse().expect("a valid name");
            headers.insert(name, value.parse().expect("a valid header value"));
        }
        let http_call = HttpCall {
            address: self.address,
            method: call.method.clone(),
            path: format!("/v1/services/{service}/{}", call.path),
            headers,
            body: Bytes::from_static(call.body.as_bytes()),
            timeout: Duration::from_secs(20),
            new_connection: false,
        };
        self.read(http_call).await
    }

    /// Requests a generation with a deadline of `ms` milliseconds.
    pub async fn complete_within(&self, request: &CompletionRequest, ms: u64) -> Reply {
        let mut headers = HeaderMap::new();
        let bearer = format!("Bearer {DEMO_KEY}")
            .parse()
            .expect("a valid header value");
        headers.insert(http::header::AUTHORIZATION, bearer);
        headers.insert("catkin-deadline-ms", ms.into());
        let http_call = HttpCall {
            address: self.address,
            method: Method::POST,
            path: "/v1/completions".to_owned(),
            headers,
            body: json_bytes(request),
            timeout: Duration::from_secs(20),
            new_connection: true,
        };
        self.read(http_call).await
    }

    pub async fn get(&self, path: &str) -> Reply {
        let http_call = HttpCall {
            address: self.address,
            path: path.to_owned(),
            ..HttpCall::default()
        };
        self.read(http_call).await
    }

    async fn read(&self, call: HttpCall) -> Reply {
        let response = self.connections.call(call).await.expect("a response");
        let (status, headers) = (response.status(), response.headers().clone());
        let body = response
            .into_body()
            .into_bytes()
            .await
            .expect("a readable body");
        Reply {
            status,
            headers,
            body,
        }
    }
}

fn bundle_of(engines: &[SocketAddr], plain: &[SocketAddr]) -> bundle::Bundle {
    let mut all = demo_bundle(engines, bundle::RecoveryPolicy::LeastWait);
    let rule = |method: &str, prefix: &str, idempotent| bundle::PathRule {
        idempotent,
        method: method.to_owned(),
        prefix: prefix.to_owned(),
    };
    all.services.push(bundle::ServiceEntry {
        deadline_ms: None,
        kind: bundle::ServiceKind::Plain,
        model: None,
        name: "shopfront".to_owned(),
        paths: vec![rule("GET", "/items", true), rule("POST", "/orders", false)],
        recovery: None,
        teams: Vec::new(),
    });
    all.teams.push(bundle::TeamEntry {
        key_sha256: KeyHash::of(OTHER_KEY).to_string(),
        name: "other".to_owned(),
        ..all.teams[0].clone()
    });
    let upstreams = plain.iter().enumerate();
    all.upstreams
        .extend(upstreams.map(|(i, address)| bundle::UpstreamEntry {
            address: address.to_string(),
            availability_zone: "zone-1".to_owned(),
            checks_orderer: false,
            enforces_fencing: false,
            id: format!("plain-{i}"),
            services: vec!["shopfront".to_owned()],
        }));
    all
}
