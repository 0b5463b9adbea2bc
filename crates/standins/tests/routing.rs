//! Selection of engines by a router: a node in this process in front of mock engines.

use catkin_border::{
    bundle::RecoveryPolicy,
    caller::{CompletionRequest, Outcome},
    platform::{PlatformFaults, VmEntry, VmKind, VmList, VmState},
};
use catkin_decisions::PeerEntry;
use catkin_standins::{
    Answer, CallerClient, DEMO_KEY, EngineServer, EngineSettings, POISON, PlatformServer,
    TokenChain, demo_bundle,
};
use catkinward::{
    Node, PeerKey, Peers, Settings,
    http_client::{Connections, HttpCall, json_bytes},
    http_server::Listener,
};
use futures::FutureExt as _;
use googletest::prelude::*;
use std::{net::SocketAddr, num::NonZeroU32, sync::Arc, time::Duration};

const TOKENS: u32 = 100;

/// Timeout of an answer, which ends a test whose callers would otherwise wait forever.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

struct TestSystem {
    engines: Vec<EngineServer>,
    node: Arc<Node>,
    router: SocketAddr,
}

fn free_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn system(engines: usize, recovery: RecoveryPolicy, load_lag: Duration) -> TestSystem {
    let servers = engine_servers(engines, load_lag).await;
    start_system(servers, recovery, Settings::default()).await
}

async fn engine_servers(engines: usize, load_lag: Duration) -> Vec<EngineServer> {
    let mut servers = Vec::new();
    for seed in 0..engines {
        let settings = EngineSettings {
            seed: seed.try_into().expect("few"),
            step: Duration::from_millis(3),
            load_lag,
            ..EngineSettings::default()
        };
        let server = EngineServer::start(free_address(), settings).await;
        servers.push(server.expect("a free address"));
    }
    servers
}

async fn start_system(
    servers: Vec<EngineServer>,
    recovery: RecoveryPolicy,
    settings: Settings,
) -> TestSystem {
    let addresses = servers.iter().map(EngineServer::address);
    let bundle = demo_bundle(&addresses.collect::<Vec<_>>(), recovery);
    let listener = Listener::bind(free_address())
        .await
        .expect("a free address");
    let router = listener.address().expect("it listens");
    let node = Node::start(settings).expect("valid settings");
    let json = serde_json::to_string(&bundle).expect("JSON");
    node.activate_bundle(1, &json).expect("a valid bundle");
    let serving = node.clone();
    tokio::spawn(async move { serving.serve(listener).await });
    TestSystem {
        engines: servers,
        node,
        router,
    }
}

fn request(prompt: &str) -> CompletionRequest {
    CompletionRequest {
        max_tokens: NonZeroU32::new(TOKENS).expect("not zero"),
        model: "ticket-model".into(),
        prompt: prompt.into(),
        seed: Some(3),
        stop: Vec::new(),
        stream: true,
        temperature: None,
    }
}

impl TestSystem {
    async fn answer(&self, prompt: &str) -> Answer {
        let caller = CallerClient::new(self.router, DEMO_KEY).expect("a client");
        let mut answer = Answer::default();
        let request = request(prompt);
        let streamed = caller.stream(&request, None, &mut answer, |_| {});
        // On a timeout the received part is checked; an incomplete answer fails the test.
        if let Ok(outcome) = tokio::time::timeout(ANSWER_TIMEOUT, streamed).await {
            outcome.expect("an answer or a problem");
        }
        answer
    }

    /// Requests answers to the prompts `menu 0`, `menu 1` and so on concurrently.
    async fn menus(&self, count: usize) -> Vec<Answer> {
        let prompts = (0..count).map(|n| format!("menu {n}")).collect::<Vec<_>>();
        futures::future::join_all(prompts.iter().map(|prompt| self.answer(prompt))).await
    }

    fn dead_engines(&self) -> usize {
        let is_dead = |engine: &&EngineServer| engine.wait_killed().now_or_never().is_some();
        self.engines.iter().filter(is_dead).count()
    }
}

fn complete_menus(answers: &[Answer]) -> usize {
    let is_complete = |(n, answer): &(usize, &Answer)| {
        let chain = TokenChain::new("catkin", "1", &format!("menu {n}"), 3);
        answer.check(chain, TOKENS as usize).is_ok()
    };
    answers.iter().enumerate().filter(is_complete).count()
}

async fn poison_costs_two_engines(recovery: RecoveryPolicy) {
    let system = system(5, recovery, Duration::ZERO).await;
    let poison = format!("{POISON} artwork");

    let (poison_answer, menus) = futures::join!(system.answer(&poison), system.menus(12));
    let retried = system.answer(&poison).await;

    let outcome = |answer: &Answer| {
        answer
            .problem
            .as_ref()
            .map(|p| (p.type_.clone(), p.outcome))
    };
    expect_that!(complete_menus(&menus), eq(12));
    expect_that!(system.dead_engines(), eq(2));
    expect_that!(
        outcome(&poison_answer),
        some(eq(&("catkinward:poisoned".into(), Outcome::Failed)))
    );
    expect_that!(
        outcome(&retried),
        some(eq(&("catkinward:poisoned_not_run".into(), Outcome::NotRun)))
    );
}

/// A request crashes each engine that runs it, next to twelve other generations. Its caller gets an
/// error after the second crash, and immediately when it retries. All other callers receive
/// complete answers.
#[gtest]
#[tokio::test]
async fn poison_costs_two_engines_with_least_wait() {
    poison_costs_two_engines(RecoveryPolicy::LeastWait).await;
}

/// The same with the recovery policy that probes the previous engine first.
#[gtest]
#[tokio::test]
async fn poison_costs_two_engines_with_least_work() {
    poison_costs_two_engines(RecoveryPolicy::LeastWork).await;
}

/// An engine is leaving, but its load reports are out of date and do not say so. It refuses new
/// requests; callers are not affected, and the router sends it no further ones.
#[gtest]
#[tokio::test]
async fn refusal_of_a_leaving_engine_stops_new_work() {
    let system = system(2, RecoveryPolicy::LeastWait, Duration::from_secs(60)).await;
    let before = system.menus(1).await;
    let work = system.engines[0].token_counts();

    system.engines[0].leave(true);
    let answers = system.menus(16).await;

    expect_that!(complete_menus(&before), eq(1));
    expect_that!(complete_menus(&answers), eq(16));
    expect_that!(system.engines[0].token_counts(), eq(work));
    let deltas = system.node.upstreams.leaving_deltas();
    expect_that!(
        deltas.iter().map(|(id, _)| id.as_str()).collect::<Vec<_>>(),
        elements_are![eq(&"engine-0")]
    );
}

/// An update from a peer is the only source that reports an engine as leaving.
#[gtest]
#[tokio::test]
async fn leaving_update_from_a_peer_stops_new_work() {
    let system = system(2, RecoveryPolicy::LeastWait, Duration::ZERO).await;
    system.menus(1).await;
    let work = system.engines[1].token_counts();
    let id = "engine-1".parse().expect("a name");
    let incarnation = system
        .node
        .upstreams
        .incarnation(&id)
        .expect("the engine has reported");

    let source = catkin_decisions::LeavingSource::Peer;
    system
        .node
        .upstreams
        .record_leaving(&id, incarnation, source);
    let answers = system.menus(12).await;

    expect_that!(complete_menus(&answers), eq(12));
    expect_that!(system.engines[1].token_counts(), eq(work));
}

/// Only the platform's VM list shows that an engine is leaving. A router that ignores the list would
/// send it work until its VM is removed.
#[gtest]
#[tokio::test]
async fn leaving_state_in_the_vm_list_stops_new_work() {
    let platform = PlatformServer::start(free_address(), PlatformFaults::default());
    let platform = platform.await.expect("a free address");
    let settings = Settings {
        platform: Some(platform.address()),
        ..Settings::default()
    };
    let servers = engine_servers(2, Duration::ZERO).await;
    let system = start_system(servers, RecoveryPolicy::LeastWait, settings).await;
    system.menus(1).await;

    list_as_leaving(&platform, "engine-1", system.engines[1].address()).await;
    let marked_leaving = async {
        while system.node.upstreams.leaving().is_empty() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(ANSWER_TIMEOUT, marked_leaving)
        .await
        .expect("the list is read");
    let work = system.engines[1].token_counts();
    let answers = system.menus(12).await;

    expect_that!(complete_menus(&answers), eq(12));
    expect_that!(system.engines[1].token_counts(), eq(work));
}

async fn list_as_leaving(platform: &PlatformServer, id: &str, address: SocketAddr) {
    let list = VmList {
        vms: vec![VmEntry {
            address: address.to_string(),
            availability_zone: "zone-1".into(),
            id: id.into(),
            kind: VmKind::Upstream,
            operator_address: None,
            state: VmState::Leaving,
        }],
    };
    let call = HttpCall {
        address: platform.address(),
        method: http::Method::PUT,
        path: "/v1/vms".into(),
        body: json_bytes(&list),
        ..HttpCall::default()
    };
    let connections = Connections::new().expect("a client");
    let (status, _) = connections.call_complete(call).await.expect("an answer");
    assert_that!(status.is_success(), eq(true));
}

/// The caller of a poison request retries at another VM after the first one has refused it. Without
/// shared poison records, each VM would lose two engines.
#[gtest]
#[tokio::test]
async fn poison_request_is_refused_by_another_vm() {
    let servers = engine_servers(5, Duration::ZERO).await;
    let first = start_system(servers.clone(), RecoveryPolicy::LeastWait, peer(1, vec![])).await;
    let initial_peers = vec![first.peers().own().clone()];
    let second = start_system(servers, RecoveryPolicy::LeastWait, peer(2, initial_peers)).await;
    let poison = format!("{POISON} artwork");

    first.answer(&poison).await;
    tokio::time::timeout(ANSWER_TIMEOUT, second.wait_for_poison_records(&first))
        .await
        .expect("the poison records spread");
    let retried = second.answer(&poison).await;

    expect_that!(first.dead_engines(), eq(2));
    expect_that!(
        retried.problem.map(|p| p.type_),
        some(eq("catkinward:poisoned_not_run"))
    );
}

fn peer(n: usize, initial_peers: Vec<PeerEntry>) -> Settings {
    Settings {
        vm: format!("vm-{n}").parse().expect("a name"),
        peer_listen: Some(free_address()),
        peer_key: PeerKey::new("shared by both"),
        peers: initial_peers,
        ..Settings::default()
    }
}

impl TestSystem {
    fn peers(&self) -> &Arc<Peers> {
        self.node.peers.as_ref().expect("it has peers")
    }

    /// Waits until this VM has all poison records of the other.
    async fn wait_for_poison_records(&self, other: &Self) {
        let digests = |system: &Self| {
            let records = system.node.upstreams.poison_records();
            records
                .iter()
                .map(|record| (record.digest, record.crash))
                .collect::<Vec<_>>()
        };
        while digests(self) != digests(other) {
            self.peers().exchange_now();
            tokio::task::yield_now().await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}
