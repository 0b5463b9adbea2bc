//! Graceful shutdown of a router process.

use catkin_border::{bundle::RecoveryPolicy, caller::CompletionRequest};
use catkin_load::{Process, Role};
use catkin_standins::{Answer, CallError, CallerClient, DEMO_KEY, TokenChain, demo_bundle};
use googletest::prelude::*;
use rustix::process::{Pid, Signal, kill_process};
use std::{num::NonZeroU32, path::Path, sync::Arc};
use tokio::{sync::Notify, task::JoinHandle};

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_catkin-load"))
}

struct TestSystem {
    _engine: Process,
    router: Process,
}

async fn system() -> TestSystem {
    let engine = Process::start(program(), Role::Standin, &["engine", "--step-us", "5000"])
        .await
        .expect("an engine starts");
    let bundle = demo_bundle(&[engine.address()], RecoveryPolicy::LeastWait);
    let file = std::env::temp_dir().join(format!("catkin-{:x}.json", rand::random::<u64>()));
    std::fs::write(&file, serde_json::to_string(&bundle).expect("JSON"))
        .expect("a temporary file is written");
    let path = file.to_str().expect("a UTF-8 path");
    let args = [
        "--listen",
        "127.0.0.1:0",
        "--bundle-file",
        path,
        "--drain-grace-ms",
        "100",
        "--log",
        "error",
    ];
    let router = Process::start(program(), Role::Router, &args)
        .await
        .expect("a router starts");
    std::fs::remove_file(&file).expect("the file exists");
    TestSystem {
        _engine: engine,
        router,
    }
}

/// Starts to read a response and returns after its first token.
async fn start_reading(
    router: &Process,
    tokens: u32,
) -> JoinHandle<(Result<(), CallError>, Answer)> {
    let caller = CallerClient::new(router.address(), DEMO_KEY).expect("a client is created");
    let request = CompletionRequest {
        max_tokens: NonZeroU32::new(tokens).expect("not zero"),
        model: "ticket-model".into(),
        prompt: "menu".into(),
        seed: Some(7),
        stop: Vec::new(),
        stream: true,
        temperature: None,
    };
    let begun = Arc::new(Notify::new());
    let first = begun.clone();
    let reading = tokio::spawn(async move {
        let mut answer = Answer::default();
        let outcome = caller.stream(&request, None, &mut answer, |_| first.notify_one());
        let outcome = outcome.await;
        (outcome, answer)
    });
    begun.notified().await;
    reading
}

fn terminate(router: &Process) {
    let id = router.id().and_then(|id| i32::try_from(id).ok());
    let id = id.and_then(Pid::from_raw).expect("the process is running");
    kill_process(id, Signal::TERM).expect("a signal");
}

async fn expect_complete_response_after_termination(tokens: u32) {
    let mut system = system().await;
    let reading = start_reading(&system.router, tokens).await;

    terminate(&system.router);
    let (outcome, answer) = reading.await.expect("the task does not panic");
    let code = system.router.wait().await.expect("the process exits");

    expect_that!(outcome, ok(anything()));
    let chain = TokenChain::new("catkin", "1", "menu", 7);
    let tokens = usize::try_from(tokens).expect("small");
    expect_that!(answer.check(chain, tokens), ok(eq(&())));
    expect_that!(code, some(eq(0)));
}

/// A router receives SIGTERM while it relays a response. The caller must get the complete response,
/// and only then does the process exit, with code 0.
#[gtest]
#[tokio::test]
async fn shutdown_waits_for_a_running_response() {
    expect_complete_response_after_termination(100).await;
}

/// Guards against the shutdown limit of the HTTP library, which ends a server about 30 s after a
/// signal regardless of open connections, and would truncate responses that take longer.
#[gtest]
#[tokio::test]
#[ignore = "takes 50 s"]
async fn shutdown_waits_for_a_response_longer_than_the_http_library_limit() {
    expect_complete_response_after_termination(9000).await;
}

/// A second SIGTERM ends the process at once with exit code 1, and its caller can detect that the
/// response is truncated.
#[gtest]
#[tokio::test]
async fn second_signal_ends_the_process_at_once() {
    let mut system = system().await;
    let reading = start_reading(&system.router, 9000).await;

    terminate(&system.router);
    // A signal that arrives before the first one is handled merges with it, so send it repeatedly.
    while system.router.id().is_some() && !reading.is_finished() {
        terminate(&system.router);
        tokio::task::yield_now().await;
    }
    let (outcome, answer) = reading.await.expect("the task does not panic");
    let code = system.router.wait().await.expect("the process exits");

    expect_that!(outcome, err(anything()));
    expect_that!(answer.finish, none());
    expect_that!(code, some(eq(1)));
}
