use super::*;

/// An upstream of the bundle and what is known of it.
pub(crate) struct UpstreamState {
    pub(crate) entry: Upstream,
    pub(crate) record: Mutex<UpstreamRecord>,
    /// Held by the one who finds out whether the upstream died.
    pub(crate) probing: tokio::sync::Mutex<()>,
    /// True once a poll on a kept connection failed. Such a connection may have gone silent for
    /// good; if polls stayed on it, a healthy upstream would look gone.
    pub(crate) poll_fresh: AtomicBool,
}

impl UpstreamState {
    pub(crate) fn new(entry: Upstream) -> Self {
        Self {
            entry,
            record: Mutex::default(),
            probing: tokio::sync::Mutex::default(),
            poll_fresh: AtomicBool::new(true),
        }
    }
}

/// A load report as decisions take it.
pub(crate) fn read_report(load: engine::UpstreamLoad) -> UpstreamReport {
    UpstreamReport {
        incarnation: Incarnation(load.incarnation),
        load: load.running.saturating_add(load.waiting),
        waiting: load.waiting,
        capacity: load.capacity,
        leaving: load.leaving,
        serves: load
            .role
            .is_none_or(|role| role == engine::EngineRole::Serve),
        models: load.models.into_iter().map(read_model).collect(),
    }
}

fn read_model(loaded: engine::LoadedModel) -> Model {
    Model {
        name: loaded.model.into(),
        version: loaded.version.into(),
        adapter: loaded.adapter.map(Into::into),
    }
}
