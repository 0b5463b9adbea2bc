use super::*;

/// What the gateway knows, behind one lock.
pub(crate) struct GatewayState {
    pub(crate) config: NewestConfig,
    pub(crate) directory: UpstreamDirectory,
    /// How far the directory has been read.
    pub(crate) directory_read: DirectoryRead,
    /// Sorted by id.
    upstreams: Vec<UpstreamIncarnationState>,
    pub(crate) zones: ZoneOutageDetector,
    pub(crate) services_seen: ServicesSeen,
    /// Sorted by service.
    budgets: Vec<(ServiceId, SharedRetryBudget)>,
    pub(crate) crashes: CrashTracker,
    /// Calls whose connection broke lately, until it shows whether their upstream died.
    broken: Vec<Crash>,
    pub(crate) peers: PeerLoads,
    pub(crate) cached: CachedPrompts,
    /// The platform's table of upstreams, as read here or told by another VM of the zone.
    pub(crate) table: UpstreamTable,
    pub(crate) gossip: GossipView,
    /// Whether the configuration, or the directory, was not read since this process last woke.
    pub(crate) old_config: bool,
    pub(crate) old_directory: bool,
    /// When the table was last read here, from the store.
    pub(crate) table_read: Option<Instant>,
    /// When the store last answered the question for the configuration.
    pub(crate) config_read: Option<Instant>,
    pub(crate) rollouts: Rollouts,
    pub(crate) pace: StreamDurationEstimator,
}

/// How far the directory has been read since this process started.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum DirectoryRead {
    /// Not at all.
    Nothing,
    /// Its first rows, which serve while the others come.
    FirstRows,
    /// Once, as a whole.
    Whole,
}

/// Which upstreams of a service are chosen from.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Candidates<'a> {
    /// Those that may get any request; if there are none, those that stop with the end of a rollout.
    Open,
    /// These.
    Only(&'a [UpstreamIncarnation]),
}

/// What is known of one upstream.
pub(crate) struct UpstreamIncarnationState {
    id: UpstreamIncarnation,
    pub(crate) entry: Arc<UpstreamEntry>,
    pub(crate) health: UpstreamHealth,
    pub(crate) load: UpstreamLoad,
    /// Counts how often its calls were given up.
    pub(crate) given_up: watch::Sender<u64>,
}

/// How long after a broken connection the death of its upstream is laid to the call: until its
/// next caller is refused a connection or its entry has lapsed.
const DEATH_SHOWS: Duration = Duration::from_secs(5);

/// Broken calls kept at most; the oldest go first.
const MOST_BROKEN: usize = 1024;

impl GatewayState {
    /// The state of a VM that knows nothing yet.
    pub(crate) fn new(vm: Arc<str>, rollouts: Option<RolloutSettings>) -> Self {
        Self {
            config: NewestConfig::default(),
            directory: UpstreamDirectory::default(),
            directory_read: DirectoryRead::Nothing,
            upstreams: Vec::new(),
            zones: ZoneOutageDetector::default(),
            services_seen: ServicesSeen::default(),
            budgets: Vec::new(),
            crashes: CrashTracker::default(),
            broken: Vec::new(),
            peers: PeerLoads::new(vm),
            cached: CachedPrompts::default(),
            table: UpstreamTable::default(),
            gossip: GossipView::default(),
            table_read: None,
            config_read: None,
            rollouts: Rollouts::new(rollouts),
            pace: StreamDurationEstimator::default(),
            old_config: false,
            old_directory: false,
        }
    }

    /// Whether a configuration and upstreams are known.
    pub(crate) fn is_complete(&self) -> bool {
        self.config.get().is_some() && self.directory_read > DirectoryRead::Nothing
    }

    /// Whether what is known was also read since this process last woke.
    pub(crate) fn is_current(&self) -> bool {
        self.is_complete() && !self.old_config && !self.old_directory
    }

    /// Notes that this process did not run for a while: what it knows is as old as that.
    pub(crate) fn woke(&mut self) {
        self.old_config = true;
        self.old_directory = true;
        self.gossip = GossipView::default();
        self.peers.discard_heartbeats();
    }

    /// Notes that the connection of a call broke. Connections also break while their upstream lives,
    /// so nothing is laid to the call before its death shows.
    pub(crate) fn broke_under(&mut self, crash: Crash) {
        if self.broken.len() == MOST_BROKEN {
            self.broken.remove(0);
        }
        self.broken.push(crash);
    }

    /// Notes that an upstream died, under the calls whose connections broke shortly before; returns how many
    /// that is news of.
    pub(crate) fn died(&mut self, upstream: &UpstreamIncarnation, now: Instant) -> usize {
        self.broken
            .retain(|crash| now.since(crash.at) < DEATH_SHOWS);
        let (under, rest) = std::mem::take(&mut self.broken)
            .into_iter()
            .partition(|crash| crash.upstream == *upstream);
        self.broken = rest;
        let under: Vec<Crash> = under;
        let news = under
            .into_iter()
            .filter(|crash| self.heard_of_crash(crash.clone()));
        news.count()
    }

    /// Takes in a death of an upstream under a call, seen here or by another VM; tells whether it is news.
    pub(crate) fn heard_of_crash(&mut self, crash: Crash) -> bool {
        let (digest, now) = (crash.digest, crash.at);
        let news = self.crashes.record_crash(crash);
        if news && self.crashes.is_refused(digest, now) {
            let crashes = self.crashes.crash_count(digest, now);
            tracing::warn!(body = %format_args!("{digest:016x}"), crashes, "body is refused from now on");
        }
        news
    }

    /// State of an upstream, new if it has none.
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
                    given_up: watch::Sender::new(0),
                };
                self.upstreams.insert(index, upstream);
                index
            }
        };
        &mut self.upstreams[index]
    }

    /// State of an upstream, if it has any.
    pub(crate) fn known_upstream(
        &mut self,
        id: &UpstreamIncarnation,
    ) -> Option<&mut UpstreamIncarnationState> {
        let index = self.upstreams.binary_search_by(|u| u.id.cmp(id)).ok()?;
        Some(&mut self.upstreams[index])
    }

    /// All upstreams that there is state of.
    pub(crate) fn upstreams_mut(&mut self) -> impl Iterator<Item = &mut UpstreamIncarnationState> {
        self.upstreams.iter_mut()
    }

    /// Forgets upstreams that are gone and have no call in flight.
    pub(crate) fn forget_gone(&mut self, now: Instant) {
        let directory = &self.directory;
        self.upstreams
            .retain(|u| u.health.in_flight() > 0 || directory.get_usable(&u.id, now).is_some());
    }

    pub(crate) fn budget(&mut self, service: &ServiceId) -> &mut SharedRetryBudget {
        let index = match self.budgets.binary_search_by(|(s, _)| s.cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                let budget = (service.clone(), SharedRetryBudget::default());
                self.budgets.insert(index, budget);
                index
            }
        };
        &mut self.budgets[index].1
    }

    /// Upstreams of a service to choose from.
    fn eligible(
        &self,
        service: &ServiceId,
        among: Candidates,
        now: Instant,
    ) -> Vec<Arc<UpstreamEntry>> {
        let usable = self.directory.usable(service, now).cloned();
        let only = match among {
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

    /// Chooses among the upstreams of a service, less those in `avoid`.
    pub(crate) fn choose<T>(
        &mut self,
        service: &ServiceId,
        avoid: &[UpstreamIncarnation],
        cached: &[(UpstreamIncarnation, u32)],
        among: Candidates,
        who: &PlacementContext,
        choose: impl FnOnce(&[PlacementCandidate]) -> T,
    ) -> T {
        let now = who.now;
        let mut entries = self.eligible(service, among, now);
        entries.retain(|entry| !avoid.contains(&entry.id));
        for entry in &entries {
            self.upstream(entry, now);
        }
        let peers = self.peers.view(now);
        let candidates = entries
            .iter()
            .filter_map(|entry| {
                let index = self
                    .upstreams
                    .binary_search_by(|u| u.id.cmp(&entry.id))
                    .ok()?;
                let state = &self.upstreams[index];
                Some(PlacementCandidate {
                    entry,
                    load: &state.load,
                    suspect: state.health.is_suspect()
                        || (who.policy.peer_suspects && peers.is_suspect(&entry.id)),
                    suspect_zone: who.policy.zone_alarm && self.zones.is_suspect(&entry.zone, now),
                    cached: cached_tokens(cached, &entry.id),
                    peer_calls: if who.policy.peer_loads {
                        peers.calls(&entry.id)
                    } else {
                        0
                    },
                    load_is_complete: knows_complete_load(&peers, entry, who),
                    peer_prefill: if who.policy.peer_loads {
                        peers.prefill_left(&entry.id)
                    } else {
                        Duration::ZERO
                    },
                })
            })
            .collect::<Vec<_>>();
        choose(&candidates)
    }
}

/// Whether all who have calls on an upstream tell the VM that chooses.
fn knows_complete_load(peers: &PeerView, entry: &UpstreamEntry, who: &PlacementContext) -> bool {
    let in_zone = entry.zone == *who.zone;
    let rank = in_zone.then(|| rank_of_vm(&entry.id, who.vm, who.zone_vms));
    peers.knows_complete_load(rank)
}

/// Tokens of a prompt that an upstream holds.
pub(crate) fn cached_tokens(
    cached: &[(UpstreamIncarnation, u32)],
    id: &UpstreamIncarnation,
) -> u32 {
    match cached.binary_search_by(|(holder, _)| holder.cmp(id)) {
        Ok(index) => cached[index].1,
        Err(_) => 0,
    }
}
