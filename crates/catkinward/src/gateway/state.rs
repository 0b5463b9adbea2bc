use super::{
    lost_run::{CrashProof, LostRun},
    reply_log::{BodyHex, millis},
    run_guard::FailOver,
    *,
};

/// Mutable state of the gateway, behind one lock.
pub(crate) struct GatewayState {
    pub(crate) config: NewestConfig,
    pub(crate) directory: UpstreamDirectory,
    /// How much of the directory has been read.
    pub(crate) directory_read: DirectoryRead,
    /// Upstreams that this VM has used, sorted by id. Each costs time at every check for silence, and a VM
    /// uses few of those that it knows.
    upstreams: Vec<UpstreamIncarnationState>,
    /// Back-offs that upstreams asked for. They are kept when the state of an upstream is dropped.
    pub(crate) back_offs: BackOffTable,
    pub(crate) zones: ZoneOutageDetector,
    pub(crate) recent_services: RecentServices,
    /// Sorted by service.
    budgets: Vec<(ServiceId, SharedRetryBudget)>,
    pub(crate) crashes: CrashTracker,
    /// Notifies calls that wait in an upstream that another body is refused.
    pub(crate) refusals: watch::Sender<u64>,
    /// Runs that were lost recently, until it is known whether their upstream crashed.
    lost_runs: Vec<LostRun>,
    pub(crate) peers: PeerLoads,
    pub(crate) peer_suspicions: PeerSuspicions,
    pub(crate) cached: CachedPrompts,
    /// The platform's table of upstreams, as read by this VM or advertised by another VM of the
    /// zone.
    pub(crate) table: UpstreamTable,
    pub(crate) gossip: GossipView,
    /// Name of the VM whose gossip was received last.
    pub(crate) last_gossip_from: Option<Arc<str>>,
    /// Address of the VM whose gossip showed last that changes are missing here.
    pub(crate) table_advertiser: Option<SocketAddr>,
    /// Whether the configuration, or the directory, has not been read since this process was last
    /// suspended.
    pub(crate) config_is_stale: bool,
    pub(crate) directory_is_stale: bool,
    /// When this VM last read the table from the store.
    pub(crate) table_read: Option<Instant>,
    /// When the store last answered a request for the configuration.
    pub(crate) config_read: Option<Instant>,
    pub(crate) rollouts: Rollouts,
    pub(crate) stream_durations: StreamDurationEstimator,
    /// When this process started, if an earlier one of this VM may have sent retries.
    restarted: Option<Instant>,
    /// Calls of each service at this VM, sorted by service.
    demands: Vec<(ServiceId, ServiceDemand)>,
    /// Callers refused because of limits, sorted by service.
    limit_queues: Vec<(ServiceId, LimitQueue)>,
    pub(crate) schedulings: Schedulings,
}

/// How much of the directory has been read since this process started.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum DirectoryRead {
    /// Nothing was read yet.
    Nothing,
    /// The first rows, which are used while the remaining ones are read.
    FirstRows,
    /// All rows were read at least once.
    Whole,
}

/// Upstreams of a service that may be selected.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Candidates<'a> {
    /// Those that may get any request; if there are none, those that a rollout retires.
    Open,
    /// Only the listed upstreams.
    Only(&'a [UpstreamIncarnation]),
}

/// Health and load of one upstream.
pub(crate) struct UpstreamIncarnationState {
    pub(crate) id: UpstreamIncarnation,
    pub(crate) entry: Arc<UpstreamEntry>,
    pub(crate) health: UpstreamHealth,
    pub(crate) load: UpstreamLoad,
    pub(crate) room: UpstreamRoom,
    pub(crate) limit: UpstreamLimit,
    pub(crate) brittleness: Brittleness,
    /// Notifies the runs on the upstream that it may have failed.
    pub(crate) failed_over: watch::Sender<FailOver>,
}

impl UpstreamIncarnationState {
    /// Records a report of the upstream. Returns the figure that cannot be read, for the first such report.
    pub(crate) fn record_report(
        &mut self,
        load: Option<LoadSample>,
        room: RoomReport,
        now: Instant,
    ) -> Option<ReportFigure> {
        if let Some(load) = load {
            self.load.record_report(load, now);
        }
        self.room.record_report(load, room, now)
    }
}

/// How long after the loss of a run a crash of its upstream is attributed to the call: until the
/// next caller is refused a connection or the entry of the upstream has expired.
const CRASH_ATTRIBUTION_WINDOW: Duration = Duration::from_secs(5);

/// Maximum number of lost runs kept; the oldest are dropped first.
const MAX_LOST_RUNS: usize = 1024;

impl GatewayState {
    /// State of a VM that has not read anything yet. `restarted` is when this process started, if an earlier one of
    /// the VM may have sent retries.
    pub(crate) fn new(
        vm: Arc<str>,
        rollouts: Option<RolloutSettings>,
        restarted: Option<Instant>,
    ) -> Self {
        Self {
            restarted,
            config: NewestConfig::default(),
            directory: UpstreamDirectory::default(),
            directory_read: DirectoryRead::Nothing,
            upstreams: Vec::new(),
            back_offs: BackOffTable::default(),
            zones: ZoneOutageDetector::default(),
            recent_services: RecentServices::default(),
            budgets: Vec::new(),
            crashes: CrashTracker::default(),
            refusals: watch::Sender::new(0),
            lost_runs: Vec::new(),
            peers: PeerLoads::new(vm),
            peer_suspicions: PeerSuspicions::default(),
            cached: CachedPrompts::default(),
            table: UpstreamTable::default(),
            gossip: GossipView::default(),
            last_gossip_from: None,
            table_advertiser: None,
            table_read: None,
            config_read: None,
            rollouts: Rollouts::new(rollouts),
            stream_durations: StreamDurationEstimator::default(),
            demands: Vec::new(),
            limit_queues: Vec::new(),
            schedulings: Schedulings::default(),
            config_is_stale: false,
            directory_is_stale: false,
        }
    }

    /// Whether a configuration and upstreams are known.
    pub(crate) fn is_complete(&self) -> bool {
        self.config.get().is_some() && self.directory_read > DirectoryRead::Nothing
    }

    /// Whether configuration and upstreams are known and were read since this process was last
    /// suspended.
    pub(crate) fn is_current(&self) -> bool {
        self.is_complete() && !self.config_is_stale && !self.directory_is_stale
    }

    /// Marks all state as old because this process did not run for a while.
    pub(crate) fn record_suspension(&mut self) {
        self.config_is_stale = true;
        self.directory_is_stale = true;
        self.gossip = GossipView::default();
        self.peers.discard_heartbeats();
    }

    /// Records that a run was lost; returns whether a crash of its upstream is attributed to the call.
    /// Connections also break while their upstream lives, so none is before the crash is known.
    pub(crate) fn record_lost_run(&mut self, run: LostRun) -> bool {
        let (upstream, now) = (&run.upstream, run.at);
        let has_crashed = match run.proof {
            CrashProof::Unresponsive => {
                self.crashes
                    .has_crashed_within(CRASH_ATTRIBUTION_WINDOW, upstream, now)
                    || self.directory.has_ended(upstream)
            }
            CrashProof::ProcessEnded => self.directory.has_ended(upstream),
        };
        if has_crashed {
            return self.apply_crashes(run.crashes(), CrashTracker::record_crash, now) > 0;
        }
        if self.lost_runs.len() == MAX_LOST_RUNS {
            self.lost_runs.remove(0);
        }
        self.lost_runs.push(run);
        false
    }

    /// Whether a run was lost on an upstream recently whose crash is not known.
    pub(crate) fn has_lost_run(&self, upstream: &UpstreamIncarnation, now: Instant) -> bool {
        self.lost_runs
            .iter()
            .any(|run| run.upstream == *upstream && now.since(run.at) < CRASH_ATTRIBUTION_WINDOW)
    }

    /// Records that an upstream crashed, as shown by `proof`, and attributes the crash to the calls whose
    /// runs were lost there shortly before; returns how many of these records are new.
    pub(crate) fn upstream_crashed(
        &mut self,
        upstream: &UpstreamIncarnation,
        proof: CrashProof,
        now: Instant,
    ) -> usize {
        self.lost_runs
            .retain(|run| now.since(run.at) < CRASH_ATTRIBUTION_WINDOW);
        let (attributed, rest) = std::mem::take(&mut self.lost_runs)
            .into_iter()
            .partition(|run| run.upstream == *upstream && run.proof <= proof);
        self.lost_runs = rest;
        let attributed: Vec<LostRun> = attributed;
        let is_new = attributed
            .into_iter()
            .filter(|run| self.apply_crashes(run.crashes(), CrashTracker::record_crash, now) > 0);
        is_new.count()
    }

    /// Records crashes that another VM reports; returns how many are new.
    pub(crate) fn apply_reported_crashes(
        &mut self,
        crashes: impl IntoIterator<Item = Crash>,
        now: Instant,
    ) -> usize {
        let record = |tracker: &mut CrashTracker, crash| tracker.record_reported(crash, now);
        self.apply_crashes(crashes, record, now)
    }

    /// Records crashes with `record`, as observed here or by another VM; returns how many are new.
    fn apply_crashes(
        &mut self,
        crashes: impl IntoIterator<Item = Crash>,
        record: impl Fn(&mut CrashTracker, Crash) -> bool,
        now: Instant,
    ) -> usize {
        let (mut new, mut refused, mut blame_may_change) = (0, false, false);
        for crash in crashes {
            let attribute = crash.attribute.clone();
            if !record(&mut self.crashes, crash) {
                continue;
            }
            new += 1;
            blame_may_change |= self.crashes.may_change_blame(&attribute);
            if let CallAttribute::Body(digest) = attribute {
                if self.crashes.is_refused(digest, now) {
                    let crashes = self.crashes.crash_count(digest, now);
                    tracing::warn!(body = %BodyHex(digest), crashes,
                        "calls with this body are rejected from now on");
                }
                refused |= self.crashes.forbids_resend(digest, now);
            }
        }
        if blame_may_change {
            refused |= self.update_blame(now);
        }
        if refused {
            self.refusals.send_modify(|count| *count += 1);
        }
        new
    }

    /// Records that a run of a call that began to produce events at `began` got past its beginning.
    pub(crate) fn record_clean_run(&mut self, call: &CallAttributes, began: Instant, now: Instant) {
        // Fewer crashes can only clear a part.
        if self.crashes.record_clean_run(call, began) && self.crashes.blamed_count() > 0 {
            self.update_blame(now);
        }
    }

    /// Determines which parts crash upstreams, and logs what has changed; returns whether calls with a part are
    /// refused from now on.
    fn update_blame(&mut self, now: Instant) -> bool {
        let changes = self.crashes.update_blame(now);
        for change in &changes {
            match change {
                BlameChange::Blamed(blamed) => {
                    let cause = CallAttribute::Part(blamed.part.clone());
                    tracing::warn!(%cause, crashes = blamed.crashes,
                        clean_runs = blamed.clean_runs, age_ms = millis(now.since(blamed.since)),
                        last_crash_ms = millis(now.since(blamed.last_crash)),
                        blocked_ms = millis(blamed.blocked_for(now)),
                        "part crashes upstreams: calls with it are rejected from now on");
                }
                BlameChange::Cleared(part) => {
                    let cause = CallAttribute::Part(part.clone());
                    tracing::warn!(%cause, "part does not crash upstreams: calls with it are accepted");
                }
            }
        }
        let is_blame = |change: &BlameChange| matches!(change, BlameChange::Blamed(_));
        changes.iter().any(is_blame)
    }

    /// State of an upstream, created if there is none.
    pub(crate) fn upstream(
        &mut self,
        entry: &Arc<UpstreamEntry>,
        now: Instant,
    ) -> &mut UpstreamIncarnationState {
        let index = match self.upstreams.binary_search_by(|u| u.id.cmp(&entry.id)) {
            Ok(index) => index,
            Err(index) => {
                let upstream = UpstreamIncarnationState {
                    id: entry.id.clone(),
                    entry: entry.clone(),
                    health: UpstreamHealth::new(now),
                    load: UpstreamLoad::default(),
                    room: UpstreamRoom::default(),
                    limit: UpstreamLimit::default(),
                    brittleness: Brittleness::default(),
                    failed_over: watch::Sender::new(FailOver::default()),
                };
                self.upstreams.insert(index, upstream);
                index
            }
        };
        &mut self.upstreams[index]
    }

    /// State of an upstream, if there is any.
    pub(crate) fn existing_upstream(
        &mut self,
        id: &UpstreamIncarnation,
    ) -> Option<&mut UpstreamIncarnationState> {
        let index = self.upstreams.binary_search_by(|u| u.id.cmp(id)).ok()?;
        Some(&mut self.upstreams[index])
    }

    /// Number of calls on an upstream from all VMs, as far as known.
    pub(crate) fn calls(&self, id: &UpstreamIncarnation, now: Instant) -> u32 {
        let found = self.upstreams.binary_search_by(|u| u.id.cmp(id));
        found.map_or(0, |index| self.upstreams[index].load.calls(now))
    }

    /// Whether an upstream is suspected to have failed. One that this VM has not used yet is not.
    pub(crate) fn is_suspect(&self, id: &UpstreamIncarnation) -> bool {
        let found = self.upstreams.binary_search_by(|u| u.id.cmp(id));
        found.is_ok_and(|index| self.upstreams[index].health.is_suspect())
    }

    /// How much of each service this VM reaches. Upstreams that it has not used yet count as reached.
    pub(crate) fn service_reaches(&self, now: Instant) -> ServiceReaches {
        let mut reaches = ServiceReaches::default();
        let Some(config) = self.config.get() else {
            return reaches;
        };
        for service in &config.services {
            for entry in self.directory.usable(&service.name, now) {
                reaches.add(&service.name, self.is_suspect(&entry.id));
            }
        }
        reaches
    }

    /// States of the upstreams that this VM has used, sorted by id.
    pub(crate) fn upstreams_mut(&mut self) -> impl Iterator<Item = &mut UpstreamIncarnationState> {
        self.upstreams.iter_mut()
    }

    /// Drops the states of upstreams that are gone and have no call in flight.
    pub(crate) fn remove_gone(&mut self, now: Instant) {
        let directory = &self.directory;
        self.upstreams
            .retain(|u| u.health.in_flight() > 0 || directory.get_usable(&u.id, now).is_some());
    }

    pub(crate) fn budget(&mut self, service: &ServiceId) -> &mut SharedRetryBudget {
        let new = || match self.restarted {
            Some(at) => SharedRetryBudget::restarted(at),
            None => SharedRetryBudget::default(),
        };
        of_service_or_else(&mut self.budgets, service, new)
    }

    pub(crate) fn demand(&mut self, service: &ServiceId) -> &mut ServiceDemand {
        of_service(&mut self.demands, service)
    }

    pub(crate) fn limit_queue(&mut self, service: &ServiceId) -> &mut LimitQueue {
        of_service(&mut self.limit_queues, service)
    }

    /// Demand at this VM for each service with limits in force, for a heartbeat; none in a system in which the
    /// heartbeats do not reach all VMs.
    pub(crate) fn advertised_demands(&mut self, now: Instant) -> Vec<PeerDemand> {
        if !self.peers.is_full_mesh(now) {
            return Vec::new();
        }
        let limited = self.upstreams.iter().filter(|u| u.limit.limit().is_some());
        let mut services = limited.map(|u| u.entry.service.clone()).collect::<Vec<_>>();
        services.sort_unstable();
        services.dedup();
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let demand = |service: ServiceId| PeerDemand {
            calls_per_100_s: (100.0 * self.demand(&service).advertise(now)) as u32,
            service,
        };
        services.into_iter().map(demand).collect()
    }

    /// The latest statements of upstreams about their limits, for a heartbeat.
    pub(crate) fn relayed_limits(&self, max: usize, now: Instant) -> Vec<PeerLimit> {
        let stated = self
            .upstreams
            .iter()
            .filter_map(|upstream| Some((&upstream.id, upstream.limit.relayed(now)?)));
        let mut stated = stated.collect::<Vec<_>>();
        stated.sort_by_key(|(_, statement)| std::cmp::Reverse(statement.at));
        let limits = stated
            .into_iter()
            .take(max)
            .map(|(id, statement)| PeerLimit {
                upstream: id.clone(),
                limit: statement.limit,
                age_ms: u32::try_from(now.since(statement.at).as_millis()).unwrap_or(u32::MAX),
            });
        limits.collect()
    }

    /// Upstreams of a service with a limit in force.
    pub(crate) fn limited_upstreams<'a>(
        &'a mut self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a mut UpstreamIncarnationState> {
        self.upstreams
            .iter_mut()
            .filter(|u| u.entry.service == *service && u.limit.limit().is_some())
    }

    /// Upstreams of a service that are brittle and must not get a request now.
    pub(crate) fn brittle_without_room(
        &self,
        service: &ServiceId,
        now: Instant,
    ) -> Vec<UpstreamIncarnation> {
        let brittle = self.upstreams.iter().filter(|upstream| {
            upstream.entry.service == *service && upstream.brittleness.bearable().is_some()
        });
        let mut vms = None;
        let full = brittle.filter(|upstream| {
            let vms = *vms.get_or_insert_with(|| self.peers.live_count(now) + 1);
            let vms = u32::try_from(vms).unwrap_or(u32::MAX);
            let slots = upstream.entry.slots;
            !upstream
                .brittleness
                .has_room(slots, &upstream.load, vms, now)
        });
        full.map(|upstream| upstream.id.clone()).collect()
    }

    /// Upstreams of a service that may be selected.
    fn eligible(
        &self,
        service: &ServiceId,
        candidate_set: Candidates,
        now: Instant,
    ) -> Vec<Arc<UpstreamEntry>> {
        let usable = self.directory.usable(service, now).cloned();
        let only = match candidate_set {
            Candidates::Only(only) => {
                return usable.filter(|entry| only.contains(&entry.id)).collect();
            }
            Candidates::Open if self.rollouts.admits_all(service, now) => return usable.collect(),
            Candidates::Open => [VersionAdmission::Open, VersionAdmission::Retired],
        };
        let (usable, admission) = (usable.collect::<Vec<_>>(), |entry: &Arc<UpstreamEntry>| {
            self.rollouts.admission(entry, now)
        });
        let open = only.map(|wanted| {
            let entries = usable.iter().filter(|entry| admission(entry) == wanted);
            entries.cloned().collect::<Vec<_>>()
        });
        let [open, retired] = open;
        if open.is_empty() { retired } else { open }
    }

    /// Selects among the upstreams of a service that are not in `avoid`.
    pub(crate) fn select_with<T>(
        &mut self,
        service: &ServiceId,
        avoid: &[UpstreamIncarnation],
        cached: &[(UpstreamIncarnation, u32)],
        candidate_set: Candidates,
        context: &PlacementContext,
        select: impl FnOnce(&[PlacementCandidate]) -> T,
    ) -> T {
        let mut entries = self.eligible(service, candidate_set, context.now);
        entries.retain(|entry| !avoid.contains(&entry.id));
        let unused = UpstreamLoad::default();
        let peers = self.peers.view(context.now);
        let candidates = entries
            .iter()
            .map(|entry| {
                let state = self.used_upstream(entry);
                let load = state.map_or(&unused, |state| &state.load);
                self.candidate(entry, state, load, &peers, cached, context)
            })
            .collect::<Vec<_>>();
        select(&candidates)
    }

    /// Selects among the upstreams of a scheduled service that are not in `avoid`.
    pub(crate) fn select_with_room<T>(
        &self,
        service: &ServiceId,
        avoid: &[UpstreamIncarnation],
        cached: &[(UpstreamIncarnation, u32)],
        context: &RoomContext,
        select: impl FnOnce(&[RoomCandidate]) -> T,
    ) -> T {
        let placement = &context.placement;
        let mut entries = self.eligible(service, Candidates::Open, placement.now);
        entries.retain(|entry| !avoid.contains(&entry.id));
        let (unused, unused_room) = (UpstreamLoad::default(), UpstreamRoom::default());
        let peers = self.peers.view(placement.now);
        let is_only_vm = self.is_only_vm(placement.now);
        let candidates = entries
            .iter()
            .map(|entry| {
                let state = self.used_upstream(entry);
                let load = state.map_or(&unused, |state| &state.load);
                let candidate = self.candidate(entry, state, load, &peers, cached, placement);
                RoomCandidate {
                    placement: PlacementCandidate {
                        load_is_complete: candidate.load_is_complete || is_only_vm,
                        ..candidate
                    },
                    room: state.map_or(&unused_room, |state| &state.room),
                    peer_tokens: if placement.policy.peer_loads {
                        peers.tokens(&entry.id)
                    } else {
                        0
                    },
                }
            })
            .collect::<Vec<_>>();
        select(&candidates)
    }

    /// Whether this VM is the only one: its settings name no others, and none has sent a heartbeat.
    fn is_only_vm(&self, now: Instant) -> bool {
        self.restarted.is_none() && self.peers.live_count(now) == 0
    }

    fn used_upstream(&self, entry: &UpstreamEntry) -> Option<&UpstreamIncarnationState> {
        let found = self.upstreams.binary_search_by(|u| u.id.cmp(&entry.id));
        found.ok().map(|index| &self.upstreams[index])
    }

    fn candidate<'a>(
        &self,
        entry: &'a Arc<UpstreamEntry>,
        state: Option<&UpstreamIncarnationState>,
        load: &'a UpstreamLoad,
        peers: &PeerView,
        cached: &[(UpstreamIncarnation, u32)],
        context: &PlacementContext,
    ) -> PlacementCandidate<'a> {
        PlacementCandidate {
            entry,
            load,
            suspect: state.is_some_and(|state| state.health.is_suspect())
                || (context.policy.peer_suspects && peers.is_suspect(&entry.id)),
            suspect_zone: context.policy.zone_alarm
                && self.zones.is_suspect(&entry.zone, context.now),
            cached: cached_tokens(cached, &entry.id),
            peer_calls: if context.policy.peer_loads {
                peers.calls(&entry.id)
            } else {
                0
            },
            load_is_complete: knows_complete_load(peers, entry, context),
            peer_prefill: if context.policy.peer_loads {
                peers.prefill_left(&entry.id)
            } else {
                Duration::ZERO
            },
        }
    }
}

/// Value of a service in a sorted vector, created if there is none.
fn of_service<'a, T: Default>(
    values: &'a mut Vec<(ServiceId, T)>,
    service: &ServiceId,
) -> &'a mut T {
    of_service_or_else(values, service, T::default)
}

fn of_service_or_else<'a, T>(
    values: &'a mut Vec<(ServiceId, T)>,
    service: &ServiceId,
    new: impl FnOnce() -> T,
) -> &'a mut T {
    let index = match values.binary_search_by(|(s, _)| s.cmp(service)) {
        Ok(index) => index,
        Err(index) => {
            values.insert(index, (service.clone(), new()));
            index
        }
    };
    &mut values[index].1
}

/// Whether the VM that selects receives the heartbeats of all VMs with calls on an upstream.
fn knows_complete_load(
    peers: &PeerView,
    entry: &UpstreamEntry,
    context: &PlacementContext,
) -> bool {
    let in_zone = entry.zone == *context.zone;
    let rank = in_zone.then(|| rank_of_vm(&entry.id, context.vm, context.zone_vms));
    peers.knows_complete_load(rank)
}

/// Number of prompt tokens that an upstream has cached.
pub(crate) fn cached_tokens(
    cached: &[(UpstreamIncarnation, u32)],
    id: &UpstreamIncarnation,
) -> u32 {
    match cached.binary_search_by(|(holder, _)| holder.cmp(id)) {
        Ok(index) => cached[index].1,
        Err(_) => 0,
    }
}
