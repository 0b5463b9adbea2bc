use super::*;
use crate::engine_orders::{EngineOrders, OrderError};
use catkin_decisions::{
    EngineReport, EngineState, EngineTarget, OrderPlanner, OrderScope, OrderSettings, order_scopes,
};

/// Set of upstreams to which this VM may send orders.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, EnumString, IntoStaticStr, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum OrderPermission {
    /// Orders may be sent to every upstream.
    #[default]
    All,
    /// Orders may be sent only to upstreams that verify the orderer and reject unauthorized ones.
    Checked,
    /// No orders may be sent.
    None,
}

/// The orders service. For each scope of the bundle in force, the VM that holds the scope's lease
/// orders the engines to load the models that the bundle requires.
pub struct Orders {
    leases: Arc<Leases>,
    timer: Arc<Timer>,
    timeline: Arc<Timeline>,
    bundle: Arc<BundleInForce>,
    engines: EngineOrders,
    permission: OrderPermission,
    cfg: OrderSettings,
    scopes: Mutex<Vec<Arc<str>>>,
}

/// State of a scope while this VM holds its lease in one term.
struct HeldScope {
    term: Term,
    planner: OrderPlanner,
    reports: Vec<(UpstreamId, EngineReport)>,
}

impl Orders {
    /// Starts the service, without tasks if `permission` is [`OrderPermission::None`].
    pub fn start(
        leases: Arc<Leases>,
        timer: Arc<Timer>,
        timeline: Arc<Timeline>,
        connections: Arc<Connections>,
        bundle: Arc<BundleInForce>,
        permission: OrderPermission,
        cfg: OrderSettings,
    ) -> Arc<Self> {
        let engines = EngineOrders::new(connections, timer.clone(), timeline.vm().clone());
        let orders = Arc::new(Self {
            leases,
            timer,
            timeline,
            bundle,
            engines,
            permission,
            cfg,
            scopes: Mutex::default(),
        });
        if permission != OrderPermission::None {
            tokio::spawn(follow_bundle(orders.clone()));
        }
        orders
    }

    /// Starts a task for each new scope of the bundle in force. The task of a removed scope ends by
    /// itself.
    fn start_tasks(self: &Arc<Self>) {
        let allowed = self.allowed_scopes();
        let mut scopes = self.scopes.lock();
        for scope in &allowed {
            if let Err(i) = scopes.binary_search(&scope.name) {
                scopes.insert(i, scope.name.clone());
                tokio::spawn(self.clone().run_scope(scope.name.clone()));
            }
        }
    }

    /// Competes for the lease of one scope and sends its orders, until the bundle in force lacks the scope.
    async fn run_scope(self: Arc<Self>, name: Arc<str>) {
        let lease = self.leases.compete(&name);
        let mut ticks = self.timer.subscribe(self.cfg.poll_interval);
        let mut held_scope = None;
        while let Some(scope) = self.scope(&name) {
            let term = lease.held();
            self.record_lease_change(&name, term, &mut held_scope);
            if let Some(held_scope) = &mut held_scope {
                self.send_due_orders(&lease, &scope, held_scope).await;
            }
            if ticks.recv().await.is_none() {
                break;
            }
        }
        self.leases.stop_competing(&name);
        self.scopes.lock().retain(|scope| *scope != name);
    }

    fn scope(&self, name: &str) -> Option<OrderScope> {
        let mut scopes = self.allowed_scopes().into_iter();
        scopes.find(|scope| *scope.name == *name)
    }

    /// Returns the scopes in which this VM may send orders to every engine. If it took the lease of
    /// another scope, it would keep the lease from a VM that has the permission.
    fn allowed_scopes(&self) -> Vec<OrderScope> {
        let bundle = self.bundle.current();
        let checked = |target: &EngineTarget| {
            let upstream = bundle.upstream(&target.upstream);
            upstream.is_some_and(|upstream| upstream.checks_orderer)
        };
        let mut scopes = order_scopes(&bundle);
        scopes.retain(|scope| {
            self.permission == OrderPermission::All || scope.targets.iter().all(checked)
        });
        scopes
    }

    fn record_lease_change(
        &self,
        scope: &Arc<str>,
        held: Option<Term>,
        held_scope: &mut Option<HeldScope>,
    ) {
        let before = held_scope.as_ref().map(|held_scope| held_scope.term);
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
        *held_scope = held.map(|term| HeldScope {
            term,
            planner: OrderPlanner::new(self.cfg),
            reports: Vec::new(),
        });
    }

    /// Polls the reports of the engines and sends an order to each engine that differs from its target.
    async fn send_due_orders(
        &self,
        lease: &LeaseHandle,
        scope: &OrderScope,
        held_scope: &mut HeldScope,
    ) {
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
            // An engine's term can be higher, since terms restart after the loss of the lease's row and
            // after a merge of scopes.
            if report.highest_term > held_scope.term {
                lease.raise_term_above(report.highest_term);
            }
            match held_scope
                .reports
                .binary_search_by(|(other, _)| other.cmp(&id))
            {
                Ok(i) => held_scope.reports[i].1 = report,
                Err(i) => held_scope.reports.insert(i, (id, report)),
            }
        }
        let now = self.timer.now();
        let states = held_scope
            .planner
            .plan(now, &scope.targets, &held_scope.reports);
        for state in states {
            if !self.send_order(lease, held_scope, &state).await {
                return;
            }
        }
    }

    /// Sends one order. Returns false if no further orders may be sent in this round.
    async fn send_order(
        &self,
        lease: &LeaseHandle,
        held_scope: &mut HeldScope,
        state: &EngineState,
    ) -> bool {
        let bundle = self.bundle.current();
        let Some(upstream) = bundle.upstream(&state.upstream) else {
            return true;
        };
        let permit = match lease.permit().await {
            Ok(permit) if permit.term() == held_scope.term => permit,
            Ok(_) => return false,
            Err(refusal) => {
                tracing::debug!(%refusal, "order not permitted");
                return false;
            }
        };
        held_scope.planner.record_sent(self.timer.now(), state);
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
            Err(OrderError::StaleTerm(highest)) => lease.raise_term_above(highest),
            Err(OrderError::Refused(kind)) => {
                held_scope.planner.record_refused(&state.upstream);
                tracing::warn!(upstream = %state.upstream, %kind, "order refused");
            }
            // The engine's next report shows whether the order took effect.
            Err(error) => {
                tracing::warn!(upstream = %state.upstream, fault = %error, "no valid response to an order");
            }
        }
        true
    }
}

async fn follow_bundle(orders: Arc<Orders>) {
    let mut changes = orders.bundle.changes();
    loop {
        orders.start_tasks();
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
