//! The gateway itself.

use super::{
    accepted_call::AcceptedCall,
    gauges::update_gauges,
    health_check::{adopt, watch_upstreams},
    reply_log::{CallerWatch, count_reply, log_own_reply, millis},
    shutdown::Shutdown,
    stream_call::call_stream,
    whole_call::call_whole,
    *,
};

/// How soon a caller may come back to a VM that knows no configuration or no upstream yet: about the
/// time in which it learns them.
pub const NOT_READY_RETRY: Duration = Duration::from_millis(500);

/// How long a call waits for a process that has just started. It takes 0.2 s to know what it needs if
/// the platform answers, and if it does not, callers are better off elsewhere.
const LONGEST_START: Duration = Duration::from_millis(600);

/// When a caller may come back with a body under which upstreams died: the tally outlasts it, so it
/// is only kept from asking at once.
const CRASHING_RETRY: Duration = Duration::from_secs(10);

/// When a caller may come back who came to a VM that is about to end: at once, since the retry goes
/// to another one.
const LEAVING_RETRY: Duration = Duration::from_millis(20);

/// Settings of a [`Gateway`].
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of this VM.
    pub vm: Arc<str>,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Budget of repeats.
    pub repeats: SharedRetryBudgetConfig,
    /// Addresses of a few VMs for notes, to begin with; perhaps old ones.
    pub seeds: Vec<SocketAddr>,
    /// Which mechanisms decide.
    pub policy: Policy,
    /// Where this VM takes datagrams of other VMs.
    pub address: SocketAddr,
    /// Bandwidth of its link, if that is known.
    pub link: Option<LinkRate>,
    /// Bounds of rollouts, if there are any.
    pub rollouts: Option<RolloutSettings>,
}

/// Serves opaque calls.
pub struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) timer: Arc<Timer>,
    pub(crate) transport: UpstreamTransport,
    pub(crate) state: Mutex<GatewayState>,
    pub(crate) log: CallLog,
    pub(crate) leaving: Mutex<Option<Shutdown>>,
    /// Whether a configuration and upstreams are known, and not from before a time in which this process
    /// did not run.
    known: watch::Sender<bool>,
    /// Counts how often this process woke.
    pub(crate) wakes: watch::Sender<u64>,
    /// Held while engines are asked which prompts they hold.
    pub(crate) searching: tokio::sync::Mutex<()>,
    /// Loans of repeats that are awaited.
    pub(crate) loans: Mutex<LoanRequests>,
    /// When this process started.
    pub(crate) started: Instant,
    /// Calls that wait for a repeat.
    pub(crate) waiting_repeats: AtomicU32,
    /// Tells that a loan has come.
    pub(crate) loan_came: Notify,
    /// Datagrams to other VMs that do not wait for the next round of notes.
    pub(crate) outbox: Outbox,
    /// Upstreams to which prompts were sent, for the sender of notes.
    pub(crate) dispatches: Dispatches,
    /// Tells the sender of notes that upstreams died under calls.
    pub(crate) crashes_seen: Notify,
    /// Tells that news of the zone came.
    pub(crate) gossip_came: Notify,
    /// Newest configuration that another VM of the zone has in force.
    pub(crate) zone_config: watch::Sender<Option<AdvertisedConfig>>,
    /// Counts how often a feed noticed that the store answers again.
    pub(crate) store_returns: watch::Sender<u64>,
    /// This life of this VM's process.
    pub(crate) life: VmIncarnation,
    /// Rollouts that this VM owns, sorted by service.
    pub(crate) owned_rollouts: Mutex<Vec<(ServiceId, OwnedRollout)>>,
    /// Rollouts whose order was withdrawn, until their end is in the store.
    pub(crate) withdrawn_rollouts: Mutex<Vec<Rollout>>,
    /// Tells that there is something to do for a rollout.
    pub(crate) rollouts_changed: Notify,
    /// Counts the changes of rollouts.
    pub(crate) rollout_phases: watch::Sender<u64>,
    /// How it stood to new callers when that was last asked.
    pub(crate) readiness: Mutex<Readiness>,
    /// The state of a graceful shutdown.
    pub drain: Arc<Drain>,
}

impl Gateway {
    /// Starts a gateway and its watch over upstreams.
    #[must_use]
    pub fn start(
        settings: GatewaySettings,
        timer: Arc<Timer>,
        transport: UpstreamTransport,
    ) -> Arc<Self> {
        crate::metrics_endpoint::start_metrics();
        let gateway = Arc::new(Self {
            state: Mutex::new(GatewayState::new(settings.vm.clone(), settings.rollouts)),
            life: VmIncarnation {
                vm: settings.vm.clone(),
                incarnation: rand::random(),
            },
            owned_rollouts: Mutex::default(),
            withdrawn_rollouts: Mutex::default(),
            rollouts_changed: Notify::new(),
            rollout_phases: watch::Sender::new(0),
            settings,
            transport,
            log: CallLog::default(),
            leaving: Mutex::default(),
            known: watch::Sender::new(false),
            wakes: watch::Sender::new(0),
            searching: tokio::sync::Mutex::default(),
            loans: Mutex::default(),
            started: timer.now(),
            waiting_repeats: AtomicU32::new(0),
            loan_came: Notify::new(),
            outbox: Outbox::default(),
            dispatches: Dispatches::default(),
            crashes_seen: Notify::new(),
            gossip_came: Notify::new(),
            zone_config: watch::Sender::new(None),
            store_returns: watch::Sender::new(0),
            readiness: Mutex::new(Readiness::NothingKnown),
            drain: Arc::default(),
            timer,
        });
        tokio::spawn(watch_upstreams(Arc::downgrade(&gateway)));
        tokio::spawn(update_gauges(Arc::downgrade(&gateway)));
        gateway
    }

    /// Waits until a configuration and upstreams are known. Callers come as soon as a process takes
    /// connections, a fifth of a second before it knows them; told to come back, they are lost if
    /// they have no try left.
    pub async fn known(&self) {
        let mut known = self.known.subscribe();
        // The sender lives as long as this does, so only the bound can end the wait early.
        let _ = tokio::time::timeout(LONGEST_START, known.wait_for(|known| *known)).await;
    }

    /// Notes that this process did not run for so long. Calls wait until what is known was read again, and
    /// those who read it do so at once: a removed key would open the door meanwhile, and an upstream
    /// that has left would get calls.
    pub fn woke(&self, gap: Duration) {
        tracing::warn!(gap_ms = millis(gap), "this process did not run for a while");
        metrics::counter!("catkin_wakes_total").increment(1);
        self.state.lock().woke();
        self.known.send_replace(false);
        self.wakes.send_modify(|count| *count += 1);
        self.gossip_came.notify_waiters();
    }

    /// Notes that a feed was read, whether or not there was anything new.
    pub(crate) fn feed_read(&self, note: fn(&mut GatewayState)) {
        let mut state = self.state.lock();
        note(&mut state);
        self.known.send_replace(state.is_current());
    }

    /// Serves a call.
    pub async fn handle(self: &Arc<Self>, call: Call) -> Reply {
        let call = Arc::new(call);
        let accepted = match self.accept(&call) {
            Ok(accepted) => accepted,
            Err(reply) => {
                log_own_reply(&call, &reply);
                return *reply;
            }
        };
        let (kind, service) = (accepted.route.kind, accepted.service.clone());
        let mut caller = CallerWatch {
            call: call.clone(),
            stays: false,
        };
        let reply = if kind.is_stream() {
            call_stream(self, accepted).await
        } else {
            call_whole(self, accepted).await
        };
        caller.stays = true;
        count_reply(&service, &reply);
        match &reply {
            Reply::Whole { status, .. } => {
                let took = self.timer.now().since(call.arrived);
                metrics::histogram!("catkin_call_seconds", "service" => service.to_string())
                    .record(took.as_secs_f64());
                if self.log.admits(LineKind::Answered, self.timer.now()) {
                    let ms = millis(self.timer.now().since(call.arrived));
                    tracing::info!(request = %call.id, status = status.as_u16(), ms, "answered");
                }
            }
            Reply::Events { .. } => {}
            reply => log_own_reply(&call, reply),
        }
        reply
    }

    /// Takes a configuration if it is newer than the present one.
    pub fn put_config(&self, config: Arc<RoutingConfig>) -> bool {
        let version = config.version;
        let mut state = self.state.lock();
        let advanced = state.config.advance(config);
        self.known.send_replace(state.is_current());
        drop(state);
        if advanced {
            tracing::info!(%version, "configuration in force");
            #[expect(clippy::cast_precision_loss)]
            metrics::gauge!("catkin_config_version").set(version.0 as f64);
        }
        advanced
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<Arc<RoutingConfig>> {
        self.state.lock().config.get().cloned()
    }

    /// Takes in all entries of upstreams at once.
    pub fn put_upstreams(&self, entries: Vec<UpstreamEntry>) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let at_start = state.directory_read < DirectoryRead::Whole;
        for entry in &entries {
            state.rollouts.observe_version(entry, at_start, now);
        }
        state.directory_read = DirectoryRead::Whole;
        self.known.send_replace(state.is_current());
        let changes = state.directory.apply_snapshot(entries, now);
        state.forget_gone(now);
        drop(state);
        self.presence_changed(&changes);
    }

    /// Takes in the first rows of the table of upstreams while the others come, so that calls are served with these.
    pub(crate) fn put_first_upstreams(&self, rows: Vec<TableRow<UpstreamEntry>>) {
        let mut state = self.state.lock();
        if state.directory_read == DirectoryRead::Whole {
            return;
        }
        let now = self.timer.now();
        let mut changes = Vec::new();
        for entry in rows.into_iter().filter_map(|row| row.entry) {
            state.rollouts.observe_version(&entry, true, now);
            changes.extend(state.directory.apply_entry(entry));
        }
        state.directory_read = DirectoryRead::FirstRows;
        self.known.send_replace(state.is_current());
        drop(state);
        self.presence_changed(&changes);
    }

    /// Takes in one entry of an upstream.
    pub fn upstream_heard(&self, entry: UpstreamEntry) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        state.rollouts.observe_version(&entry, false, now);
        let changes = state.directory.apply_entry(entry);
        drop(state);
        self.presence_changed(&changes);
    }

    /// Takes in when the process of an upstream started, as it or another VM says.
    pub(crate) fn upstream_started(&self, id: &UpstreamId, born: ProcessStart) {
        let now = self.timer.now();
        let changes = self.state.lock().directory.record_start(id, born, now);
        self.presence_changed(&changes);
    }

    /// Takes in that the entry of an upstream was removed.
    pub fn upstream_removed(&self, id: &UpstreamId) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let change = state.directory.remove_entry(id, now);
        let gone = change
            .as_ref()
            .filter(|(_, presence)| *presence == Presence::Gone);
        let crashes = gone.map_or(0, |(id, _)| state.died(id, now));
        drop(state);
        if let Some((id, _)) = gone {
            self.tell_crashes(id, crashes);
        }
        self.presence_changed(change.as_slice());
    }

    /// Logs what has changed for upstreams, and gives up the calls on those that have started again. Nothing
    /// says so on a connection that was lost without a reset; its calls would wait until they count as stalled.
    pub(crate) fn presence_changed(&self, changes: &[PresenceChange]) {
        for (id, presence) in changes {
            self.log_presence(id, *presence);
            if *presence == Presence::Superseded {
                self.process_ended(id);
            }
        }
    }

    /// Takes in whether the platform answers.
    pub fn platform_answers(&self, answers: bool) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        if answers {
            state.directory.record_platform_response(now);
        } else {
            state.directory.record_platform_outage();
        }
    }

    fn accept(&self, call: &Arc<Call>) -> Result<AcceptedCall, Box<Reply>> {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let Some(config) = state.config.get().cloned() else {
            return Err(refused(call, RefusalReason::NoUpstream, NOT_READY_RETRY).into());
        };
        let route = config
            .routes
            .find(&call.host, &call.path)
            .ok_or(Reply::NoRoute)?;
        let holder = call.key.as_deref().and_then(|key| config.find_key(key));
        if config.keys.is_some() && !route.public && holder.is_none() {
            return Err(Reply::UnknownKey.into());
        }
        let team = holder.map(|holder| holder.team.clone());
        let draw = xxhash_rust::xxh3::xxh3_64(call.id.as_str().as_bytes());
        let service = route.service_for(draw).ok_or(Reply::NoRoute)?.clone();
        state
            .budget(&service)
            .record_call(&self.settings.repeats, now);
        let digest = call.digest(team.as_ref());
        if state.crashes.is_refused(digest, now) {
            return Err(refused(call, RefusalReason::Poisoned, CRASHING_RETRY).into());
        }
        if !self.takes(route.timeout) {
            return Err(refused(call, RefusalReason::ShuttingDown, LEAVING_RETRY).into());
        }
        let patience = call
            .patience
            .map_or(route.timeout, |p| p.min(route.timeout));
        if self.log.admits(LineKind::Accepted, now) {
            tracing::info!(request = %call.id, route = &*route.name, %service,
                kind = %route.kind, config = %config.version,
                patience_ms = millis(patience), tokens = call.prompt.as_ref().map(|p| p.tokens),
                "accepted");
        }
        Ok(AcceptedCall {
            call: call.clone(),
            route: route.clone(),
            service,
            team,
            priority: holder.and_then(|h| h.priority).unwrap_or(route.priority),
            deadline: call.arrived.after(patience),
            digest,
        })
    }

    /// Chooses an upstream; `cached` says how many tokens of the prompt some hold, sorted by upstream.
    pub(crate) fn place(
        &self,
        accepted: &AcceptedCall,
        avoid: &[UpstreamIncarnation],
        cached: &[(UpstreamIncarnation, u32)],
    ) -> Option<Arc<UpstreamEntry>> {
        self.choose(
            accepted,
            avoid,
            cached,
            Candidates::Open,
            |candidates, who| select_upstream(candidates, who).cloned(),
        )
    }

    /// Number of availability zones with upstreams of a service.
    pub(crate) fn zones_with(&self, service: &ServiceId) -> u32 {
        let now = self.timer.now();
        let state = self.state.lock();
        let usable = state.directory.usable(service, now);
        let mut zones = usable.map(|entry| &entry.zone).collect::<Vec<_>>();
        zones.sort_unstable();
        zones.dedup();
        u32::try_from(zones.len()).unwrap_or(u32::MAX)
    }

    /// Chooses where the copy of a run's memory goes, if the service has copies.
    pub(crate) fn place_copy(
        &self,
        accepted: &AcceptedCall,
        run: &UpstreamEntry,
    ) -> Option<Arc<UpstreamEntry>> {
        if !self.settings.policy.copies || !self.has_copies(&accepted.service) {
            return None;
        }
        if !self.is_open(run) {
            // Another version does not go on from its memory.
            return None;
        }
        self.choose(accepted, &[], &[], Candidates::Open, |candidates, who| {
            select_copy_holder(candidates, run, who).cloned()
        })
    }

    /// Whether the upstreams of a service keep copies of each other's memory.
    pub(crate) fn has_copies(&self, service: &ServiceId) -> bool {
        self.config()
            .is_some_and(|config| config.service(service).is_some_and(|spec| spec.copies))
    }

    pub(crate) fn choose<T>(
        &self,
        accepted: &AcceptedCall,
        avoid: &[UpstreamIncarnation],
        cached: &[(UpstreamIncarnation, u32)],
        among: Candidates,
        choose: impl FnOnce(&[PlacementCandidate], &PlacementContext) -> T,
    ) -> T {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let zone = &self.settings.zone;
        let mut zone_vms = state.peers.live_in(zone, now).collect::<Vec<_>>();
        zone_vms.push(self.settings.vm.clone());
        let who = PlacementContext {
            zone: &self.settings.zone,
            vm: &self.settings.vm,
            zone_vms: &zone_vms,
            stream: accepted.route.kind.is_stream(),
            random: rand::random(),
            now,
            policy: &self.settings.policy,
        };
        state.choose(
            &accepted.service,
            avoid,
            cached,
            among,
            &who,
            |candidates| choose(candidates, &who),
        )
    }

    /// Whether an upstream may get any request of its service, whatever rollouts there are.
    pub(crate) fn is_open(&self, entry: &UpstreamEntry) -> bool {
        let now = self.timer.now();
        self.state.lock().rollouts.admission(entry, now) == VersionAdmission::Open
    }

    /// Where this VM takes datagrams of others.
    pub(crate) fn own_address(&self) -> SocketAddr {
        self.settings.address
    }

    /// Notes that something came from an upstream.
    pub(crate) fn heard(&self, entry: &Arc<UpstreamEntry>, load: Option<LoadSample>) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let upstream = state.upstream(entry, now);
        upstream.health.record_activity(now);
        if let Some(load) = load {
            upstream.load.record_report(load, now);
        }
        let changes = state.directory.record_response(&entry.id);
        drop(state);
        self.presence_changed(&changes);
    }

    /// Notes whether a call succeeded on an upstream.
    pub(crate) fn outcome(&self, entry: &Arc<UpstreamEntry>, failed: bool) {
        let now = self.timer.now();
        self.state
            .lock()
            .upstream(entry, now)
            .load
            .record_outcome(failed);
    }

    /// Notes that another incarnation has the address of an upstream. If it says which, it is asked who
    /// it is: a VM that is cut off from the platform learns of upstreams that start anew only so.
    pub(crate) fn replaced(self: &Arc<Self>, entry: &Arc<UpstreamEntry>, by: Option<UpstreamId>) {
        let mut state = self.state.lock();
        let changes = state.directory.record_denial(&entry.id, by.as_ref());
        let unknown = by.filter(|by| !state.directory.contains(by));
        drop(state);
        self.presence_changed(&changes);
        self.process_ended(&entry.id);
        if let Some(by) = unknown {
            tokio::spawn(adopt(self.clone(), entry.clone(), by));
        }
    }

    fn log_presence(&self, upstream: &UpstreamIncarnation, presence: Presence) {
        if self.log.admits(LineKind::Belief, self.timer.now()) {
            let presence: &str = presence.into();
            tracing::info!(%upstream, presence, "upstream");
        }
    }
}

/// The answer to a call that was not sent.
pub(crate) fn refused(call: &Call, reason: RefusalReason, retry_after: Duration) -> Reply {
    let not_run = Queued::new(call.id.clone()).refuse(reason, retry_after);
    Reply::NotRun { not_run }
}
