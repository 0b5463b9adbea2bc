//! Orders to engines: a rollout keeps serving requests, keeps running streams resumable, and limits
//! the load on the weight store.

use catkin_decisions::{
    AvailabilityZone, EngineReport, EngineState, EngineTarget, Instant, Model, OrderPlanner,
    OrderSettings, Term, UpstreamId, serving_model,
};
use googletest::prelude::*;
use proptest::prelude::*;
use std::time::Duration;

const LOAD_MS: u64 = 20_000;

fn model(version: &str) -> Model {
    Model {
        name: "ticket".into(),
        version: version.into(),
        adapter: None,
    }
}

fn engine_id(i: usize) -> UpstreamId {
    format!("engine-{i}").parse().expect("a valid id")
}

fn zone(i: usize) -> AvailabilityZone {
    format!("zone-{}", i / 2).parse().expect("a valid name")
}

/// Simulates engines that carry out orders: a load takes 20 s, and an unload is immediate.
struct Simulation {
    now: u64,
    targets: Vec<EngineTarget>,
    engines: Vec<Engine>,
    planner: OrderPlanner,
    /// Largest number of engines that were loading models at the same time.
    max_loading: usize,
    /// Smallest number of engines that had a model loaded at the same time.
    min_serving: usize,
}

struct Engine {
    loaded: Vec<(Model, u32)>,
    loading: Vec<(Model, u64)>,
    reports_loading: bool,
    reachable: bool,
    refuses_orders: bool,
    report: EngineReport,
}

impl Simulation {
    fn new(engines: usize, cfg: OrderSettings) -> Self {
        let mut sim = Self {
            now: 0,
            targets: Vec::new(),
            engines: (0..engines).map(|_| Engine::new()).collect(),
            planner: OrderPlanner::new(cfg),
            max_loading: 0,
            min_serving: engines,
        };
        sim.set_wanted_version("1");
        sim
    }

    fn set_wanted_version(&mut self, version: &str) {
        let target = |i| EngineTarget {
            upstream: engine_id(i),
            zone: zone(i),
            models: vec![model(version)],
        };
        self.targets = (0..self.engines.len()).map(target).collect();
    }

    fn instant(&self) -> Instant {
        Instant(Duration::from_millis(self.now))
    }

    /// Advances the simulation by one second: the engines report, and receive the orders that the
    /// planner returns.
    fn run_second(&mut self) {
        self.now += 1000;
        let (now, instant) = (self.now, self.instant());
        for engine in &mut self.engines {
            engine.finish_loads(now);
            if engine.reachable {
                engine.report = engine.report_at(instant);
            }
        }
        for state in self.plan() {
            self.planner.record_sent(instant, &state);
            self.apply_order(&state);
        }
        let loading = self.engines.iter().filter(|e| !e.loading.is_empty());
        self.max_loading = self.max_loading.max(loading.count());
        let serving = self.engines.iter().filter(|e| !e.loaded.is_empty());
        self.min_serving = self.min_serving.min(serving.count());
    }

    fn plan(&mut self) -> Vec<EngineState> {
        let reports = self.engines.iter().enumerate();
        let reports = reports.map(|(i, engine)| (engine_id(i), engine.report.clone()));
        let reports = reports.collect::<Vec<_>>();
        self.planner.plan(self.instant(), &self.targets, &reports)
    }

    fn apply_order(&mut self, state: &EngineState) {
        let (now, id) = (self.now, &state.upstream);
        let i = (0..self.engines.len()).find(|i| engine_id(*i) == *id);
        let engine = &mut self.engines[i.expect("an engine with this id")];
        if engine.refuses_orders {
            self.planner.record_refused(id);
        } else {
            engine.apply_order(now, &state.models);
        }
    }

    fn run_seconds(&mut self, count: usize) {
        (0..count).for_each(|_| self.run_second());
    }

    /// Returns the indices of the engines that report a model version as loaded.
    fn holders(&self, version: &str) -> Vec<usize> {
        let held = |i: &usize| self.engines[*i].report.is_loaded(&model(version));
        (0..self.engines.len()).filter(held).collect()
    }

    fn zones_holding(&self, version: &str) -> usize {
        let mut zones = self
            .holders(version)
            .into_iter()
            .map(zone)
            .collect::<Vec<_>>();
        zones.sort();
        zones.dedup();
        zones.len()
    }

    fn set_streams(&mut self, i: usize, version: &str, streams: u32) {
        let wanted = model(version);
        for (_, count) in self.engines[i]
            .loaded
            .iter_mut()
            .filter(|(m, _)| *m == wanted)
        {
            *count = streams;
        }
    }
}

impl Engine {
    fn new() -> Self {
        let loaded = vec![(model("1"), 0)];
        Self {
            report: EngineReport {
                requested_at: Instant::default(),
                loaded: loaded.clone(),
                loading: None,
                serves: true,
                highest_term: Term(0),
            },
            loaded,
            loading: Vec::new(),
            reports_loading: true,
            reachable: true,
            refuses_orders: false,
        }
    }

    fn finish_loads(&mut self, now: u64) {
        let (ready, loading) = std::mem::take(&mut self.loading)
            .into_iter()
            .partition::<Vec<_>, _>(|(_, at)| *at <= now);
        self.loading = loading;
        self.loaded.extend(ready.into_iter().map(|(m, _)| (m, 0)));
        self.loaded.sort();
    }

    fn apply_order(&mut self, now: u64, models: &[Model]) {
        self.loaded.retain(|(model, _)| models.contains(model));
        self.loading.retain(|(model, _)| models.contains(model));
        for model in models {
            let present = self.loaded.iter().any(|(m, _)| m == model)
                || self.loading.iter().any(|(m, _)| m == model);
            if !present {
                self.loading.push((model.clone(), now + LOAD_MS));
            }
        }
    }

    fn report_at(&self, at: Instant) -> EngineReport {
        let loading = self.loading.iter().map(|(model, _)| model.clone());
        EngineReport {
            requested_at: at,
            loaded: self.loaded.clone(),
            loading: self.reports_loading.then(|| loading.collect()),
            serves: true,
            highest_term: Term(0),
        }
    }
}

#[gtest]
fn no_orders_when_engines_are_in_their_target_state() {
    let mut sim = Simulation::new(3, OrderSettings::default());
    sim.run_second();

    expect_that!(sim.plan(), is_empty());
}

/// A new version is rolled out to six engines. If all of them loaded at once, no engine would serve
/// requests during the load, and the weight store would have to serve six copies at the same
/// moment.
#[gtest]
fn rollout_loads_one_engine_at_a_time_and_keeps_serving() {
    for reports_loading in [true, false] {
        let mut sim = Simulation::new(6, OrderSettings::default());
        for engine in &mut sim.engines {
            engine.reports_loading = reports_loading;
        }
        sim.set_wanted_version("2");

        sim.run_seconds(6 * 22 + 30);

        expect_that!(sim.holders("2").len(), eq(6));
        expect_that!(sim.holders("1"), is_empty());
        expect_that!(sim.max_loading, eq(1));
        expect_that!(sim.min_serving, eq(6));
    }
}

/// The weight store allows more simultaneous loads than there are engines. One engine must still
/// keep serving while the others load.
#[gtest]
fn replicas_never_all_load_at_once() {
    let mut sim = Simulation::new(
        3,
        OrderSettings {
            max_concurrent_loads: 10,
            ..OrderSettings::default()
        },
    );
    sim.set_wanted_version("2");

    sim.run_seconds(70);

    expect_that!(sim.max_loading, eq(2));
    expect_that!(sim.holders("2").len(), eq(3));
}

#[gtest]
fn single_engine_loads_too() {
    let mut sim = Simulation::new(1, OrderSettings::default());
    sim.set_wanted_version("2");

    sim.run_seconds(60);

    expect_that!(sim.holders("2"), eq(&[0]));
}

/// A long generation runs on the old version while the new one is rolled out. If no other engine
/// kept that version, the generation could not be resumed after its engine crashed.
#[gtest]
fn old_version_in_use_stays_on_two_engines_in_two_zones() {
    let mut sim = Simulation::new(6, OrderSettings::default());
    sim.set_streams(0, "1", 1);
    sim.set_wanted_version("2");

    sim.run_seconds(6 * 22 + 100);
    let while_in_use = (sim.holders("1"), sim.zones_holding("1"));
    sim.set_streams(0, "1", 0);
    sim.run_seconds(10);
    let after_10_s_idle = sim.holders("1").len();
    sim.run_seconds(10);

    expect_that!(while_in_use.0.len(), eq(2));
    expect_that!(while_in_use.0, contains(eq(&0)));
    expect_that!(while_in_use.1, eq(2));
    expect_that!(after_10_s_idle, eq(2));
    expect_that!(sim.holders("1"), is_empty());
}

/// Generations run on the old version on three engines. None of the engines may unload it while a
/// stream runs on it.
#[gtest]
fn old_version_stays_on_all_engines_with_its_streams() {
    let mut sim = Simulation::new(6, OrderSettings::default());
    for i in [0, 3, 5] {
        sim.set_streams(i, "1", 2);
    }
    sim.set_wanted_version("2");

    sim.run_seconds(6 * 22 + 100);

    expect_that!(sim.holders("1"), eq(&[0, 3, 5]));
}

/// One of the two engines that keep an old version in use restarts without it. A second replica must
/// be loaded elsewhere, or the next crash would end the generation.
#[gtest]
fn lost_replica_of_an_old_version_in_use_is_replaced() {
    let mut sim = Simulation::new(6, OrderSettings::default());
    sim.set_streams(4, "1", 1);
    sim.set_wanted_version("2");
    sim.run_seconds(6 * 22 + 100);
    let other = sim.holders("1").into_iter().find(|i| *i != 4);
    let other = other.expect("two engines keep the old version");
    sim.engines[other].loaded.retain(|(m, _)| *m != model("1"));

    sim.run_seconds(30);

    expect_that!(sim.holders("1").len(), eq(2));
    expect_that!(sim.zones_holding("1"), eq(2));
}

/// An engine is unreachable, and may run streams on the old version.
#[gtest]
fn old_version_on_an_unreachable_engine_counts_as_in_use() {
    let mut sim = Simulation::new(4, OrderSettings::default());
    sim.run_seconds(1);
    sim.engines[3].reachable = false;
    sim.set_wanted_version("2");

    sim.run_seconds(4 * 22 + 60);

    expect_that!(sim.holders("2"), eq(&[0, 1, 2]));
    expect_that!(sim.zones_holding("1"), ge(2));
}

/// A former lease holder resumes after a long pause and orders an engine that ignores terms back to
/// the old version. The current holder reads the changed state back and orders the engine again.
#[gtest]
fn state_changed_by_a_stale_order_is_corrected() {
    let mut sim = Simulation::new(3, OrderSettings::default());
    sim.set_wanted_version("2");
    sim.run_seconds(120);
    sim.apply_order(&EngineState {
        upstream: engine_id(1),
        models: vec![model("1")],
    });

    sim.run_seconds(60);

    expect_that!(sim.holders("2").len(), eq(3));
    expect_that!(sim.holders("1"), is_empty());
}

/// An engine that does not report loads in progress refuses its orders, since this VM is not
/// allowed to order it. Other engines must not wait for the timeout of a load that never started.
#[gtest]
fn refused_order_does_not_delay_other_engines() {
    let mut sim = Simulation::new(3, OrderSettings::default());
    sim.engines[0].reports_loading = false;
    sim.engines[0].refuses_orders = true;
    sim.set_wanted_version("2");

    sim.run_seconds(60);

    expect_that!(sim.holders("2"), eq(&[1, 2]));
}

/// The engine never receives its first order.
#[gtest]
fn lost_order_is_sent_again() {
    let mut sim = Simulation::new(1, OrderSettings::default());
    sim.set_wanted_version("2");
    sim.run_second();
    sim.engines[0].loading.clear();

    sim.run_seconds(30);

    expect_that!(sim.holders("2"), eq(&[0]));
}

/// A version is rolled out to four engines while requests arrive. Each request gets a version that
/// some engine holds, and the first engine with the new version is not overloaded.
#[gtest]
fn new_requests_follow_the_engines_that_have_loaded() {
    let share = |ready: usize| {
        let engines = (0..4).map(|i| vec![model(if i < ready { "2" } else { "1" })]);
        let engines = engines.collect::<Vec<_>>();
        let picks = (0..400).filter(|n| serving_model(&model("2"), &engines, *n) == model("2"));
        picks.count()
    };

    let shares = [0, 1, 2, 4].map(share);

    expect_that!(shares, eq([0, 100, 200, 400]));
    expect_that!(serving_model(&model("2"), &[], 7), eq(&model("2")));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Bundles change, streams start and end, engines restart empty or become unreachable, orders
    /// are lost, outdated orders arrive late, and the lease changes hands. In the end every engine
    /// holds exactly the models of the last bundle. Until then an old version with a stream on it
    /// stays on the engine of the stream.
    #[test]
    fn engines_converge_to_the_last_bundle(
        steps in prop::collection::vec((0_u8..9, 0_usize..4, 0_u32..3), 0..60),
    ) {
        let mut sim = Simulation::new(4, OrderSettings::default());
        let mut version = "1";

        for (action, i, pick) in steps {
            match action {
                0 => {
                    version = ["1", "2", "3"][i % 3];
                    sim.set_wanted_version(version);
                }
                1 => sim.set_streams(i, ["1", "2", "3"][i % 3], pick),
                2 => {
                    sim.engines[i].loaded.clear();
                    sim.engines[i].loading.clear();
                }
                3 => sim.engines[i].reachable = !sim.engines[i].reachable,
                4 => sim.engines[i].loading.clear(),
                5 => sim.planner = OrderPlanner::new(OrderSettings::default()),
                6 => {
                    let now = sim.now;
                    sim.engines[i].apply_order(now, &[model(["1", "2", "3"][pick as usize])]);
                }
                _ => {
                    let before = sim.engines.iter().map(|e| e.loaded.clone());
                    let before = before.collect::<Vec<_>>();
                    sim.run_seconds(pick as usize + 1);
                    for (engine, before) in sim.engines.iter().zip(before) {
                        let running = before.iter().filter(|(_, streams)| *streams > 0);
                        for (model, _) in running {
                            prop_assert!(engine.loaded.iter().any(|(m, _)| m == model));
                        }
                    }
                }
            }
        }
        for i in 0..4 {
            sim.engines[i].reachable = true;
            sim.engines[i].loaded.iter_mut().for_each(|(_, streams)| *streams = 0);
        }
        sim.run_seconds(300);

        for engine in &sim.engines {
            prop_assert_eq!(&engine.loaded, &vec![(model(version), 0)]);
        }
    }
}
