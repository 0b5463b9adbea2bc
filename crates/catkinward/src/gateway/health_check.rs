use super::{
    accepted_call::AcceptedCall,
    lost_run::CrashProof,
    reply_log::millis,
    run_guard::{FailOverReason, RunGuard},
    stream_run::Loss,
    *,
};
use std::sync::Weak;

/// Interval at which upstreams are checked for silence: short compared with the silence timeout,
/// and only 20 wake-ups a second.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Probes silent upstreams, and detects suspensions of this process, until the gateway is dropped.
pub(crate) async fn watch_upstreams(gateway: Weak<Gateway>) {
    let Some(mut ticks) = gateway.upgrade().map(|g| g.timer.subscribe(CHECK_INTERVAL)) else {
        return;
    };
    let mut clocks = SuspendDetector::default();
    let mut last_check = None;
    while let Some(now) = ticks.recv().await {
        let Some(gateway) = gateway.upgrade() else {
            return;
        };
        let checked_at = gateway.timer.now();
        let gap = last_check
            .replace(checked_at)
            .map_or(CHECK_INTERVAL, |before| checked_at.since(before));
        log_late_check(&gateway, gap);
        if let Some(gap) = clocks.check(now, since_boot()) {
            gateway.record_suspension(gap);
        }
        for entry in due_probes(&gateway, checked_at, gap.saturating_sub(CHECK_INTERVAL)) {
            let kind = UpstreamRequestKind::HealthCheck;
            tokio::spawn(probe(gateway.clone(), entry, kind));
        }
    }
}

/// Logs that this process did not check its upstreams for so long that its own delay would look like their silence.
fn log_late_check(gateway: &Gateway, gap: Duration) {
    if gap >= SILENCE_TIMEOUT && gateway.log.admits(LineKind::Belief, gateway.timer.now()) {
        tracing::info!(ms = millis(gap), "checks of upstreams were late");
    }
}

/// Time since boot, including suspensions.
fn since_boot() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Upstreams whose probe is due, at a check that came late by `delay`.
fn due_probes(gateway: &Gateway, now: Instant, delay: Duration) -> Vec<Arc<UpstreamEntry>> {
    let mut state = gateway.state.lock();
    let scheduled = state.scheduled_services(now);
    let mut due = Vec::new();
    for upstream in state.upstreams_mut() {
        upstream.health.record_check(delay, now);
        let timeout = if scheduled.contains(&upstream.entry.service) {
            upstream.health.scheduled_silence_timeout()
        } else {
            SILENCE_TIMEOUT
        };
        if upstream.health.start_probe_after(timeout, now) {
            due.push(upstream.entry.clone());
        }
    }
    // Upstreams that are leaving or gone, or that back off, are probed only while calls run on them.
    due.retain(|entry| {
        let usable = state.directory.get_usable(&entry.id, now).is_some()
            && !state.back_offs.is_in_force(&entry.id, now);
        let upstream = state.upstream(entry, now);
        let wanted = usable || upstream.health.in_flight() > 0;
        if !wanted {
            upstream.health.probe_ended();
        }
        wanted
    });
    due
}

/// Probes an upstream, and fails over its calls if the probe fails; returns whether it is alive, as far as known.
pub(crate) async fn probe(
    gateway: Arc<Gateway>,
    entry: Arc<UpstreamEntry>,
    kind: UpstreamRequestKind,
) -> bool {
    let mut attempt = gateway.first_probe(&entry);
    let (answer, now) = loop {
        let probe = HealthProbe {
            entry: entry.clone(),
            engine: gateway
                .config()
                .is_some_and(|c| c.service(&entry.service).is_some_and(|s| s.engine)),
            path: SendPath::Direct,
            gate: gateway.gate(&entry, kind),
        };
        let answer = tokio::time::timeout(PROBE_TIMEOUT, (gateway.transport.probe)(probe)).await;
        if answer.is_err()
            && let Some(repeated) = gateway.repeat_probe(&entry, attempt)
        {
            attempt = repeated;
            continue;
        }
        break (answer, gateway.timer.now());
    };
    let mut replaced_by = None;
    let fault = match answer {
        // A later process responds: the calls that wait for the earlier one are lost, and the
        // reported load is not that of the earlier one.
        Ok(Ok(report)) if entry.id.is_before(report.born) => Some("started_again"),
        Ok(Ok(report)) => {
            gateway.health_check_passed(&entry, &report);
            None
        }
        Ok(Err(QueryError::Send(SendError::Withheld))) => {
            let mut state = gateway.state.lock();
            state.upstream(&entry, now).health.probe_ended();
            return true;
        }
        Ok(Err(ref error)) => {
            if let QueryError::OtherUpstream(by) = error {
                replaced_by.clone_from(by);
            }
            Some(error.name())
        }
        Err(_) => Some("no_answer"),
    };
    let (in_flight, silent) = {
        let mut state = gateway.state.lock();
        let upstream = state.upstream(&entry, now);
        upstream.health.probe_ended();
        (upstream.health.in_flight(), upstream.health.silent_for(now))
    };
    if gateway.log.admits(LineKind::Probe, now) {
        let fault = fault.unwrap_or("none");
        tracing::info!(upstream = %entry.id, fault, in_flight, silent_ms = millis(silent),
            ms = millis(now.since(attempt.sent())), "health check");
    }
    if let Ok(Ok(HealthReport {
        born: Some(born), ..
    })) = answer
    {
        gateway.upstream_started(&entry.id.id, born);
    }
    if replaced_by.is_some() {
        gateway.upstream_replaced(&entry, replaced_by);
        return false;
    }
    if fault.is_some()
        && let Some(other) = gateway.fail_over(&entry)
        && !gateway.is_reached_through(other, &entry, kind).await
    {
        gateway.attribute_crash(&entry.id, CrashProof::Unresponsive);
    }
    fault.is_none()
}

/// Adopts an incarnation that responded at the address of another one as an upstream of the same
/// service, if that is certain: by a query for its id it reports a load, as only engines do, and only
/// one service has engines. The address may have been reassigned to another service, to which the call
/// must not go.
pub(crate) async fn adopt(gateway: Arc<Gateway>, before: Arc<UpstreamEntry>, id: UpstreamId) {
    let only_engines = gateway.config().is_some_and(|config| {
        let mut engines = config.services.iter().filter(|service| service.engine);
        engines
            .next()
            .is_some_and(|only| only.name == before.service)
            && engines.next().is_none()
    });
    if !only_engines {
        return;
    }
    // What is known of the process before does not bind this one.
    let responder = Arc::new(UpstreamEntry {
        id: id.clone().into(),
        ..UpstreamEntry::clone(&before)
    });
    let probe = HealthProbe {
        gate: gateway.gate(&responder, UpstreamRequestKind::HealthCheck),
        entry: responder,
        engine: true,
        path: SendPath::Direct,
    };
    let answer = tokio::time::timeout(PROBE_TIMEOUT, (gateway.transport.probe)(probe)).await;
    let refusal = match answer {
        Ok(Ok(HealthReport {
            load: Some(_),
            born,
            ..
        })) => {
            gateway.record_adoption(&before, UpstreamIncarnation { id, born });
            return;
        }
        Ok(Ok(_)) => "no_load",
        Ok(Err(error)) => error.name(),
        Err(_) => "no_answer",
    };
    if gateway.log.admits(LineKind::Belief, gateway.timer.now()) {
        tracing::info!(before = %before.id, upstream = %id, reason = refusal,
            "upstream at the address of another one is not used");
    }
}

/// Requests a load report of an upstream. A failure means nothing: only silence starts a health check.
async fn fetch_report(gateway: Arc<Gateway>, entry: Arc<UpstreamEntry>) {
    let probe = HealthProbe {
        entry: entry.clone(),
        engine: true,
        path: SendPath::Direct,
        gate: gateway.gate(&entry, UpstreamRequestKind::HealthCheck),
    };
    let answer = tokio::time::timeout(PROBE_TIMEOUT, (gateway.transport.probe)(probe)).await;
    if let Ok(Ok(report)) = answer
        && !entry.id.is_before(report.born)
    {
        gateway.upstream_responded(&entry, report.load_and_room());
    }
}

impl Gateway {
    /// Checks a run without data: whether its upstream is busy with it. Returns why the run is doubtful, if it is.
    pub(super) fn check_wait(
        self: &Arc<Self>,
        accepted: &AcceptedCall,
        guard: &RunGuard,
        wait: &mut EventWait,
        has_copy: bool,
    ) -> Option<Loss> {
        // The reports of a path through another VM are not read, and count none of the calls there.
        let scheduled = guard.path.is_direct() && self.is_scheduled(&accepted.service);
        let now = self.timer.now();
        let upstream = scheduled.then(|| self.upstream_calls(&guard.entry, now));
        match wait.check(upstream.as_ref(), has_copy, now) {
            WaitDecision::Wait => None,
            WaitDecision::Busy(report) => {
                let stage = if wait.is_for_first() {
                    "first_event"
                } else {
                    "next_event"
                };
                metrics::counter!("catkin_runs_kept_busy_total", "stage" => stage).increment(1);
                if self.log.admits(LineKind::Belief, now) {
                    tracing::info!(request = %accepted.call.id, upstream = %guard.entry.id, stage,
                        prompt = accepted.call.prompt.as_ref().map(|prompt| prompt.tokens),
                        priority = accepted.priority, report_age_ms = millis(now.since(report.at)),
                        calls = report.calls, own_calls = report.own_calls,
                        left_ms = millis(accepted.time_left(now)), "run waits on a busy upstream");
                }
                None
            }
            WaitDecision::Doubtful => Some(Loss::Stalled),
            WaitDecision::Missing(report) => {
                metrics::counter!("catkin_runs_missing_total").increment(1);
                if self.log.admits(LineKind::Belief, now) {
                    tracing::warn!(request = %accepted.call.id, upstream = %guard.entry.id,
                        report_age_ms = millis(now.since(report.at)), calls = report.calls,
                        own_calls = report.own_calls, "upstream reports fewer calls than it was sent");
                }
                Some(Loss::Missing)
            }
        }
    }

    /// What is known of the calls of an upstream. Its report is requested for the next check.
    fn upstream_calls(self: &Arc<Self>, entry: &Arc<UpstreamEntry>, now: Instant) -> UpstreamCalls {
        let mut state = self.state.lock();
        let upstream = state.upstream(entry, now);
        let health = &mut upstream.health;
        let report = upstream.room.last_load().map(|(load, at)| CallReport {
            at,
            calls: load.calls(),
            own_calls: health.waiting.counted_at(at, health.in_flight()),
        });
        let known = UpstreamCalls {
            suspect: health.is_suspect(),
            report,
        };
        let requests = health.waiting.request_report(now);
        drop(state);
        if requests {
            metrics::counter!("catkin_reports_requested_total").increment(1);
            tokio::spawn(fetch_report(self.clone(), entry.clone()));
        }
        known
    }

    fn first_probe(&self, entry: &Arc<UpstreamEntry>) -> ProbeAttempt {
        let now = self.timer.now();
        let pauses = self.state.lock().upstream(entry, now).health.pauses();
        ProbeAttempt::first(now, pauses)
    }

    /// The repetition of a probe that timed out, if this process paused meanwhile.
    fn repeat_probe(
        &self,
        entry: &Arc<UpstreamEntry>,
        attempt: ProbeAttempt,
    ) -> Option<ProbeAttempt> {
        let now = self.timer.now();
        let pauses = self.state.lock().upstream(entry, now).health.pauses();
        let repeated = attempt.repeat(now, pauses)?;
        if self.log.admits(LineKind::Probe, now) {
            tracing::info!(upstream = %entry.id, ms = millis(now.since(attempt.sent())),
                "health check is void and repeated: this process paused");
        }
        Some(repeated)
    }

    /// Records that an upstream did not respond: its calls fail over, and it is ejected. Runs that were lost there
    /// count as crashes, unless the upstream is reached through the VM that is returned.
    fn fail_over(&self, entry: &Arc<UpstreamEntry>) -> Option<SocketAddr> {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let upstream = state.upstream(entry, now);
        let new = upstream.health.record_failure(now);
        let reason = FailOverReason::Unresponsive;
        upstream.failed_over.send_modify(|runs| runs.signal(reason));
        let other = self.vm_to_ask(&state, entry, now);
        let crashes = match other {
            Some(_) => 0,
            None => state.upstream_crashed(&entry.id, CrashProof::Unresponsive, now),
        };
        let zone_alarm = new && state.zones.record_loss(&entry.zone, &entry.id, now);
        drop(state);
        self.advertise_crashes(&entry.id, crashes);
        self.log_suspect(entry, new, zone_alarm);
        other
    }

    /// The VM that shows whether an upstream or only the path to it has failed, if runs were lost there while the path
    /// to its service is in doubt.
    fn vm_to_ask(
        &self,
        state: &GatewayState,
        entry: &UpstreamEntry,
        now: Instant,
    ) -> Option<SocketAddr> {
        let reach = state.service_reaches(now).of(&entry.service);
        if !state.has_lost_run(&entry.id, now) || !reach.is_doubtful() {
            return None;
        }
        let zone = &self.settings.zone;
        let others = state
            .peers
            .paths_to(&entry.service, zone, rand::random(), now);
        others.first().copied()
    }

    async fn is_reached_through(
        self: &Arc<Self>,
        other: SocketAddr,
        entry: &Arc<UpstreamEntry>,
        kind: UpstreamRequestKind,
    ) -> bool {
        let probe = HealthProbe {
            entry: entry.clone(),
            engine: false,
            path: SendPath::Through(other),
            gate: self.gate(entry, kind),
        };
        let start = self.first_probe(entry);
        let mut answer =
            tokio::time::timeout(PROBE_TIMEOUT, (self.transport.probe)(probe.clone())).await;
        if answer.is_err() && self.repeat_probe(entry, start).is_some() {
            answer = tokio::time::timeout(PROBE_TIMEOUT, (self.transport.probe)(probe)).await;
        }
        let reached = matches!(answer, Ok(Ok(_)));
        let now = self.timer.now();
        if self.log.admits(LineKind::Probe, now) {
            tracing::info!(upstream = %entry.id, through = %other, reached,
                ms = millis(now.since(start.sent())), "health check through another VM");
        }
        reached
    }

    /// Reports a restart to the VMs that share the upstream: while the platform is unreachable,
    /// they would learn of it only from a rejected call.
    fn report_restart(&self, restart: &UpstreamRestart) {
        let now = self.timer.now();
        let zone = &self.settings.zone;
        let peers = self
            .state
            .lock()
            .peers
            .dispatch_receivers(&restart.entry, zone, now);
        for address in peers {
            self.outbox
                .send(address, PeerDatagram::Restart(restart.clone()));
        }
    }

    /// Records that an engine has the address of an earlier one, and reports it to other VMs.
    fn record_adoption(&self, before: &UpstreamEntry, id: UpstreamIncarnation) {
        let restart = UpstreamRestart {
            before: before.id.clone(),
            entry: UpstreamEntry {
                id,
                leaving: false,
                ..before.clone()
            },
            position: self.table_position(),
        };
        if self.record_restart(&restart, RestartEvidence::OwnProbe) {
            self.report_restart(&restart);
        }
    }

    /// Applies another VM's report of a restart, unless it is stale.
    pub fn receive_restart(&self, restart: &UpstreamRestart) {
        let table = TableFreshness {
            position: self.table_position(),
            current: self.table_is_current(),
        };
        self.record_restart(restart, RestartEvidence::PeerReport(table));
    }

    /// Applies the restart of an upstream at the address of an earlier incarnation; returns whether
    /// the evidence was accepted.
    fn record_restart(&self, restart: &UpstreamRestart, evidence: RestartEvidence) -> bool {
        let upstream = &restart.entry.id.id;
        let outcome = self.state.lock().directory.apply_restart(restart, evidence);
        let changes = match outcome {
            Ok(changes) => changes,
            Err(StaleRestart::Known) => return false,
            Err(stale) => {
                let reason: &str = stale.into();
                tracing::info!(before = %restart.before, %upstream, version = %restart.position, reason,
                    "restart report ignored");
                return false;
            }
        };
        tracing::info!(before = %restart.before, %upstream, version = %restart.position, ?evidence,
            "upstream restarted");
        self.presence_changed(&changes);
        self.process_ended(&restart.before);
        true
    }

    /// Records that the process of an upstream has ended, as shown by a different one at its
    /// address or by its next incarnation.
    pub(crate) fn process_ended(&self, id: &UpstreamIncarnation) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        if let Some(upstream) = state.existing_upstream(id) {
            upstream.health.record_failure(now);
            let reason = FailOverReason::ProcessEnded;
            upstream.failed_over.send_modify(|runs| runs.signal(reason));
        }
        drop(state);
        self.attribute_crash(id, CrashProof::ProcessEnded);
    }

    /// Records that a stream from an upstream broke. The upstream is ejected until it responds
    /// again, and is probed at once; its other calls continue.
    pub(crate) fn stream_broke(self: &Arc<Self>, entry: &Arc<UpstreamEntry>) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let upstream = state.upstream(entry, now);
        let new = upstream.health.record_failure(now);
        let probe_now = new && upstream.health.start_probe(now);
        let zone_alarm = new && state.zones.record_loss(&entry.zone, &entry.id, now);
        drop(state);
        self.log_suspect(entry, new, zone_alarm);
        if probe_now {
            let kind = UpstreamRequestKind::CrashCheck;
            tokio::spawn(probe(self.clone(), entry.clone(), kind));
        }
    }

    fn log_suspect(&self, entry: &UpstreamEntry, new: bool, zone_alarm: bool) {
        if new && self.log.admits(LineKind::Belief, self.timer.now()) {
            tracing::warn!(upstream = %entry.id, zone = %entry.zone, "upstream is suspect");
        }
        if zone_alarm {
            tracing::warn!(zone = %entry.zone, "several upstreams of an availability zone are lost");
        }
    }
}

impl Gateway {
    /// Whether a run may resume from a copy on this upstream: it takes calls and is not suspect.
    pub(crate) fn can_resume_on(&self, entry: &Arc<UpstreamEntry>) -> bool {
        let now = self.timer.now();
        let state = self.state.lock();
        let usable = state.directory.get_usable(&entry.id, now).is_some();
        let suspect = state.is_suspect(&entry.id) || state.peers.is_suspect(&entry.id, now);
        let open = state.rollouts.admission(entry, now) == VersionAdmission::Open;
        let backs_off = state.back_offs.is_in_force(&entry.id, now);
        usable && !suspect && open && !backs_off
    }

    /// Number of these upstreams that take calls and are not suspect.
    pub(crate) fn count_usable(&self, ids: &[UpstreamIncarnation]) -> u32 {
        let now = self.timer.now();
        let state = self.state.lock();
        let usable = ids
            .iter()
            .filter(|id| state.directory.get_usable(id, now).is_some() && !state.is_suspect(id))
            .count();
        u32::try_from(usable).unwrap_or(u32::MAX)
    }
}
