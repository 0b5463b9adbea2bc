//! Roll-out of a model version while callers are served.

mod router_support;

use catkin_border::{bundle::RecoveryPolicy, caller::CompletionRequest};
use catkin_standins::{
    Answer, CallerClient, DEMO_KEY, EngineServer, EngineSettings, PlatformServer, TokenChain,
    WeightStore, demo_bundle,
};
use catkinward::Settings;
use googletest::prelude::*;
use router_support::{Router, free_address};
use std::{num::NonZeroU32, time::Duration};

const ENGINES: usize = 3;

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

async fn engines(weight_store: &WeightStore) -> Vec<EngineServer> {
    let settings = EngineSettings {
        step: Duration::from_millis(5),
        load_time: Duration::from_millis(300),
        weight_store: Some(weight_store.clone()),
        ..EngineSettings::default()
    };
    let starts = (0..ENGINES).map(|_| EngineServer::start(free_address(), settings.clone()));
    futures::future::try_join_all(starts)
        .await
        .expect("engines start")
}

fn bundle(engines: &[EngineServer], version: &str) -> String {
    let addresses = engines.iter().map(EngineServer::address);
    let addresses = addresses.collect::<Vec<_>>();
    let mut bundle = demo_bundle(&addresses, RecoveryPolicy::LeastWait);
    let model = bundle.services[0].model.as_mut().expect("a model entry");
    version.clone_into(&mut model.version);
    serde_json::to_string(&bundle).expect("JSON")
}

async fn generate(router: &Router, max_tokens: u32) -> Answer {
    let caller = CallerClient::new(router.address, DEMO_KEY).expect("a client is created");
    let mut answer = Answer::default();
    caller
        .stream(&request(max_tokens), None, &mut answer, |_| {})
        .await
        .expect("a complete response");
    answer
}

/// The model version that computed a complete response; `None` if neither or both versions did.
fn version_of(answer: &Answer, max_tokens: usize) -> Option<&'static str> {
    let is_of = |version: &&str| {
        let chain = TokenChain::new("catkin", version, "menu reprint", 3);
        answer.check(chain, max_tokens).is_ok()
    };
    ["1", "2"].into_iter().find(is_of)
}

fn engines_with_version(engines: &[EngineServer], version: &str) -> usize {
    let has_version = |engine: &&EngineServer| {
        let models = engine.loaded_models();
        models.iter().any(|model| model.version == version)
    };
    engines.iter().filter(has_version).count()
}

/// A bundle with a new model version comes into force, and engines load it one after another.
/// Meanwhile callers must be served by engines that are ready, and a generation that started on the
/// old version must finish on it.
#[gtest]
#[tokio::test]
async fn callers_are_served_throughout_a_rollout() {
    let weight_store = WeightStore::default();
    let engines = engines(&weight_store).await;
    let faults = serde_json::from_str("{}").expect("all fields are optional");
    let platform = PlatformServer::start(free_address(), faults).await;
    let settings = Settings {
        platform: Some(platform.expect("the mock platform starts").address()),
        ..Settings::default()
    };
    let addresses = engines.iter().map(EngineServer::address);
    let router = Router::start_with(settings, &addresses.collect::<Vec<_>>(), &[]).await;
    let first = generate(&router, 5).await;

    let (long, versions) = tokio::join!(generate(&router, 300), async {
        router
            .node
            .activate_bundle(2, &bundle(&engines, "2"))
            .expect("a valid bundle");
        let mut versions = Vec::new();
        while engines_with_version(&engines, "2") < ENGINES {
            versions.push(version_of(&generate(&router, 5).await, 5));
        }
        versions
    });
    // The router learns that the last engine has loaded the model from that engine's next report.
    let switched = async { while version_of(&generate(&router, 5).await, 5) != Some("2") {} };
    let switched = tokio::time::timeout(Duration::from_secs(30), switched).await;

    expect_that!(version_of(&first, 5), some(eq("1")));
    expect_that!(version_of(&long, 300), some(eq("1")));
    expect_that!(versions, each(some(anything())));
    expect_that!(versions, contains(some(eq(&"1"))));
    expect_that!(switched, ok(anything()));
    expect_that!(weight_store.max_concurrent_loads(), eq(1));
}
