//! Which engine is ordered to hold which models next.
//!
//! Load pattern: a bundle with a new model version comes into force while long generations run on
//! the old one. If every engine were ordered at once, the weight store would be asked for all copies
//! in one moment, no engine would serve meanwhile, and generations whose engine dies in the middle
//! could not be resumed. So few engines load at once, never all that have a model; an engine gives a
//! model up only once it holds all that it should; and an old version stays on two engines, in two
//! availability zones where they exist, until no stream has run on it for a while.
//!
//! An order names the whole wanted state, so that a repeated one does no harm, and a state that an
//! old order has changed is seen in the next report and ordered back.

use super::*;
use crate::engine_view::{EngineView, may_load, missing_models, retaining_engines};

/// Plans the orders of one scope, for as long as its lease is held.
#[derive(Clone, Debug)]
pub struct OrderPlanner {
    cfg: OrderSettings,
    /// Old models, sorted, and when each was last in use.
    old: Vec<(Model, Instant)>,
    /// Last order of each engine, sorted.
    sent: Vec<(UpstreamId, Sent)>,
}

#[derive(Clone, Debug)]
struct Sent {
    at: Instant,
    models: Vec<Model>,
    refused: bool,
}

impl OrderPlanner {
    /// A planner that knows of no former orders.
    #[must_use]
    pub fn new(cfg: OrderSettings) -> Self {
        Self {
            cfg,
            old: Vec::new(),
            sent: Vec::new(),
        }
    }

    /// Notes that an order was sent, whether or not it was answered.
    pub fn sent(&mut self, now: Instant, state: &EngineState) {
        let sent = Sent {
            at: now,
            models: state.models.clone(),
            refused: false,
        };
        match self.place(&state.upstream) {
            Ok(i) => self.sent[i].1 = sent,
            Err(i) => self.sent.insert(i, (state.upstream.clone(), sent)),
        }
    }

    /// Notes that an engine refused its last order: it loads nothing for it, and holds up no other.
    pub fn refused(&mut self, upstream: &UpstreamId) {
        if let Ok(i) = self.place(upstream) {
            self.sent[i].1.refused = true;
        }
    }

    /// The orders that are due now. `reports` holds the last one of each engine, sorted.
    pub fn plan(
        &mut self,
        now: Instant,
        goals: &[EngineTarget],
        reports: &[(UpstreamId, EngineReport)],
    ) -> Vec<EngineState> {
        let mut views = goals
            .iter()
            .map(|goal| self.view(now, goal, reports))
            .collect::<Vec<_>>();
        self.note_use(now, goals, reports);
        let kept = self.kept(now, &views);
        let mut orders = Vec::new();
        for i in 0..views.len() {
            let Some(state) = self.next_state(i, &views, &kept) else {
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
        goal: &'a EngineTarget,
        reports: &'a [(UpstreamId, EngineReport)],
    ) -> EngineView<'a> {
        let report = find(reports, &goal.upstream);
        let fresh = report.filter(|report| now.since(report.requested_at) <= self.cfg.report_bound);
        let mut view = EngineView {
            goal,
            report: fresh,
            loading: Vec::new(),
        };
        view.loading = match (report.and_then(|report| report.loading.clone()), fresh) {
            (Some(loading), Some(_)) => loading,
            // It doesn't say, or cannot be asked: what was ordered is taken to be loading.
            _ => self.ordered_loads(now, &view, report),
        };
        view
    }

    fn ordered_loads(
        &self,
        now: Instant,
        view: &EngineView,
        report: Option<&EngineReport>,
    ) -> Vec<Model> {
        let Ok(i) = self.place(&view.goal.upstream) else {
            return Vec::new();
        };
        let sent = &self.sent[i].1;
        if sent.refused || now.since(sent.at) > self.cfg.load_timeout {
            return Vec::new();
        }
        let absent = |model: &&Model| !report.is_some_and(|report| report.is_loaded(model));
        sent.models.iter().filter(absent).cloned().collect()
    }

    /// Notes which models that no engine shall hold any more are still in use. An engine that cannot
    /// be asked may run streams on all that it held.
    fn note_use(
        &mut self,
        now: Instant,
        goals: &[EngineTarget],
        reports: &[(UpstreamId, EngineReport)],
    ) {
        let wanted = |model: &Model| goals.iter().any(|g| g.models.binary_search(model).is_ok());
        let in_scope = |id: &UpstreamId| goals.iter().any(|goal| goal.upstream == *id);
        let cfg = self.cfg;
        self.old.retain(|(model, _)| !wanted(model));
        for (_, report) in reports.iter().filter(|(id, _)| in_scope(id)) {
            let age = now.since(report.requested_at);
            let stale = age > cfg.report_bound && age < cfg.lost_after;
            for (model, streams) in report.loaded.iter().filter(|(model, _)| !wanted(model)) {
                match self.old.binary_search_by(|(old, _)| old.cmp(model)) {
                    Ok(i) if *streams > 0 || stale => self.old[i].1 = now,
                    Ok(_) => {}
                    Err(i) => self.old.insert(i, (model.clone(), now)),
                }
            }
        }
    }

    /// Old models in use, each with the engines that keep it.
    fn kept(&self, now: Instant, views: &[EngineView]) -> Vec<(Model, Vec<UpstreamId>)> {
        self.old
            .iter()
            .filter(|(_, used)| now.since(*used) < self.cfg.quiet)
            .map(|(model, _)| (model.clone(), retaining_engines(model, views)))
            .collect()
    }

    /// The state that an engine shall take next; `None` if it cannot be asked or has nothing to do.
    fn next_state(
        &self,
        i: usize,
        views: &[EngineView],
        kept: &[(Model, Vec<UpstreamId>)],
    ) -> Option<EngineState> {
        let view = &views[i];
        let report = view.report?;
        let id = &view.goal.upstream;
        let complete = view.goal.models.iter().all(|model| report.is_loaded(model));
        let held = report.loaded.iter().filter(|(model, streams)| {
            let keeps = kept.iter().any(|(old, retaining_engines)| {
                old == model && (*streams > 0 || retaining_engines.contains(id))
            });
            !complete || keeps || view.goal.models.binary_search(model).is_ok()
        });
        let mut models = held.map(|(model, _)| model.clone()).collect::<Vec<_>>();
        let kept_here = kept
            .iter()
            .filter(|(_, retaining_engines)| retaining_engines.contains(id));
        let wanted = view
            .goal
            .models
            .iter()
            .chain(kept_here.map(|(model, _)| model));
        for model in wanted.filter(|model| !report.is_loaded(model)) {
            if may_load(i, model, views, self.cfg.loads_at_once) {
                models.push(model.clone());
            }
        }
        models.sort();
        models.dedup();
        let settled = report.serves && models.iter().eq(report.loaded.iter().map(|(m, _)| m));
        (!settled).then(|| EngineState {
            upstream: id.clone(),
            models,
        })
    }

    /// Whether an order is to be sent now, or the same one is being carried out.
    fn is_due(&self, now: Instant, view: &EngineView, state: &EngineState) -> bool {
        let Ok(i) = self.place(&state.upstream) else {
            return true;
        };
        let sent = &self.sent[i].1;
        if sent.models != state.models {
            return true;
        }
        let missing_models = missing_models(&state.models, view);
        let carried_out =
            !missing_models.is_empty() && missing_models.iter().all(|m| view.loading.contains(m));
        !carried_out && now.since(sent.at) >= self.cfg.resend_after
    }

    fn place(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.sent.binary_search_by(|(sent, _)| sent.cmp(id))
    }
}

fn find<'a>(
    reports: &'a [(UpstreamId, EngineReport)],
    id: &UpstreamId,
) -> Option<&'a EngineReport> {
    let i = reports.binary_search_by(|(other, _)| other.cmp(id)).ok()?;
    Some(&reports[i].1)
}
