use super::*;
use tokio::time::Instant;

/// Loaded models of a mock engine, changed by orders.
#[derive(Debug)]
pub(crate) struct EngineModels {
    settings: EngineSettings,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    models: Vec<Entry>,
    role: engine::EngineRole,
    highest_term: Option<u64>,
    counts: engine::OrderCounts,
}

/// Model that is loaded, or still loading before `ready`.
#[derive(Debug)]
struct Entry {
    model: engine::LoadedModel,
    ready: Instant,
    /// Counts the load in the weight store; dropped once the model is found to be ready.
    load_guard: Option<LoadGuard>,
}

impl EngineModels {
    pub(crate) fn new(settings: EngineSettings) -> Self {
        let now = Instant::now();
        let models = settings
            .models
            .iter()
            .map(|(model, version)| Entry {
                model: engine::LoadedModel {
                    adapter: None,
                    model: model.to_string(),
                    streams: None,
                    version: version.to_string(),
                },
                ready: now,
                load_guard: None,
            })
            .collect();
        Self {
            state: Mutex::new(State {
                models,
                role: engine::EngineRole::Serve,
                highest_term: None,
                counts: engine::OrderCounts {
                    loads: 0,
                    refused: 0,
                    stale_applied: 0,
                    taken: 0,
                },
            }),
            settings,
        }
    }

    /// Applies an order and returns the models that it unloads.
    pub(crate) fn apply(
        &self,
        order: engine::EngineOrder,
    ) -> Result<Vec<engine::LoadedModel>, engine::EngineRefusalKind> {
        let mut state = self.state.lock();
        let orderers = &self.settings.orderers;
        if !orderers.is_empty() && !orderers.iter().any(|vm| **vm == *order.holder) {
            state.counts.refused += 1;
            return Err(engine::EngineRefusalKind::OrdererNotAllowed);
        }
        let is_old_term = state.highest_term.is_some_and(|term| order.term < term);
        if is_old_term && self.settings.enforces_fencing {
            state.counts.refused += 1;
            return Err(engine::EngineRefusalKind::StaleTerm);
        }
        state.counts.taken += 1;
        state.counts.stale_applied += u64::from(is_old_term);
        state.highest_term = state.highest_term.max(Some(order.term));
        state.role = order.role;
        let is_retained = |entry: &Entry| {
            order
                .models
                .iter()
                .any(|model| is_same_model(model, &entry.model))
        };
        let (retained, dropped) = std::mem::take(&mut state.models)
            .into_iter()
            .partition::<Vec<_>, _>(is_retained);
        state.models = retained;
        for model in order.models {
            if !state
                .models
                .iter()
                .any(|entry| is_same_model(&entry.model, &model))
            {
                state.counts.loads += 1;
                let entry = self.load(model);
                state.models.push(entry);
            }
        }
        Ok(dropped.into_iter().map(|entry| entry.model).collect())
    }

    fn load(&self, model: engine::LoadedModel) -> Entry {
        Entry {
            model,
            ready: Instant::now() + self.settings.load_time,
            load_guard: self
                .settings
                .weight_store
                .as_ref()
                .map(WeightStore::begin_load),
        }
    }

    pub(crate) fn is_loaded(&self, model: &str, version: &str) -> bool {
        let loaded = self.loaded_and_loading().0;
        loaded
            .iter()
            .any(|entry| entry.model == model && entry.version == version)
    }

    /// Returns the loaded models and the loading ones.
    pub(crate) fn loaded_and_loading(
        &self,
    ) -> (Vec<engine::LoadedModel>, Vec<engine::LoadedModel>) {
        let now = Instant::now();
        let mut state = self.state.lock();
        for entry in &mut state.models {
            if entry.ready <= now {
                entry.load_guard = None;
            }
        }
        let (loaded, loading): (Vec<&Entry>, Vec<&Entry>) =
            state.models.iter().partition(|entry| entry.ready <= now);
        let models = |entries: Vec<&Entry>| entries.iter().map(|e| e.model.clone()).collect();
        (models(loaded), models(loading))
    }

    pub(crate) fn role(&self) -> engine::EngineRole {
        self.state.lock().role
    }

    pub(crate) fn highest_term(&self) -> Option<u64> {
        self.state.lock().highest_term
    }

    pub(crate) fn counts(&self) -> engine::OrderCounts {
        self.state.lock().counts.clone()
    }
}

fn is_same_model(a: &engine::LoadedModel, b: &engine::LoadedModel) -> bool {
    a.model == b.model && a.version == b.version && a.adapter == b.adapter
}
