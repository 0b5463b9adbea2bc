//! Tests of leases and orders, with VMs on an in-memory platform and mock engines over HTTP.

use catkin_border::{bundle::RecoveryPolicy, engine};
use catkin_decisions::{
    AvailabilityZone, BundleVersion, Incarnation, LeaseHolder, LeaseSettings, OrderSettings, Term,
    VmId,
};
use catkin_standins::{
    EngineServer, EngineSettings, MockPlatform, TransactOutcome, WeightStore, demo_bundle,
};
use catkinward::{
    BundleInForce, EventKind, Leases, OrderPermission, Orders, PermitError, Platform,
    PlatformError, ReadBundle, Timeline, TimelineQuery, Timer, http_client::Connections,
    read_bundle,
};
use googletest::prelude::*;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// VM with its leases and orders, which can be partitioned from the platform.
struct Vm {
    leases: Arc<Leases>,
    bundle: Arc<BundleInForce>,
    timeline: Arc<Timeline>,
    partitioned: Arc<AtomicBool>,
    _orders: Arc<Orders>,
}

const SCOPE: &str = "orders/ticket-model";

fn lease_settings() -> LeaseSettings {
    LeaseSettings {
        duration: Duration::from_millis(600),
        margin: Duration::from_millis(100),
        renew_after: Duration::from_millis(150),
        poll_interval: Duration::from_millis(50),
        order_timeout: Duration::from_millis(200),
    }
}

fn order_settings() -> OrderSettings {
    OrderSettings {
        poll_interval: Duration::from_millis(20),
        report_max_age: Duration::from_millis(500),
        idle_before_unload: Duration::from_millis(100),
        resend_after: Duration::from_millis(100),
        ..OrderSettings::default()
    }
}

/// Returns a platform client that refuses all calls as not run while `partitioned` is set.
fn partitionable_platform(platform: &MockPlatform, partitioned: &Arc<AtomicBool>) -> Platform {
    let inner = Arc::new(platform.platform());
    macro_rules! unless_partitioned {
        ($call:ident) => {{
            let (inner, partitioned) = (inner.clone(), partitioned.clone());
            Box::new(move |q| {
                if partitioned.load(Ordering::Relaxed) {
                    Box::pin(std::future::ready(Err(PlatformError::NotRun)))
                } else {
                    (inner.$call)(q)
                }
            })
        }};
    }
    Platform {
        transact: unless_partitioned!(transact),
        read: unless_partitioned!(read),
        scan: unless_partitioned!(scan),
        put_object: unless_partitioned!(put_object),
        get_object: unless_partitioned!(get_object),
        vms: unless_partitioned!(vms),
    }
}

fn vm(platform: &MockPlatform, name: &str) -> Vm {
    let partitioned = Arc::new(AtomicBool::new(false));
    let id: VmId = name.parse().expect("a valid id");
    let zone: AvailabilityZone = "zone-0".parse().expect("a valid name");
    let timer = Timer::start();
    let timeline = Arc::new(Timeline::new(id.clone(), zone, Arc::default(), 1000));
    let bundle = Arc::new(BundleInForce::new(timeline.clone()));
    let me = LeaseHolder {
        vm: id,
        incarnation: Incarnation(1),
    };
    let vm_platform = Arc::new(partitionable_platform(platform, &partitioned));
    let leases = Leases::start(vm_platform, timer.clone(), me, lease_settings());
    let orders = Orders::start(
        leases.clone(),
        timer,
        timeline.clone(),
        Arc::new(Connections::new().expect("a client")),
        bundle.clone(),
        OrderPermission::All,
        order_settings(),
    );
    Vm {
        leases,
        bundle,
        timeline,
        partitioned,
        _orders: orders,
    }
}

impl Vm {
    fn events(&self, kind: EventKind) -> usize {
        let extract = self.timeline.extract(&TimelineQuery::default());
        let of_kind = |record: &&catkinward::TimelineRecord| record.event.kind == kind;
        extract.records.iter().filter(of_kind).count()
    }

    fn holds_lease(&self) -> bool {
        self.leases.compete(SCOPE).held().is_some()
    }
}

fn bundle(number: u64, engines: &[EngineServer], version: &str) -> ReadBundle {
    let addresses = engines.iter().map(EngineServer::address);
    let mut bundle = demo_bundle(&addresses.collect::<Vec<_>>(), RecoveryPolicy::LeastWait);
    for service in &mut bundle.services {
        let model = service.model.as_mut().expect("a generation service");
        version.clone_into(&mut model.version);
    }
    for (i, upstream) in bundle.upstreams.iter_mut().enumerate() {
        upstream.availability_zone = format!("zone-{i}");
    }
    let json = serde_json::to_string(&bundle).expect("JSON");
    read_bundle(BundleVersion(number), &json).expect("a valid bundle")
}

async fn engines(count: usize, settings: EngineSettings) -> Vec<EngineServer> {
    let mut engines = Vec::new();
    for _ in 0..count {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let engine = EngineServer::start(address, settings.clone()).await;
        engines.push(engine.expect("a free port"));
    }
    engines
}

fn engine_settings() -> EngineSettings {
    EngineSettings {
        load_time: Duration::from_millis(100),
        ..EngineSettings::default()
    }
}

fn has_only_version(engine: &EngineServer, version: &str) -> bool {
    let loaded = engine.loaded_models();
    loaded.len() == 1 && loaded[0].version == version
}

/// Waits until the condition holds; panics after 30 s.
async fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let result = tokio::time::timeout(Duration::from_secs(30), waiting).await;
    assert!(result.is_ok(), "timed out waiting until {description}");
}

fn engine_order(term: u64, version: &str) -> engine::EngineOrder {
    engine::EngineOrder {
        holder: "vm-0".into(),
        models: vec![engine::LoadedModel {
            adapter: None,
            model: "catkin".into(),
            streams: None,
            version: version.into(),
        }],
        role: engine::EngineRole::Serve,
        term,
    }
}

#[gtest]
#[tokio::test]
async fn rollout_loads_models_on_one_engine_at_a_time() {
    let weight_store = WeightStore::default();
    let engines = engines(
        4,
        EngineSettings {
            weight_store: Some(weight_store.clone()),
            ..engine_settings()
        },
    )
    .await;
    let platform = MockPlatform::default();
    let vm = vm(&platform, "vm-1");
    vm.bundle.advance(bundle(1, &engines, "1"));

    vm.bundle.advance(bundle(2, &engines, "2"));

    wait_until("all engines hold version 2 only", || {
        engines.iter().all(|engine| has_only_version(engine, "2"))
    })
    .await;
    expect_that!(weight_store.max_concurrent_loads(), eq(1));
    expect_that!(vm.events(EventKind::LeaseWon), eq(1));
}

/// Two VMs start at the same time and compete for one lease. Only one of them may order the engines.
#[gtest]
#[tokio::test]
async fn only_one_of_two_competing_vms_sends_orders() {
    let engines = engines(2, engine_settings()).await;
    let platform = MockPlatform::default();
    let vms = [vm(&platform, "vm-1"), vm(&platform, "vm-2")];
    for vm in &vms {
        vm.bundle.advance(bundle(1, &engines, "2"));
    }

    wait_until("both engines hold version 2", || {
        engines.iter().all(|engine| has_only_version(engine, "2"))
    })
    .await;

    let orderers = vms.iter().filter(|vm| vm.events(EventKind::OrderSent) > 0);
    expect_that!(orderers.count(), eq(1));
}

/// The lease holder is partitioned from the platform. Its lease expires, another VM takes over with a
/// larger term, and the former holder sends no orders after it reconnects.
#[gtest]
#[tokio::test]
async fn partitioned_lease_holder_is_replaced() {
    let engines = engines(2, engine_settings()).await;
    let platform = MockPlatform::default();
    let first = vm(&platform, "vm-1");
    first.bundle.advance(bundle(1, &engines, "2"));
    wait_until("the first VM holds the lease", || first.holds_lease()).await;
    let second = vm(&platform, "vm-2");
    second.bundle.advance(bundle(1, &engines, "2"));
    first.partitioned.store(true, Ordering::Relaxed);
    wait_until("the second VM holds the lease", || second.holds_lease()).await;
    let held_at_once = first.holds_lease();
    first.partitioned.store(false, Ordering::Relaxed);
    first.bundle.advance(bundle(2, &engines, "3"));
    second.bundle.advance(bundle(2, &engines, "3"));

    wait_until("both engines hold version 3", || {
        engines.iter().all(|engine| has_only_version(engine, "3"))
    })
    .await;

    expect_that!(held_at_once, eq(false));
    expect_that!(second.leases.compete(SCOPE).held(), some(eq(Term(2))));
    for engine in &engines {
        expect_that!(engine.order_counts().stale_applied, eq(0));
    }
}

/// A delayed order of a former lease holder arrives after those of its successor. An engine with
/// fencing refuses it; the state of one without fencing is read back and corrected.
#[gtest]
#[tokio::test]
async fn stale_order_is_refused_or_corrected() {
    for enforces_fencing in [true, false] {
        let engines = engines(
            1,
            EngineSettings {
                enforces_fencing,
                ..engine_settings()
            },
        )
        .await;
        let engine = &engines[0];
        let platform = MockPlatform::default();
        let vm = vm(&platform, "vm-1");
        vm.bundle.advance(bundle(1, &engines, "2"));
        wait_until("the engine holds version 2", || {
            has_only_version(engine, "2")
        })
        .await;

        let applied = engine.apply_order(engine_order(0, "1"));

        expect_that!(applied.is_ok(), eq(!enforces_fencing));
        wait_until("the engine holds version 2 again", || {
            has_only_version(engine, "2")
        })
        .await;
        let stale = engine.order_counts().stale_applied;
        expect_that!(stale, eq(u64::from(!enforces_fencing)));
    }
}

/// The lease row was lost with its table, while engines still remember larger terms.
#[gtest]
#[tokio::test]
async fn new_term_exceeds_the_highest_term_of_the_engine() {
    let engines = engines(1, engine_settings()).await;
    engines[0]
        .apply_order(engine_order(41, "1"))
        .expect("the first order is taken");
    let platform = MockPlatform::default();
    let vm = vm(&platform, "vm-1");

    vm.bundle.advance(bundle(1, &engines, "2"));

    wait_until("the engine holds version 2", || {
        has_only_version(&engines[0], "2")
    })
    .await;
    expect_that!(vm.leases.compete(SCOPE).held(), some(gt(Term(41))));
}

/// An engine that checks the sender of orders does not list this VM. Its refusals must not stop
/// orders to the other engines.
#[gtest]
#[tokio::test]
async fn engine_that_rejects_the_lease_holder_does_not_block_others() {
    let mut engines = engines(
        1,
        EngineSettings {
            orderers: vec!["vm-9".into()],
            ..engine_settings()
        },
    )
    .await;
    engines.extend(self::engines(2, engine_settings()).await);
    let platform = MockPlatform::default();
    let vm = vm(&platform, "vm-1");

    vm.bundle.advance(bundle(1, &engines, "2"));

    wait_until("the first engine has refused", || {
        engines[0].order_counts().refused > 0
    })
    .await;
    wait_until("the others hold version 2", || {
        engines[1..]
            .iter()
            .all(|engine| has_only_version(engine, "2"))
    })
    .await;
    expect_that!(has_only_version(&engines[0], "1"), eq(true));
}

/// The first write of the lease row has each possible outcome; the lease is acquired in every case.
#[gtest]
#[tokio::test]
async fn lease_is_acquired_with_every_write_outcome() {
    let outcomes = [
        TransactOutcome::Answered,
        TransactOutcome::LostAfterEffect,
        TransactOutcome::LostBeforeEffect,
        TransactOutcome::Late,
        TransactOutcome::NotRun,
        TransactOutcome::Throttled,
    ];
    for outcome in outcomes {
        let platform = MockPlatform::default();
        platform.script([outcome]);
        let vm = vm(&platform, "vm-1");
        let lease = vm.leases.compete(SCOPE);

        wait_until("the lease is held", || lease.held().is_some()).await;

        let permit = lease.permit().await;
        expect_that!(permit.map(|p| p.term()), ok(ge(&Term(1))), "{outcome:?}");
    }
}

/// The platform becomes unavailable between two orders. The holder cannot confirm its lease and gets
/// no permit to send orders.
#[gtest]
#[tokio::test]
async fn no_permit_while_the_lease_cannot_be_confirmed() {
    let platform = MockPlatform::default();
    let vm = vm(&platform, "vm-1");
    let lease = vm.leases.compete(SCOPE);
    wait_until("the lease is held", || lease.held().is_some()).await;
    platform.set_outage(true);

    let refused = lease.permit().await;

    expect_that!(
        refused,
        err(any![
            eq(&PermitError::Unconfirmed(PlatformError::NotRun)),
            eq(&PermitError::NotHeld)
        ])
    );
}

/// The platform is unavailable during a rollout for longer than the lease; the rollout then continues.
#[gtest]
#[tokio::test]
async fn rollout_continues_after_a_platform_outage() {
    let engines = engines(3, engine_settings()).await;
    let platform = MockPlatform::default();
    let vm = vm(&platform, "vm-1");
    vm.bundle.advance(bundle(1, &engines, "2"));
    wait_until("the first order is taken", || {
        engines.iter().any(|engine| engine.order_counts().taken > 0)
    })
    .await;
    platform.set_outage(true);
    wait_until("the lease has lapsed", || !vm.holds_lease()).await;
    platform.set_outage(false);

    wait_until("all engines hold version 2", || {
        engines.iter().all(|engine| has_only_version(engine, "2"))
    })
    .await;

    for engine in &engines {
        expect_that!(engine.order_counts().stale_applied, eq(0));
    }
}
