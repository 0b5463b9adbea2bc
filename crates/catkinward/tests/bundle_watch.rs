//! How a release comes into force on a VM, under faults of the platform and of peers.

use catkin_decisions::{BundleAuthor, BundleDigest, BundleVersion};
use catkin_standins::MockPlatform;
use catkinward::{
    BundleInForce, BundleStore, BundleStoreSettings, BundleWatch, Timeline, Timer, read_bundle,
};
use googletest::prelude::*;
use std::{sync::Arc, time::Duration};

struct Vm {
    bundle: Arc<BundleInForce>,
    watch: Arc<BundleWatch>,
}

fn vm(platform: Option<&MockPlatform>) -> Vm {
    let name = "vm-1".parse().expect("a valid name");
    let zone = "zone-1".parse().expect("a valid name");
    let timeline = Arc::new(Timeline::new(name, zone, Arc::default(), 100));
    let bundle = Arc::new(BundleInForce::new(timeline));
    let platform = platform.map(|platform| Arc::new(platform.platform()));
    let watch = BundleWatch::start(platform, &Timer::start(), &bundle);
    Vm { bundle, watch }
}

impl Vm {
    async fn wait_in_force(&self, version: u64) {
        let mut changes = self.bundle.changes();
        let reached = changes.wait_for(|found| found.0 >= version);
        reached.await.expect("the bundle is there");
    }

    fn version(&self) -> u64 {
        self.bundle.current().version.0
    }
}

fn body(team: &str) -> String {
    let key = catkin_decisions::KeyHash::of(team);
    let json = format!(
        r#"{{"teams": [{{"name": "{team}", "key_sha256": "{key}"}}], "services": [], "upstreams": []}}"#
    );
    let read = read_bundle(BundleVersion(1), &json).expect("a valid bundle");
    read.body.to_string()
}

async fn roll_out(platform: &MockPlatform, team: &str) -> BundleDigest {
    let author = |operator: &str| BundleAuthor {
        operator: operator.parse().expect("a valid name"),
        change: format!("{:08x}", rand::random::<u32>())
            .parse()
            .expect("a valid token"),
        at: 0,
    };
    let store = BundleStore::new(
        Arc::new(platform.platform()),
        BundleStoreSettings::default(),
    );
    let draft = store.propose(&body(team), author("ada")).await;
    let draft = draft.expect("a draft").value;
    let sign_off = store.sign_off(&draft.id, draft.digest, author("bea")).await;
    sign_off.expect("a sign-off");
    let release = store.roll_out(&draft.id, author("ada")).await;
    release.expect("a release");
    draft.digest
}

/// Waits long enough for a VM to put an available release in force.
async fn wait_for_updates() {
    tokio::time::sleep(Duration::from_secs(10)).await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn releases_come_into_force_one_after_the_other() {
    let platform = MockPlatform::default();
    let vm = vm(Some(&platform));
    wait_for_updates().await;
    let before = vm.version();

    for (team, version) in [("one", 1), ("two", 2), ("three", 3)] {
        roll_out(&platform, team).await;
        vm.wait_in_force(version).await;
        expect_that!(vm.bundle.current().teams[0].id.as_str(), eq(team));
    }

    expect_that!(before, eq(0));
}

/// During a long outage of the table service and the object store, the bundle stays in force. A
/// release made right after the outage comes into force.
#[gtest]
#[tokio::test(start_paused = true)]
async fn outage_keeps_the_bundle_in_force() {
    let platform = MockPlatform::default();
    roll_out(&platform, "one").await;
    let vm = vm(Some(&platform));
    vm.wait_in_force(1).await;

    platform.outage(true);
    wait_for_updates().await;
    let during = vm.version();
    platform.outage(false);
    roll_out(&platform, "two").await;
    vm.wait_in_force(2).await;

    expect_that!(during, eq(1));
}

/// A VM starts while its availability zone is partitioned from the platform. It must wait for
/// releases advertised by its peers, choose the largest version, and fetch the content from a peer;
/// the first advertised release may be an old one.
#[gtest]
#[tokio::test(start_paused = true)]
async fn vm_that_starts_partitioned_gets_the_bundle_from_its_peers() {
    let platform = MockPlatform::default();
    platform.outage(true);
    let vm = vm(Some(&platform));
    let (old, new) = (body("old"), body("new"));
    for (version, body) in [(4, &old), (5, &new), (4, &old)] {
        vm.watch
            .record_peer_release(BundleVersion(version), BundleDigest::of(body));
    }
    let bodies = [old, new];
    vm.watch.add_source(Box::new(move |digest| {
        let found = bodies.iter().find(|body| BundleDigest::of(body) == digest);
        let found = found.map(|body| body.clone().into());
        Box::pin(std::future::ready(found))
    }));

    let mut versions = Vec::new();
    let mut changes = vm.bundle.changes();
    tokio::time::timeout(Duration::from_secs(10), async {
        while changes.changed().await.is_ok() {
            versions.push(changes.borrow_and_update().0);
        }
    })
    .await
    .expect_err("no more changes");

    expect_that!(versions, elements_are![eq(&5)]);
    platform.outage(false);
    roll_out(&platform, "one").await;
    wait_for_updates().await;
    expect_that!(vm.version(), eq(5));
}

/// A peer sends altered content or never responds. The VM must neither accept it nor wait for it:
/// the object store has the content that was signed off.
#[gtest]
#[tokio::test(start_paused = true)]
async fn wrong_or_late_content_is_replaced_from_the_object_store() {
    let platform = MockPlatform::default();
    let vm = vm(Some(&platform));
    vm.watch
        .add_source(Box::new(|_| Box::pin(std::future::pending())));
    vm.watch.add_source(Box::new(|_| {
        Box::pin(std::future::ready(Some(body("altered").into())))
    }));

    let digest = roll_out(&platform, "one").await;
    vm.wait_in_force(1).await;

    expect_that!(vm.bundle.current().digest, eq(digest));
}

/// A peer advertises a release whose content no source has. Later releases must still come into
/// force.
#[gtest]
#[tokio::test(start_paused = true)]
async fn advertised_release_without_content_does_not_block_later_releases() {
    let platform = MockPlatform::default();
    roll_out(&platform, "one").await;
    let vm = vm(Some(&platform));
    vm.wait_in_force(1).await;

    vm.watch
        .record_peer_release(BundleVersion(900), BundleDigest::of("nothing"));
    wait_for_updates().await;
    roll_out(&platform, "two").await;
    vm.wait_in_force(2).await;

    expect_that!(vm.version(), eq(2));
}

/// A peer advertises a release while the table service does not respond: it comes into force at
/// once.
#[gtest]
#[tokio::test(start_paused = true)]
async fn release_advertised_by_a_peer_is_applied_during_a_platform_outage() {
    let platform = MockPlatform::default();
    roll_out(&platform, "one").await;
    let vm = vm(Some(&platform));
    vm.wait_in_force(1).await;
    platform.outage(true);
    let next = body("two");
    let digest = BundleDigest::of(&next);
    vm.watch.add_source(Box::new(move |_| {
        Box::pin(std::future::ready(Some(next.clone().into())))
    }));

    vm.watch.record_peer_release(BundleVersion(2), digest);
    vm.wait_in_force(2).await;

    expect_that!(vm.watch.in_force(), some(eq((BundleVersion(2), digest))));
    expect_that!(vm.bundle.body(digest), some(anything()));
}

/// Messages with an older bundle, and with a different one of the same version, arrive late. If
/// they were applied, they would undo a rollout on this VM.
#[gtest]
#[tokio::test(start_paused = true)]
async fn bundle_in_force_only_moves_to_larger_versions() {
    let vm = vm(None);

    let moved = [(5, "five"), (5, "another"), (4, "four"), (6, "six")].map(|(version, team)| {
        let read = read_bundle(BundleVersion(version), &body(team)).expect("a valid bundle");
        vm.bundle.advance(read)
    });

    expect_that!(moved, eq([true, false, false, true]));
    expect_that!(vm.bundle.current().teams[0].id.as_str(), eq("six"));
}
