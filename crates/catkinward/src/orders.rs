use super::*;
use crate::engine_orders::{EngineOrders, OrderError};
use catkin_decisions::{
    EngineReport, EngineState, EngineTarget, OrderPlanner, OrderScope, OrderSettings, order_scopes,
};

/// Which upstreams this VM may give orders to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, EnumString, IntoStaticStr, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum OrderPermission {
    /// All of them.
    #[default]
    All,
    /// Those that check who orders: they refuse this VM if it may not.
    Checked,
    /// None.
    None,
}

/// The orders service: for each scope of the bundle in force one VM, by a lease, has the engines hold
/// what the bundle wants.
pub struct Orders {
    leases: Arc<Leases>,
    timer: Arc<Timer>,
    timeline: Arc<Timeline>,
    bundle: Arc<BundleInForce>,
    engines: EngineOrders,
    right: OrderPermission,
    cfg: OrderSettings,
    scopes: Mutex<Vec<Arc<str>>>,
}

/// What the holder of a scope knows, from winning its lease to losing it.
struct Holding {
    term: Term,
    planner: OrderPlanner,
    reports: Vec<(UpstreamId, EngineReport)>,
}

impl Orders {
    /// Starts the service.
    pub fn start(
        leases: Arc<Leases>,
        timer: Arc<Timer>,
        timeline: Arc<Timeline>,
        connections: Arc<Connections>,
        bundle: Arc<BundleInForce>,
        right: OrderPermission,
        cfg: OrderSettings,
    ) -> Arc<Self> {
        let engines = EngineOrders::new(connections, timer.clone(), timeline.vm().clone());
        let orders = Arc::new(Self {
            leases,
            timer,
            timeline,
            bundle,
            engines,
            right,
            cfg,
            scopes: Mutex::default(),
        });
        if right != OrderPermission::None {
            tokio::spawn(follow(orders.clone()));
        }
        orders
    }

    /// Has a task for each scope of the bundle in force. One whose scope is gone ends by itself.
    fn apply(self: &Arc<Self>) {
        let wanted = self.allowed_scopes();
        let mut scopes = self.scopes.lock();
        for scope in &wanted {
            if let Err(i) = scopes.binary_search(&scope.name) {
                scopes.insert(i, scope.name.clone());
                tokio::spawn(self.clone().serve(scope.name.clone()));
            }
        }
    }

    /// Competes for one scope and gives its orders, while the bundle in force has it.
    async fn serve(self: Arc<Self>, name: Arc<str>) {
        let lease = self.leases.compete(&name);
        let mut ticks = self.timer.subscribe(self.cfg.poll_interval);
        let mut holding = None;
        while let Some(scope) = self.scope(&name) {
            let held = lease.held();
            self.note(&name, held, &mut holding);
            if let Some(holding) = &mut holding {
                self.round(&lease, &scope, holding).await;
            }
            if ticks.recv().await.is_none() {
                break;
            }
        }
        self.leases.leave(&name);
        self.scopes.lock().retain(|scope| *scope != name);
    }

    fn scope(&self, name: &str) -> Option<OrderScope> {
        let mut scopes = self.allowed_scopes().into_iter();
        scopes.find(|scope| *scope.name == *name)
    }

    /// Scopes whose engines this VM may all give orders to: the lease of any other would keep it from
    /// a VM that may.
    fn allowed_scopes(&self) -> Vec<OrderScope> {
        let bundle = self.bundle.current();
        let checked = |target: &EngineTarget| {
            let upstream = bundle.upstream(&target.upstream);
            upstream.is_some_and(|upstream| upstream.checks_orderer)
        };
        let mut scopes = order_scopes(&bundle);
        scopes.retain(|scope| {
            self.right == OrderPermission::All || scope.targets.iter().all(checked)
        });
        scopes
    }

    fn note(&self, scope: &Arc<str>, held: Option<Term>, holding: &mut Option<Holding>) {
        let before = holding.as_ref().map(|holding| holding.term);
        if before == held {
            return;
        }
        let (kind, term) = match held {
            Some(term) => (EventKind::LeaseWon, term),
            None => (EventKind::LeaseLost, before.unwrap_or_default()),
        };
        self.timeline.record(Event {
            term: Some(term),
            detail: Some(scope.clone()),
            ..Event::new(kind)
        });
        *holding = held.map(|term| Holding {
            term,
            planner: OrderPlanner::new(self.cfg),
            reports: Vec::new(),
        });
    }

    /// Reads the engines' states back and orders what differs.
    async fn round(&self, lease: &LeaseHandle, scope: &OrderScope, holding: &mut Holding) {
        let bundle = self.bundle.current();
        let upstreams = scope
            .targets
            .iter()
            .filter_map(|target| bundle.upstream(&target.upstream))
            .collect::<Vec<_>>();
        let reads = upstreams
            .iter()
            .map(|upstream| self.engines.report(upstream));
        for (id, report) in futures::future::join_all(reads).await.into_iter().flatten() {
            // Terms begin anew when the lease's row is lost, and when scopes are joined.
            if report.highest_term > holding.term {
                lease.exceed(report.highest_term);
            }
            match holding
                .reports
                .binary_search_by(|(other, _)| other.cmp(&id))
            {
                Ok(i) => holding.reports[i].1 = report,
                Err(i) => holding.reports.insert(i, (id, report)),
            }
        }
        let now = self.timer.now();
        let states = holding.planner.plan(now, &scope.targets, &holding.reports);
        for state in states {
            if !self.order(lease, holding, &state).await {
                return;
            }
        }
    }

    /// Gives one order; false if no more may be given now.
    async fn order(&self, lease: &LeaseHandle, holding: &mut Holding, state: &EngineState) -> bool {
        let bundle = self.bundle.current();
        let Some(upstream) = bundle.upstream(&state.upstream) else {
            return true;
        };
        let permit = match lease.permit().await {
            Ok(permit) if permit.term() == holding.term => permit,
            Ok(_) => return false,
            Err(refusal) => {
                tracing::debug!(%refusal, "no order");
                return false;
            }
        };
        holding.planner.record_sent(self.timer.now(), state);
        self.timeline.record(Event {
            upstream: Some(state.upstream.clone()),
            term: Some(permit.term()),
            bundle: Some(bundle.version),
            detail: Some(describe(state).into()),
            ..Event::new(EventKind::OrderSent)
        });
        let result = self.engines.send_order(upstream, permit, state).await;
        let name = result.as_ref().err().map_or("taken", Into::into);
        metrics::counter!("catkin_orders_total", "result" => name).increment(1);
        match result {
            Ok(()) => {}
            Err(OrderError::StaleTerm(highest)) => lease.exceed(highest),
            Err(OrderError::Refused(kind)) => {
                holding.planner.record_refused(&state.upstream);
                tracing::warn!(upstream = %state.upstream, %kind, "order refused");
            }
            // What became of it is seen in the engine's next report.
            Err(fault) => {
                tracing::warn!(upstream = %state.upstream, %fault, "order not answered");
            }
        }
        true
    }
}

async fn follow(orders: Arc<Orders>) {
    let mut changes = orders.bundle.changes();
    loop {
        orders.apply();
        if changes.changed().await.is_err() {
            return;
        }
    }
}

fn describe(state: &EngineState) -> String {
    let models = state.models.iter().map(|model| {
        let adapter = model.adapter.as_deref().map(|name| format!("+{name}"));
        let adapter = adapter.unwrap_or_default();
        format!("{}@{}{adapter}", model.name, model.version)
    });
    models.collect::<Vec<_>>().join(" ")
}
