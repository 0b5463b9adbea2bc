//! A platform store that comes back from an older copy: its versions go back and are given out again.

mod gateway_support;

use catkin_decisions::{
    ConfigVersion, RoutingConfig, StorePosition, UpstreamChange, UpstreamEntry, UpstreamTable,
    ZoneGossip, ZoneRole, ZoneVm,
};
use catkinward::gateway::{Feed, FeedError, FeedPage, follow_config, follow_upstreams};
use gateway_support::*;
use googletest::prelude::*;
use parking_lot::Mutex;
use std::{sync::Arc, time::Duration};

/// Time within which a VM that polls the store has read what was written there.
const POLL_TIME: Duration = Duration::from_millis(1300);

/// A table of upstreams in a store that can come back from an older copy.
#[derive(Clone)]
struct FakeStore(Arc<Mutex<StoreState>>);

#[derive(Clone)]
struct StoreState {
    position: StorePosition,
    rows: Vec<UpstreamChange>,
}

impl FakeStore {
    /// A store at version 100 with two upstreams.
    fn new() -> Self {
        let row = |id: &str, written| UpstreamChange {
            written,
            ..row(id, upstream(id, ENGINES, "a"))
        };
        Self(Arc::new(Mutex::new(StoreState {
            position: at_version(100),
            rows: vec![row("engine-a1", 20), row("engine-a2", 30)],
        })))
    }

    /// Comes back from a copy at `version`.
    fn come_back_at(&self, version: u64) {
        let mut state = self.0.lock();
        state.position = StorePosition::new(state.position.era.next(), version);
    }

    /// Writes a row again, as `change` makes it.
    fn rewrite(&self, index: usize, change: impl FnOnce(&mut UpstreamChange)) {
        let mut state = self.0.lock();
        state.position.version += 1;
        state.rows[index].written = state.position.version;
        change(&mut state.rows[index]);
    }

    fn remove(&self, index: usize) {
        self.rewrite(index, |row| row.entry = None);
    }

    fn set_leaving(&self, index: usize) {
        self.rewrite(index, |row| {
            if let Some(entry) = &mut row.entry {
                entry.leaving = true;
            }
        });
    }

    fn page(&self, after: u64) -> FeedPage<UpstreamEntry> {
        let state = self.0.lock();
        let is_listed =
            |row: &&UpstreamChange| row.written > after && (after > 0 || row.entry.is_some());
        let rows = state.rows.iter().filter(is_listed);
        FeedPage {
            position: state.position,
            rows: rows.cloned().collect(),
            more: None,
        }
    }

    fn changes(
        &self,
        after: StorePosition,
    ) -> std::result::Result<FeedPage<UpstreamEntry>, FeedError> {
        if after.version > self.0.lock().position.version {
            return Err(FeedError::HistoryGone);
        }
        Ok(self.page(after.version))
    }

    fn feed(&self) -> Feed<UpstreamEntry> {
        let (reading, asking) = (self.clone(), self.clone());
        Feed {
            name: "upstreams",
            read: Box::new(move |_, _| {
                let page = reading.page(0);
                Box::pin(async move { Ok(page) })
            }),
            changes: Box::new(move |after, _| {
                let changes = asking.changes(after);
                Box::pin(async move { changes })
            }),
            read_from_peer: Box::new(|_, _, _| Box::pin(async { Err(FeedError::NoAnswer) })),
        }
    }

    /// Gossip of a VM that has just read the table.
    fn gossip(&self, vm: Arc<str>) -> ZoneGossip {
        let page = self.page(0);
        let mut table = UpstreamTable::default();
        table.apply_read(&page.rows, true, page.position);
        ZoneGossip {
            vm,
            config: Some(ConfigVersion(1)),
            config_from_store: false,
            config_age_ms: Some(0),
            position: page.position,
            digest: table.digest(),
            age_ms: 0,
            changes: Vec::new(),
            link: None,
            members: Vec::new(),
        }
    }
}

/// A VM alone in its zone that has read the table of a store.
async fn reader() -> (Running, FakeStore) {
    let running = GatewayFixture::new(|_| Script::Stream(events(1, 3), End::Whole)).start();
    let store = FakeStore::new();
    tokio::spawn(follow_upstreams(running.gateway.clone(), store.feed()));
    tokio::time::sleep(POLL_TIME).await;
    (running, store)
}

/// Upstreams that get some calls.
async fn called_upstreams(running: &Running) -> Vec<String> {
    let before = running.sent_to().len();
    for _ in 0..8 {
        read_stream(running.handle("/stream/1").await).await;
    }
    let mut called = running.sent_to().split_off(before);
    called.sort();
    called.dedup();
    called
}

/// Name of a VM that reads for a zone which also contains `vm-1`.
fn reader_name() -> Arc<str> {
    let names = (2..100).map(|n| Arc::<str>::from(format!("vm-{n}")));
    let is_reader = |name: &Arc<str>| {
        let zone_vms = ["vm-1".into(), name.clone()].map(|vm| ZoneVm { vm, link: None });
        ZoneRole::of(name, &zone_vms) == ZoneRole::Reader
    };
    names
        .into_iter()
        .find(is_reader)
        .expect("one of them ranks first")
}

/// Guards against a reader that ignores a store at a lower version: upstreams that leave get calls for good.
#[gtest]
#[tokio::test(start_paused = true)]
async fn upstream_that_leaves_after_the_store_came_back_gets_no_calls() {
    let (running, store) = reader().await;

    store.come_back_at(60);
    store.set_leaving(0);
    tokio::time::sleep(POLL_TIME).await;

    expect_that!(
        called_upstreams(&running).await,
        elements_are![eq("engine-a2")]
    );
}

/// Guards against changes after a version of an earlier era: the store has given out that version again, and does not
/// tell of what was written below it.
#[gtest]
#[tokio::test(start_paused = true)]
async fn upstream_that_left_below_a_version_given_out_again_gets_no_calls() {
    let (running, store) = reader().await;

    store.come_back_at(60);
    store.set_leaving(0);
    for _ in 0..60 {
        store.rewrite(1, |_| {});
    }
    tokio::time::sleep(POLL_TIME).await;

    expect_that!(
        called_upstreams(&running).await,
        elements_are![eq("engine-a2")]
    );
}

/// Guards against a member that takes a reader of the new era for one that lags.
#[gtest]
#[tokio::test(start_paused = true)]
async fn member_follows_the_reader_into_the_new_era() {
    let running = GatewayFixture::new(|_| Script::Stream(events(1, 3), End::Whole)).start();
    let (store, vm) = (FakeStore::new(), reader_name());
    tokio::spawn(follow_upstreams(running.gateway.clone(), store.feed()));
    let receive = || {
        running.receive_heartbeat(running.empty_heartbeat(&vm, "a"));
        running.receive_gossip(&store.gossip(vm.clone()));
    };
    for _ in 0..10 {
        receive();
        tokio::time::sleep(Duration::from_millis(400)).await;
    }

    store.come_back_at(60);
    store.set_leaving(0);
    for _ in 0..4 {
        receive();
        tokio::time::sleep(Duration::from_millis(400)).await;
    }

    expect_that!(
        called_upstreams(&running).await,
        elements_are![eq("engine-a2")]
    );
}

/// Guards against calls to an upstream that has gone: the copy is from before its entry was removed.
#[gtest]
#[tokio::test(start_paused = true)]
async fn upstream_that_had_gone_before_the_store_came_back_gets_no_calls() {
    let (running, store) = reader().await;
    let copied = store.0.lock().rows.clone();
    store.remove(0);
    tokio::time::sleep(POLL_TIME).await;

    store.come_back_at(60);
    store.0.lock().rows = copied;
    tokio::time::sleep(POLL_TIME).await;
    let before = called_upstreams(&running).await;
    store.rewrite(0, |_| {});
    tokio::time::sleep(POLL_TIME).await;
    let after = called_upstreams(&running).await;

    expect_that!(before, elements_are![eq("engine-a2")]);
    expect_that!(after, elements_are![eq("engine-a1"), eq("engine-a2")]);
}

/// Guards against a request for changes that hangs across the return and delays the configuration by its timeout.
#[gtest]
#[tokio::test(start_paused = true)]
async fn configuration_does_not_wait_for_a_request_of_the_earlier_era() {
    let (running, store) = reader().await;
    let config = running.gateway.config().expect("a configuration");
    let reading = store.clone();
    let feed = Feed {
        name: "config",
        read: Box::new(move |_, _| {
            let position = reading.0.lock().position;
            let config = RoutingConfig {
                version: ConfigVersion(2 + position.era.0),
                ..RoutingConfig::clone(&config)
            };
            let rows = vec![row("config", config)];
            let page = FeedPage {
                position,
                rows,
                more: None,
            };
            Box::pin(async move { Ok(page) })
        }),
        changes: {
            let store = store.clone();
            Box::new(move |after, _| {
                let continues = store.0.lock().position.era == after.era;
                Box::pin(async move {
                    if continues {
                        std::future::pending::<()>().await;
                    }
                    Err(FeedError::EraChanged)
                })
            })
        },
        read_from_peer: Box::new(|_, _, _| Box::pin(async { Err(FeedError::NoAnswer) })),
    };
    tokio::spawn(follow_config(running.gateway.clone(), feed));
    tokio::time::sleep(Duration::from_millis(100)).await;

    store.come_back_at(60);
    tokio::time::sleep(POLL_TIME).await;

    let config = running.gateway.config().expect("a configuration");
    expect_that!(config.version, eq(ConfigVersion(3)));
}
