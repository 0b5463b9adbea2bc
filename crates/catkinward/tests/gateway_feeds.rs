//! How a gateway follows the tables of the platform store.

mod gateway_support;

use catkin_decisions::{ConfigVersion, RouteTable, RoutingConfig, StorePosition, UpstreamEntry};
use catkinward::gateway::{
    Feed, FeedError, FeedPage, PeerRead, ReadProgress, follow_config, follow_upstreams,
};
use gateway_support::*;
use googletest::prelude::*;
use parking_lot::Mutex;
use std::{sync::Arc, time::Duration};

/// A store with outages: requests that are sent during one are never answered, not even after it.
#[derive(Clone)]
struct FakeStore {
    down: Arc<Mutex<bool>>,
    config: Arc<Mutex<RoutingConfig>>,
}

impl FakeStore {
    fn new(config: RoutingConfig) -> Self {
        Self {
            down: Arc::default(),
            config: Arc::new(Mutex::new(config)),
        }
    }

    fn set_version(&self, version: u64) {
        self.config.lock().version = ConfigVersion(version);
    }

    fn page(&self) -> FeedPage<RoutingConfig> {
        let config = self.config.lock().clone();
        FeedPage {
            position: at_version(config.version.0),
            rows: vec![row("config", config)],
            more: None,
        }
    }

    async fn read(self) -> std::result::Result<FeedPage<RoutingConfig>, FeedError> {
        if *self.down.lock() {
            std::future::pending::<()>().await;
        }
        Ok(self.page())
    }

    /// Waits for a change; hangs forever if an outage begins in the meantime.
    async fn changes(
        self,
        after: StorePosition,
        wait: Duration,
    ) -> std::result::Result<FeedPage<RoutingConfig>, FeedError> {
        let end = tokio::time::Instant::now() + wait;
        loop {
            if *self.down.lock() {
                std::future::pending::<()>().await;
            }
            let page = self.page();
            if page.position > after || tokio::time::Instant::now() >= end {
                return Ok(page);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    fn feed(&self, peer: Option<Self>) -> Feed<RoutingConfig> {
        let (reading, asking) = (self.clone(), self.clone());
        Feed {
            name: "config",
            read: Box::new(move |_, _| Box::pin(reading.clone().read())),
            changes: Box::new(move |after, wait| Box::pin(asking.clone().changes(after, wait))),
            read_from_peer: Box::new(move |_, _, _| {
                let read = peer.as_ref().map(|peer| PeerRead {
                    page: peer.page(),
                    whole: true,
                });
                Box::pin(async move { read.ok_or(FeedError::NoAnswer) })
            }),
        }
    }
}

fn following() -> (Running, FakeStore) {
    let running = GatewayFixture::new(|_| Script::Hang).start();
    let config = running.gateway.config().unwrap();
    let store = FakeStore::new(RoutingConfig {
        routes: RouteTable::default(),
        ..RoutingConfig::clone(&config)
    });
    store.set_version(2);
    tokio::spawn(follow_config(running.gateway.clone(), store.feed(None)));
    (running, store)
}

fn version(running: &Running) -> u64 {
    running.gateway.config().unwrap().version.0
}

/// A change without any failure is in force within a few milliseconds.
#[gtest]
#[tokio::test(start_paused = true)]
async fn change_is_in_force_at_once() {
    let (running, store) = following();
    tokio::time::sleep(Duration::from_secs(5)).await;

    store.set_version(3);
    tokio::time::sleep(Duration::from_millis(50)).await;

    expect_that!(version(&running), eq(3));
}

/// The store is down for some seconds. A request that was sent in the meantime hangs on a dead
/// connection. Guards against waiting for it: a route that was added right after the outage stayed
/// unknown here for 2.7 s, and its callers were told that it does not exist.
#[gtest]
#[tokio::test(start_paused = true)]
async fn change_after_an_outage_is_in_force_soon() {
    for down in (4_000..7_000).step_by(170).map(Duration::from_millis) {
        let (running, store) = following();
        tokio::time::sleep(Duration::from_secs(5)).await;
        *store.down.lock() = true;
        tokio::time::sleep(down).await;

        *store.down.lock() = false;
        store.set_version(3);
        // A change must be in force two seconds after the store's acknowledgement.
        tokio::time::sleep(Duration::from_millis(2600)).await;

        expect_that!(version(&running), eq(3), "after {down:?}");
    }
}

/// The store rejects this VM and serves the others. A change is in force here anyway, read from one
/// of them.
#[gtest]
#[tokio::test(start_paused = true)]
async fn vm_rejected_by_the_store_reads_from_a_peer() {
    let running = GatewayFixture::new(|_| Script::Hang).start();
    let config = running.gateway.config().unwrap();
    let store = FakeStore::new(RoutingConfig::clone(&config));
    *store.down.lock() = true;
    let peer = FakeStore::new(RoutingConfig::clone(&config));
    running.receive_peer_heartbeat();
    tokio::spawn(follow_config(
        running.gateway.clone(),
        store.feed(Some(peer.clone())),
    ));
    tokio::time::sleep(Duration::from_secs(5)).await;
    running.receive_peer_heartbeat();

    peer.set_version(7);
    tokio::time::sleep(Duration::from_secs(2)).await;
    running.receive_peer_heartbeat();
    tokio::time::sleep(Duration::from_millis(1400)).await;

    expect_that!(version(&running), eq(7));
}

/// A stale store, or a peer, returns an older configuration. Guards against putting it in force,
/// which would accept a removed key again.
#[gtest]
#[tokio::test(start_paused = true)]
async fn older_configuration_is_dropped() {
    let (running, store) = following();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let newer = running.gateway.config().unwrap();
    store.set_version(1);

    let taken = running.gateway.put_config(Arc::new(RoutingConfig {
        version: ConfigVersion(1),
        ..RoutingConfig::clone(&newer)
    }));

    expect_that!(taken, eq(false));
    expect_that!(version(&running), eq(2));
}

/// A VM was suspended for seconds. Its connections are lost, a route was added in the meantime, and
/// by its clock hardly any time has passed. Its callers wait the few milliseconds of a new read,
/// and are not told that the route does not exist.
#[gtest]
#[tokio::test(start_paused = true)]
async fn suspended_vm_reads_before_it_serves() {
    let (running, store) = following();
    running.gateway.put_upstreams(Vec::new());
    tokio::time::sleep(Duration::from_millis(2500)).await;
    *store.down.lock() = true;
    tokio::time::sleep(Duration::from_millis(100)).await;
    *store.down.lock() = false;
    store.set_version(3);
    // The loss of the connection is not reported.
    let before = version(&running);

    running.gateway.record_suspension(Duration::from_secs(4));
    let start = running.timer.now();
    running.gateway.wait_until_current().await;

    let waited = running.timer.now().since(start);
    expect_that!(before, eq(2));
    expect_that!(waited, le(Duration::from_millis(650)));
    expect_that!(version(&running), eq(3));
}

/// A store that sends the complete table of upstreams slowly: a page with one row every 1.4 s, and
/// some bytes of it more often. With `stalls`, it stops after the first page.
fn slow_table(pages: usize, stalls: bool) -> Feed<UpstreamEntry> {
    let id = |n: usize| format!("engine-{n}");
    let read = move |last: Option<Arc<str>>, progress: ReadProgress| async move {
        let n = (0..pages).find(|n| last.as_deref() == Some(&*id(*n)));
        let n = n.map_or(0, |last| last + 1);
        if stalls && n > 0 {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(Duration::from_millis(800)).await;
        progress.send(()).unwrap();
        tokio::time::sleep(Duration::from_millis(600)).await;
        Ok(FeedPage {
            position: at_version(1),
            rows: vec![row(&id(n), upstream(&id(n), ENGINES, "a"))],
            more: (n + 1 < pages).then(|| id(n).into()),
        })
    };
    Feed {
        name: "upstreams",
        read: Box::new(move |last, progress| Box::pin(read(last, progress))),
        changes: Box::new(|_, _| Box::pin(std::future::pending())),
        read_from_peer: Box::new(|_, _, _| Box::pin(async { Err(FeedError::NoAnswer) })),
    }
}

/// Starts a gateway with a configuration and a feed of upstreams; returns the times until it is
/// ready and until it has `all` rows.
async fn start_with(feed: Feed<UpstreamEntry>, all: usize) -> (Duration, Duration) {
    let fixture = GatewayFixture::new(|_| Script::Hang);
    let config = fixture.config();
    let running = fixture.start_empty();
    running.gateway.put_config(Arc::new(config));
    let start = running.timer.now();
    tokio::spawn(follow_upstreams(running.gateway.clone(), feed));
    let mut ready = None;
    for _ in 0..1000 {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let since = running.timer.now().since(start);
        if ready.is_none() && running.gateway.is_ready() {
            ready = Some(since);
        }
        let rows = running.gateway.table_page(Duration::from_secs(60));
        if rows.is_some_and(|page| page.rows.len() == all) {
            return (ready.unwrap(), since);
        }
    }
    (ready.unwrap_or(Duration::MAX), Duration::MAX)
}

/// A full read, and each page of it, takes longer than the timeout of a response, as over a slow link
/// after the loss of all VMs.
#[gtest]
#[tokio::test(start_paused = true)]
async fn full_read_with_progress_is_not_cancelled() {
    let (_, whole) = start_with(slow_table(3, false), 3).await;

    expect_that!(whole, le(Duration::from_millis(4300)));
}

/// Calls are served with the first upstreams while the remaining ones are read.
#[gtest]
#[tokio::test(start_paused = true)]
async fn vm_is_ready_with_the_first_page_of_upstreams() {
    let (ready, whole) = start_with(slow_table(3, false), 3).await;

    expect_that!(ready, le(Duration::from_millis(1500)));
    expect_that!(whole, ge(Duration::from_millis(4200)));
}

/// The connection of a full read goes silent.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stalled_full_read_is_cancelled() {
    let reads = Arc::new(Mutex::new(0));
    let count = reads.clone();
    let stalled = slow_table(2, true);
    let feed = Feed {
        read: Box::new(move |last, progress| {
            *count.lock() += usize::from(last.is_none());
            (stalled.read)(last, progress)
        }),
        ..slow_table(2, true)
    };

    let fixture = GatewayFixture::new(|_| Script::Hang);
    let running = fixture.start_empty();
    tokio::spawn(follow_upstreams(running.gateway.clone(), feed));
    tokio::time::sleep(Duration::from_secs(4)).await;

    expect_that!(*reads.lock(), ge(2));
}

/// The store sends some bytes now and then but never completes the response.
#[gtest]
#[tokio::test(start_paused = true)]
async fn endless_full_read_is_cancelled() {
    let reads = Arc::new(Mutex::new(0));
    let count = reads.clone();
    let trickle = |progress: ReadProgress| async move {
        while progress.send(()).is_ok() {
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        Err(FeedError::NoAnswer)
    };
    let feed = Feed {
        read: Box::new(move |_, progress| {
            *count.lock() += 1;
            Box::pin(trickle(progress))
        }),
        ..slow_table(2, true)
    };

    let running = GatewayFixture::new(|_| Script::Hang).start_empty();
    tokio::spawn(follow_upstreams(running.gateway.clone(), feed));
    tokio::time::sleep(Duration::from_secs(9)).await;
    let early = *reads.lock();
    tokio::time::sleep(Duration::from_secs(4)).await;

    expect_that!(early, eq(1));
    expect_that!(*reads.lock(), ge(2));
}
