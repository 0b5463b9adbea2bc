//! Leases and engine orders together: VMs crash, pause and resume, and only some engines reject orders
//! with old terms.

use catkin_decisions::{
    EngineReport, EngineState, EngineTarget, Incarnation, Instant, Lease, LeaseHolder, LeaseRow,
    LeaseSettings, LeaseStep, LeaseWrite, LeaseWriteResult, Model, OrderPlanner, OrderSettings,
    Term, UpstreamId,
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

struct Simulation {
    now: u64,
    row: LeaseRow,
    vms: Vec<Vm>,
    engines: Vec<Engine>,
    orders: Vec<Order>,
    /// Orders that were sent while the network was slow and have not arrived.
    delayed: Vec<Order>,
    slow_network: bool,
    target_version: usize,
}

struct Vm {
    holder: LeaseHolder,
    lease: Lease,
    planner: Option<(Term, OrderPlanner)>,
    reports: Vec<(UpstreamId, EngineReport)>,
    /// Model version in this VM's bundle, which is stale after a pause.
    target_version: usize,
    paused_until: u64,
    /// A write in flight, and when it was sent.
    write: Option<(Instant, LeaseWrite)>,
}

/// An engine. Those with an even index reject orders with old terms.
struct Engine {
    rejects_stale: bool,
    loaded: Vec<Model>,
    loading: Vec<(Model, u64)>,
    terms: Vec<Term>,
    stale_applied: usize,
}

/// An order in flight to an engine.
struct Order {
    engine: usize,
    term: Term,
    state: EngineState,
}

impl Engine {
    fn new(i: usize) -> Self {
        Self {
            rejects_stale: i.is_multiple_of(2),
            loaded: vec![model(0)],
            loading: Vec::new(),
            terms: Vec::new(),
            stale_applied: 0,
        }
    }

    fn apply(&mut self, now: u64, term: Term, models: &[Model]) {
        let highest = self.terms.iter().max();
        let stale = highest.is_some_and(|highest| term < *highest);
        if stale && self.rejects_stale {
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
            requested_at: at,
            loaded: self.loaded.iter().map(|m| (m.clone(), 0)).collect(),
            loading: Some(self.loading.iter().map(|(m, _)| m.clone()).collect()),
            serves: true,
            highest_term: self.terms.iter().max().copied().unwrap_or_default(),
        }
    }
}

impl Simulation {
    fn new() -> Self {
        Self {
            now: 0,
            row: LeaseRow::default(),
            vms: (0..VMS).map(|i| Vm::new(i, 1, 0)).collect(),
            engines: (0..ENGINES).map(Engine::new).collect(),
            orders: Vec::new(),
            delayed: Vec::new(),
            slow_network: false,
            target_version: 0,
        }
    }

    fn instant(&self) -> Instant {
        Instant(Duration::from_millis(self.now))
    }

    fn step(&mut self, action: u8, i: usize, pick: u64) {
        let vm = i % VMS;
        match action {
            0..=5 => self.run(2 * pick),
            6 => self.slow_network = !self.slow_network,
            7 | 8 => self.deliver_delayed(i),
            9 => {
                // The write takes effect and its response is lost.
                self.write(vm);
                self.finish_write(vm, LeaseWriteResult::Unknown);
            }
            10 => self.finish_write(vm, LeaseWriteResult::Unknown),
            11 | 12 => self.pause_holder(pick),
            13 => self.vms[vm].paused_until = self.now + 400 * pick,
            14 => {
                let incarnation = self.vms[vm].holder.incarnation.0 + 1;
                self.vms[vm] = Vm::new(vm, incarnation, self.target_version);
            }
            15 | 16 => self.target_version = usize::try_from(pick).expect("small") % 3,
            _ => self.engines[i % ENGINES] = Engine::new(i % ENGINES),
        }
    }

    /// Advances time; every VM that is not paused acts. Orders arrive immediately unless the network
    /// is slow.
    fn run(&mut self, rounds: u64) {
        for _ in 0..rounds {
            self.now += 50;
            for vm in 0..VMS {
                self.step_lease(vm);
                self.send_orders(vm);
            }
            if self.slow_network {
                self.delayed.append(&mut self.orders);
            }
            for order in std::mem::take(&mut self.orders) {
                self.deliver(&order);
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

    /// Takes the next step of a VM's lease, after updating the VM to the bundle in force.
    fn step_lease(&mut self, vm: usize) {
        if self.vms[vm].paused_until > self.now {
            return;
        }
        let now = self.instant();
        self.vms[vm].target_version = self.target_version;
        if self.vms[vm].write.is_some() {
            let result = self.write(vm);
            return self.finish_write(vm, result);
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

    /// Executes a VM's write in the table service.
    fn write(&mut self, vm: usize) -> LeaseWriteResult {
        let Some((_, write)) = &self.vms[vm].write else {
            return LeaseWriteResult::NotRun;
        };
        if write.expected != self.row.version {
            return LeaseWriteResult::Conflict(self.row.clone());
        }
        self.row = LeaseRow {
            version: write.expected + 1,
            record: Some(write.record.clone()),
        };
        LeaseWriteResult::Written
    }

    fn finish_write(&mut self, vm: usize, result: LeaseWriteResult) {
        let now = self.instant();
        if let Some((sent, write)) = self.vms[vm].write.take() {
            self.vms[vm]
                .lease
                .apply_write_result(sent, now, write, result);
        }
    }

    /// Lets the lease holder read the engines' states and send its orders.
    fn send_orders(&mut self, vm: usize) {
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
        let current = vm.planner.take().filter(|(term, _)| *term == permit.term());
        let new = || (permit.term(), OrderPlanner::new(settings()));
        let (term, mut planner) = current.unwrap_or_else(new);
        for (_, report) in vm.reports.iter().filter(|(_, r)| r.highest_term > term) {
            vm.lease.observe_term(report.highest_term);
        }
        for state in planner.plan(instant, &targets(vm.target_version), &vm.reports) {
            planner.record_sent(instant, &state);
            let engine = (0..ENGINES).find(|i| engine_id(*i) == state.upstream);
            self.orders.push(Order {
                engine: engine.expect("an engine of the targets"),
                term,
                state,
            });
        }
        vm.planner = Some((term, planner));
    }

    fn deliver_delayed(&mut self, pick: usize) {
        if !self.delayed.is_empty() {
            let i = pick % self.delayed.len();
            let order = self.delayed.swap_remove(i);
            self.deliver(&order);
        }
    }

    fn deliver(&mut self, order: &Order) {
        let engine = &mut self.engines[order.engine];
        engine.apply(self.now, order.term, &order.state.models);
    }

    /// Ends all faults: orders in flight arrive, the latest first, and every VM acts.
    fn recover(&mut self) {
        self.slow_network = false;
        self.run(60);
        while let Some(order) = self.delayed.pop() {
            self.deliver(&order);
        }
        self.run(200);
    }
}

impl Vm {
    fn new(i: usize, incarnation: u64, target_version: usize) -> Self {
        let holder = LeaseHolder {
            vm: format!("vm-{i}").parse().expect("a valid id"),
            incarnation: Incarnation(incarnation),
        };
        Self {
            lease: Lease::new(holder.clone(), lease_settings()),
            holder,
            planner: None,
            reports: Vec::new(),
            target_version,
            paused_until: 0,
            write: None,
        }
    }
}

/// A tenth of the production times, so that the lease holder changes often within a run.
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

fn targets(version: usize) -> Vec<EngineTarget> {
    let target = |i| EngineTarget {
        upstream: engine_id(i),
        zone: format!("zone-{}", i % 2).parse().expect("a valid name"),
        models: vec![model(version)],
    };
    (0..ENGINES).map(target).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(100))]

    /// Lease holders crash, pause with a write or an order in flight, lose responses and resume with
    /// a stale bundle; engines restart; orders arrive late and reordered. An engine that checks terms
    /// must never apply an order with an old one. At the end every engine must have the models of the
    /// latest bundle, including engines that apply every order.
    #[test]
    fn stale_orders_are_refused_or_corrected(
        steps in prop::collection::vec((0_u8..18, 0_usize..12, 0_u64..8), 0..100),
    ) {
        let mut simulation = Simulation::new();

        for (action, i, pick) in steps {
            simulation.step(action, i, pick);
        }
        simulation.recover();

        for engine in &simulation.engines {
            prop_assert_eq!(&engine.loaded, &vec![model(simulation.target_version)]);
            prop_assert!(engine.loading.is_empty());
            if engine.rejects_stale {
                prop_assert_eq!(engine.stale_applied, 0);
                prop_assert!(engine.terms.is_sorted());
            }
        }
    }
}
