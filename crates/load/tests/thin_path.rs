//! End-to-end test with real processes: a caller, a router and two engines.

use catkin_border::{bundle::RecoveryPolicy, caller::CompletionRequest};
use catkin_load::{Process, Role};
use catkin_standins::{Answer, CallerClient, DEMO_KEY, TokenChain, demo_bundle, first_busy};
use googletest::prelude::*;
use std::{num::NonZeroU32, path::Path, sync::Arc};
use tokio::sync::Notify;

const TOKENS: u32 = 120;

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_catkin-load"))
}

async fn engine(seed: &str) -> Process {
    let args = ["engine", "--seed", seed, "--step-us", "5000"];
    Process::start(program(), Role::Standin, &args)
        .await
        .expect("an engine starts")
}

async fn router(engines: &[Process], recovery: RecoveryPolicy) -> Process {
    let addresses = engines.iter().map(Process::address).collect::<Vec<_>>();
    let bundle = serde_json::to_string(&demo_bundle(&addresses, recovery)).expect("JSON");
    let file = std::env::temp_dir().join(format!("catkin-{:x}.json", rand::random::<u64>()));
    std::fs::write(&file, bundle).expect("a temporary file is written");
    let path = file.to_str().expect("a UTF-8 path");
    let args = [
        "--listen",
        "127.0.0.1:0",
        "--bundle-file",
        path,
        "--log",
        "error",
    ];
    let router = Process::start(program(), Role::Router, &args)
        .await
        .expect("a router starts");
    std::fs::remove_file(file).expect("the temporary file exists");
    router
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

fn chain() -> TokenChain {
    TokenChain::new("catkin", "1", "menu reprint", 3)
}

async fn answer_after_engine_kill(recovery: RecoveryPolicy) -> Answer {
    let mut engines = vec![engine("1").await, engine("2").await];
    let router = router(&engines, recovery).await;
    let caller = CallerClient::new(router.address(), DEMO_KEY).expect("a client is created");
    let midway = Arc::new(Notify::new());
    let reached = midway.clone();
    let reading = tokio::spawn(async move {
        let mut answer = Answer::default();
        let outcome = caller
            .stream(&request(), None, &mut answer, |answer| {
                if answer.ids.len() >= 40 {
                    reached.notify_one();
                }
            })
            .await;
        outcome.map(|()| answer)
    });
    midway.notified().await;
    let addresses = engines.iter().map(Process::address).collect::<Vec<_>>();
    let busy = first_busy(&addresses)
        .await
        .expect("engines report their load");
    let busy = busy.expect("an engine that runs the request");
    engines[busy].kill().await.expect("the engine runs");
    reading
        .await
        .expect("the task does not panic")
        .expect("a complete response")
}

/// An engine process is killed in the middle of a generation. The caller must receive every token
/// exactly once, all of one chain.
#[gtest]
#[tokio::test]
async fn killed_engine_only_delays_the_stream_with_least_wait() {
    let answer = answer_after_engine_kill(RecoveryPolicy::LeastWait).await;

    expect_that!(answer.check(chain(), 120), ok(eq(&())));
    expect_that!(answer.usage.expect("a usage record").attempts, eq(2));
}

/// As above, with the policy that probes the old engine before it starts on another.
#[gtest]
#[tokio::test]
async fn killed_engine_only_delays_the_stream_with_least_work() {
    let answer = answer_after_engine_kill(RecoveryPolicy::LeastWork).await;

    expect_that!(answer.check(chain(), 120), ok(eq(&())));
    expect_that!(answer.usage.expect("a usage record").attempts, eq(2));
}
