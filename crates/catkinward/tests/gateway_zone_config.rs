//! A VM of a large zone that hears from others which configuration is in force.

mod gateway_support;

use catkin_decisions::{
    CONFIG_GOSSIP_MAX_AGE, ConfigVersion, RoutingConfig, UpstreamEntry, UpstreamTable, ZoneGossip,
    ZoneRole,
};
use catkinward::gateway::{Feed, FeedError, FeedPage, follow_config, follow_upstreams};
use gateway_support::*;
use googletest::prelude::*;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::Instant;

/// A VM's period of telling.
const PERIOD: Duration = Duration::from_millis(400);

/// How long after its acknowledgement a configuration must be in force.
const BOUND: Duration = Duration::from_secs(3);

/// Where the configuration is to be had, and how often it was asked for.
#[derive(Clone)]
struct Source {
    config: Arc<Mutex<RoutingConfig>>,
    store_answers: Arc<Mutex<bool>>,
    peer_answers: Arc<Mutex<bool>>,
    store_calls: Arc<Mutex<u32>>,
    peers_asked: Arc<Mutex<Vec<SocketAddr>>>,
    /// How long an answer of the store takes that brings a configuration.
    transfer: Arc<Mutex<Duration>>,
}

impl Source {
    fn new(config: RoutingConfig) -> Self {
        Self {
            config: Arc::new(Mutex::new(config)),
            store_answers: Arc::new(Mutex::new(true)),
            peer_answers: Arc::new(Mutex::new(true)),
            store_calls: Arc::default(),
            peers_asked: Arc::default(),
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
            version: config.version.0,
            rows: vec![row("config", config)],
        }
    }

    async fn ask_store(
        self,
        after: u64,
        wait: Duration,
    ) -> std::result::Result<FeedPage<RoutingConfig>, FeedError> {
        *self.store_calls.lock() += 1;
        let end = Instant::now() + wait;
        loop {
            if !*self.store_answers.lock() {
                return Err(FeedError::Refused);
            }
            let page = self.page();
            if page.version > after {
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
            read: Box::new(move |_| Box::pin(reading.clone().ask_store(0, Duration::ZERO))),
            changes: Box::new(move |after, wait| Box::pin(asking.clone().ask_store(after, wait))),
            read_from_peer: Box::new(move |address| {
                peer.peers_asked.lock().push(address);
                let answers = *peer.peer_answers.lock();
                let page = answers.then(|| peer.page());
                Box::pin(async move { page.ok_or(FeedError::NoAnswer) })
            }),
        }
    }

    fn take_store_calls(&self) -> u32 {
        std::mem::take(&mut self.store_calls.lock())
    }
}

/// A VM that is a member of a zone of twenty.
struct Member {
    running: Running,
    source: Source,
    others: Vec<Arc<str>>,
}

impl Member {
    /// A member that has relied on its zone for some seconds.
    async fn relying() -> Self {
        let running = GatewayFixture::new(|_| Script::Hang).start();
        let others = zone_in_which_vm_1_is_a_member();
        let config = running.gateway.config().unwrap();
        let source = Source::new(RoutingConfig {
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
            member.hear(Duration::ZERO);
            tokio::time::sleep(PERIOD).await;
        }
        member.source.take_store_calls();
        member
    }

    /// Notes of all others, and the word of one that has what the store has, and asked it so long ago.
    fn hear(&self, config_age: Duration) {
        self.hear_notes();
        self.running.receive_gossip(&ZoneGossip {
            config: Some(self.source.version()),
            ..self.word(config_age)
        });
    }

    fn hear_notes(&self) {
        for vm in &self.others {
            self.running
                .receive_heartbeat(self.running.empty_heartbeat(vm, "a"));
        }
    }

    fn word(&self, config_age: Duration) -> ZoneGossip {
        ZoneGossip {
            vm: self.others[0].clone(),
            config: self.running.gateway.config().map(|config| config.version),
            config_from_store: false,
            config_age_ms: Some(u32::try_from(config_age.as_millis()).unwrap()),
            version: 10,
            digest: UpstreamTable::default().digest(),
            age_ms: 0,
            changes: Vec::new(),
        }
    }

    fn version(&self) -> ConfigVersion {
        self.running.gateway.config().unwrap().version
    }
}

fn zone_in_which_vm_1_is_a_member() -> Vec<Arc<str>> {
    let others = |first: usize| {
        (first..first + 19)
            .map(|n| Arc::from(format!("vm-{n}")))
            .collect::<Vec<Arc<str>>>()
    };
    let is_member = |others: &Vec<Arc<str>>| {
        let mut vms = others.clone();
        vms.push("vm-1".into());
        ZoneRole::of("vm-1", &vms) == ZoneRole::Member
    };
    (2..10_000).map(others).find(is_member).unwrap()
}

/// Each of 195 VMs held a question at the store and asked it anew every few seconds, although nothing changed:
/// half of the calls of a calm day.
#[gtest]
#[tokio::test(start_paused = true)]
async fn member_of_a_large_zone_does_not_ask_the_store_for_the_configuration() {
    let member = Member::relying().await;

    for _ in 0..50 {
        member.hear(Duration::from_secs(1));
        tokio::time::sleep(PERIOD).await;
    }

    expect_that!(member.source.take_store_calls(), eq(0));
}

/// A route is added. The VM that reads for the zone says so, and the others have the configuration from it.
#[gtest]
#[tokio::test(start_paused = true)]
async fn newer_configuration_is_read_from_the_vm_that_tells_of_it() {
    let member = Member::relying().await;
    member.source.set_version(3);

    member.hear(Duration::ZERO);
    tokio::time::sleep(Duration::from_millis(20)).await;

    expect_that!(member.version(), eq(ConfigVersion(3)));
    expect_that!(member.source.take_store_calls(), eq(0));
    let asked = member.source.peers_asked.lock().last().copied();
    expect_that!(asked, some(eq(PEER.parse::<SocketAddr>().unwrap())));
}

/// Guards against members that fill the small link of the VM which tells of a newer configuration.
#[gtest]
#[tokio::test(start_paused = true)]
async fn configuration_that_its_teller_cannot_carry_is_read_from_the_store() {
    let member = Member::relying().await;
    let asked_before = member.source.peers_asked.lock().len();
    member.source.set_version(3);

    member.hear_notes();
    member.running.receive_gossip(&ZoneGossip {
        config: Some(member.source.version()),
        config_from_store: true,
        ..member.word(Duration::ZERO)
    });
    tokio::time::sleep(Duration::from_millis(20)).await;

    expect_that!(member.version(), eq(ConfigVersion(3)));
    expect_that!(member.source.take_store_calls(), eq(1));
    expect_that!(member.source.peers_asked.lock().len(), eq(asked_before));
}

/// The VM that told of a newer configuration dies before the others have it from there. They ask the store.
#[gtest]
#[tokio::test(start_paused = true)]
async fn newer_configuration_comes_from_the_store_if_its_teller_is_gone() {
    let member = Member::relying().await;
    *member.source.peer_answers.lock() = false;
    member.source.set_version(3);

    member.hear(Duration::ZERO);
    tokio::time::sleep(Duration::from_millis(300)).await;

    expect_that!(member.version(), eq(ConfigVersion(3)));
    expect_that!(member.source.take_store_calls(), ge(1));
}

/// A thousand routes are added, and the configuration takes more than a second over the link of a small VM; from the
/// VM that told of it, whose link all others share, it does not come at all. Given up sooner than it can come, and
/// asked for again, callers of the new routes were refused for nine seconds after the acknowledgement.
#[gtest]
#[tokio::test(start_paused = true)]
async fn large_configuration_has_time_to_come_from_the_store() {
    let member = Member::relying().await;
    *member.source.peer_answers.lock() = false;
    *member.source.transfer.lock() = Duration::from_millis(1200);
    member.source.set_version(3);

    member.hear(Duration::ZERO);
    tokio::time::sleep(Duration::from_millis(1250)).await;

    expect_that!(member.version(), eq(ConfigVersion(3)));
    expect_that!(member.source.take_store_calls(), eq(1));
}

/// The store turns this VM and all who would tell it away for a while, and a large configuration is put in force
/// meanwhile. Had the waits for the store's return grown, it would come so late that callers of its routes are refused.
#[gtest]
#[tokio::test(start_paused = true)]
async fn large_configuration_comes_soon_after_the_store_is_back() {
    for away in (8_000..10_000).step_by(200).map(Duration::from_millis) {
        let member = Member::relying().await;
        *member.source.peer_answers.lock() = false;
        *member.source.store_answers.lock() = false;
        *member.source.transfer.lock() = Duration::from_millis(1500);
        member.source.set_version(3);
        let start = Instant::now();
        while start.elapsed() < away {
            member.hear_notes();
            tokio::time::sleep(PERIOD).await;
        }

        *member.source.store_answers.lock() = true;
        let back = Instant::now();
        while member.version() < ConfigVersion(3) && back.elapsed() < 3 * BOUND {
            member.hear_notes();
            tokio::time::sleep(PERIOD / 4).await;
        }

        expect_that!(back.elapsed(), le(Duration::from_secs(4)), "after {away:?}");
    }
}

/// The reader's connection to the store has gone silent: it goes on telling, with an age that grows, and knows nothing
/// of the change. Believed, it would keep a removed key in force in its whole zone.
#[gtest]
#[tokio::test(start_paused = true)]
async fn reader_that_is_out_of_touch_is_not_believed() {
    let member = Member::relying().await;
    let start = Instant::now();
    member.source.set_version(3);

    while member.version() < ConfigVersion(3) && start.elapsed() < 2 * BOUND {
        member.hear_notes();
        member.running.receive_gossip(&member.word(start.elapsed()));
        tokio::time::sleep(PERIOD).await;
    }

    expect_that!(start.elapsed(), le(CONFIG_GOSSIP_MAX_AGE + PERIOD));
}

/// All who tell die at once, right after the store has acknowledged a change.
#[gtest]
#[tokio::test(start_paused = true)]
async fn configuration_is_asked_for_when_nobody_tells_any_more() {
    let member = Member::relying().await;
    member.hear(Duration::ZERO);
    member.source.set_version(3);

    tokio::time::sleep(BOUND).await;

    expect_that!(member.version(), eq(ConfigVersion(3)));
}

/// A VM was suspended, and the words that waited in its socket are from before. Relied on, they would leave an old
/// configuration in force.
#[gtest]
#[tokio::test(start_paused = true)]
async fn vm_that_was_suspended_asks_the_store_whatever_it_hears() {
    let member = Member::relying().await;
    let old = member.word(Duration::ZERO);
    member.source.set_version(3);

    member.running.gateway.woke(Duration::from_secs(4));
    member.running.receive_gossip(&old);
    tokio::time::sleep(Duration::from_millis(50)).await;

    expect_that!(member.version(), eq(ConfigVersion(3)));
}

/// The same, once the table of upstreams has been read anew: as long as the configuration has not, calls wait.
#[gtest]
#[tokio::test(start_paused = true)]
async fn vm_that_was_suspended_serves_again_once_the_store_was_asked() {
    let member = Member::relying().await;
    let table = Feed {
        name: "upstreams",
        read: Box::new(|_| Box::pin(async { Ok(empty_table()) })),
        changes: Box::new(|_, _| Box::pin(async { Ok(empty_table()) })),
        read_from_peer: Box::new(|_| Box::pin(std::future::pending())),
    };
    tokio::spawn(follow_upstreams(member.running.gateway.clone(), table));
    tokio::time::sleep(PERIOD).await;
    member.hear(Duration::ZERO);

    member.running.gateway.woke(Duration::from_secs(4));
    let start = Instant::now();
    for _ in 0..8 {
        tokio::time::sleep(Duration::from_millis(5)).await;
        member.hear(Duration::ZERO);
    }
    member.running.gateway.known().await;

    expect_that!(start.elapsed(), le(Duration::from_millis(100)));
}

fn empty_table() -> FeedPage<UpstreamEntry> {
    FeedPage {
        version: 10,
        rows: Vec::new(),
    }
}

/// Words are lost, the peer or the store does not answer for a while, the reader's words age, this VM is suspended: in
/// any order. As long as the store or a peer answers, a change is in force within its bound, and an older
/// configuration never comes after a newer one.
#[gtest]
#[tokio::test(start_paused = true)]
async fn change_is_in_force_within_its_bound_whatever_is_lost() {
    for seed in 0..20 {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let member = Member::relying().await;
        let (mut newest, mut changed, mut in_force) = (2, Instant::now(), ConfigVersion(0));
        let mut reader_asked = Instant::now();
        let mut reader_knows = ConfigVersion(2);
        for _ in 0..150 {
            if rng.random_bool(0.05) && member.version() == ConfigVersion(newest) {
                newest += 1;
                member.source.set_version(newest);
                changed = Instant::now();
            }
            let reader_in_touch = rng.random_bool(0.7);
            if reader_in_touch {
                reader_asked = Instant::now();
                reader_knows = member.source.version();
            }
            let store_answers = rng.random_bool(0.8);
            *member.source.store_answers.lock() = store_answers;
            *member.source.peer_answers.lock() = rng.random_bool(0.8);
            member.hear_notes();
            if rng.random_bool(0.7) {
                let word = member.word(reader_asked.elapsed());
                member.running.receive_gossip(&ZoneGossip {
                    config: Some(reader_knows),
                    ..word
                });
            }
            if rng.random_bool(0.02) {
                member.running.gateway.woke(Duration::from_secs(2));
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
            expect_that!(member.version(), ge(in_force), "seed {seed}");
            in_force = member.version();
            if !store_answers {
                // The bound counts while the store answers.
                changed = changed.max(Instant::now().checked_sub(BOUND / 2).unwrap());
            }
            let in_time = in_force == ConfigVersion(newest) || changed.elapsed() <= BOUND;
            expect_that!(in_time, eq(true), "seed {seed}, version {newest}");
        }
    }
}
