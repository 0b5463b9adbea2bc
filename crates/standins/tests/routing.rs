//! Where a router sends work: a node in this process before stand-in engines.

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

/// Bound of an answer; it ends a test whose callers would wait for ever.
const HANG_BOUND: Duration = Duration::from_secs(10);

struct Site {
    engines: Vec<EngineServer>,
    node: Arc<Node>,
    router: SocketAddr,
}

fn free_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn site(engines: usize, recovery: RecoveryPolicy, load_lag: Duration) -> Site {
    let servers = engine_servers(engines, load_lag).await;
    site_before(servers, recovery, Settings::default()).await
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

async fn site_before(
    servers: Vec<EngineServer>,
    recovery: RecoveryPolicy,
    settings: Settings,
) -> Site {
    let addresses = servers.iter().map(EngineServer::address);
    let bundle = demo_bundle(&addresses.collect::<Vec<_>>(), recovery);
    let listener = Listener::bind(free_address())
        .await
        .expect("a free address");
    let router = listener.address().expect("it listens");
    let node = Node::start(settings).expect("valid settings");
    let json = serde_json::to_string(&bundle).expect("JSON");
    node.put_bundle_in_force(1, &json).expect("a valid bundle");
    let serving = node.clone();
    tokio::spawn(async move { serving.serve(listener).await });
    Site {
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

impl Site {
    async fn answer(&self, prompt: &str) -> Answer {
        let caller = CallerClient::new(self.router, DEMO_KEY).expect("a client");
        let mut answer = Answer::default();
        let request = request(prompt);
        let streamed = caller.stream(&request, None, &mut answer, |_| {});
        // What has come by then is judged; an answer that is not whole fails the test.
        if let Ok(outcome) = tokio::time::timeout(HANG_BOUND, streamed).await {
            outcome.expect("an answer or a problem");
        }
        answer
    }

    /// Answers to `menu 0`, `menu 1` and so on, asked for at once.
    async fn menus(&self, count: usize) -> Vec<Answer> {
        let prompts = (0..count).map(|n| format!("menu {n}")).collect::<Vec<_>>();
        futures::future::join_all(prompts.iter().map(|prompt| self.answer(prompt))).await
    }

    fn dead(&self) -> usize {
        let dead = |engine: &&EngineServer| engine.died().now_or_never().is_some();
        self.engines.iter().filter(dead).count()
    }
}

fn whole_menus(answers: &[Answer]) -> usize {
    let whole = |(n, answer): &(usize, &Answer)| {
        let chain = TokenChain::new("catkin", "1", &format!("menu {n}"), 3);
        answer.check(chain, TOKENS as usize).is_ok()
    };
    answers.iter().enumerate().filter(whole).count()
}

async fn poison_costs_two_engines(recovery: RecoveryPolicy) {
    let site = site(5, recovery, Duration::ZERO).await;
    let poison = format!("{POISON} artwork");

    let (culprit, menus) = futures::join!(site.answer(&poison), site.menus(12));
    let again = site.answer(&poison).await;

    let outcome = |answer: &Answer| {
        answer
            .problem
            .as_ref()
            .map(|p| (p.type_.clone(), p.outcome))
    };
    expect_that!(whole_menus(&menus), eq(12));
    expect_that!(site.dead(), eq(2));
    expect_that!(
        outcome(&culprit),
        some(eq(&("catkinward:poisoned".into(), Outcome::Failed)))
    );
    expect_that!(
        outcome(&again),
        some(eq(&("catkinward:poisoned_not_run".into(), Outcome::NotRun)))
    );
}

/// A request crashes each engine that runs it, beside a dozen other generations. Its caller is
/// told after the second engine, and told at once when it sends the request again; everybody else
/// reads a whole answer.
#[gtest]
#[tokio::test]
async fn poison_costs_two_engines_with_least_wait() {
    poison_costs_two_engines(RecoveryPolicy::LeastWait).await;
}

/// The same with the policy that probes the old engine first.
#[gtest]
#[tokio::test]
async fn poison_costs_two_engines_with_least_work() {
    poison_costs_two_engines(RecoveryPolicy::LeastWork).await;
}

/// An engine is leaving, and its load reports lag behind and do not say so. It refuses what it
/// gets; callers notice nothing, and the router sends it no more.
#[gtest]
#[tokio::test]
async fn refusal_of_a_leaving_engine_is_enough() {
    let site = site(2, RecoveryPolicy::LeastWait, Duration::from_secs(60)).await;
    let before = site.menus(1).await;
    let work = site.engines[0].work();

    site.engines[0].leave(true);
    let answers = site.menus(16).await;

    expect_that!(whole_menus(&before), eq(1));
    expect_that!(whole_menus(&answers), eq(16));
    expect_that!(site.engines[0].work(), eq(work));
    let deltas = site.node.upstreams.leaving_deltas();
    expect_that!(
        deltas.iter().map(|(id, _)| id.as_str()).collect::<Vec<_>>(),
        elements_are![eq(&"engine-0")]
    );
}

/// Another VM has heard that an engine is leaving, and nothing else says so here.
#[gtest]
#[tokio::test]
async fn word_of_a_peer_ends_new_work() {
    let site = site(2, RecoveryPolicy::LeastWait, Duration::ZERO).await;
    site.menus(1).await;
    let work = site.engines[1].work();
    let id = "engine-1".parse().expect("a name");
    let incarnation = site.node.upstreams.incarnation(&id).expect("it was heard");

    let source = catkin_decisions::LeavingSource::Peer;
    site.node.upstreams.record_leaving(&id, incarnation, source);
    let answers = site.menus(12).await;

    expect_that!(whole_menus(&answers), eq(12));
    expect_that!(site.engines[1].work(), eq(work));
}

/// Only the platform's list knows that an engine is leaving. Without the list the engine would get
/// work until its VM is taken away.
#[gtest]
#[tokio::test]
async fn word_of_the_platform_ends_new_work() {
    let platform = PlatformServer::start(free_address(), PlatformFaults::default());
    let platform = platform.await.expect("a free address");
    let settings = Settings {
        platform: Some(platform.address()),
        ..Settings::default()
    };
    let servers = engine_servers(2, Duration::ZERO).await;
    let site = site_before(servers, RecoveryPolicy::LeastWait, settings).await;
    site.menus(1).await;

    list_as_leaving(&platform, "engine-1", site.engines[1].address()).await;
    let noted = async {
        while site.node.upstreams.leaving().is_empty() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(HANG_BOUND, noted)
        .await
        .expect("the list is read");
    let work = site.engines[1].work();
    let answers = site.menus(12).await;

    expect_that!(whole_menus(&answers), eq(12));
    expect_that!(site.engines[1].work(), eq(work));
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

/// The caller of a poison request comes to another VM when the first one has refused it. VMs that
/// did not tell each other would lose two engines each.
#[gtest]
#[tokio::test]
async fn another_vm_knows_a_poison_request() {
    let servers = engine_servers(5, Duration::ZERO).await;
    let first = site_before(servers.clone(), RecoveryPolicy::LeastWait, peer(1, vec![])).await;
    let known = vec![first.peers().own().clone()];
    let second = site_before(servers, RecoveryPolicy::LeastWait, peer(2, known)).await;
    let poison = format!("{POISON} artwork");

    first.answer(&poison).await;
    tokio::time::timeout(HANG_BOUND, second.hears_marks(&first))
        .await
        .expect("the marks spread");
    let again = second.answer(&poison).await;

    expect_that!(first.dead(), eq(2));
    expect_that!(
        again.problem.map(|p| p.type_),
        some(eq("catkinward:poisoned_not_run"))
    );
}

fn peer(n: usize, known: Vec<PeerEntry>) -> Settings {
    Settings {
        vm: format!("vm-{n}").parse().expect("a name"),
        peer_listen: Some(free_address()),
        peer_key: PeerKey::new("shared by both"),
        peers: known,
        ..Settings::default()
    }
}

impl Site {
    fn peers(&self) -> &Arc<Peers> {
        self.node.peers.as_ref().expect("it has peers")
    }

    /// Waits until this VM has all marks of the other.
    async fn hears_marks(&self, other: &Self) {
        let digests = |site: &Self| {
            let marks = site.node.upstreams.poison_records();
            marks
                .iter()
                .map(|m| (m.digest, m.crash))
                .collect::<Vec<_>>()
        };
        while digests(self) != digests(other) {
            self.peers().exchange_now();
            tokio::task::yield_now().await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}
