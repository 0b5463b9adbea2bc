use super::*;
use crate::upstream_handle::UpstreamHandle;

/// How often each upstream is asked for its load.
const POLL_PERIOD: Duration = Duration::from_millis(500);

/// How old the last word of an upstream may be for it to get new work.
const EVIDENCE_BOUND: Duration = Duration::from_millis(2500);

/// The upstreams of the bundle in force and what is known of them.
pub struct Upstreams {
    timer: Arc<Timer>,
    connections: Arc<Connections>,
    states: RwLock<Vec<Arc<UpstreamState>>>,
}

/// What is known of one upstream.
pub struct UpstreamState {
    pub(crate) entry: Upstream,
    pub(crate) own: AtomicUsize,
    pub(crate) failures: AtomicUsize,
    report: Mutex<Option<(Instant, engine::UpstreamLoad)>>,
}

impl Upstreams {
    /// Starts to follow the bundle's upstreams.
    pub fn start(
        timer: &Arc<Timer>,
        connections: &Arc<Connections>,
        bundle: &Arc<BundleInForce>,
    ) -> Arc<Self> {
        let upstreams = Arc::new(Self {
            timer: timer.clone(),
            connections: connections.clone(),
            states: RwLock::default(),
        });
        tokio::spawn(follow(upstreams.clone(), bundle.clone()));
        upstreams
    }

    /// Chooses an upstream for a request: the least loaded of those that may get new work.
    pub fn choose(
        &self,
        service: &ServiceId,
        model: Option<&Model>,
        avoid: &[UpstreamId],
    ) -> Option<UpstreamHandle> {
        let now = self.timer.now();
        self.states
            .read()
            .iter()
            .filter(|state| state.entry.services.binary_search(service).is_ok())
            .filter(|state| !avoid.contains(&state.entry.id))
            .filter_map(|state| Some((state.load(now, model)?, state)))
            .min_by_key(|(load, _)| *load)
            .map(|(_, state)| UpstreamHandle::new(state.clone()))
    }

    /// What an operator is told of each.
    pub(crate) fn statuses(&self) -> Vec<operator::UpstreamStatus> {
        let now = self.timer.now();
        let states = self.states.read();
        states.iter().map(|state| state.status(now)).collect()
    }

    /// What the upstreams that this VM keeps in touch with report of their room, sorted by id.
    #[must_use]
    pub fn capacity_reports(&self) -> Vec<(UpstreamId, CapacityReport)> {
        let states = self.states.read();
        let reports = states.iter().filter_map(|state| {
            let report = state.report.lock();
            let (_, load) = report.as_ref()?;
            let report = CapacityReport {
                capacity: load.capacity,
                waiting: load.waiting,
            };
            Some((state.entry.id.clone(), report))
        });
        reports.collect()
    }

    /// Holds an upstream on which a request runs already, whether or not it may get new work.
    pub fn hold(&self, id: &UpstreamId) -> Option<UpstreamHandle> {
        let states = self.states.read();
        let state = states.iter().find(|state| state.entry.id == *id)?;
        Some(UpstreamHandle::new(state.clone()))
    }

    fn apply(&self, bundle: &Bundle) {
        let mut states = self.states.write();
        *states = bundle
            .upstreams
            .iter()
            .map(|entry| match states.iter().find(|s| s.entry == *entry) {
                Some(state) => state.clone(),
                None => Arc::new(UpstreamState::new(entry.clone())),
            })
            .collect();
    }

    async fn poll(&self) {
        let states = self.states.read().clone();
        let polls = states.iter().map(|state| self.poll_one(state));
        futures::future::join_all(polls).await;
    }

    async fn poll_one(&self, state: &UpstreamState) {
        let call = HttpCall {
            address: state.entry.address,
            path: "/v1/load".to_owned(),
            bound: POLL_PERIOD,
            fresh: true,
            ..HttpCall::default()
        };
        match self.connections.call_json(call).await {
            Ok(load) => *state.report.lock() = Some((self.timer.now(), load)),
            Err(fault) => tracing::debug!(upstream = %state.entry.id, %fault, "no load report"),
        }
    }
}

async fn follow(upstreams: Arc<Upstreams>, bundle: Arc<BundleInForce>) {
    let mut ticks = upstreams.timer.subscribe(POLL_PERIOD);
    let mut changes = bundle.changes();
    loop {
        upstreams.apply(&bundle.current());
        upstreams.poll().await;
        tokio::select! {
            tick = ticks.recv() => if tick.is_none() { return },
            news = changes.changed() => if news.is_err() { return },
        }
    }
}

impl UpstreamState {
    fn new(entry: Upstream) -> Self {
        Self {
            entry,
            own: AtomicUsize::new(0),
            failures: AtomicUsize::new(0),
            report: Mutex::default(),
        }
    }

    fn status(&self, now: Instant) -> operator::UpstreamStatus {
        operator::UpstreamStatus {
            availability_zone: self.entry.zone.to_string(),
            id: self.entry.id.to_string(),
            in_flight: u64::try_from(self.own.load(Ordering::Relaxed)).unwrap_or(u64::MAX),
            takes_new_work: self.load(now, None).is_some(),
        }
    }

    /// Load by which upstreams are compared; `None` if this one may not get new work.
    fn load(&self, now: Instant, model: Option<&Model>) -> Option<usize> {
        let report = self.report.lock();
        let (at, load) = report.as_ref()?;
        if now.since(*at) > EVIDENCE_BOUND || load.leaving {
            return None;
        }
        if !model.is_none_or(|model| load.models.iter().any(|loaded| is_model(loaded, model))) {
            return None;
        }
        let reported = usize::try_from(load.running + load.waiting).unwrap_or(usize::MAX);
        let own = self.own.load(Ordering::Relaxed);
        let failures = self.failures.load(Ordering::Relaxed);
        Some(reported.max(own) + failures * 100)
    }
}

fn is_model(loaded: &engine::LoadedModel, model: &Model) -> bool {
    loaded.model == *model.name
        && loaded.version == *model.version
        && (model.adapter.is_none() || loaded.adapter.as_deref() == model.adapter.as_deref())
}
