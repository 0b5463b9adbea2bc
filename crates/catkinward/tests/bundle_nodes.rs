//! Releases on complete nodes, with a platform over HTTP and peers.

use catkin_border::platform::{PlatformFaults, PlatformOutage};
use catkin_decisions::BundleAuthor;
use catkin_standins::PlatformServer;
use catkinward::{
    BundleStore, BundleStoreSettings, Node, PeerKey, Platform, PlatformSettings, Settings, Timer,
    http_client::Connections,
};
use googletest::prelude::*;
use std::{net::SocketAddr, sync::Arc, time::Duration};

fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn platform() -> PlatformServer {
    let started = PlatformServer::start(any_address(), PlatformFaults::default()).await;
    started.expect("a platform starts")
}

fn node(name: &str, platform: &PlatformServer, peers: &[&Arc<Node>]) -> Arc<Node> {
    let own = |node: &&Arc<Node>| node.peers.as_ref().expect("it has peers").own().clone();
    let node = Node::start(Settings {
        vm: name.parse().expect("a valid name"),
        platform: Some(platform.address()),
        peer_listen: Some(any_address()),
        peer_key: PeerKey::new("secret"),
        peers: peers.iter().map(own).collect(),
        ..Settings::default()
    });
    node.expect("a node starts")
}

async fn wait_in_force(node: &Node, version: u64) {
    let mut changes = node.bundle.changes();
    let reached = changes.wait_for(|found| found.0 >= version);
    // A release that never arrives must fail the test rather than hang it.
    let reached = tokio::time::timeout(Duration::from_secs(30), reached).await;
    let reached = reached.expect("the release comes");
    reached.expect("the bundle is there");
}

async fn roll_out(platform: &PlatformServer, team: &str) {
    let connections = Arc::new(Connections::new().expect("a client"));
    let cfg = PlatformSettings::default();
    let platform = Platform::over_http(connections, Timer::start(), platform.address(), cfg);
    let store = BundleStore::new(Arc::new(platform), BundleStoreSettings::default());
    let author = |operator: &str| BundleAuthor {
        operator: operator.parse().expect("a valid name"),
        change: format!("{:08x}", rand::random::<u32>())
            .parse()
            .expect("a valid token"),
        at: 0,
    };
    let key = catkin_decisions::KeyHash::of(team);
    let json = format!(
        r#"{{"teams": [{{"name": "{team}", "key_sha256": "{key}"}}], "services": [], "upstreams": []}}"#
    );
    let draft = store.propose(&json, author("ada")).await;
    let draft = draft.expect("a draft").value;
    let sign_off = store.sign_off(&draft.id, draft.digest, author("bea")).await;
    sign_off.expect("a sign-off");
    let release = store.roll_out(&draft.id, author("ada")).await;
    release.expect("a release");
}

/// A VM is replaced during a long platform outage. The new VM must put in force the bundle of its
/// peers, and every VM must put in force the first release after the outage.
#[gtest]
#[tokio::test]
async fn vm_that_starts_in_an_outage_gets_the_bundle_from_its_peers() {
    let platform = platform().await;
    let one = node("vm-1", &platform, &[]);
    let two = node("vm-2", &platform, &[&one]);
    roll_out(&platform, "first").await;
    roll_out(&platform, "second").await;
    wait_in_force(&one, 2).await;
    wait_in_force(&two, 2).await;
    let outage = |outage| PlatformFaults {
        outage: Some(outage),
        ..PlatformFaults::default()
    };
    platform.fault(&outage(PlatformOutage::Refused));

    let three = node("vm-3", &platform, &[&two]);
    wait_in_force(&three, 1).await;

    let (found, expected) = (three.bundle.current(), one.bundle.current());
    expect_that!(found.version, eq(expected.version));
    expect_that!(found.digest, eq(expected.digest));
    platform.fault(&outage(PlatformOutage::None));
    roll_out(&platform, "third").await;
    for node in [one, two, three] {
        wait_in_force(&node, 3).await;
        expect_that!(node.bundle.current().teams[0].id.as_str(), eq("third"));
    }
}
