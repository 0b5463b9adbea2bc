//! Decides which models each engine is ordered to load or unload next.
//!
//! Load pattern: a bundle with a new model version comes into force while long generations run on
//! the old version. If every engine were ordered to load at once, the weight store would have to
//! serve all copies at the same moment, no engine would serve requests meanwhile, and generations
//! whose engine crashes could not be resumed. Therefore only a few engines load at a time, and
//! never all engines that have a model. An engine unloads a model only once it holds all the models
//! that it should. An old version stays on two engines, in two availability zones where possible, until
//! no stream has run on it for a while.
//!
//! An order contains the complete target state, so that repeating it has no effect. A state that an
//! outdated order has changed shows up in the next report and is corrected by a new order.

use super::*;
use crate::engine_view::{EngineView, may_load, missing_models, retaining_engines};

/// Plans the orders of one scope for as long as its lease is held.
#[derive(Clone, Debug)]
pub struct OrderPlanner {
    cfg: OrderSettings,
    /// Models that engines have reported as loaded but that are not wanted on any engine, sorted, and when
    /// each was last in use.
    old_models: Vec<(Model, Instant)>,
    /// Last order sent to each engine, sorted.
    last_orders: Vec<(UpstreamId, SentOrder)>,
}

#[derive(Clone, Debug)]
struct SentOrder {
    at: Instant,
    models: Vec<Model>,
    refused: bool,
}

impl OrderPlanner {
    /// Creates a planner without a record of earlier orders.
    #[must_use]
    pub fn new(cfg: OrderSettings) -> Self {
        Self {
            cfg,
            old_models: Vec::new(),
            last_orders: Vec::new(),
        }
    }

    /// Records that an order was sent, whether or not a response arrived.
    pub fn record_sent(&mut self, now: Instant, state: &EngineState) {
        let sent = SentOrder {
            at: now,
            models: state.models.clone(),
            refused: false,
        };
        match self.position(&state.upstream) {
            Ok(i) => self.last_orders[i].1 = sent,
            Err(i) => self.last_orders.insert(i, (state.upstream.clone(), sent)),
        }
    }

    /// Records that an engine refused its last order: the engine is not counted as loading for
    /// that order, so it does not delay other engines.
    pub fn record_refused(&mut self, upstream: &UpstreamId) {
        if let Ok(i) = self.position(upstream) {
            self.last_orders[i].1.refused = true;
        }
    }

    /// Returns the orders that are due now. `reports` has the last report of each engine, sorted by
    /// engine.
    pub fn plan(
        &mut self,
        now: Instant,
        targets: &[EngineTarget],
        reports: &[(UpstreamId, EngineReport)],
    ) -> Vec<EngineState> {
        let mut views = targets
            .iter()
            .map(|target| self.view(now, target, reports))
            .collect::<Vec<_>>();
        self.update_last_use(now, targets, reports);
        let retained = self.retained_models(now, &views);
        let mut orders = Vec::new();
        for i in 0..views.len() {
            let Some(state) = self.target_state(i, &views, &retained) else {
                continue;
            };
            if self.is_due(now, &views[i], &state) {
                views[i].loading = missing_models(&state.models, &views[i]);
                orders.push(state);
            }
        }
        orders
    }

    fn view<'a>(
        &self,
        now: Instant,
        target: &'a EngineTarget,
        reports: &'a [(UpstreamId, EngineReport)],
    ) -> EngineView<'a> {
        let report = find(reports, &target.upstream);
        let fresh =
            report.filter(|report| now.since(report.requested_at) <= self.cfg.report_max_age);
        let mut view = EngineView {
            target,
            report: fresh,
            loading: Vec::new(),
        };
        view.loading = match (report.and_then(|report| report.loading.clone()), fresh) {
            (Some(loading), Some(_)) => loading,
            // Without a current report of loads in progress, the ordered models are assumed to be
            // loading.
            _ => self.assumed_loads(now, &view, report),
        };
        view
    }

    fn assumed_loads(
        &self,
        now: Instant,
        view: &EngineView,
        report: Option<&EngineReport>,
    ) -> Vec<Model> {
        let Ok(i) = self.position(&view.target.upstream) else {
            return Vec::new();
        };
        let sent = &self.last_orders[i].1;
        if sent.refused || now.since(sent.at) > self.cfg.load_timeout {
            return Vec::new();
        }
        let absent = |model: &&Model| !report.is_some_and(|report| report.is_loaded(model));
        sent.models.iter().filter(absent).cloned().collect()
    }

    /// Updates when models that are no longer wanted on any engine were last in use. An engine that
    /// is unreachable may run streams on all the models that it held.
    fn update_last_use(
        &mut self,
        now: Instant,
        targets: &[EngineTarget],
        reports: &[(UpstreamId, EngineReport)],
    ) {
        let wanted = |model: &Model| {
            targets
                .iter()
                .any(|t| t.models.binary_search(model).is_ok())
        };
        let in_scope = |id: &UpstreamId| targets.iter().any(|target| target.upstream == *id);
        let cfg = self.cfg;
        self.old_models.retain(|(model, _)| !wanted(model));
        for (_, report) in reports.iter().filter(|(id, _)| in_scope(id)) {
            let age = now.since(report.requested_at);
            let stale = age > cfg.report_max_age && age < cfg.unreachable_timeout;
            for (model, streams) in report.loaded.iter().filter(|(model, _)| !wanted(model)) {
                match self.old_models.binary_search_by(|(old, _)| old.cmp(model)) {
                    Ok(i) if *streams > 0 || stale => self.old_models[i].1 = now,
                    Ok(_) => {}
                    Err(i) => self.old_models.insert(i, (model.clone(), now)),
                }
            }
        }
    }

    /// Returns the old models that were used within `idle_before_unload`, each with the engines that
    /// should keep it loaded.
    fn retained_models(&self, now: Instant, views: &[EngineView]) -> Vec<(Model, Vec<UpstreamId>)> {
        self.old_models
            .iter()
            .filter(|(_, used)| now.since(*used) < self.cfg.idle_before_unload)
            .map(|(model, _)| (model.clone(), retaining_engines(model, views)))
            .collect()
    }

    /// Returns the next target state of an engine; `None` if the engine is unreachable or already in
    /// that state.
    fn target_state(
        &self,
        i: usize,
        views: &[EngineView],
        retained: &[(Model, Vec<UpstreamId>)],
    ) -> Option<EngineState> {
        let view = &views[i];
        let report = view.report?;
        let id = &view.target.upstream;
        let complete = view
            .target
            .models
            .iter()
            .all(|model| report.is_loaded(model));
        let held = report.loaded.iter().filter(|(model, streams)| {
            let keeps = retained.iter().any(|(old, retaining_engines)| {
                old == model && (*streams > 0 || retaining_engines.contains(id))
            });
            !complete || keeps || view.target.models.binary_search(model).is_ok()
        });
        let mut models = held.map(|(model, _)| model.clone()).collect::<Vec<_>>();
        let retained_here = retained
            .iter()
            .filter(|(_, retaining_engines)| retaining_engines.contains(id));
        let wanted = view
            .target
            .models
            .iter()
            .chain(retained_here.map(|(model, _)| model));
        for model in wanted.filter(|model| !report.is_loaded(model)) {
            if may_load(i, model, views, self.cfg.max_concurrent_loads) {
                models.push(model.clone());
            }
        }
        models.sort();
        models.dedup();
        let up_to_date = report.serves && models.iter().eq(report.loaded.iter().map(|(m, _)| m));
        (!up_to_date).then(|| EngineState {
            upstream: id.clone(),
            models,
        })
    }

    /// Whether to send an order now. An order that is being carried out is not repeated.
    fn is_due(&self, now: Instant, view: &EngineView, state: &EngineState) -> bool {
        let Ok(i) = self.position(&state.upstream) else {
            return true;
        };
        let sent = &self.last_orders[i].1;
        if sent.models != state.models {
            return true;
        }
        let missing_models = missing_models(&state.models, view);
        let in_progress =
            !missing_models.is_empty() && missing_models.iter().all(|m| view.loading.contains(m));
        !in_progress && now.since(sent.at) >= self.cfg.resend_after
    }

    fn position(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.last_orders.binary_search_by(|(sent, _)| sent.cmp(id))
    }
}

fn find<'a>(
    reports: &'a [(UpstreamId, EngineReport)],
    id: &UpstreamId,
) -> Option<&'a EngineReport> {
    let i = reports.binary_search_by(|(other, _)| other.cmp(id)).ok()?;
    Some(&reports[i].1)
}
