//! Tests of the mock plain service: run counts and injected faults.

use bytes::Bytes;
use catkin_standins::{PlainFault, PlainResponse, PlainServer, PlainSettings, request_digest};
use catkinward::http_client::{Connections, HttpCall, HttpError};
use googletest::prelude::*;
use http::Method;
use std::{net::SocketAddr, time::Duration};

async fn plain() -> PlainServer {
    let settings = PlainSettings {
        service_time: Duration::from_micros(100),
        ..PlainSettings::default()
    };
    PlainServer::start(SocketAddr::from(([127, 0, 0, 1], 0)), settings)
        .await
        .expect("a free address")
}

async fn post(
    plain: &PlainServer,
    body: &'static str,
) -> std::result::Result<PlainResponse, HttpError> {
    let call = HttpCall {
        address: plain.address(),
        method: Method::POST,
        path: "/jobs".to_owned(),
        body: Bytes::from_static(body.as_bytes()),
        timeout: Duration::from_millis(300),
        ..HttpCall::default()
    };
    let connections = Connections::new().expect("a client");
    connections.call_json(call).await
}

#[gtest]
#[tokio::test]
async fn each_run_is_counted() {
    let plain = plain().await;

    let first = post(&plain, "reprint").await;
    let second = post(&plain, "reprint").await;

    let digest = request_digest("", b"reprint");
    expect_that!(
        first.expect("an answer"),
        eq(&PlainResponse { digest, run: 1 })
    );
    expect_that!(
        second.expect("an answer"),
        eq(&PlainResponse { digest, run: 2 })
    );
    expect_that!(plain.run_counts().of_digest(digest), eq(2));
}

/// A request runs, but its response is lost or truncated, so that only the run count shows that it
/// ran. A refused request must not run.
#[gtest]
#[tokio::test]
async fn faults_determine_whether_a_request_runs() {
    for (fault, runs) in [
        (PlainFault::LoseAnswer, 1),
        (PlainFault::BreakOff, 1),
        (PlainFault::Refuse, 0),
        (PlainFault::Leave, 0),
    ] {
        let plain = plain().await;
        plain.set_fault(fault);

        let outcome = post(&plain, "survey").await;

        expect_that!(outcome, err(anything()));
        let digest = request_digest("", b"survey");
        expect_that!(plain.run_counts().of_digest(digest), eq(runs));
    }
}
