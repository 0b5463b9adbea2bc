use super::*;

/// An upstream of the bundle with its observed state.
pub(crate) struct UpstreamState {
    pub(crate) entry: Upstream,
    pub(crate) record: Mutex<UpstreamRecord>,
    /// Held by the task that probes whether the upstream has crashed.
    pub(crate) probing: tokio::sync::Mutex<()>,
    /// Whether the next poll opens a new connection, as after a failed poll. A reused connection may
    /// be dead without an error; if polls stayed on it, a healthy upstream would appear gone.
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

/// Converts a load report from its wire format.
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
