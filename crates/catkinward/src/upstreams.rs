use super::*;
use crate::{
    upstream_handle::UpstreamHandle, upstream_observer::UpstreamObserver,
    upstream_state::UpstreamState,
};

/// Interval at which each upstream of the subset is polled for its load.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Longest random delay before such a poll, so that VMs do not poll all at the same time.
const POLL_JITTER: Duration = Duration::from_millis(80);

/// The upstreams of the bundle in force with their observed state.
pub struct Upstreams {
    observer: Arc<UpstreamObserver>,
    vm: VmId,
    zone: AvailabilityZone,
    /// All upstreams of the bundle, sorted by id.
    states: RwLock<Vec<Arc<UpstreamState>>>,
    /// The upstreams that this VM polls and sends work to.
    subset: RwLock<Vec<Arc<UpstreamState>>>,
    /// VMs among which the probation runs on upstreams are divided; if empty, only this VM.
    probation_vms: RwLock<Vec<VmId>>,
}

impl Upstreams {
    /// Starts to poll the upstreams of the bundle and to follow its changes.
    pub fn start(
        timer: &Arc<Timer>,
        connections: &Arc<Connections>,
        timeline: &Arc<Timeline>,
        bundle: &Arc<BundleInForce>,
        settings: &Settings,
    ) -> Arc<Self> {
        let upstreams = Arc::new(Self {
            observer: Arc::new(UpstreamObserver::new(timer, connections, timeline)),
            vm: settings.vm.clone(),
            zone: settings.zone.clone(),
            states: RwLock::default(),
            subset: RwLock::default(),
            probation_vms: RwLock::default(),
        });
        tokio::spawn(run(upstreams.clone(), bundle.clone()));
        upstreams
    }

    /// Selects an upstream for a request.
    ///
    /// # Errors
    ///
    /// If no upstream may receive the request.
    pub fn choose(&self, query: &UpstreamQuery<'_>) -> Result<UpstreamHandle, NoUpstream> {
        let now = self.observer.timer.now();
        let mut poison = self.observer.poison.lock();
        if query
            .digest
            .is_some_and(|digest| poison.is_refused(digest, now))
        {
            return Err(NoUpstream::Poisoned);
        }
        let subset = self.subset.read();
        let prefix = query.prefix_key();
        let (mut candidates, states): (Vec<_>, Vec<_>) = subset
            .iter()
            .filter(|state| state.entry.services.binary_search(query.service).is_ok())
            .filter(|state| !query.avoid.contains(&state.entry.id))
            .filter(|state| self.may_start(&poison, query, state, now))
            .filter_map(|state| {
                Some((self.candidate(state, query, prefix.as_deref(), now)?, state))
            })
            .unzip();
        let input = ChoiceInput {
            random: rand::random(),
            by_prefix: prefix.is_some(),
        };
        let i = choose(&candidates, input).ok_or(NoUpstream::Now)?;
        let (eligible, state) = (candidates.swap_remove(i).eligible, states[i]);
        let run = query.digest.map(|digest| {
            poison.started(digest, state.entry.id.clone(), eligible.incarnation(), now)
        });
        Ok(UpstreamHandle::new(&self.observer, state, eligible, run))
    }

    /// Returns whether a request is refused for now because upstreams crashed while running it.
    #[must_use]
    pub fn is_refused(&self, digest: RequestDigest) -> bool {
        self.observer
            .poison
            .lock()
            .is_refused(digest, self.observer.timer.now())
    }

    /// Returns a handle of an upstream that is already running a request, whether or not it may
    /// receive new work.
    #[must_use]
    pub fn handle_running(&self, id: &UpstreamId) -> Option<UpstreamHandle> {
        let state = self.state(id)?;
        let incarnation = state.record.lock().evidence.incarnation();
        let incarnation = incarnation.unwrap_or_default();
        Some(UpstreamHandle::for_running(
            &self.observer,
            &state,
            incarnation,
        ))
    }

    /// Returns the status of each upstream for operators.
    pub(crate) fn statuses(&self) -> Vec<operator::UpstreamStatus> {
        let now = self.observer.timer.now();
        let states = self.states.read();
        let to_status = |state: &Arc<UpstreamState>| {
            let record = state.record.lock();
            operator::UpstreamStatus {
                availability_zone: state.entry.zone.to_string(),
                id: state.entry.id.to_string(),
                in_flight: u64::from(record.own_requests()),
                takes_new_work: record.candidate(None, now).is_ok(),
            }
        };
        states.iter().map(to_status).collect()
    }

    /// Returns the capacity that the upstreams of this VM's subset report, sorted by id.
    #[must_use]
    pub fn capacity_reports(&self) -> Vec<(UpstreamId, CapacityReport)> {
        let subset = self.subset.read();
        let reports = subset.iter().filter_map(|state| {
            let record = state.record.lock();
            record.evidence.incarnation()?;
            let report = CapacityReport {
                capacity: record.report().capacity,
                waiting: record.report().waiting,
            };
            Some((state.entry.id.clone(), report))
        });
        reports.collect()
    }

    /// Returns the model for a new request of a service while the wanted model is being rolled out.
    #[must_use]
    pub fn serving_model(&self, service: &ServiceId, wanted: &Model) -> Model {
        let now = self.observer.timer.now();
        let subset = self.subset.read();
        let engines = subset
            .iter()
            .filter(|state| state.entry.services.binary_search(service).is_ok())
            .filter_map(|state| Some(state.record.lock().models(now)?.to_vec()))
            .collect::<Vec<_>>();
        serving_model(wanted, &engines, rand::random())
    }

    /// Returns the last observed incarnation of an upstream.
    #[must_use]
    pub fn incarnation(&self, id: &UpstreamId) -> Option<Incarnation> {
        self.state(id)?.record.lock().evidence.incarnation()
    }

    /// Records that a process of an upstream is leaving, according to `source`.
    pub fn record_leaving(&self, id: &UpstreamId, incarnation: Incarnation, source: LeavingSource) {
        if let Some(state) = self.state(id) {
            self.observer.record_leaving(&state, incarnation, source);
        }
    }

    /// Records an upstream's state in the platform's list, which does not contain incarnations.
    pub fn record_listed(&self, id: &UpstreamId, leaving: bool) {
        if let Some(state) = self.state(id) {
            state.record.lock().evidence.record_listed(leaving);
        }
    }

    /// Returns processes of upstreams that started leaving recently, for a message to a peer, sorted.
    /// Each is sent in eight messages.
    #[must_use]
    pub fn leaving_deltas(&self) -> Vec<(UpstreamId, Incarnation)> {
        self.observer.leaving_deltas()
    }

    /// Returns all processes of upstreams that are known to be leaving, sorted, as needed by a peer
    /// that has just started.
    #[must_use]
    pub fn leaving(&self) -> Vec<(UpstreamId, Incarnation)> {
        let states = self.states.read();
        let mut all = states
            .iter()
            .flat_map(|state| {
                let record = state.record.lock();
                let leaving = record.evidence.leaving().iter();
                leaving
                    .map(|(incarnation, _)| (state.entry.id.clone(), *incarnation))
                    .collect::<Vec<_>>()
            })
            .collect::<Vec<_>>();
        all.sort();
        all
    }

    /// Returns poison records for a message to a peer. Each is sent in eight messages.
    #[must_use]
    pub fn poison_deltas(&self) -> Vec<PoisonRecord> {
        let now = self.observer.timer.now();
        self.observer.poison.lock().deltas(now)
    }

    /// Returns the poison records of one request.
    #[must_use]
    pub fn poison_records_of(&self, digest: RequestDigest) -> Vec<PoisonRecord> {
        let now = self.observer.timer.now();
        self.observer.poison.lock().records_of(digest, now)
    }

    /// Returns the poison records of requests that are refused on this VM and explain the crashes in
    /// `records`, for the peer that sent these.
    #[must_use]
    pub fn explaining_records(&self, records: &[PoisonRecord]) -> Vec<PoisonRecord> {
        let now = self.observer.timer.now();
        self.observer.poison.lock().explaining_records(records, now)
    }

    /// Returns all poison records.
    #[must_use]
    pub fn poison_records(&self) -> Vec<PoisonRecord> {
        let now = self.observer.timer.now();
        self.observer.poison.lock().records(now)
    }

    /// Merges poison records from a peer.
    pub fn merge_poison(&self, records: &[PoisonRecord], peer: &VmId) {
        let now = self.observer.timer.now();
        let new = self.observer.poison.lock().merge(records, now);
        if !new.is_empty() {
            self.observer.updated.notify_one();
        }
        for record in new {
            tracing::info!(%peer, body = %record.digest, death = %record.crash,
                cleared = record.cleared, age_ms = record.age_ms,
                "a peer tells of a death under a request");
        }
    }

    /// Records announcements of a peer that it is about to send suspect requests to upstreams.
    pub fn suspects_announced(&self, runs: &[SuspectRun], peer: &VmId) {
        let now = self.observer.timer.now();
        for run in runs {
            tracing::info!(%peer, body = %run.digest, upstream = %run.upstream,
                incarnation = run.incarnation.0, "peer sends a suspect");
            self.observer.poison.lock().announced(run.clone(), now);
        }
    }

    /// Records replies of a peer that it is running suspect requests which this VM has announced, or
    /// other ones that conflict with them.
    pub fn suspects_running_on_peer(&self, runs: &[SuspectRun], peer: &VmId) {
        let now = self.observer.timer.now();
        for run in runs {
            tracing::info!(%peer, body = %run.digest, upstream = %run.upstream,
                incarnation = run.incarnation.0, "peer runs a suspect");
            self.observer
                .poison
                .lock()
                .running_on_peer(run.clone(), now);
        }
    }

    /// Records withdrawals of a peer: it did not send the orders of suspect requests that it had
    /// announced.
    pub fn suspects_withdrawn(&self, runs: &[SuspectRun], peer: &VmId) {
        let now = self.observer.timer.now();
        for run in runs {
            tracing::info!(%peer, body = %run.digest, upstream = %run.upstream,
                incarnation = run.incarnation.0, "peer did not send a suspect");
            self.observer.poison.lock().withdrawn(run, now);
        }
    }

    /// Returns runs of suspect requests on this VM that conflict with runs that a peer announces.
    #[must_use]
    pub fn suspect_conflicts(&self, announced: &[SuspectRun]) -> SuspectConflicts {
        self.observer.poison.lock().conflicts(announced)
    }

    /// Probes the upstreams to which other VMs have sent a suspect request, or which left an order of
    /// this VM unanswered. One that has crashed counts as crashed while running it.
    pub(crate) async fn check_suspect(&self, digest: RequestDigest) {
        let now = self.observer.timer.now();
        let runs = self.observer.poison.lock().unchecked(digest, now);
        let checks = runs.iter().map(|run| async {
            if let Some(state) = self.state(&run.upstream) {
                self.observer.probe(&state, run.incarnation).await;
            }
            let now = self.observer.timer.now();
            self.observer.poison.lock().checked(run, now);
        });
        futures::future::join_all(checks).await;
    }

    /// Returns whether a request is a suspect.
    pub(crate) fn is_suspect(&self, digest: RequestDigest) -> bool {
        let now = self.observer.timer.now();
        self.observer.poison.lock().is_suspect(digest, now)
    }

    /// Waits until there is an update for peers.
    pub(crate) async fn wait_for_update(&self) {
        self.observer.updated.notified().await;
    }

    /// Sets the VMs, including this one, among which the probation runs of suspect requests on the
    /// upstreams of this availability zone are divided. Without it two VMs may supervise suspect
    /// requests on the same upstream.
    pub fn set_probation_vms(&self, vms: Vec<VmId>) {
        *self.probation_vms.write() = vms;
    }

    fn may_start(
        &self,
        poison: &PoisonTracker,
        query: &UpstreamQuery<'_>,
        state: &UpstreamState,
        now: Instant,
    ) -> bool {
        let Some(digest) = query.digest else {
            return true;
        };
        let id = &state.entry.id;
        let allows_probation =
            query.urgent || !poison.is_suspect(digest, now) || self.allows_probation(id);
        poison.may_start(digest, id, allows_probation, now).is_ok()
    }

    /// Returns whether this VM is the one that supervises suspect requests on an upstream.
    fn allows_probation(&self, id: &UpstreamId) -> bool {
        self.probation_vms
            .read()
            .iter()
            .max_by_key(|vm| rendezvous_score(id.as_str(), vm.as_str()))
            .is_none_or(|vm| *vm == self.vm)
    }

    fn candidate(
        &self,
        state: &UpstreamState,
        query: &UpstreamQuery<'_>,
        prefix: Option<&str>,
        now: Instant,
    ) -> Option<Candidate> {
        let candidate = state.record.lock().candidate(query.model, now).ok()?;
        Some(Candidate {
            own_zone: state.entry.zone == self.zone,
            affinity: prefix.map_or(0, |key| rendezvous_score(key, state.entry.id.as_str())),
            ..candidate
        })
    }

    fn state(&self, id: &UpstreamId) -> Option<Arc<UpstreamState>> {
        let states = self.states.read();
        let i = states.binary_search_by(|s| s.entry.id.cmp(id)).ok()?;
        states.get(i).cloned()
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
        let subset_ids = self.subset_ids(bundle);
        *self.subset.write() = states
            .iter()
            .filter(|state| subset_ids.binary_search(&&state.entry.id).is_ok())
            .cloned()
            .collect();
    }

    /// Returns the ids of the upstreams in this VM's subset: the union over all services, sorted.
    fn subset_ids<'a>(&self, bundle: &'a Bundle) -> Vec<&'a UpstreamId> {
        let mut subset_ids = bundle
            .services
            .iter()
            .flat_map(|service| {
                let serving = bundle
                    .upstreams
                    .iter()
                    .filter(|upstream| upstream.services.binary_search(&service.id).is_ok());
                subset(&self.vm, &self.zone, serving)
            })
            .map(|upstream| &upstream.id)
            .collect::<Vec<_>>();
        subset_ids.sort();
        subset_ids.dedup();
        subset_ids
    }

    async fn poll(&self, jitter: Duration) {
        let subset = self.subset.read().clone();
        let polls = subset.iter().map(|state| self.observer.poll(state, jitter));
        futures::future::join_all(polls).await;
    }
}

async fn run(upstreams: Arc<Upstreams>, bundle: Arc<BundleInForce>) {
    let mut ticks = upstreams.observer.timer.subscribe(POLL_INTERVAL);
    let mut changes = bundle.changes();
    let mut jitter = Duration::ZERO;
    loop {
        upstreams.apply(&bundle.current());
        upstreams.poll(jitter).await;
        jitter = POLL_JITTER;
        tokio::select! {
            tick = ticks.recv() => if tick.is_none() { return },
            change = changes.changed() => if change.is_err() { return },
        }
    }
}
