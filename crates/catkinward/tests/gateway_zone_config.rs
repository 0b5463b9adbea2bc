//! A VM of a large zone that learns from other VMs which configuration is in force.

mod gateway_support;

use catkin_decisions::{
    CONFIG_GOSSIP_MAX_AGE, ConfigVersion, RoutingConfig, StorePosition, UpstreamEntry,
    UpstreamTable, ZoneGossip, ZoneRole, ZoneVm,
};
use catkinward::gateway::{Feed, FeedError, FeedPage, PeerRead, follow_config, follow_upstreams};
use gateway_support::*;
use googletest::prelude::*;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Interval between the heartbeats and the gossip of a VM.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum time from the acknowledgement of a configuration until it is in force.
const MAX_DELAY: Duration = Duration::from_secs(3);

/// The store and the peers that have the configuration, with a record of their reads.
#[derive(Clone)]
struct ConfigSource {
    config: Arc<Mutex<RoutingConfig>>,
    store_answers: Arc<Mutex<bool>>,
    peer_answers: Arc<Mutex<bool>>,
    store_calls: Arc<Mutex<u32>>,
    peers_read: Arc<Mutex<Vec<SocketAddr>>>,
    /// Whether only the VM that advertises the configuration has a copy of it.
    only_advertiser_answers: Arc<Mutex<bool>>,
    /// Time that the store takes to send a newer configuration.
    transfer: Arc<Mutex<Duration>>,
}

impl ConfigSource {
    fn new(config: RoutingConfig) -> Self {
        Self {
            config: Arc::new(Mutex::new(config)),
            store_answers: Arc::new(Mutex::new(true)),
            peer_answers: Arc::new(Mutex::new(true)),
            store_calls: Arc::default(),
            peers_read: Arc::default(),
            only_advertiser_answers: Arc::default(),
            transfer: Arc::default(),
        }
    }

    fn set_version(&self, version: u64) {
        self.config.lock().version = ConfigVersion(version);
    }

    fn version(&self) -> ConfigVersion {
        self.config.lock().version
    }

    fn page(&self) -> FeedPage<RoutingConfig> {
        let config = self.config.lock().clone();
        FeedPage {
            position: at_version(config.version.0),
            rows: vec![row("config", config)],
            more: None,
        }
    }

    async fn read_store(
        self,
        after: StorePosition,
        wait: Duration,
    ) -> std::result::Result<FeedPage<RoutingConfig>, FeedError> {
        *self.store_calls.lock() += 1;
        let end = Instant::now() + wait;
        loop {
            if !*self.store_answers.lock() {
                return Err(FeedError::Refused);
            }
            let page = self.page();
            if page.position > after {
                let transfer = *self.transfer.lock();
                tokio::time::sleep(transfer).await;
                return Ok(page);
            }
            if Instant::now() >= end {
                return Ok(page);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    fn feed(&self) -> Feed<RoutingConfig> {
        let (reading, asking, peer) = (self.clone(), self.clone(), self.clone());
        Feed {
            name: "config",
            read: Box::new(move |_, _| {
                Box::pin(reading.clone().read_store(at_version(0), Duration::ZERO))
            }),
            changes: Box::new(move |after, wait| Box::pin(asking.clone().read_store(after, wait))),
            read_from_peer: Box::new(move |address, _, _| {
                peer.peers_read.lock().push(address);
                let has_copy = !*peer.only_advertiser_answers.lock()
                    || address == PEER.parse::<SocketAddr>().unwrap();
                let answers = *peer.peer_answers.lock() && has_copy;
                let read = answers.then(|| PeerRead {
                    page: peer.page(),
                    whole: true,
                });
                Box::pin(async move { read.ok_or(FeedError::NoAnswer) })
            }),
        }
    }

    fn take_store_calls(&self) -> u32 {
        std::mem::take(&mut self.store_calls.lock())
    }
}

/// A VM that is a member of a zone of twenty VMs.
struct Member {
    running: Running,
    source: ConfigSource,
    others: Vec<Arc<str>>,
}

impl Member {
    /// A member that has relied on its zone for some seconds.
    async fn relying() -> Self {
        let running = GatewayFixture::new(|_| Script::Hang).start();
        let others = others_making_vm_1_a_member();
        let config = running.gateway.config().unwrap();
        let source = ConfigSource::new(RoutingConfig {
            version: ConfigVersion(2),
            ..RoutingConfig::clone(&config)
        });
        let member = Self {
            running,
            source,
            others,
        };
        tokio::spawn(follow_config(
            member.running.gateway.clone(),
            member.source.feed(),
        ));
        for _ in 0..25 {
            member.receive(Duration::ZERO);
            tokio::time::sleep(GOSSIP_INTERVAL).await;
        }
        member.source.take_store_calls();
        member
    }

    /// Delivers heartbeats of all other VMs, and gossip of a VM that has the store's version and
    /// whose store contact is `config_age` old.
    fn receive(&self, config_age: Duration) {
        self.receive_heartbeats();
        self.running.receive_gossip(&ZoneGossip {
            config: Some(self.source.version()),
            ..self.gossip(config_age)
        });
    }

    fn receive_heartbeats(&self) {
        for vm in &self.others {
            self.running
                .receive_heartbeat(self.running.empty_heartbeat(vm, "a"));
        }
    }

    fn gossip(&self, config_age: Duration) -> ZoneGossip {
        ZoneGossip {
            vm: self.others[0].clone(),
            config: self.running.gateway.config().map(|config| config.version),
            config_from_store: false,
            config_age_ms: Some(u32::try_from(config_age.as_millis()).unwrap()),
            position: at_version(10),
            digest: UpstreamTable::default().digest(),
            age_ms: 0,
            changes: Vec::new(),
            link: None,
            members: Vec::new(),
        }
    }

    fn version(&self) -> ConfigVersion {
        self.running.gateway.config().unwrap().version
    }
}

fn others_making_vm_1_a_member() -> Vec<Arc<str>> {
    let others = |first: usize| {
        (first..first + 19)
            .map(|n| Arc::from(format!("vm-{n}")))
            .collect::<Vec<Arc<str>>>()
    };
    let is_member = |others: &Vec<Arc<str>>| {
        let mut vms = others.clone();
        vms.push("vm-1".into());
        let vms = vms.into_iter().map(|vm| ZoneVm { vm, link: None });
        ZoneRole::of("vm-1", &vms.collect::<Vec<_>>()) == ZoneRole::Member
    };
    (2..10_000).map(others).find(is_member).unwrap()
}

/// Guards against members that poll the store although nothing has changed: polls from each of 195
/// VMs every few seconds were half of the store's requests on a calm day.
#[gtest]
#[tokio::test(start_paused = true)]
async fn member_of_a_large_zone_does_not_poll_the_store() {
    let member = Member::relying().await;

    for _ in 0..50 {
        member.receive(Duration::from_secs(1));
        tokio::time::sleep(GOSSIP_INTERVAL).await;
    }

    expect_that!(member.source.take_store_calls(), eq(0));
}

/// A route is added. The reader of the zone advertises the new version, and the members read it
/// from there.
#[gtest]
#[tokio::test(start_paused = true)]
async fn newer_configuration_is_read_from_the_vm_that_advertises_it() {
    let member = Member::relying().await;
    member.source.set_version(3);

    member.receive(Duration::ZERO);
    tokio::time::sleep(Duration::from_millis(20)).await;

    expect_that!(member.version(), eq(ConfigVersion(3)));
    expect_that!(member.source.take_store_calls(), eq(0));
    let asked = member.source.peers_read.lock().last().copied();
    expect_that!(asked, some(eq(PEER.parse::<SocketAddr>().unwrap())));
}

/// Guards against members that saturate the small link of the VM that advertises a newer
/// configuration.
#[gtest]
#[tokio::test(start_paused = true)]
async fn configuration_too_large_for_the_advertisers_link_is_read_from_the_store() {
    let member = Member::relying().await;
    let reads_before = member.source.peers_read.lock().len();
    member.source.set_version(3);

    member.receive_heartbeats();
    member.running.receive_gossip(&ZoneGossip {
        config: Some(member.source.version()),
        config_from_store: true,
        ..member.gossip(Duration::ZERO)
    });
    tokio::time::sleep(Duration::from_millis(20)).await;

    expect_that!(member.version(), eq(ConfigVersion(3)));
    expect_that!(member.source.take_store_calls(), eq(1));
    expect_that!(member.source.peers_read.lock().len(), eq(reads_before));
}

/// The VM that advertised a newer configuration crashes before the others have read it. They read
/// it from the store.
#[gtest]
#[tokio::test(start_paused = true)]
async fn newer_configuration_is_read_from_the_store_if_the_advertiser_is_gone() {
    let member = Member::relying().await;
    *member.source.peer_answers.lock() = false;
    member.source.set_version(3);

    member.receive(Duration::ZERO);
    tokio::time::sleep(Duration::from_millis(300)).await;

    expect_that!(member.version(), eq(ConfigVersion(3)));
    expect_that!(member.source.take_store_calls(), ge(1));
}

/// Guards against a VM that the store rejects and that does not return to the advertiser after one failed read there: it
/// asked the store and random VMs, most of which have no copy, three times a second until the store accepted it again.
#[gtest]
#[tokio::test(start_paused = true)]
async fn rejected_vm_reads_the_configuration_from_the_advertiser_again() {
    let member = Member::relying().await;
    *member.source.only_advertiser_answers.lock() = true;
    *member.source.peer_answers.lock() = false;
    *member.source.store_answers.lock() = false;
    member.source.set_version(3);
    member.receive(Duration::ZERO);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let early = member.version();

    *member.source.peer_answers.lock() = true;
    for _ in 0..4 {
        member.receive(Duration::ZERO);
        tokio::time::sleep(GOSSIP_INTERVAL).await;
    }

    expect_that!(early, eq(ConfigVersion(2)));
    expect_that!(member.version(), eq(ConfigVersion(3)));
}

/// A configuration with a thousand more routes takes more than a second over the link of a small
/// VM, and cannot be read from the advertising VM, whose link all members share. Guards against a
/// timeout shorter than the transfer: with repeated attempts, callers of the new routes were
/// refused for nine seconds after the acknowledgement.
#[gtest]
#[tokio::test(start_paused = true)]
async fn large_configuration_is_read_from_the_store_without_a_timeout() {
    let member = Member::relying().await;
    *member.source.peer_answers.lock() = false;
    *member.source.transfer.lock() = Duration::from_millis(1200);
    member.source.set_version(3);

    member.receive(Duration::ZERO);
    tokio::time::sleep(Duration::from_millis(1250)).await;

    expect_that!(member.version(), eq(ConfigVersion(3)));
    expect_that!(member.source.take_store_calls(), eq(1));
}

/// The store rejects this VM and all that would advertise to it for a while, and a large
/// configuration is put in force in the meantime. Guards against growing delays between requests,
/// with which it would arrive so late that callers of its routes are refused.
#[gtest]
#[tokio::test(start_paused = true)]
async fn large_configuration_is_read_soon_after_an_outage() {
    for down in (8_000..10_000).step_by(200).map(Duration::from_millis) {
        let member = Member::relying().await;
        *member.source.peer_answers.lock() = false;
        *member.source.store_answers.lock() = false;
        *member.source.transfer.lock() = Duration::from_millis(1500);
        member.source.set_version(3);
        let start = Instant::now();
        while start.elapsed() < down {
            member.receive_heartbeats();
            tokio::time::sleep(GOSSIP_INTERVAL).await;
        }

        *member.source.store_answers.lock() = true;
        let back = Instant::now();
        while member.version() < ConfigVersion(3) && back.elapsed() < 3 * MAX_DELAY {
            member.receive_heartbeats();
            tokio::time::sleep(GOSSIP_INTERVAL / 4).await;
        }

        expect_that!(back.elapsed(), le(Duration::from_secs(4)), "after {down:?}");
    }
}

/// The reader's connection to the store has gone silent. The reader continues to advertise its old
/// version with a growing age. Guards against relying on it, which would keep a removed key in
/// force in the whole zone.
#[gtest]
#[tokio::test(start_paused = true)]
async fn reader_without_store_contact_is_not_relied_on() {
    let member = Member::relying().await;
    let start = Instant::now();
    member.source.set_version(3);

    while member.version() < ConfigVersion(3) && start.elapsed() < 2 * MAX_DELAY {
        member.receive_heartbeats();
        member
            .running
            .receive_gossip(&member.gossip(start.elapsed()));
        tokio::time::sleep(GOSSIP_INTERVAL).await;
    }

    expect_that!(start.elapsed(), le(CONFIG_GOSSIP_MAX_AGE + GOSSIP_INTERVAL));
}

/// All VMs that advertise the configuration version crash right after the store has acknowledged a change;
/// the remaining VM must request the configuration itself.
#[gtest]
#[tokio::test(start_paused = true)]
async fn configuration_is_requested_when_gossip_stops() {
    let member = Member::relying().await;
    member.receive(Duration::ZERO);
    member.source.set_version(3);

    tokio::time::sleep(MAX_DELAY).await;

    expect_that!(member.version(), eq(ConfigVersion(3)));
}

/// A VM was suspended, and the datagrams that waited in its socket are from before. Relied on, they
/// would leave an old configuration in force.
#[gtest]
#[tokio::test(start_paused = true)]
async fn suspended_vm_requests_the_configuration_despite_gossip() {
    let member = Member::relying().await;
    let old = member.gossip(Duration::ZERO);
    member.source.set_version(3);

    member
        .running
        .gateway
        .record_suspension(Duration::from_secs(4));
    member.running.receive_gossip(&old);
    tokio::time::sleep(Duration::from_millis(50)).await;

    expect_that!(member.version(), eq(ConfigVersion(3)));
}

/// As above, with the table of upstreams already read again: calls wait until the configuration has
/// been read as well.
#[gtest]
#[tokio::test(start_paused = true)]
async fn suspended_vm_serves_again_once_the_store_was_read() {
    let member = Member::relying().await;
    let table = Feed {
        name: "upstreams",
        read: Box::new(|_, _| Box::pin(async { Ok(empty_table()) })),
        changes: Box::new(|_, _| Box::pin(async { Ok(empty_table()) })),
        read_from_peer: Box::new(|_, _, _| Box::pin(std::future::pending())),
    };
    tokio::spawn(follow_upstreams(member.running.gateway.clone(), table));
    tokio::time::sleep(GOSSIP_INTERVAL).await;
    member.receive(Duration::ZERO);

    member
        .running
        .gateway
        .record_suspension(Duration::from_secs(4));
    let start = Instant::now();
    for _ in 0..8 {
        tokio::time::sleep(Duration::from_millis(5)).await;
        member.receive(Duration::ZERO);
    }
    member.running.gateway.wait_until_current().await;

    expect_that!(start.elapsed(), le(Duration::from_millis(100)));
}

fn empty_table() -> FeedPage<UpstreamEntry> {
    FeedPage {
        position: at_version(10),
        rows: Vec::new(),
        more: None,
    }
}

/// Gossip is lost, the peer or the store does not respond for a while, the reader's data ages, and
/// this VM is suspended, in random order. As long as the store or a peer responds, a change is in
/// force within its bound, and an older configuration never replaces a newer one.
#[gtest]
#[tokio::test(start_paused = true)]
async fn change_is_in_force_within_its_bound_despite_losses() {
    for seed in 0..20 {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let member = Member::relying().await;
        let (mut newest, mut changed, mut in_force) = (2, Instant::now(), ConfigVersion(0));
        let mut reader_contact = Instant::now();
        let mut reader_version = ConfigVersion(2);
        for _ in 0..150 {
            if rng.random_bool(0.05) && member.version() == ConfigVersion(newest) {
                newest += 1;
                member.source.set_version(newest);
                changed = Instant::now();
            }
            let reader_has_contact = rng.random_bool(0.7);
            if reader_has_contact {
                reader_contact = Instant::now();
                reader_version = member.source.version();
            }
            let store_answers = rng.random_bool(0.8);
            *member.source.store_answers.lock() = store_answers;
            *member.source.peer_answers.lock() = rng.random_bool(0.8);
            member.receive_heartbeats();
            if rng.random_bool(0.7) {
                let gossip = member.gossip(reader_contact.elapsed());
                member.running.receive_gossip(&ZoneGossip {
                    config: Some(reader_version),
                    ..gossip
                });
            }
            if rng.random_bool(0.02) {
                member
                    .running
                    .gateway
                    .record_suspension(Duration::from_secs(2));
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
            expect_that!(member.version(), ge(in_force), "seed {seed}");
            in_force = member.version();
            if !store_answers {
                // The bound counts only while the store responds.
                changed = changed.max(Instant::now().checked_sub(MAX_DELAY / 2).unwrap());
            }
            let in_time = in_force == ConfigVersion(newest) || changed.elapsed() <= MAX_DELAY;
            expect_that!(in_time, eq(true), "seed {seed}, version {newest}");
        }
    }
}
