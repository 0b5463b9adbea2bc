//! A VM that relies on another VM of its zone for the table of upstreams.

mod gateway_support;

use catkin_decisions::{
    ConfigVersion, GOSSIP_MAX_AGE, LinkRate, MAX_GOSSIPED_CHANGES, PeerDatagram, ProcessStart,
    RoutingConfig, StoreEra, StorePosition, UpstreamChange, UpstreamEntry, UpstreamTable,
    ZoneGossip, ZoneRole, ZoneVm,
};
use catkinward::gateway::{
    Feed, FeedError, FeedPage, PeerRead, decode_table_transfer, exchange_heartbeats, follow_config,
    follow_upstreams,
};
use gateway_support::*;
use googletest::prelude::*;
use parking_lot::Mutex;
use std::{sync::Arc, time::Duration};
use tokio::net::UdpSocket;

/// Interval between the heartbeats and the gossip of a VM.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(400);

/// A table of the store that counts its reads.
#[derive(Clone)]
struct FakeTable {
    rows: Arc<Mutex<Vec<UpstreamChange>>>,
    version: Arc<Mutex<u64>>,
    calls: Arc<Mutex<u32>>,
}

impl FakeTable {
    fn new(entries: &[UpstreamEntry]) -> Self {
        let rows = entries
            .iter()
            .map(|entry| row(entry.id.as_str(), entry.clone()));
        Self {
            rows: Arc::new(Mutex::new(rows.collect())),
            version: Arc::new(Mutex::new(10)),
            calls: Arc::default(),
        }
    }

    fn set_leaving(&self, index: usize) {
        let mut version = self.version.lock();
        *version += 1;
        let row = &mut self.rows.lock()[index];
        row.written = *version;
        if let Some(entry) = &mut row.entry {
            entry.leaving = true;
        }
    }

    /// Returns all rows on every read, as upstreams rewrite their entries continuously.
    fn page(&self) -> FeedPage<UpstreamEntry> {
        *self.calls.lock() += 1;
        FeedPage {
            position: at_version(*self.version.lock()),
            rows: self.rows.lock().clone(),
            more: None,
        }
    }

    /// A feed that can be read from another VM only, since the store rejects all requests.
    fn peer_feed(&self) -> Feed<UpstreamEntry> {
        let peer = self.clone();
        Feed {
            name: "upstreams",
            read: Box::new(|_, _| Box::pin(async { Err(FeedError::Refused) })),
            changes: Box::new(|_, _| Box::pin(async { Err(FeedError::Refused) })),
            read_from_peer: Box::new(move |_, _, _| {
                let page = peer.page();
                Box::pin(async move { Ok(PeerRead { page, whole: true }) })
            }),
        }
    }

    fn feed(&self) -> Feed<UpstreamEntry> {
        let (reading, asking) = (self.clone(), self.clone());
        Feed {
            name: "upstreams",
            read: Box::new(move |_, _| {
                let page = reading.page();
                Box::pin(async move { Ok(page) })
            }),
            changes: Box::new(move |_, _| {
                let page = asking.page();
                Box::pin(async move { Ok(page) })
            }),
            read_from_peer: Box::new(|_, _, _| Box::pin(std::future::pending())),
        }
    }

    /// Gossip of a VM that has just read the table.
    fn gossip_with(&self, changes: &[UpstreamChange]) -> ZoneGossip {
        let mut table = UpstreamTable::default();
        table.apply_read(&self.rows.lock(), true, at_version(*self.version.lock()));
        ZoneGossip {
            vm: reader_name(),
            config: Some(ConfigVersion(1)),
            config_from_store: false,
            config_age_ms: Some(0),
            position: table.position(),
            digest: table.digest(),
            age_ms: 0,
            changes: changes.to_vec(),
            link: None,
            members: Vec::new(),
        }
    }

    fn take_calls(&self) -> u32 {
        std::mem::take(&mut self.calls.lock())
    }
}

/// Role of a VM in a zone of `vm-1` and another VM.
fn role_beside_vm_1(vm: &str, other: &Arc<str>) -> ZoneRole {
    let zone_vms = ["vm-1".into(), other.clone()].map(|vm| ZoneVm { vm, link: None });
    ZoneRole::of(vm, &zone_vms)
}

/// Name of a VM that reads for a zone which also contains `vm-1`.
fn reader_name() -> Arc<str> {
    let names = (2..100).map(|n| Arc::<str>::from(format!("vm-{n}")));
    names
        .into_iter()
        .find(|name| role_beside_vm_1(name, name).polls_store())
        .unwrap()
}

fn entries() -> Vec<UpstreamEntry> {
    ["engine-a1", "engine-a2"]
        .map(|id| upstream(id, ENGINES, "a"))
        .to_vec()
}

fn receive_reader_heartbeat(running: &Running) {
    running.receive_heartbeat(running.empty_heartbeat(&reader_name(), "a"));
}

/// A VM next to one that has read and advertised the table for some seconds.
async fn relying_member() -> (Running, FakeTable) {
    let running = GatewayFixture::new(|_| Script::Stream(events(1, 3), End::Whole)).start();
    let table = FakeTable::new(&entries());
    tokio::spawn(follow_upstreams(running.gateway.clone(), table.feed()));
    for _ in 0..10 {
        receive_reader_heartbeat(&running);
        running.receive_gossip(&table.gossip_with(&[]));
        tokio::time::sleep(GOSSIP_INTERVAL).await;
    }
    table.take_calls();
    (running, table)
}

/// Guards against members that read the whole table every second: at 400 VMs these would be most of
/// the store's requests.
#[gtest]
#[tokio::test(start_paused = true)]
async fn member_does_not_read_what_its_reader_advertises() {
    let (running, table) = relying_member().await;

    for _ in 0..20 {
        receive_reader_heartbeat(&running);
        running.receive_gossip(&table.gossip_with(&[]));
        tokio::time::sleep(GOSSIP_INTERVAL).await;
    }

    expect_that!(table.take_calls(), eq(0));
}

/// An upstream is leaving, and the reader of the zone advertises it. Its members send no calls
/// there either.
#[gtest]
#[tokio::test(start_paused = true)]
async fn leaving_upstream_gets_no_calls_after_gossip() {
    let (running, table) = relying_member().await;
    table.set_leaving(0);
    let change = table.rows.lock()[0].clone();

    running.receive_gossip(&table.gossip_with(&[change]));
    for _ in 0..8 {
        read_stream(running.handle("/stream/1").await).await;
    }

    expect_that!(running.sent_to(), each(eq("engine-a2")));
    expect_that!(table.take_calls(), eq(0));
}

/// The reader of the zone loses power just as an upstream begins to leave. The member reads the
/// table itself before the two seconds have passed in which a leaving upstream may get calls.
#[gtest]
#[tokio::test(start_paused = true)]
async fn member_reads_the_table_when_gossip_stops() {
    let (running, table) = relying_member().await;
    running.receive_gossip(&table.gossip_with(&[]));

    table.set_leaving(0);
    tokio::time::sleep(GOSSIP_MAX_AGE + Duration::from_millis(20)).await;
    for _ in 0..8 {
        read_stream(running.handle("/stream/1").await).await;
    }

    expect_that!(running.sent_to(), each(eq("engine-a2")));
}

/// The datagram with an update is lost. The next one shows that an update is missing, and the VM
/// reads the table at once.
#[gtest]
#[tokio::test(start_paused = true)]
async fn vm_that_missed_a_change_reads_the_table() {
    let (running, table) = relying_member().await;
    table.set_leaving(0);

    running.receive_gossip(&table.gossip_with(&[]));
    tokio::time::sleep(Duration::from_millis(100)).await;

    expect_that!(table.take_calls(), ge(1));
}

/// A member of a zone of twenty VMs, next to one that advertises the table. The VM that advertises it delivers what the
/// member misses if `peer_answers`, and the number of reads from it is counted.
async fn member_of_a_large_zone(peer_answers: bool) -> (Running, FakeTable, Arc<Mutex<u32>>) {
    let running = GatewayFixture::new(|_| Script::Stream(events(1, 3), End::Whole)).start();
    let table = FakeTable::new(&entries());
    let (peer, peer_reads) = (table.clone(), Arc::new(Mutex::new(0)));
    let count = peer_reads.clone();
    let feed = Feed {
        read_from_peer: Box::new(move |_, _, _| {
            *count.lock() += 1;
            let page = FeedPage {
                position: at_version(*peer.version.lock()),
                rows: peer.rows.lock().clone(),
                more: None,
            };
            let read = peer_answers.then_some(PeerRead { page, whole: true });
            Box::pin(async move { read.ok_or(FeedError::Refused) })
        }),
        ..table.feed()
    };
    tokio::spawn(follow_upstreams(running.gateway.clone(), feed));
    for _ in 0..10 {
        receive_zone_heartbeats(&running);
        running.receive_gossip(&table.gossip_with(&[]));
        tokio::time::sleep(GOSSIP_INTERVAL).await;
    }
    table.take_calls();
    (running, table, peer_reads)
}

fn receive_zone_heartbeats(running: &Running) {
    receive_reader_heartbeat(running);
    for n in 100..118 {
        running.receive_heartbeat(running.empty_heartbeat(&format!("vm-{n}"), "a"));
    }
}

/// Guards against members of a large zone that all read the store when they miss an update: 200 VMs read 3.5 MB each,
/// and with 10,000 upstreams some update is missed all the time.
#[gtest]
#[tokio::test(start_paused = true)]
async fn member_of_a_large_zone_reads_missed_changes_from_the_advertiser() {
    let (running, table, peer_reads) = member_of_a_large_zone(true).await;
    table.set_leaving(0);

    running.receive_gossip(&table.gossip_with(&[]));
    tokio::time::sleep(Duration::from_millis(100)).await;
    for _ in 0..8 {
        read_stream(running.handle("/stream/1").await).await;
    }

    expect_that!(running.sent_to(), each(eq("engine-a2")));
    expect_that!(*peer_reads.lock(), eq(1));
    expect_that!(table.take_calls(), eq(0));
}

/// The VM that advertised the changes does not deliver them, because its link is busy or it has crashed.
#[gtest]
#[tokio::test(start_paused = true)]
async fn member_of_a_large_zone_reads_the_store_if_the_advertiser_refuses() {
    let (running, table, peer_reads) = member_of_a_large_zone(false).await;
    table.set_leaving(0);

    running.receive_gossip(&table.gossip_with(&[]));
    tokio::time::sleep(Duration::from_millis(100)).await;

    expect_that!(*peer_reads.lock(), eq(1));
    expect_that!(table.take_calls(), ge(1));
}

/// What one VM sends to another that has missed changes is applied there, and a later request gets only the changes.
#[gtest]
#[tokio::test(start_paused = true)]
async fn transferred_changes_are_those_that_the_other_vm_misses() {
    let age = Duration::from_secs(2);
    let (running, table) = relying_member().await;
    let position = at_version(*table.version.lock());
    table.set_leaving(0);
    let change = table.rows.lock()[0].clone();
    running.receive_gossip(&table.gossip_with(std::slice::from_ref(&change)));

    let read = |after| {
        let sent = running.gateway.table_transfer(after, age).unwrap();
        decode_table_transfer(&sent).unwrap()
    };
    let (missed, complete) = (read(position), read(at_version(0)));

    expect_that!(missed.whole, eq(false));
    expect_that!(missed.page.rows, eq(&vec![change]));
    expect_that!(complete.whole, eq(true));
    expect_that!(complete.page.rows.len(), eq(2));
    expect_that!(decode_table_transfer(b"not a table").is_err(), eq(true));
    tokio::time::sleep(Duration::from_millis(10)).await;
    let old = running.gateway.table_transfer(position, Duration::ZERO);
    expect_that!(old, none());
}

/// A VM was suspended, and the datagrams that waited in its socket appear recent. Guards against
/// relying on them: an upstream that had left in the meantime got calls.
#[gtest]
#[tokio::test(start_paused = true)]
async fn suspended_vm_reads_the_table_despite_gossip() {
    let (running, table) = relying_member().await;
    let old = table.gossip_with(&[]);
    table.set_leaving(0);

    running.gateway.record_suspension(Duration::from_secs(4));
    running.receive_gossip(&old);
    tokio::time::sleep(Duration::from_millis(100)).await;

    expect_that!(table.take_calls(), ge(1));
}

/// The connection on which this VM waits for a new configuration has gone silent. Another VM of the
/// zone has the configuration in force, so it is requested over another connection; without that,
/// up to 2.8 s passed.
#[gtest]
#[tokio::test(start_paused = true)]
async fn newer_configuration_of_the_zone_is_requested_again() {
    let (running, table) = relying_member().await;
    let old = running.gateway.config().unwrap();
    let page = |version| FeedPage {
        position: at_version(version),
        rows: vec![row(
            "config",
            RoutingConfig {
                version: ConfigVersion(version),
                ..RoutingConfig::clone(&old)
            },
        )],
        more: None,
    };
    let (first, newer) = (page(10), page(11));
    let asked = Arc::new(Mutex::new(0));
    let feed = Feed {
        name: "config",
        read: Box::new(move |_, _| {
            let first = first.clone();
            Box::pin(async move { Ok(first) })
        }),
        changes: Box::new(move |_, wait| {
            *asked.lock() += 1;
            let newer = newer.clone();
            Box::pin(async move {
                if wait.is_zero() {
                    // Simulates a slow store.
                    tokio::time::sleep(Duration::from_millis(400)).await;
                    return Ok(newer);
                }
                std::future::pending().await
            })
        }),
        read_from_peer: Box::new(|_, _, _| Box::pin(std::future::pending())),
    };
    tokio::spawn(follow_config(running.gateway.clone(), feed));
    tokio::time::sleep(Duration::from_millis(300)).await;

    for _ in 0..3 {
        receive_reader_heartbeat(&running);
        running.receive_gossip(&ZoneGossip {
            config: Some(ConfigVersion(11)),
            ..table.gossip_with(&[])
        });
        tokio::time::sleep(Duration::from_millis(300)).await;
    }

    expect_that!(
        running.gateway.config().unwrap().version,
        eq(ConfigVersion(11))
    );
}

/// Versions of the table that the reader of a zone advertises within a second.
async fn advertised_versions(feed: impl FnOnce(&FakeTable) -> Feed<UpstreamEntry>) -> Vec<u64> {
    let gossip = advertised_gossip(GatewayFixture::new(|_| Script::Hang), feed).await;
    gossip
        .iter()
        .map(|gossip| gossip.position.version)
        .collect()
}

/// Gossip that the reader of a zone sends within a second.
async fn advertised_gossip(
    fixture: GatewayFixture,
    feed: impl FnOnce(&FakeTable) -> Feed<UpstreamEntry>,
) -> Vec<ZoneGossip> {
    let running = fixture.start();
    let other = (2..100)
        .map(|n| Arc::<str>::from(format!("vm-{n}")))
        .find(|other| role_beside_vm_1("vm-1", other).polls_store())
        .unwrap();
    let table = FakeTable::new(&entries());
    let own = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let peer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    running.gateway.receive_heartbeat(
        running.empty_heartbeat(&other, "a"),
        peer.local_addr().unwrap(),
    );
    tokio::spawn(exchange_heartbeats(running.gateway.clone(), own));
    tokio::spawn(follow_upstreams(running.gateway.clone(), feed(&table)));
    let mut received = Vec::new();
    let mut buf = [0; 2000];
    let end = tokio::time::Instant::now() + Duration::from_secs(1);
    while let Ok(Ok(len)) = tokio::time::timeout_at(end, peer.recv(&mut buf)).await {
        if let Ok(PeerDatagram::Gossip(gossip)) = ciborium::from_reader(&buf[..len]) {
            received.push(gossip);
        }
    }
    received
}

/// Guards against members that saturate the link of their reader by reading a large configuration
/// from it.
#[gtest]
#[tokio::test]
async fn configuration_that_the_link_cannot_carry_is_left_to_the_store() {
    let small = GatewayFixture::new(|_| Script::Hang).link(LinkRate(10_000_000), 200_000);
    let large = GatewayFixture::new(|_| Script::Hang).link(LinkRate(200_000_000), 200_000);

    let by_small = advertised_gossip(small, FakeTable::feed).await;
    let by_large = advertised_gossip(large, FakeTable::feed).await;

    expect_that!(by_small, not(is_empty()));
    expect_that!(
        by_small.iter().all(|gossip| gossip.config_from_store),
        eq(true)
    );
    expect_that!(by_large, not(is_empty()));
    expect_that!(
        by_large.iter().any(|gossip| gossip.config_from_store),
        eq(false)
    );
}

/// The store rejects the reader of a zone, which then reads the table from a peer elsewhere, up to
/// two seconds old. Advertised as new, it would be relied on for as long again, and upstreams that
/// have left would get calls.
#[gtest]
#[tokio::test]
async fn table_read_from_a_peer_is_not_advertised() {
    let from_store = advertised_versions(FakeTable::feed).await;
    let from_peer = advertised_versions(FakeTable::peer_feed).await;

    expect_that!(from_store, not(is_empty()));
    expect_that!(from_peer, is_empty());
}

/// The table that a VM serves to VMs which the store rejects: complete, including gossiped updates
/// while these are recent, and never a table that was itself read from a peer.
#[gtest]
#[tokio::test(start_paused = true)]
async fn table_is_served_completely_or_not_at_all() {
    let age = Duration::from_millis(2200);
    let (member, table) = relying_member().await;
    table.set_leaving(0);
    let change = table.rows.lock()[0].clone();
    member.receive_gossip(&table.gossip_with(std::slice::from_ref(&change)));
    let served = member.gateway.table_page(age);
    let rejected = GatewayFixture::new(|_| Script::Hang).start();
    receive_reader_heartbeat(&rejected);
    tokio::spawn(follow_upstreams(
        rejected.gateway.clone(),
        table.peer_feed(),
    ));
    tokio::time::sleep(Duration::from_millis(500)).await;

    let from_a_peer = rejected.gateway.table_page(age);
    tokio::time::sleep(age).await;
    let old = member.gateway.table_page(Duration::ZERO);

    let entries = served.map(|page| page.rows).unwrap_or_default();
    expect_that!(entries.len(), eq(2));
    expect_that!(entries.contains(&change), eq(true));
    expect_that!(from_a_peer.is_none(), eq(true));
    expect_that!(old.is_none(), eq(true));
}

/// A call has crashed an upstream, and its caller retries within milliseconds at any VM. A VM that
/// learned of the crash only with the next periodic heartbeat, 400 ms later, would run the call
/// again.
#[gtest]
#[tokio::test]
async fn crash_is_advertised_at_once() {
    let running = GatewayFixture::new(|_| Script::Lost)
        .upstream("plain-a", PLAIN, "a")
        .start();
    let own = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let peer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    running.gateway.receive_heartbeat(
        running.empty_heartbeat("vm-2", "a"),
        peer.local_addr().unwrap(),
    );
    tokio::spawn(exchange_heartbeats(running.gateway.clone(), own));
    let mut buf = [0; 2000];
    let first = peer.recv(&mut buf).await;
    running.handle("/once/1").await;

    running
        .gateway
        .upstream_removed(&"plain-a".parse().unwrap());

    let received_crashes = async {
        loop {
            let len = peer.recv(&mut buf).await.expect("a datagram");
            if let Ok(PeerDatagram::Note(heartbeat)) = ciborium::from_reader(&buf[..len])
                && !heartbeat.crashes.is_empty()
            {
                return heartbeat.crashes.len();
            }
        }
    };
    let received_crashes = tokio::time::timeout(GOSSIP_INTERVAL / 2, received_crashes).await;
    expect_that!(first, ok(anything()));
    expect_that!(received_crashes, ok(eq(&1)));
}

/// A third of a zone's engines crash, and the updates are sent in full datagrams. One that exceeds
/// the MTU would be dropped, and each VM would read the table itself.
#[gtest]
fn full_gossip_fits_into_a_datagram() {
    let change = |n: u64| UpstreamChange {
        key: format!("i-{:010x}", 0xff_ffff_ff00 + n).as_str().into(),
        written: u64::from(u32::MAX),
        entry: Some(UpstreamEntry {
            address: "10.255.255.255:65535".parse().unwrap(),
            slots: 1000,
            ..upstream_started_at(
                &format!("i-{:010x}", 0xff_ffff_ff00 + n),
                "ticket-model-long",
                "stirling-depot-long",
                ProcessStart(1_790_000_000_000),
            )
        }),
    };
    let gossip = ZoneGossip {
        vm: "edge-stirling-depot-long-400".into(),
        config: Some(ConfigVersion(u64::from(u32::MAX))),
        config_from_store: true,
        config_age_ms: Some(2400),
        position: StorePosition::new(StoreEra(u64::from(u32::MAX)), u64::from(u32::MAX)),
        digest: u64::MAX,
        age_ms: 1600,
        changes: (0..).take(MAX_GOSSIPED_CHANGES).map(change).collect(),
        link: Some(LinkRate(u64::from(u32::MAX))),
        members: Vec::new(),
    };

    let mut buf = Vec::new();
    ciborium::into_writer(&PeerDatagram::Gossip(gossip), &mut buf).unwrap();

    expect_that!(buf.len(), le(1400));
}
