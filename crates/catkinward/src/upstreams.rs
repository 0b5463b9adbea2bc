use super::*;
use crate::{
    upstream_handle::UpstreamHandle, upstream_observer::UpstreamObserver,
    upstream_state::UpstreamState,
};

/// How often each upstream of the subset is asked for its load.
const POLL_PERIOD: Duration = Duration::from_millis(500);

/// Longest random wait before such a call, so that VMs do not ask all at once.
const POLL_JITTER: Duration = Duration::from_millis(80);

/// The upstreams of the bundle in force and what is known of them.
pub struct Upstreams {
    known: Arc<UpstreamObserver>,
    vm: VmId,
    zone: AvailabilityZone,
    /// Of the whole bundle, sorted by id.
    states: RwLock<Vec<Arc<UpstreamState>>>,
    /// Those that this VM keeps in touch with.
    subset: RwLock<Vec<Arc<UpstreamState>>>,
    /// VMs that share the watching of suspects; none means this one alone.
    watchers: RwLock<Vec<VmId>>,
}

impl Upstreams {
    /// Starts to follow the bundle's upstreams.
    pub fn start(
        timer: &Arc<Timer>,
        connections: &Arc<Connections>,
        timeline: &Arc<Timeline>,
        bundle: &Arc<BundleInForce>,
        settings: &Settings,
    ) -> Arc<Self> {
        let upstreams = Arc::new(Self {
            known: Arc::new(UpstreamObserver::new(timer, connections, timeline)),
            vm: settings.vm.clone(),
            zone: settings.zone.clone(),
            states: RwLock::default(),
            subset: RwLock::default(),
            watchers: RwLock::default(),
        });
        tokio::spawn(follow(upstreams.clone(), bundle.clone()));
        upstreams
    }

    /// Chooses an upstream for a request.
    ///
    /// # Errors
    ///
    /// If none may get it.
    pub fn choose(&self, want: &UpstreamQuery<'_>) -> Result<UpstreamHandle, NoUpstream> {
        let now = self.known.timer.now();
        let mut poison = self.known.poison.lock();
        if want
            .digest
            .is_some_and(|digest| poison.is_refused(digest, now))
        {
            return Err(NoUpstream::Poisoned);
        }
        let subset = self.subset.read();
        let prefix = want.prefix_key();
        let (mut candidates, states): (Vec<_>, Vec<_>) = subset
            .iter()
            .filter(|state| state.entry.services.binary_search(want.service).is_ok())
            .filter(|state| !want.avoid.contains(&state.entry.id))
            .filter(|state| self.may_start(&poison, want, state, now))
            .filter_map(|state| Some((self.candidate(state, want, prefix.as_deref(), now)?, state)))
            .unzip();
        let input = ChoiceInput {
            random: rand::random(),
            by_prefix: prefix.is_some(),
        };
        let i = choose(&candidates, input).ok_or(NoUpstream::Now)?;
        let (eligible, state) = (candidates.swap_remove(i).eligible, states[i]);
        let run = want.digest.map(|digest| {
            poison.started(digest, state.entry.id.clone(), eligible.incarnation(), now)
        });
        Ok(UpstreamHandle::new(&self.known, state, eligible, run))
    }

    /// Whether upstreams died under a request, so that it runs nowhere for now.
    #[must_use]
    pub fn refuses(&self, digest: RequestDigest) -> bool {
        self.known
            .poison
            .lock()
            .is_refused(digest, self.known.timer.now())
    }

    /// Holds an upstream on which a request runs already, whether or not it may get new work.
    #[must_use]
    pub fn hold(&self, id: &UpstreamId) -> Option<UpstreamHandle> {
        let state = self.state(id)?;
        let incarnation = state.record.lock().evidence.incarnation();
        let incarnation = incarnation.unwrap_or_default();
        Some(UpstreamHandle::held(&self.known, &state, incarnation))
    }

    /// What an operator is told of each.
    pub(crate) fn statuses(&self) -> Vec<operator::UpstreamStatus> {
        let now = self.known.timer.now();
        let states = self.states.read();
        let tell = |state: &Arc<UpstreamState>| {
            let record = state.record.lock();
            operator::UpstreamStatus {
                availability_zone: state.entry.zone.to_string(),
                id: state.entry.id.to_string(),
                in_flight: u64::from(record.own_requests()),
                takes_new_work: record.candidate(None, now).is_ok(),
            }
        };
        states.iter().map(tell).collect()
    }

    /// What the upstreams that this VM keeps in touch with report of their room, sorted by id.
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

    /// The model that a new request of a service gets while its wanted one is being rolled out.
    #[must_use]
    pub fn serving_model(&self, service: &ServiceId, wanted: &Model) -> Model {
        let now = self.known.timer.now();
        let subset = self.subset.read();
        let engines = subset
            .iter()
            .filter(|state| state.entry.services.binary_search(service).is_ok())
            .filter_map(|state| Some(state.record.lock().models(now)?.to_vec()))
            .collect::<Vec<_>>();
        serving_model(wanted, &engines, rand::random())
    }

    /// The process of an upstream that was last heard of.
    #[must_use]
    pub fn incarnation(&self, id: &UpstreamId) -> Option<Incarnation> {
        self.state(id)?.record.lock().evidence.incarnation()
    }

    /// Notes that a process of an upstream is leaving, as `source` says.
    pub fn note_leaving(&self, id: &UpstreamId, incarnation: Incarnation, source: LeavingSource) {
        if let Some(state) = self.state(id) {
            self.known.note_leaving(&state, incarnation, source);
        }
    }

    /// Takes an upstream's state in the platform's list, which knows no incarnations.
    pub fn listed(&self, id: &UpstreamId, leaving: bool) {
        if let Some(state) = self.state(id) {
            state.record.lock().evidence.record_listed(leaving);
        }
    }

    /// Processes of upstreams lately known to be leaving, for a peer, sorted; each is told eight
    /// times.
    #[must_use]
    pub fn leaving_deltas(&self) -> Vec<(UpstreamId, Incarnation)> {
        self.known.tell_leaving()
    }

    /// Processes of upstreams known to be leaving, sorted, as for a peer that has just started.
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

    /// Marks of requests that upstreams died under, for a peer; each is told eight times.
    #[must_use]
    pub fn poison_deltas(&self) -> Vec<PoisonRecord> {
        let now = self.known.timer.now();
        self.known.poison.lock().deltas(now)
    }

    /// Such marks of one request.
    #[must_use]
    pub fn poison_marks_of(&self, digest: RequestDigest) -> Vec<PoisonRecord> {
        let now = self.known.timer.now();
        self.known.poison.lock().records_of(digest, now)
    }

    /// Marks of the requests that are refused here, for a peer that tells of deaths which they explain.
    #[must_use]
    pub fn culprits(&self, marks: &[PoisonRecord]) -> Vec<PoisonRecord> {
        let now = self.known.timer.now();
        self.known.poison.lock().explaining_records(marks, now)
    }

    /// All such marks.
    #[must_use]
    pub fn poison_marks(&self) -> Vec<PoisonRecord> {
        let now = self.known.timer.now();
        self.known.poison.lock().records(now)
    }

    /// Takes such marks from a peer.
    pub fn merge_poison(&self, marks: &[PoisonRecord], peer: &VmId) {
        let now = self.known.timer.now();
        let new = self.known.poison.lock().merge(marks, now);
        if !new.is_empty() {
            self.known.news.notify_one();
        }
        for mark in new {
            tracing::info!(%peer, body = %mark.digest, death = %mark.crash, cleared = mark.cleared,
                age_ms = mark.age_ms, "a peer tells of a death under a request");
        }
    }

    /// Takes the announcements of a peer that it is about to send suspects to upstreams.
    pub fn suspects_announced(&self, runs: &[SuspectRun], peer: &VmId) {
        let now = self.known.timer.now();
        for run in runs {
            tracing::info!(%peer, body = %run.digest, upstream = %run.upstream,
                incarnation = run.incarnation.0, "peer sends a suspect");
            self.known.poison.lock().announced(run.clone(), now);
        }
    }

    /// Takes the answers of a peer that suspects run there which this VM has announced, or other ones beside these.
    pub fn suspects_run_elsewhere(&self, runs: &[SuspectRun], peer: &VmId) {
        let now = self.known.timer.now();
        for run in runs {
            tracing::info!(%peer, body = %run.digest, upstream = %run.upstream,
                incarnation = run.incarnation.0, "peer runs a suspect");
            self.known.poison.lock().running_on_peer(run.clone(), now);
        }
    }

    /// Takes the withdrawals of a peer: orders of suspects that it has announced were not sent.
    pub fn suspects_withdrawn(&self, runs: &[SuspectRun], peer: &VmId) {
        for run in runs {
            tracing::info!(%peer, body = %run.digest, upstream = %run.upstream,
                incarnation = run.incarnation.0, "peer did not send a suspect");
            self.known.poison.lock().withdrawn(run);
        }
    }

    /// Runs of suspects here that conflict with runs that a peer announces.
    #[must_use]
    pub fn suspect_conflicts(&self, announced: &[SuspectRun]) -> SuspectConflicts {
        self.known.poison.lock().conflicts(announced)
    }

    /// Asks the upstreams to which other VMs have sent a suspect whether they live: one that died, died under it.
    pub(crate) async fn check_suspect(&self, digest: RequestDigest) {
        let now = self.known.timer.now();
        let runs = self.known.poison.lock().unchecked(digest, now);
        let checks = runs.iter().map(|run| async {
            if let Some(state) = self.state(&run.upstream) {
                self.known.find_out(&state, run.incarnation).await;
            }
            self.known.poison.lock().checked(run);
        });
        futures::future::join_all(checks).await;
    }

    /// Whether a request is a suspect.
    pub(crate) fn suspects(&self, digest: RequestDigest) -> bool {
        let now = self.known.timer.now();
        self.known.poison.lock().is_suspect(digest, now)
    }

    /// Waits until there is something new for peers.
    pub(crate) async fn has_news(&self) {
        self.known.news.notified().await;
    }

    /// Sets the VMs, this one among them, that share the watching of suspects on the upstreams of
    /// this availability zone. Without them two VMs may watch suspects on the same upstream.
    pub fn set_watchers(&self, vms: Vec<VmId>) {
        *self.watchers.write() = vms;
    }

    fn may_start(
        &self,
        poison: &PoisonTracker,
        want: &UpstreamQuery<'_>,
        state: &UpstreamState,
        now: Instant,
    ) -> bool {
        let Some(digest) = want.digest else {
            return true;
        };
        let id = &state.entry.id;
        let watches = want.urgent || !poison.is_suspect(digest, now) || self.watches(id);
        poison.may_start(digest, id, watches, now).is_ok()
    }

    /// Whether this VM is the one of the watchers that watches suspects on an upstream.
    fn watches(&self, id: &UpstreamId) -> bool {
        self.watchers
            .read()
            .iter()
            .max_by_key(|vm| rendezvous_score(id.as_str(), vm.as_str()))
            .is_none_or(|vm| *vm == self.vm)
    }

    fn candidate(
        &self,
        state: &UpstreamState,
        want: &UpstreamQuery<'_>,
        prefix: Option<&str>,
        now: Instant,
    ) -> Option<Candidate> {
        let candidate = state.record.lock().candidate(want.model, now).ok()?;
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
        let near = self.near(bundle);
        *self.subset.write() = states
            .iter()
            .filter(|state| near.binary_search(&&state.entry.id).is_ok())
            .cloned()
            .collect();
    }

    /// Ids of the upstreams to keep in touch with: the union over all services, sorted.
    fn near<'a>(&self, bundle: &'a Bundle) -> Vec<&'a UpstreamId> {
        let mut near = bundle
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
        near.sort();
        near.dedup();
        near
    }

    async fn poll(&self, jitter: Duration) {
        let subset = self.subset.read().clone();
        let polls = subset.iter().map(|state| self.known.poll(state, jitter));
        futures::future::join_all(polls).await;
    }
}

async fn follow(upstreams: Arc<Upstreams>, bundle: Arc<BundleInForce>) {
    let mut ticks = upstreams.known.timer.subscribe(POLL_PERIOD);
    let mut changes = bundle.changes();
    let mut jitter = Duration::ZERO;
    loop {
        upstreams.apply(&bundle.current());
        upstreams.poll(jitter).await;
        jitter = POLL_JITTER;
        tokio::select! {
            tick = ticks.recv() => if tick.is_none() { return },
            news = changes.changed() => if news.is_err() { return },
        }
    }
}
