//! Admission of generations under load.

mod router_support;

use catkin_border::caller::CompletionRequest;
use catkin_decisions::{Incarnation, PoisonRecord, RequestDigest, UpstreamCrashId};
use catkin_standins::{Answer, CallerClient, DEMO_KEY, EngineServer, EngineSettings, TokenChain};
use googletest::prelude::*;
use router_support::{Router, free_address};
use std::{num::NonZeroU32, sync::Arc, time::Duration};
use tokio::{sync::Notify, task::JoinHandle};

async fn engine(capacity: usize) -> EngineServer {
    let settings = EngineSettings {
        capacity,
        step: Duration::from_millis(5),
        ..EngineSettings::default()
    };
    EngineServer::start(free_address(), settings)
        .await
        .expect("an engine starts")
}

fn request(max_tokens: u32) -> CompletionRequest {
    CompletionRequest {
        max_tokens: NonZeroU32::new(max_tokens).expect("not zero"),
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

async fn complete_response(caller: &CallerClient, request: &CompletionRequest) -> Answer {
    let mut answer = Answer::default();
    caller
        .stream(request, None, &mut answer, |_| {})
        .await
        .expect("a complete response or a problem");
    answer
}

/// Guards against a quick generation that waits behind long ones: 20 generations of 100,000 tokens
/// compete for an engine with five slots. In a single queue the quick one would wait eight minutes,
/// until one of them ends.
#[gtest]
#[tokio::test]
async fn quick_generation_gets_a_slot_beside_long_ones() {
    let engine = engine(5).await;
    let router = Router::start(&[engine.address()], &[]).await;
    let caller = CallerClient::new(router.address, DEMO_KEY).expect("a client is created");
    complete_response(&caller, &request(4)).await;
    let started = Arc::new(Notify::new());
    let long = (0..20).map(|_| {
        let (caller, started) = (caller.clone(), started.clone());
        tokio::spawn(async move {
            let mut answer = Answer::default();
            let on_token = |_: &Answer| started.notify_one();
            let finished = caller
                .stream(&request(100_000), None, &mut answer, on_token)
                .await;
            finished.map(|()| answer)
        })
    });
    let long = long.collect::<Vec<_>>();
    let service = "ticket-model".parse().expect("a valid name");
    started.notified().await;
    while router.node.admission.queued_count(&service) < 16 {
        tokio::task::yield_now().await;
    }

    let quick = complete_response(&caller, &request(8)).await;

    expect_that!(quick.check(chain(), 8), ok(eq(&())));
    expect_that!(long.iter().any(JoinHandle::is_finished), eq(false));
    expect_that!(router.node.admission.queued_count(&service), eq(16));
    for generation in long {
        generation.abort();
    }
}

/// The only slot of the engine is occupied for minutes. A generation with a shorter deadline must be
/// refused at once, by HTTP status and not in the middle of a stream, and must not reach an engine.
#[gtest]
#[tokio::test]
async fn generation_that_cannot_start_in_time_is_refused_at_once() {
    let engine = engine(1).await;
    let router = Router::start(&[engine.address()], &[]).await;
    let caller = CallerClient::new(router.address, DEMO_KEY).expect("a client is created");
    complete_response(&caller, &request(100)).await;
    let started = Arc::new(Notify::new());
    let long = tokio::spawn({
        let (caller, started) = (caller.clone(), started.clone());
        async move {
            let mut answer = Answer::default();
            let on_token = |_: &Answer| started.notify_one();
            caller
                .stream(&request(100_000), None, &mut answer, on_token)
                .await
        }
    });
    started.notified().await;
    let (decoded, prefilled) = engine.token_counts();

    let reply = router.complete_within(&request(100), 300).await;

    let problem = reply.problem();
    expect_that!(problem.type_, eq("catkinward:overloaded"));
    expect_that!(reply.outcome(), eq("not_run"));
    expect_that!(problem.retry_after_ms, some(gt(0)));
    expect_that!(reply.headers.contains_key("retry-after"), eq(true));
    expect_that!(engine.token_counts().0, ge(decoded));
    expect_that!(engine.token_counts().1, eq(prefilled));
    long.abort();
}

/// A request crashes two engines at other VMs while the same request is queued here. It must not
/// stay at the head of its team's queue until its deadline, and must be reported as not run.
#[gtest]
#[tokio::test]
async fn queued_generation_that_turns_out_poisoned_is_refused() {
    let engine = engine(1).await;
    let router = Router::start(&[engine.address()], &[]).await;
    let caller = CallerClient::new(router.address, DEMO_KEY).expect("a client is created");
    let started = Arc::new(Notify::new());
    let long = tokio::spawn({
        let (caller, started) = (caller.clone(), started.clone());
        async move {
            let mut answer = Answer::default();
            let on_token = |_: &Answer| started.notify_one();
            caller
                .stream(&request(100_000), None, &mut answer, on_token)
                .await
        }
    });
    started.notified().await;
    let service = "ticket-model".parse().expect("a valid name");
    let poison = request(500);
    let queued = tokio::spawn({
        let (caller, poison) = (caller.clone(), poison.clone());
        async move { complete_response(&caller, &poison).await }
    });
    while router.node.admission.queued_count(&service) < 1 {
        tokio::task::yield_now().await;
    }

    let peer = "vm-2".parse().expect("a valid name");
    router
        .node
        .upstreams
        .merge_poison(&two_crashes(&poison), &peer);

    // Without the refusal the request would wait for an hour.
    let answer = tokio::time::timeout(Duration::from_secs(20), queued).await;
    let answer = answer
        .expect("a response")
        .expect("the task does not panic");
    let problem = answer.problem.expect("a problem body");
    expect_that!(problem.type_, eq("catkinward:poisoned_not_run"));
    expect_that!(problem.outcome.to_string(), eq("not_run"));
    expect_that!(router.node.admission.queued_count(&service), eq(0));
    long.abort();
}

fn two_crashes(request: &CompletionRequest) -> [PoisonRecord; 2] {
    let team = "counter".parse().expect("a valid name");
    let body = serde_json::to_vec(request).expect("JSON");
    ["engine-8", "engine-9"].map(|upstream| PoisonRecord {
        digest: RequestDigest::of(&team, &body),
        crash: UpstreamCrashId::of(&upstream.parse().expect("a valid id"), Incarnation(1)),
        cleared: false,
        age_ms: 10,
    })
}
