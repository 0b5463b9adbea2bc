//! The gateway, its settings and the handling of one call.

use super::{
    accepted_call::AcceptedCall,
    buffered_call::call_buffered,
    call_queue::CallQueues,
    gauges::update_gauges,
    health_check::{adopt, watch_upstreams},
    lost_run::CrashProof,
    receive_limits::ReceiveMemory,
    reply_log::{BodyHex, CallerLeftGuard, count_reply, log_local_reply, logged_parts, millis},
    shutdown::Shutdown,
    stream_call::call_stream,
    *,
};

/// Retry delay for a caller of a VM that has no configuration or no upstreams yet: about the time
/// it takes to read them.
pub const NOT_READY_RETRY_DELAY: Duration = Duration::from_millis(500);

/// How long a call waits for a process that has just started. The process reads what it needs
/// within 0.2 s if the platform responds; if it does not, another VM serves the caller better.
const MAX_START_WAIT: Duration = Duration::from_millis(600);

/// Retry delay for a caller of a VM that is shutting down: short, since the retry goes to another
/// VM.
pub(crate) const SHUTDOWN_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Settings of a [`Gateway`].
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of this VM.
    pub vm: Arc<str>,
    /// Availability zone of this VM.
    pub zone: AvailabilityZone,
    /// Settings of the retry budgets.
    pub retry_budget: SharedRetryBudgetConfig,
    /// Addresses of a few VMs that receive heartbeats from the start; they may be outdated.
    pub seeds: Vec<SocketAddr>,
    /// Which mechanisms of routing and failover are enabled.
    pub policy: Policy,
    /// Address at which this VM receives datagrams of other VMs.
    pub address: SocketAddr,
    /// Bandwidth of this VM's link, if it is known.
    pub link: Option<LinkRate>,
    /// Limits of rollouts; `None` turns rollouts off.
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
    /// Whether a configuration and upstreams are known and were read since this process was last
    /// suspended.
    current: watch::Sender<bool>,
    /// Counts the suspensions of this process.
    pub(crate) suspensions: watch::Sender<u64>,
    /// Held while engines are queried for cached prompts.
    pub(crate) prompt_search_lock: tokio::sync::Mutex<()>,
    /// Requests for retry budget that other VMs have not answered yet.
    pub(crate) loan_requests: Mutex<LoanRequests>,
    /// When this process started.
    pub(crate) started: Instant,
    /// Number of calls that wait for retry budget.
    pub(crate) waiting_retries: AtomicU32,
    /// Calls of scheduled services that wait for retry budget.
    pub(crate) waiting_ranks: Mutex<WaitingRanks>,
    /// Number of connections to upstreams that are open for other VMs.
    pub(crate) connections_for_others: AtomicU32,
    /// Memory that unfinished responses and events of upstreams take.
    pub(crate) receive_memory: ReceiveMemory,
    /// Notifies queued calls that an upstream may have room.
    pub(crate) room_changed: Notify,
    /// Whether a service was found to be scheduled.
    pub(crate) has_scheduled: AtomicBool,
    /// Streams that wait for room at an upstream.
    pub(crate) call_queues: Mutex<CallQueues>,
    /// Notifies waiting calls that a budget loan has arrived.
    pub(crate) loan_arrived: Notify,
    /// Datagrams to other VMs that do not wait for the next heartbeat.
    pub(crate) outbox: Outbox,
    /// Upstreams that were sent a prompt; each triggers a heartbeat.
    pub(crate) dispatches: Dispatches,
    /// Triggers a heartbeat after an upstream crashed while running calls.
    pub(crate) crashes_seen: Notify,
    /// Notifies that gossip of the zone was received.
    pub(crate) gossip_received: Notify,
    /// Transfers of the table to other VMs as they were encoded last.
    pub(crate) encoded_transfers: Mutex<Vec<EncodedTransfer>>,
    /// Limits the transfers of the table to other VMs.
    pub(crate) transfers: Mutex<TransferLimit>,
    /// Newest configuration that another VM of the zone has advertised.
    pub(crate) zone_config: watch::Sender<Option<AdvertisedConfig>>,
    /// Counts how often a feed found that the store responds again.
    pub(crate) store_recoveries: watch::Sender<u64>,
    /// Latest era of the store that this VM has read of, from the store or from another VM.
    pub(crate) store_era: watch::Sender<StoreEra>,
    /// This VM's name and the incarnation of its process.
    pub(crate) vm_incarnation: VmIncarnation,
    /// Rollouts that this VM owns, sorted by service.
    pub(crate) owned_rollouts: Mutex<Vec<(ServiceId, OwnedRollout)>>,
    /// Rollouts whose order was withdrawn, until their end is recorded in the store.
    pub(crate) withdrawn_rollouts: Mutex<Vec<Rollout>>,
    /// Notifies the rollout task that a rollout has changed.
    pub(crate) rollouts_changed: Notify,
    /// Counts the changes of rollouts.
    pub(crate) rollout_phases: watch::Sender<u64>,
    /// Readiness for new callers at the last check.
    pub(crate) readiness: Mutex<Readiness>,
    /// State of a graceful shutdown.
    pub drain: Arc<Drain>,
}

impl Gateway {
    /// Starts a gateway, its health checks and its gauges.
    #[must_use]
    pub fn start(
        settings: GatewaySettings,
        timer: Arc<Timer>,
        transport: UpstreamTransport,
    ) -> Arc<Self> {
        crate::metrics_endpoint::start_metrics();
        let gateway = Arc::new(Self {
            state: Mutex::new(GatewayState::new(
                settings.vm.clone(),
                settings.rollouts,
                (!settings.seeds.is_empty()).then_some(timer.now()),
            )),
            vm_incarnation: VmIncarnation {
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
            current: watch::Sender::new(false),
            suspensions: watch::Sender::new(0),
            prompt_search_lock: tokio::sync::Mutex::default(),
            loan_requests: Mutex::default(),
            started: timer.now(),
            waiting_retries: AtomicU32::new(0),
            waiting_ranks: Mutex::default(),
            receive_memory: ReceiveMemory::default(),
            connections_for_others: AtomicU32::new(0),
            room_changed: Notify::new(),
            has_scheduled: AtomicBool::default(),
            call_queues: Mutex::default(),
            loan_arrived: Notify::new(),
            outbox: Outbox::default(),
            dispatches: Dispatches::default(),
            crashes_seen: Notify::new(),
            gossip_received: Notify::new(),
            encoded_transfers: Mutex::default(),
            transfers: Mutex::default(),
            zone_config: watch::Sender::new(None),
            store_recoveries: watch::Sender::new(0),
            store_era: watch::Sender::new(StoreEra::default()),
            readiness: Mutex::new(Readiness::NothingKnown),
            drain: Arc::default(),
            timer,
        });
        tokio::spawn(watch_upstreams(Arc::downgrade(&gateway)));
        tokio::spawn(update_gauges(Arc::downgrade(&gateway)));
        gateway
    }

    /// Waits for a limited time until a configuration and upstreams are known. Callers connect as
    /// soon as a process listens, a fifth of a second before it has read them; a caller that was
    /// told to retry and has no attempt left would be lost.
    pub async fn wait_until_current(&self) {
        let mut current = self.current.subscribe();
        // The sender lives as long as `self`, so only the timeout can end the wait early.
        let _ = tokio::time::timeout(MAX_START_WAIT, current.wait_for(|current| *current)).await;
    }

    /// Records that this process did not run for `gap`. Calls wait until configuration and
    /// upstreams have been read again, and the feeds read at once: until then a removed key would
    /// be accepted, and an upstream that has left would get calls.
    pub fn record_suspension(&self, gap: Duration) {
        tracing::warn!(gap_ms = millis(gap), "process was suspended");
        metrics::counter!("catkin_wakes_total").increment(1);
        self.state.lock().record_suspension();
        self.current.send_replace(false);
        self.suspensions.send_modify(|count| *count += 1);
        self.gossip_received.notify_waiters();
    }

    /// Records that a feed was read, whether or not it had changes.
    pub(crate) fn record_feed_read(&self, update: fn(&mut GatewayState)) {
        let mut state = self.state.lock();
        update(&mut state);
        self.current.send_replace(state.is_current());
    }

    /// Serves a call.
    pub async fn handle(self: &Arc<Self>, call: Call) -> Reply {
        let call = Arc::new(call);
        let accepted = match self.accept(&call) {
            Ok(accepted) => accepted,
            Err(reply) => {
                log_local_reply(&call, &reply);
                return *reply;
            }
        };
        let (kind, service) = (accepted.route.kind, accepted.service.clone());
        let mut caller = CallerLeftGuard {
            call: call.clone(),
            replied: false,
        };
        let served = async {
            if kind.is_stream() {
                call_stream(self, accepted).await
            } else {
                call_buffered(self, accepted).await
            }
        };
        let reply = tokio::select! {
            biased;
            reply = served => reply,
            // The call may run, so the reply promises nothing.
            () = self.drain.wait_until_cut() => Reply::TimedOut,
        };
        caller.replied = true;
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
            reply => log_local_reply(&call, reply),
        }
        reply
    }

    /// Records that a caller's connection was closed unread, because there is no room for it beside the `open` ones.
    pub fn caller_connection_rejected(&self, open: usize) {
        metrics::counter!("catkin_caller_connections_rejected_total").increment(1);
        if self.log.admits(LineKind::Limited, self.timer.now()) {
            tracing::warn!(open, "caller's connection closed unread: no room for it");
        }
    }

    /// Puts a configuration in force if it is newer than the current one; returns whether it is.
    pub fn put_config(&self, config: Arc<RoutingConfig>) -> bool {
        let version = config.version;
        let mut state = self.state.lock();
        let advanced = state.config.advance(config);
        if advanced {
            state.schedulings.clear();
        }
        self.current.send_replace(state.is_current());
        drop(state);
        if advanced {
            tracing::info!(%version, "configuration in force");
            #[expect(clippy::cast_precision_loss)]
            metrics::gauge!("catkin_config_version").set(version.0 as f64);
        }
        advanced
    }

    /// The configuration in force, if one has been read.
    #[must_use]
    pub fn config(&self) -> Option<Arc<RoutingConfig>> {
        self.state.lock().config.get().cloned()
    }

    /// Replaces the directory of upstreams by a complete table.
    pub fn put_upstreams(&self, entries: Vec<UpstreamEntry>) {
        self.put_directory(entries, UpstreamDirectory::apply_snapshot);
    }

    /// Replaces the directory of upstreams by the complete table of a store that has come back from an older copy.
    pub(crate) fn put_copied_upstreams(&self, entries: Vec<UpstreamEntry>) {
        self.put_directory(entries, UpstreamDirectory::apply_copy);
    }

    fn put_directory(
        &self,
        entries: Vec<UpstreamEntry>,
        apply: impl FnOnce(&mut UpstreamDirectory, Vec<UpstreamEntry>, Instant) -> Vec<PresenceChange>,
    ) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let at_start = state.directory_read < DirectoryRead::Whole;
        for entry in &entries {
            state.rollouts.observe_version(entry, at_start, now);
        }
        state.directory_read = DirectoryRead::Whole;
        self.current.send_replace(state.is_current());
        let changes = apply(&mut state.directory, entries, now);
        state.remove_gone(now);
        drop(state);
        self.presence_changed(&changes);
    }

    /// Adds the first rows of a table of upstreams while the remaining rows are read, so that calls
    /// can be served with these upstreams.
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
        self.current.send_replace(state.is_current());
        drop(state);
        self.presence_changed(&changes);
    }

    /// Applies the current entry of one upstream.
    pub fn upstream_updated(&self, entry: UpstreamEntry) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        state.rollouts.observe_version(&entry, false, now);
        let changes = state.directory.apply_entry(entry);
        drop(state);
        self.presence_changed(&changes);
    }

    /// Records when the process of an upstream started, as reported by itself or by another VM.
    pub(crate) fn upstream_started(&self, id: &UpstreamId, born: ProcessStart) {
        let now = self.timer.now();
        let changes = self.state.lock().directory.record_start(id, born, now);
        self.presence_changed(&changes);
    }

    /// Applies the removal of an upstream's entry.
    pub fn upstream_removed(&self, id: &UpstreamId) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let change = state.directory.remove_entry(id, now);
        let gone = change
            .as_ref()
            .filter(|(_, presence)| *presence == Presence::Gone);
        let proof = CrashProof::Unresponsive;
        let crashes = gone.map_or(0, |(id, _)| state.upstream_crashed(id, proof, now));
        drop(state);
        if let Some((id, _)) = gone {
            self.advertise_crashes(id, crashes);
        }
        self.presence_changed(change.as_slice());
    }

    /// Logs the changes of presence, and fails over the calls on upstreams that have restarted. A
    /// connection that was lost without a reset does not report it; its calls would wait until they
    /// count as stalled.
    pub(crate) fn presence_changed(&self, changes: &[PresenceChange]) {
        for (id, presence) in changes {
            self.log_presence(id, *presence);
            match presence {
                Presence::Superseded => self.process_ended(id),
                Presence::Replaced => self.attribute_crash(id, CrashProof::ProcessEnded),
                _ => {}
            }
        }
        if !changes.is_empty() {
            self.room_may_have_changed();
        }
    }

    /// Records the era of the store in a response, or in the gossip of another VM.
    pub(crate) fn observe_store_era(&self, era: StoreEra) {
        self.store_era.send_if_modified(|latest| {
            let newer = era > *latest;
            *latest = era.max(*latest);
            newer
        });
    }

    /// Records whether the platform responds.
    pub fn set_platform_reachable(&self, responds: bool) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        if responds {
            state.directory.record_platform_response(now);
        } else {
            state.directory.record_platform_outage();
        }
    }

    fn accept(&self, call: &Arc<Call>) -> Result<AcceptedCall, Box<Reply>> {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let Some(config) = state.config.get().cloned() else {
            return Err(refused(call, RefusalReason::NoUpstream, NOT_READY_RETRY_DELAY).into());
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
            .record_call(&self.settings.retry_budget, now);
        state.demand(&service).record_call(now);
        let attributes = call.attributes(team.as_ref(), &service);
        self.check_crashes(&mut state, call, &attributes, now)?;
        if !self.accepts(route.timeout) {
            return Err(refused(call, RefusalReason::ShuttingDown, SHUTDOWN_RETRY_DELAY).into());
        }
        let timeout = call.timeout.map_or(route.timeout, |p| p.min(route.timeout));
        let team_priority = holder.and_then(|holder| holder.priority);
        let priority = if state.scheduling(&service, now).is_ranked() {
            ranked_priority(team_priority, route.priority)
        } else {
            team_priority.unwrap_or(route.priority)
        };
        if self.log.admits(LineKind::Accepted, now) {
            tracing::info!(request = %call.id, route = &*route.name, %service,
                kind = %route.kind, config = %config.version,
                body = %BodyHex(attributes.body), patience_ms = millis(timeout),
                tokens = call.prompt.as_ref().map(|p| p.tokens),
                parts = logged_parts(call), "accepted");
        }
        Ok(AcceptedCall {
            call: call.clone(),
            route: route.clone(),
            service,
            team,
            priority,
            deadline: call.arrived.after(timeout),
            attributes: attributes.into(),
        })
    }

    /// Selects an upstream to send a call to; `cached` holds the cached tokens of the prompt by
    /// upstream, sorted by upstream.
    pub(crate) fn select(
        &self,
        accepted: &AcceptedCall,
        avoid: &[UpstreamIncarnation],
        cached: &[(UpstreamIncarnation, u32)],
    ) -> Option<Arc<UpstreamEntry>> {
        if accepted.route.kind.is_stream() && self.is_scheduled(&accepted.service) {
            return self.select_without_wait(accepted, avoid, cached);
        }
        self.select_for_send(
            accepted,
            avoid,
            cached,
            Candidates::Open,
            |candidates, context| select_upstream(candidates, context).cloned(),
        )
    }

    /// Selects an upstream to send a call to, among those that have room within the limits that they
    /// named, and takes the room.
    pub(crate) fn select_for_send(
        &self,
        accepted: &AcceptedCall,
        avoid: &[UpstreamIncarnation],
        cached: &[(UpstreamIncarnation, u32)],
        candidate_set: Candidates,
        select: impl FnOnce(&[PlacementCandidate], &PlacementContext) -> Option<Arc<UpstreamEntry>>,
    ) -> Option<Arc<UpstreamEntry>> {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let mut full = self.upstreams_without_room(&mut state, accepted, now);
        full.extend(self.upstreams_backing_off(&state, accepted, rand::random(), now));
        full.extend_from_slice(avoid);
        let selected =
            self.select_in(&mut state, accepted, &full, cached, candidate_set, select)?;
        if let Some(upstream) = state.existing_upstream(&selected.id) {
            upstream.limit.record_sent();
        }
        Some(selected)
    }

    /// Number of availability zones with usable upstreams of a service.
    pub(crate) fn zones_with(&self, service: &ServiceId) -> u32 {
        let now = self.timer.now();
        let state = self.state.lock();
        let usable = state.directory.usable(service, now);
        let mut zones = usable.map(|entry| &entry.zone).collect::<Vec<_>>();
        zones.sort_unstable();
        zones.dedup();
        u32::try_from(zones.len()).unwrap_or(u32::MAX)
    }

    /// Selects the holder for a copy of a run's KV cache, if the service has copies.
    pub(crate) fn select_holder(
        &self,
        accepted: &AcceptedCall,
        run: &UpstreamEntry,
    ) -> Option<Arc<UpstreamEntry>> {
        if !self.settings.policy.copies || !self.has_copies(&accepted.service) {
            return None;
        }
        if !self.is_open(run) {
            // Another version cannot resume from its KV cache.
            return None;
        }
        let now = self.timer.now();
        let state = self.state.lock();
        let avoid = state.back_offs.excluded(0.0, now).cloned();
        let avoid = avoid.collect::<Vec<_>>();
        drop(state);
        if self.is_scheduled(&accepted.service) {
            return self.select_holder_with_room(accepted, &avoid, run);
        }
        self.select_with(
            accepted,
            &avoid,
            &[],
            Candidates::Open,
            |candidates, context| select_copy_holder(candidates, run, context).cloned(),
        )
    }

    /// Whether the upstreams of a service hold copies of each other's KV caches.
    pub(crate) fn has_copies(&self, service: &ServiceId) -> bool {
        self.config()
            .is_some_and(|config| config.service(service).is_some_and(|spec| spec.copies))
    }

    pub(crate) fn select_with<T>(
        &self,
        accepted: &AcceptedCall,
        avoid: &[UpstreamIncarnation],
        cached: &[(UpstreamIncarnation, u32)],
        candidate_set: Candidates,
        select: impl FnOnce(&[PlacementCandidate], &PlacementContext) -> T,
    ) -> T {
        let mut state = self.state.lock();
        self.select_in(&mut state, accepted, avoid, cached, candidate_set, select)
    }

    fn select_in<T>(
        &self,
        state: &mut GatewayState,
        accepted: &AcceptedCall,
        avoid: &[UpstreamIncarnation],
        cached: &[(UpstreamIncarnation, u32)],
        candidate_set: Candidates,
        select: impl FnOnce(&[PlacementCandidate], &PlacementContext) -> T,
    ) -> T {
        let now = self.timer.now();
        let zone_vms = self.live_zone_vms(state, now);
        let context = self.placement_context(accepted.route.kind.is_stream(), &zone_vms, now);
        state.select_with(
            &accepted.service,
            avoid,
            cached,
            candidate_set,
            &context,
            |candidates| select(candidates, &context),
        )
    }

    /// Names of the live VMs of this zone, including this VM.
    pub(crate) fn live_zone_vms(&self, state: &GatewayState, now: Instant) -> Vec<Arc<str>> {
        let mut zone_vms = state
            .peers
            .live_in(&self.settings.zone, now)
            .collect::<Vec<_>>();
        zone_vms.push(self.settings.vm.clone());
        zone_vms
    }

    pub(crate) fn placement_context<'a>(
        &'a self,
        stream: bool,
        zone_vms: &'a [Arc<str>],
        now: Instant,
    ) -> PlacementContext<'a> {
        PlacementContext {
            zone: &self.settings.zone,
            vm: &self.settings.vm,
            zone_vms,
            stream,
            random: rand::random(),
            now,
            policy: &self.settings.policy,
        }
    }

    /// Whether the rollouts admit every request of its service to an upstream.
    pub(crate) fn is_open(&self, entry: &UpstreamEntry) -> bool {
        let now = self.timer.now();
        self.state.lock().rollouts.admission(entry, now) == VersionAdmission::Open
    }

    /// Address at which this VM receives datagrams of other VMs.
    pub(crate) fn own_address(&self) -> SocketAddr {
        self.settings.address
    }

    /// Records that an upstream responded, with its load if it reported one.
    pub(crate) fn upstream_responded(
        &self,
        entry: &Arc<UpstreamEntry>,
        load: Option<(LoadSample, RoomReport)>,
    ) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let upstream = state.upstream(entry, now);
        upstream.health.record_activity(now);
        let reported = load.is_some();
        let unreadable =
            load.and_then(|(load, room)| upstream.record_report(Some(load), room, now));
        let changes = state.directory.record_response(&entry.id);
        drop(state);
        if reported {
            self.report_received(entry, unreadable);
        }
        self.presence_changed(&changes);
    }

    /// Records that an upstream passed a health check. A connection that stays open does not show which process has
    /// the address.
    pub(crate) fn health_check_passed(&self, entry: &Arc<UpstreamEntry>, report: &HealthReport) {
        if report.is_answer {
            return self.upstream_responded(entry, report.load_and_room());
        }
        let now = self.timer.now();
        self.state
            .lock()
            .upstream(entry, now)
            .health
            .record_activity(now);
    }

    /// Records that an upstream responded over a path. One through another VM says nothing about the own path.
    pub(crate) fn upstream_responded_over(&self, path: SendPath, entry: &Arc<UpstreamEntry>) {
        if path.is_direct() {
            return self.upstream_responded(entry, None);
        }
        let mut state = self.state.lock();
        let changes = state.directory.record_response(&entry.id);
        drop(state);
        self.presence_changed(&changes);
    }

    /// Records whether a call on an upstream failed.
    pub(crate) fn record_call_outcome(&self, entry: &Arc<UpstreamEntry>, failed: bool) {
        let now = self.timer.now();
        self.state
            .lock()
            .upstream(entry, now)
            .load
            .record_outcome(failed);
    }

    /// Records that another incarnation responds at the address of an upstream. If it names itself
    /// and is unknown, it is probed: a VM that is partitioned from the platform learns of new
    /// upstreams only this way.
    pub(crate) fn upstream_replaced(
        self: &Arc<Self>,
        entry: &Arc<UpstreamEntry>,
        by: Option<UpstreamId>,
    ) {
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

/// Response to a call that was not sent to an upstream.
pub(crate) fn refused(call: &Call, reason: RefusalReason, retry_after: Duration) -> Reply {
    let not_run = Queued::new(call.id.clone()).refuse(reason, retry_after);
    Reply::NotRun { not_run }
}
