//! Enforcement of a team's rate limit by the slices of nodes in this process.

use catkin_border::{
    bundle::RecoveryPolicy,
    caller::{CompletionRequest, Outcome},
};
use catkin_decisions::{LimitKind, PeerEntry, SliceRequest, VmId};
use catkin_standins::{Answer, CallerClient, DEMO_KEY, EngineServer, EngineSettings, demo_bundle};
use catkinward::{Node, PeerKey, Settings, http_server::Listener};
use googletest::prelude::*;
use std::{
    net::SocketAddr,
    num::NonZeroU32,
    sync::Arc,
    time::{Duration, Instant},
};

const TOKENS: u32 = 10;
const LIMIT: u32 = 4;

struct TestSystem {
    engine: EngineServer,
    node: Arc<Node>,
    router: SocketAddr,
}

fn free_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn system(entry_vms: u32) -> TestSystem {
    let settings = Settings {
        entry_vms,
        ..Settings::default()
    };
    system_with(settings).await
}

async fn system_with(settings: Settings) -> TestSystem {
    let engine = EngineServer::start(free_address(), EngineSettings::default())
        .await
        .expect("a free address");
    let mut bundle = demo_bundle(&[engine.address()], RecoveryPolicy::LeastWait);
    bundle.teams[0].requests_per_second = NonZeroU32::new(LIMIT);
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
        engine,
        node,
        router,
    }
}

impl TestSystem {
    async fn answer(&self) -> Answer {
        let request = CompletionRequest {
            max_tokens: NonZeroU32::new(TOKENS).expect("not zero"),
            model: "ticket-model".into(),
            prompt: "menu".into(),
            seed: Some(3),
            stop: Vec::new(),
            stream: true,
            temperature: None,
        };
        let caller = CallerClient::new(self.router, DEMO_KEY).expect("a client");
        let mut answer = Answer::default();
        let streamed = caller.stream(&request, None, &mut answer, |_| {});
        streamed.await.expect("an answer or a problem");
        answer
    }
}

fn vms() -> Vec<VmId> {
    vec![
        "vm-1".parse().expect("a name"),
        "vm-2".parse().expect("a name"),
    ]
}

/// A team sends far more requests than its limit. The excess is refused as not run with a retry delay
/// and does not reach the engines.
#[gtest]
#[tokio::test]
async fn team_gets_its_share_and_refusals_with_a_retry_delay() {
    let system = system(2).await;
    let start = Instant::now();

    let answers = futures::future::join_all((0..40).map(|_| system.answer())).await;

    let (refused, complete): (Vec<_>, Vec<_>) = answers.iter().partition(|a| a.problem.is_some());
    let refused = refused.iter().filter_map(|a| a.problem.as_ref());
    let refused = refused.collect::<Vec<_>>();
    // A burst of one second's share, plus the share of the elapsed time.
    let share = u64::from(LIMIT / 2);
    let max_complete = share * (2 + start.elapsed().as_secs());
    let complete = u64::try_from(complete.len()).expect("few");
    expect_that!(complete, all![ge(share), le(max_complete)]);
    expect_that!(
        system.engine.token_counts().0,
        eq(complete * u64::from(TOKENS))
    );
    expect_that!(
        refused
            .iter()
            .map(|p| (p.type_.as_str(), p.outcome))
            .collect::<Vec<_>>(),
        each(eq(&("catkinward:team_limit", Outcome::NotRun)))
    );
    expect_that!(
        refused.iter().map(|p| p.retry_after_ms).collect::<Vec<_>>(),
        each(some(gt(&0)))
    );
}

/// Only the allocator of a limit grants slices of it, and only to VMs in its list of live VMs.
#[gtest]
#[tokio::test]
async fn only_the_allocator_grants_slices() {
    let system = system(2).await;
    let request = |team: &str, vm: &str| SliceRequest {
        team: team.parse().expect("a name"),
        kind: LimitKind::Requests,
        vm: vm.parse().expect("a name"),
        demand: 3.0,
    };
    system.answer().await;

    let allocator = system.node.limits.slice_requests(&vms())[0]
        .allocator
        .clone();
    let only_vm = &vms()[..1];
    let granted = system
        .node
        .limits
        .grant(&request("counter", "vm-1"), only_vm, 1.0);
    let for_unlisted_vm = system
        .node
        .limits
        .grant(&request("counter", "vm-9"), only_vm, 1.0);
    let for_unknown_team = system
        .node
        .limits
        .grant(&request("nobody", "vm-1"), only_vm, 1.0);
    let from_other_vm = system
        .node
        .limits
        .grant(&request("counter", "vm-1"), &vms()[1..], 1.0);

    expect_that!(vms(), contains(eq(&allocator)));
    expect_that!(granted.map(|grant| grant.rate), some(near(1.0, 0.001)));
    expect_that!(
        [for_unlisted_vm, for_unknown_team, from_other_vm],
        each(none())
    );
}

/// A team calls through only one of two VMs. With equal slices, half of its limit would be unused
/// while its callers are refused.
#[gtest]
#[tokio::test]
async fn slice_follows_the_demand() {
    let first = system_with(peer(1, vec![])).await;
    let initial_peers = vec![first.node.peers.as_ref().expect("peers").own().clone()];
    let second = system_with(peer(2, initial_peers)).await;
    let team = "counter".parse().expect("a name");

    let slice_grows = async {
        let limits = &second.node.limits;
        while limits.rate(&team, LimitKind::Requests).unwrap_or_default() < 3.0 {
            let _ = limits.take(&team, LimitKind::Requests, 1);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let grown = tokio::time::timeout(Duration::from_secs(20), slice_grows).await;

    expect_that!(grown, ok(anything()));
}

fn peer(n: usize, initial_peers: Vec<PeerEntry>) -> Settings {
    Settings {
        vm: format!("vm-{n}").parse().expect("a name"),
        entry_vms: 2,
        peer_listen: Some(free_address()),
        peer_key: PeerKey::new("shared by both"),
        peers: initial_peers,
        ..Settings::default()
    }
}
