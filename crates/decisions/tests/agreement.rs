//! Leases and orders together: VMs that crash, pause and come back, and engines of both kinds.

use catkin_decisions::{
    EngineGoal, EngineReport, EngineState, Incarnation, Instant, Lease, LeaseAnswer, LeaseHolder,
    LeaseRow, LeaseSettings, LeaseStep, LeaseWrite, Model, OrderPlanner, OrderSettings, Term,
    UpstreamId,
};
use proptest::prelude::*;
use std::time::Duration;

const VMS: usize = 3;
const ENGINES: usize = 4;
const LOAD_MS: u64 = 400;

fn model(version: usize) -> Model {
    Model {
        name: "ticket".into(),
        version: version.to_string().into(),
        adapter: None,
    }
}

fn engine_id(i: usize) -> UpstreamId {
    format!("engine-{i}").parse().expect("a valid id")
}

struct World {
    now: u64,
    row: LeaseRow,
    vms: Vec<Vm>,
    engines: Vec<Engine>,
    orders: Vec<Order>,
    /// Orders that were sent while the network was slow.
    late: Vec<Order>,
    slow: bool,
    wanted: usize,
}

struct Vm {
    me: LeaseHolder,
    lease: Lease,
    planner: Option<(Term, OrderPlanner)>,
    reports: Vec<(UpstreamId, EngineReport)>,
    /// Version that its bundle wants; one that was paused knows an old one.
    wants: usize,
    paused_until: u64,
    /// A write under way, and when it was sent.
    write: Option<(Instant, LeaseWrite)>,
}

/// An engine; those of even number refuse old terms.
struct Engine {
    enforces: bool,
    loaded: Vec<Model>,
    loading: Vec<(Model, u64)>,
    terms: Vec<Term>,
    stale_applied: usize,
}

/// An order under way to an engine.
struct Order {
    engine: usize,
    term: Term,
    state: EngineState,
}

impl Engine {
    fn new(i: usize) -> Self {
        Self {
            enforces: i.is_multiple_of(2),
            loaded: vec![model(0)],
            loading: Vec::new(),
            terms: Vec::new(),
            stale_applied: 0,
        }
    }

    fn take(&mut self, now: u64, term: Term, models: &[Model]) {
        let highest = self.terms.iter().max();
        let stale = highest.is_some_and(|highest| term < *highest);
        if stale && self.enforces {
            return;
        }
        self.stale_applied += usize::from(stale);
        self.terms.push(term);
        self.loaded.retain(|model| models.contains(model));
        self.loading.retain(|(model, _)| models.contains(model));
        for model in models {
            let loading = self.loading.iter().any(|(m, _)| m == model);
            if !self.loaded.contains(model) && !loading {
                self.loading.push((model.clone(), now + LOAD_MS));
            }
        }
    }

    fn report(&mut self, now: u64, at: Instant) -> EngineReport {
        let ready = self.loading.iter().filter(|(_, ready)| *ready <= now);
        self.loaded.extend(ready.map(|(model, _)| model.clone()));
        self.loaded.sort();
        self.loading.retain(|(_, ready)| *ready > now);
        EngineReport {
            at,
            loaded: self.loaded.iter().map(|m| (m.clone(), 0)).collect(),
            loading: Some(self.loading.iter().map(|(m, _)| m.clone()).collect()),
            serves: true,
            highest_term: self.terms.iter().max().copied().unwrap_or_default(),
        }
    }
}

impl World {
    fn new() -> Self {
        Self {
            now: 0,
            row: LeaseRow::default(),
            vms: (0..VMS).map(|i| Vm::new(i, 1, 0)).collect(),
            engines: (0..ENGINES).map(Engine::new).collect(),
            orders: Vec::new(),
            late: Vec::new(),
            slow: false,
            wanted: 0,
        }
    }

    fn instant(&self) -> Instant {
        Instant(Duration::from_millis(self.now))
    }

    fn step(&mut self, action: u8, i: usize, pick: u64) {
        let vm = i % VMS;
        match action {
            0..=5 => self.run(2 * pick),
            6 => self.slow = !self.slow,
            7 | 8 => self.arrive_late(i),
            9 => {
                // The write takes effect and its answer is lost.
                self.write(vm);
                self.answer(vm, LeaseAnswer::Unknown);
            }
            10 => self.answer(vm, LeaseAnswer::Unknown),
            11 | 12 => self.pause_holder(pick),
            13 => self.vms[vm].paused_until = self.now + 400 * pick,
            14 => {
                let incarnation = self.vms[vm].me.incarnation.0 + 1;
                self.vms[vm] = Vm::new(vm, incarnation, self.wanted);
            }
            15 | 16 => self.wanted = usize::try_from(pick).expect("small") % 3,
            _ => self.engines[i % ENGINES] = Engine::new(i % ENGINES),
        }
    }

    /// Time passes, and everybody who is not paused acts. Orders arrive at once unless the network
    /// is slow.
    fn run(&mut self, rounds: u64) {
        for _ in 0..rounds {
            self.now += 50;
            for vm in 0..VMS {
                self.act(vm);
                self.order(vm);
            }
            if self.slow {
                self.late.append(&mut self.orders);
            }
            for order in std::mem::take(&mut self.orders) {
                self.arrive(&order);
            }
        }
    }

    fn pause_holder(&mut self, pick: u64) {
        let now = self.instant();
        let until = self.now + 1_000 + 200 * pick;
        for vm in &mut self.vms {
            if vm.lease.held_term(now).is_some() {
                vm.paused_until = until;
            }
        }
    }

    /// A VM does what its lease asks for, and takes in the bundle in force.
    fn act(&mut self, vm: usize) {
        if self.vms[vm].paused_until > self.now {
            return;
        }
        let now = self.instant();
        self.vms[vm].wants = self.wanted;
        if self.vms[vm].write.is_some() {
            let answer = self.write(vm);
            return self.answer(vm, answer);
        }
        match self.vms[vm].lease.next_step(now) {
            LeaseStep::Wait(_) => {}
            LeaseStep::Read => {
                let row = self.row.clone();
                self.vms[vm].lease.apply_row(now, row);
            }
            LeaseStep::Write(write) => self.vms[vm].write = Some((now, write)),
        }
    }

    /// The table service carries out a VM's write.
    fn write(&mut self, vm: usize) -> LeaseAnswer {
        let Some((_, write)) = &self.vms[vm].write else {
            return LeaseAnswer::NotRun;
        };
        if write.expected != self.row.version {
            return LeaseAnswer::Conflict(self.row.clone());
        }
        self.row = LeaseRow {
            version: write.expected + 1,
            record: Some(write.record.clone()),
        };
        LeaseAnswer::Written
    }

    fn answer(&mut self, vm: usize, answer: LeaseAnswer) {
        let now = self.instant();
        if let Some((sent, write)) = self.vms[vm].write.take() {
            self.vms[vm]
                .lease
                .apply_write_result(sent, now, write, answer);
        }
    }

    /// A holder reads the engines' states back and sends its orders, which arrive at any time.
    fn order(&mut self, vm: usize) {
        let (now, instant) = (self.now, self.instant());
        if self.vms[vm].paused_until > now {
            return;
        }
        let row = self.row.clone();
        let vm = &mut self.vms[vm];
        vm.lease.apply_row(instant, row);
        let Some(permit) = vm.lease.permit(instant) else {
            return;
        };
        let reports = self.engines.iter_mut().enumerate();
        vm.reports = reports
            .map(|(i, engine)| (engine_id(i), engine.report(now, instant)))
            .collect();
        let known = vm.planner.take().filter(|(term, _)| *term == permit.term());
        let fresh = || (permit.term(), OrderPlanner::new(settings()));
        let (term, mut planner) = known.unwrap_or_else(fresh);
        for (_, report) in vm.reports.iter().filter(|(_, r)| r.highest_term > term) {
            vm.lease.observe_term(report.highest_term);
        }
        for state in planner.plan(instant, &targets(vm.wants), &vm.reports) {
            planner.record_sent(instant, &state);
            let engine = (0..ENGINES).find(|i| engine_id(*i) == state.upstream);
            self.orders.push(Order {
                engine: engine.expect("an engine of the goals"),
                term,
                state,
            });
        }
        vm.planner = Some((term, planner));
    }

    fn arrive_late(&mut self, pick: usize) {
        if !self.late.is_empty() {
            let i = pick % self.late.len();
            let order = self.late.swap_remove(i);
            self.arrive(&order);
        }
    }

    fn arrive(&mut self, order: &Order) {
        let engine = &mut self.engines[order.engine];
        engine.take(self.now, order.term, &order.state.models);
    }

    /// Faults end: all that is under way arrives, the latest order first, and everybody acts.
    fn settle(&mut self) {
        self.slow = false;
        self.run(60);
        while let Some(order) = self.late.pop() {
            self.arrive(&order);
        }
        self.run(200);
    }
}

impl Vm {
    fn new(i: usize, incarnation: u64, wants: usize) -> Self {
        let me = LeaseHolder {
            vm: format!("vm-{i}").parse().expect("a valid id"),
            incarnation: Incarnation(incarnation),
        };
        Self {
            lease: Lease::new(me.clone(), lease_settings()),
            me,
            planner: None,
            reports: Vec::new(),
            wants,
            paused_until: 0,
            write: None,
        }
    }
}

/// A tenth of the usual times, so that leases change hands often within a run.
fn lease_settings() -> LeaseSettings {
    let ms = Duration::from_millis;
    LeaseSettings {
        duration: ms(1_000),
        margin: ms(200),
        renew_after: ms(300),
        poll_interval: ms(300),
        order_timeout: ms(200),
    }
}

fn settings() -> OrderSettings {
    OrderSettings {
        idle_before_unload: Duration::from_millis(200),
        resend_after: Duration::from_millis(300),
        ..OrderSettings::default()
    }
}

fn targets(version: usize) -> Vec<EngineGoal> {
    let target = |i| EngineGoal {
        upstream: engine_id(i),
        zone: format!("zone-{}", i % 2).parse().expect("a valid name"),
        models: vec![model(version)],
    };
    (0..ENGINES).map(target).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(100))]

    /// Holders crash, are paused with a write or an order under way, lose answers and come back with
    /// an old bundle; engines restart. Orders arrive late and in any order. An engine that checks
    /// terms must never act on an old one, and in the end every engine holds what the last bundle
    /// wants, also those that act on everything.
    #[test]
    fn stale_orders_are_refused_or_corrected(
        steps in prop::collection::vec((0_u8..18, 0_usize..12, 0_u64..8), 0..100),
    ) {
        let mut world = World::new();

        for (action, i, pick) in steps {
            world.step(action, i, pick);
        }
        world.settle();

        for engine in &world.engines {
            prop_assert_eq!(&engine.loaded, &vec![model(world.wanted)]);
            prop_assert!(engine.loading.is_empty());
            if engine.enforces {
                prop_assert_eq!(engine.stale_applied, 0);
                prop_assert!(engine.terms.is_sorted());
            }
        }
    }
}
