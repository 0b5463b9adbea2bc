//! Shutdown of a router that serves callers and operators while a generation runs.

use catkin_border::{bundle::RecoveryPolicy, caller::CompletionRequest, operator::StatusReply};
use catkin_decisions::KeyHash;
use catkin_load::{Process, Role};
use catkin_standins::{Answer, CallerClient, DEMO_KEY, TokenChain, demo_bundle};
use catkinward::http_client::{Connections, HttpCall};
use googletest::prelude::*;
use http::{HeaderMap, header};
use std::{net::SocketAddr, num::NonZeroU32, path::Path, sync::Arc, time::Duration};
use tokio::sync::Notify;

const TOKENS: u32 = 400;
/// Timeout of the test, so that it fails rather than hangs if one of its processes dies.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const OPERATOR_KEY: &str = "operator-key";

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_catkin-load"))
}

async fn engine() -> Process {
    let args = ["engine", "--seed", "1", "--step-us", "5000"];
    let engine = Process::start(program(), Role::Standin, &args).await;
    engine.expect("an engine starts")
}

async fn router(engine: SocketAddr) -> Process {
    let bundle = demo_bundle(&[engine], RecoveryPolicy::LeastWork);
    let bundle = serde_json::to_string(&bundle).expect("JSON");
    let file = std::env::temp_dir().join(format!("catkin-{:x}.json", rand::random::<u64>()));
    std::fs::write(&file, bundle).expect("a temporary file is written");
    let args = [
        "--listen=127.0.0.1:0",
        "--operator-listen=127.0.0.1:0",
        &format!("--operator-key-sha256={}", KeyHash::of(OPERATOR_KEY)),
        &format!("--bundle-file={}", file.display()),
        "--drain-grace-ms=100",
        "--log=error",
    ];
    let router = Process::start(program(), Role::Router, &args).await;
    std::fs::remove_file(file).expect("the temporary file exists");
    router.expect("a router starts")
}

fn request() -> CompletionRequest {
    CompletionRequest {
        max_tokens: NonZeroU32::new(TOKENS).expect("not zero"),
        model: "ticket-model".into(),
        prompt: "menu reprint".into(),
        seed: Some(3),
        stop: Vec::new(),
        stream: true,
        temperature: None,
    }
}

async fn status(operators: SocketAddr) -> StatusReply {
    let mut headers = HeaderMap::new();
    let bearer = format!("Bearer {OPERATOR_KEY}");
    headers.insert(header::AUTHORIZATION, bearer.parse().expect("ASCII"));
    let call = HttpCall {
        address: operators,
        path: "/v1/status".to_owned(),
        headers,
        ..HttpCall::default()
    };
    let connections = Connections::new().expect("a client is created");
    connections.call_json(call).await.expect("a status reply")
}

fn terminate(process: &Process) {
    let id = process.id().expect("the process is running").to_string();
    let mut kill = std::process::Command::new("kill");
    let status = kill.args(["-TERM", &id]).status();
    let status = status.expect("the `kill` command exists");
    assert!(status.success());
}

/// A router is drained while it relays a generation, and both of its HTTP servers receive the signal.
/// The caller must get the complete response, and operators must be able to query the status
/// meanwhile.
#[gtest]
#[tokio::test]
async fn drain_interrupts_no_generation_and_keeps_the_operator_api_available() {
    let drained = tokio::time::timeout(TEST_TIMEOUT, drain_during_a_generation());

    drained.await.expect("the test finishes in time");
}

async fn drain_during_a_generation() {
    let engine = engine().await;
    let mut router = router(engine.address()).await;
    let operators = router
        .other_address("operators")
        .expect("an operator address");
    let caller = CallerClient::new(router.address(), DEMO_KEY).expect("a client is created");
    let progress = Arc::new((Notify::new(), Notify::new()));
    let reached = progress.clone();
    let reading = tokio::spawn(async move {
        let mut answer = Answer::default();
        let on_token = |answer: &Answer| match answer.ids.len() {
            40 => reached.0.notify_one(),
            380 => reached.1.notify_one(),
            _ => {}
        };
        let request = request();
        let outcome = caller.stream(&request, None, &mut answer, on_token);
        outcome.await.map(|()| answer)
    });
    progress.0.notified().await;

    terminate(&router);
    let mut seen = status(operators).await;
    while !seen.draining {
        seen = status(operators).await;
    }
    progress.1.notified().await;
    let late = status(operators).await;
    let answer = reading
        .await
        .expect("the task does not panic")
        .expect("a complete response");

    expect_that!(late.draining, eq(true));
    expect_that!(late.in_flight, eq(1));
    let chain = TokenChain::new("catkin", "1", "menu reprint", 3);
    expect_that!(answer.check(chain, 400), ok(eq(&())));
    expect_that!(router.wait().await, ok(some(eq(&0))));
}
