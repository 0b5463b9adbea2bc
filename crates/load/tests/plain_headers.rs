//! Headers, path and status that are forwarded between callers and plain services.

mod router_support;

use googletest::prelude::*;
use http::StatusCode;
use router_support::{Call, Router, lookup};
use std::{convert::Infallible, fmt::Write as _, net::SocketAddr};
use volo_http::{
    body::Body, context::ServerContext, request::Request, response::Response, server::Server,
};

/// A plain service that returns the request line and headers as the response body with this status, and adds headers
/// of its own.
struct Echo(StatusCode);

impl volo::Service<ServerContext, Request> for Echo {
    type Response = Response;
    type Error = Infallible;

    async fn call(
        &self,
        _: &mut ServerContext,
        req: Request,
    ) -> std::result::Result<Response, Infallible> {
        if req.uri().path() == "/v1/load" {
            let load = r#"{"incarnation":1,"running":0,"waiting":0,"capacity":4,"leaving":false}"#;
            return Ok(Response::new(load.into()));
        }
        let mut text = format!("{} {}\n", req.method(), req.uri());
        for (name, value) in req.headers() {
            let _ = writeln!(text, "{name}: {}", value.to_str().unwrap_or_default());
        }
        let mut response = Response::new(Body::from(text));
        *response.status_mut() = self.0;
        let headers = response.headers_mut();
        headers.insert("x-answer", http::HeaderValue::from_static("kept"));
        headers.insert("keep-alive", http::HeaderValue::from_static("timeout=5"));
        Ok(response)
    }
}

async fn echo(status: StatusCode) -> SocketAddr {
    let listener = catkinward::http_server::Listener::bind(router_support::free_address())
        .await
        .expect("a free port");
    let address = listener.address().expect("a bound address");
    tokio::spawn(Server::new(Echo(status)).run(listener));
    address
}

async fn received_request(call: &Call) -> (router_support::Reply, String) {
    let router = Router::start(&[], &[echo(StatusCode::IM_A_TEAPOT).await]).await;
    let reply = router.call(call).await;
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    (reply, text)
}

#[gtest]
#[tokio::test]
async fn path_query_and_headers_are_forwarded() {
    let call = lookup("menu").with("accept-language", "gd");

    let (_, text) = received_request(&call).await;

    expect_that!(text, starts_with("GET /items?item=menu\n"));
    expect_that!(text, contains_substring("accept-language: gd"));
}

#[gtest]
#[tokio::test]
async fn status_and_headers_of_the_response_are_returned() {
    let (reply, _) = received_request(&lookup("menu")).await;

    expect_that!(reply.status, eq(StatusCode::IM_A_TEAPOT));
    expect_that!(reply.headers.contains_key("x-answer"), eq(true));
    expect_that!(reply.headers.contains_key("keep-alive"), eq(false));
}

/// Guards against forwarding hop-by-hop headers, which describe the caller's connection and not the
/// one to the service, and the bearer key, with which the service could call in its team's name.
#[gtest]
#[tokio::test]
async fn hop_by_hop_headers_and_bearer_key_are_not_forwarded() {
    let call = lookup("menu")
        .with("te", "trailers")
        .with("x-hop", "secret")
        .with("connection", "x-hop")
        .with("catkin-idempotent", "false");

    let (_, text) = received_request(&call).await;

    for absent in ["te: ", "x-hop", "authorization", "catkin-idempotent"] {
        expect_that!(text, not(contains_substring(absent)));
    }
}

#[gtest]
#[tokio::test]
async fn remaining_deadline_is_forwarded() {
    let call = lookup("menu").with("catkin-deadline-ms", "9000");

    let (_, text) = received_request(&call).await;

    let left = text
        .lines()
        .find_map(|line| line.strip_prefix("catkin-deadline-ms: "))
        .and_then(|ms| ms.parse::<u64>().ok());
    expect_that!(left, some(all![gt(0), le(9000)]));
}

/// Guards against an answer of a service in trouble that its caller cannot read, because its status is none.
#[gtest]
#[tokio::test]
async fn answer_with_an_odd_status_is_lost() {
    for status in [600, 999] {
        let service = echo(StatusCode::from_u16(status).unwrap()).await;
        let router = Router::start(&[], &[service]).await;

        let reply = router.call(&lookup("menu")).await;

        expect_that!(reply.status, eq(StatusCode::GATEWAY_TIMEOUT), "{status}");
    }
}
