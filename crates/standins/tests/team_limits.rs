//! A team's limit, as a node in this process enforces its slice of it.

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

struct Site {
    engine: EngineServer,
    node: Arc<Node>,
    router: SocketAddr,
}

fn free_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn site(entry_vms: u32) -> Site {
    let settings = Settings {
        entry_vms,
        ..Settings::default()
    };
    site_with(settings).await
}

async fn site_with(settings: Settings) -> Site {
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
    node.put_bundle_in_force(1, &json).expect("a valid bundle");
    let serving = node.clone();
    tokio::spawn(async move { serving.serve(listener).await });
    Site {
        engine,
        node,
        router,
    }
}

impl Site {
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

/// A team sends far more than its limit. What is beyond it is refused as not run, with the time to
/// come back, and costs the engines nothing.
#[gtest]
#[tokio::test]
async fn a_team_gets_its_share_and_typed_refusals() {
    let site = site(2).await;
    let start = Instant::now();

    let answers = futures::future::join_all((0..40).map(|_| site.answer())).await;

    let (refused, whole): (Vec<_>, Vec<_>) = answers.iter().partition(|a| a.problem.is_some());
    let refused = refused.iter().filter_map(|a| a.problem.as_ref());
    let refused = refused.collect::<Vec<_>>();
    // The burst of a second's share, and what the share has brought since.
    let share = u64::from(LIMIT / 2);
    let bound = share * (2 + start.elapsed().as_secs());
    let whole = u64::try_from(whole.len()).expect("few");
    expect_that!(whole, all![ge(share), le(bound)]);
    expect_that!(site.engine.work().0, eq(whole * u64::from(TOKENS)));
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

/// Only the home of a limit hands out slices of it, and only to VMs that it knows.
#[gtest]
#[tokio::test]
async fn only_the_home_grants_slices() {
    let site = site(2).await;
    let request = |team: &str, vm: &str| SliceRequest {
        team: team.parse().expect("a name"),
        kind: LimitKind::Requests,
        vm: vm.parse().expect("a name"),
        demand: 3.0,
    };
    site.answer().await;

    let home = site.node.limits.slice_requests(&vms())[0].allocator.clone();
    let only_vm = &vms()[..1];
    let granted = site
        .node
        .limits
        .grant(&request("counter", "vm-1"), only_vm, 1.0);
    let stranger = site
        .node
        .limits
        .grant(&request("counter", "vm-9"), only_vm, 1.0);
    let unknown = site
        .node
        .limits
        .grant(&request("nobody", "vm-1"), only_vm, 1.0);
    let elsewhere = site
        .node
        .limits
        .grant(&request("counter", "vm-1"), &vms()[1..], 1.0);

    expect_that!(vms(), contains(eq(&home)));
    expect_that!(granted.map(|grant| grant.rate), some(near(1.0, 0.001)));
    expect_that!([stranger, unknown, elsewhere], each(none()));
}

/// A team calls through one of two VMs only. With an even share for each VM half of its limit would
/// lie idle and its callers would be refused all the same.
#[gtest]
#[tokio::test]
async fn a_slice_follows_the_demand() {
    let first = site_with(peer(1, vec![])).await;
    let known = vec![first.node.peers.as_ref().expect("peers").own().clone()];
    let second = site_with(peer(2, known)).await;
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

fn peer(n: usize, known: Vec<PeerEntry>) -> Settings {
    Settings {
        vm: format!("vm-{n}").parse().expect("a name"),
        entry_vms: 2,
        peer_listen: Some(free_address()),
        peer_key: PeerKey::new("shared by both"),
        peers: known,
        ..Settings::default()
    }
}
