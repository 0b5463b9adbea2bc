//! Starts the runs of a stream: selects the upstream and the KV copy, sends the call and interprets the
//! response.

use super::{
    call_queue::RoomGrant,
    doubtful_run::DoubtfulRun,
    kv_copy::KvCopy,
    kv_copy_manager::KvCopyManager,
    receive_limits::HeldBytes,
    reply::StreamCut,
    reply_log::millis,
    retries::{CALL_RETRY_TIMEOUT, RetryRank, STREAM_RETRY_TIMEOUT},
    run_guard::{FailOverReason, RunGuard},
    run_progress::RunProgress,
    sent_run::SentRun,
    state::cached_tokens,
    stream_call::StreamStop,
    stream_run::{ActiveRun, Loss, StreamRun},
    upstream_transport::CONNECT_TIMEOUT,
    *,
};

/// Maximum number of sends of a stream, including refused ones. A send costs a few milliseconds, which is
/// cheap compared with a resume that finds no free slot.
const MAX_SENDS: u32 = 12;

/// Delay before upstreams that refused or lost the stream are used again, when no other is left.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Why a stream is not sent to an upstream now.
#[derive(Clone, Debug, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum NoSend {
    /// The deadline passed.
    TimedOut,
    /// Upstreams crashed under its body or a part of its prompt.
    Forbidden(CallAttribute),
    /// It was sent the maximum number of times.
    Sends,
    /// It may have run on as many upstreams as its route allows.
    MaxUpstreams,
    /// The retry budget is used up.
    Budget,
    /// No upstream may be selected.
    NoUpstream,
    /// It could not complete in the time that is left.
    TooLate,
    /// It got no room at an upstream.
    Refused {
        reason: RefusalReason,
        retry_after: Duration,
    },
}

/// Upstream for a stream.
struct Selected {
    entry: Arc<UpstreamEntry>,
    /// The run, if it already counts as in flight.
    run: Option<RunGuard>,
}

impl From<Arc<UpstreamEntry>> for Selected {
    fn from(entry: Arc<UpstreamEntry>) -> Self {
        Self { entry, run: None }
    }
}

impl StreamRun {
    /// Starts a run: from the KV copy of the previous run if it is usable, otherwise on the best upstream.
    pub(super) async fn open(&mut self) -> Result<(), StreamStop> {
        while self.active.is_none() {
            let sent = match self.sent.take() {
                Some(sent) => sent,
                None => match self.prepare(None).await {
                    Ok(sent) => sent,
                    Err(reason) => return Err(self.stop_for(&reason)),
                },
            };
            self.await_response(sent).await?;
        }
        Ok(())
    }

    /// Selects an upstream, other than that of the doubtful run, and sends the stream to it. Nothing is sent if this
    /// is cancelled.
    pub(super) async fn prepare(
        &mut self,
        doubtful: Option<&(UpstreamIncarnation, SendPath)>,
    ) -> Result<SentRun, NoSend> {
        let now = self.gateway.timer.now();
        if self.accepted.time_left(now).is_zero() {
            return Err(NoSend::TimedOut);
        }
        let id = &self.accepted.call.id;
        let forbidden = self.unconfirmed_crashes.forbid_resend(&self.gateway, id);
        if let Some(cause) = forbidden.await {
            return Err(NoSend::Forbidden(cause));
        }
        if self.sends > 0 {
            self.permit_resend(doubtful)?;
        }
        // A doubtful run is kept without another upstream, so nothing is paid before there is one.
        let mut selected = None;
        if doubtful.is_some() && self.copy.is_none() {
            selected = self.choose(doubtful).await?;
            if selected.is_none() {
                return Err(NoSend::NoUpstream);
            }
        }
        if self.sends > 0 {
            if !self.retry_prepaid && !self.take_retry().await {
                return Err(NoSend::Budget);
            }
            self.retry_prepaid = true;
        }
        let mut from = self.take_copy();
        if let Some(copy) = &mut from {
            copy.keep();
        }
        let selected = match &from {
            Some(copy) => copy.holder.clone().into(),
            None => match self.choose_unless(selected, doubtful).await? {
                Some(selected) if self.is_too_late(&selected.entry) => {
                    return Err(NoSend::TooLate);
                }
                Some(selected) => selected,
                None => return Err(NoSend::NoUpstream),
            },
        };
        Ok(self.send(selected, from))
    }

    fn stop_for(&self, reason: &NoSend) -> StreamStop {
        match reason {
            NoSend::TimedOut => StreamStop::TimedOut,
            NoSend::Forbidden(cause) => self.poisoned_stop(cause),
            NoSend::TooLate => self.deadline_stop(),
            NoSend::Refused {
                reason,
                retry_after,
            } => StreamStop::Refused {
                reason: *reason,
                retry_after: *retry_after,
            },
            NoSend::Sends | NoSend::MaxUpstreams | NoSend::Budget | NoSend::NoUpstream => {
                self.stop()
            }
        }
    }

    /// Time after which the caller returns, if no upstream has room within its limit.
    pub(super) fn limit_retry_after(&self) -> Option<Duration> {
        self.gateway.limit_retry_after(&self.accepted)
    }

    /// Time after which the caller returns, if all upstreams back off.
    pub(super) fn back_off_retry_after(&self) -> Option<Duration> {
        self.gateway.back_off_retry_after(&self.accepted)
    }

    async fn choose_unless(
        &mut self,
        selected: Option<Selected>,
        doubtful: Option<&(UpstreamIncarnation, SendPath)>,
    ) -> Result<Option<Selected>, NoSend> {
        match selected {
            Some(selected) => Ok(Some(selected)),
            None => self.choose(doubtful).await,
        }
    }

    fn permit_resend(
        &self,
        doubtful: Option<&(UpstreamIncarnation, SendPath)>,
    ) -> Result<(), NoSend> {
        // Upstreams that crashed or are unreachable do not count, since the call did not cause their loss.
        // Those that ran it through another VM are unreachable from here only.
        let mut alive = self.gateway.count_usable(&self.ran_on) + self.runs_through_others;
        // A doubtful run may go on, however its upstream looks from here.
        if doubtful.is_some_and(|(id, path)| {
            path.is_direct() && self.gateway.count_usable(std::slice::from_ref(id)) == 0
        }) {
            alive += 1;
        }
        if self.sends >= MAX_SENDS {
            return Err(NoSend::Sends);
        }
        if alive >= self.accepted.route.max_upstreams {
            return Err(NoSend::MaxUpstreams);
        }
        Ok(())
    }

    async fn take_retry(&mut self) -> bool {
        let time_left = self.accepted.time_left(self.gateway.timer.now());
        let max_wait = if self.gateway.settings.policy.repeat_wait {
            STREAM_RETRY_TIMEOUT.min(time_left)
        } else {
            CALL_RETRY_TIMEOUT
        };
        let service = &self.accepted.service;
        let rank = self
            .gateway
            .is_scheduled(service)
            .then(|| self.retry_rank());
        let taken = self
            .gateway
            .take_ranked_retry(service, max_wait, rank)
            .await;
        if let (Some(rank), false) = (rank, taken) {
            self.log_no_retry(rank);
        }
        taken
    }

    fn log_no_retry(&self, rank: RetryRank) {
        let now = self.gateway.timer.now();
        if self.gateway.log.admits(LineKind::Belief, now) {
            let reason = if now > rank.latest_start {
                "too_late"
            } else {
                "budget"
            };
            tracing::info!(request = %self.accepted.call.id, reason, priority = rank.priority,
                sends = self.sends, last_event = self.relay.last(),
                left_ms = millis(self.accepted.time_left(now)), "stream got no retry");
        }
    }

    /// Rank of the stream among those that wait for retry budget. Without a usable KV copy its prompt has to be
    /// prefilled, except for what an engine has cached.
    fn retry_rank(&self) -> RetryRank {
        let copy = self.copy.as_ref().is_some_and(KvCopy::is_usable);
        let doubtful = self.doubtful_copies.as_ref();
        let prefill = if copy || doubtful.is_some_and(KvCopyManager::has_usable) {
            Duration::ZERO
        } else {
            let prompt = self.accepted.call.prompt.as_ref().map_or(0, |p| p.tokens);
            let cached = self.cached.iter().map(|(_, tokens)| *tokens).max();
            prefill_time(prompt.saturating_sub(cached.unwrap_or(0)))
        };
        let had = self.relay.last().unwrap_or(0);
        let rest = self
            .gateway
            .state
            .lock()
            .stream_durations
            .min_remaining(had);
        let needed = prefill + rest.unwrap_or_default();
        RetryRank {
            priority: self.accepted.priority,
            latest_start: self.accepted.deadline.before(needed),
        }
    }

    /// Number of tokens that an engine must prefill before the next event.
    fn prefill_tokens(&self, entry: &UpstreamEntry) -> u32 {
        let prompt = self.accepted.call.prompt.as_ref().map_or(0, |p| p.tokens);
        prompt.saturating_sub(cached_tokens(&self.cached, &entry.id))
    }

    /// Whether the stream cannot complete in the remaining time even on an idle upstream. If it were sent
    /// nevertheless, it would take engine time from other calls, and its caller would leave with nothing. A
    /// started stream continues as long as there is time to prefill its prompt.
    fn is_too_late(&self, entry: &UpstreamEntry) -> bool {
        let policy = &self.gateway.settings.policy;
        if !policy.refuse_late {
            return false;
        }
        let now = self.gateway.timer.now();
        let mut needed = prefill_time(self.prefill_tokens(entry));
        if policy.refuse_unfinished && self.sends == 0 {
            let had = self.accepted.call.last_event.unwrap_or(0);
            let rest = self
                .gateway
                .state
                .lock()
                .stream_durations
                .min_remaining(had);
            needed += rest.unwrap_or_default();
        }
        self.accepted.time_left(now) < needed
    }

    fn deadline_stop(&self) -> StreamStop {
        match self.stop() {
            StreamStop::NotRun(_) => StreamStop::NotRun(RefusalReason::DeadlineTooNear),
            stop => stop,
        }
    }

    fn poisoned_stop(&self, cause: &CallAttribute) -> StreamStop {
        let reason = match cause {
            CallAttribute::Body(_) => RefusalReason::Poisoned,
            CallAttribute::Part(_) => RefusalReason::CrashingPart,
        };
        match self.stop() {
            StreamStop::NotRun(_) => StreamStop::NotRun(reason),
            _ => StreamStop::Cut(StreamCut::Poisoned),
        }
    }

    fn stop(&self) -> StreamStop {
        if self.ran_on.is_empty() {
            StreamStop::NotRun(RefusalReason::UpstreamRefused)
        } else {
            StreamStop::Cut(StreamCut::NoUpstream)
        }
    }

    /// Selects an upstream; a first send may wait for room at one.
    async fn choose(
        &mut self,
        doubtful: Option<&(UpstreamIncarnation, SendPath)>,
    ) -> Result<Option<Selected>, NoSend> {
        if self.sends == 0 && self.gateway.settings.policy.prompt_search {
            self.cached = self.gateway.search_prompt(&self.accepted).await;
        }
        if self.sends == 0 {
            self.gateway.wait_for_rollout(&self.accepted.service).await;
            let trial = self.gateway.select_canary_upstream(&self.accepted);
            if trial.is_some() {
                return Ok(trial.map(Selected::from));
            }
            if self.waits_for_room() {
                return self.wait_for_room().await;
            }
        }
        Ok(self.choose_at_once(doubtful).await.map(Selected::from))
    }

    /// Whether the stream waits for room: it is new, and its service is scheduled. One that has begun at another VM
    /// goes first, and one whose prompt an engine has cached takes little of its time.
    fn waits_for_room(&self) -> bool {
        self.accepted.call.last_event.is_none()
            && self.cached.is_empty()
            && self.gateway.is_scheduled(&self.accepted.service)
    }

    async fn wait_for_room(&mut self) -> Result<Option<Selected>, NoSend> {
        let granted = self.gateway.wait_for_room(&self.accepted, &self.cached);
        match granted.await {
            RoomGrant::Run(run) => Ok(Some(Selected {
                entry: run.entry.clone(),
                run: Some(run),
            })),
            RoomGrant::NoUpstream => Ok(None),
            RoomGrant::Refused {
                reason,
                retry_after,
            } => Err(NoSend::Refused {
                reason,
                retry_after,
            }),
        }
    }

    /// Selects an upstream that has not lost or refused this stream; if there is none, any upstream after a delay. Beside
    /// a doubtful run, its own upstream is selected only if no other is and another VM reaches it.
    async fn choose_at_once(
        &mut self,
        doubtful: Option<&(UpstreamIncarnation, SendPath)>,
    ) -> Option<Arc<UpstreamEntry>> {
        let mut avoid = self.avoid.clone();
        avoid.extend(doubtful.map(|(id, _)| id.clone()));
        let fresh = self.gateway.select(&self.accepted, &avoid, &self.cached);
        if fresh.is_some() {
            return fresh;
        }
        self.avoid.clear();
        if let Some((id, path)) = doubtful {
            // The next search may use the others again.
            avoid.retain(|other| other != id);
            let same = self.gateway.select(&self.accepted, &avoid, &self.cached);
            return same.filter(|entry| {
                path.is_direct() && !self.gateway.path_to(entry, &self.unopened).is_direct()
            });
        }
        if self.sends > 0 {
            tokio::time::sleep(REFUSED_RETRY_DELAY).await;
        }
        self.gateway.select(&self.accepted, &[], &self.cached)
    }

    /// Sends the stream to an upstream.
    fn send(&mut self, selected: Selected, from: Option<KvCopy>) -> SentRun {
        let Selected { entry, run } = selected;
        self.sends += 1;
        self.retry_prepaid = false;
        let gateway = self.gateway.clone();
        let copy = gateway.select_holder(&self.accepted, &entry);
        let now = gateway.timer.now();
        let time_left = self.accepted.time_left(now);
        // A resumed run produces its first event sooner than a new one, so it is not counted when a
        // rollout is judged.
        let is_sample = from.is_none() && self.relay.last().is_none();
        let path = match &run {
            Some(run) => run.path,
            None => gateway.path_to(&entry, &self.unopened),
        };
        let call = UpstreamCall {
            call: self.accepted.call.clone(),
            entry: entry.clone(),
            team: self.accepted.team.clone(),
            priority: self.accepted.priority,
            time_left,
            last_event: self.relay.last(),
            copy_to: copy.as_ref().map(|copy| copy.address),
            copy_from: from.as_ref().map(|copy| copy.source.clone()),
            path,
            max_idle: self.accepted.max_idle(),
            connect_timeout: CONNECT_TIMEOUT,
            gate: gateway.gate_for_call(&self.accepted, &entry, path),
        };
        self.log_sent(&entry, path, copy.as_deref(), from.is_some(), time_left);
        let tokens = if from.is_some() {
            0
        } else {
            self.prefill_tokens(&entry)
        };
        SentRun {
            guard: run
                .unwrap_or_else(|| {
                    RunGuard::begin(&gateway, entry, self.accepted.call.size(), tokens, path)
                })
                .waits_for_event(self.relay.last().is_some()),
            copy: copy.map(|holder| KvCopy::growing(&gateway, holder, &self.accepted.call)),
            _from: from,
            response: (gateway.transport.send)(call),
            sent_at: now,
            wait: EventWait::for_first(now),
            sample_sent_at: is_sample.then_some(now),
            recorded: false,
        }
    }

    /// Waits for the response to a run. Afterwards the stream has an active run, or may be sent again.
    async fn await_response(&mut self, mut run: SentRun) -> Result<(), StreamStop> {
        let retryable = self.accepted.route.kind.may_retry();
        let loss = loop {
            let now = self.gateway.timer.now();
            let time_left = self.accepted.time_left(now);
            let check_in = run.wait.check_at().since(now);
            tokio::select! {
                response = &mut run.response => return self.handle_outcome(run, response),
                reason = run.guard.failed_over() => match reason {
                    FailOverReason::ProcessEnded => {
                        return self.lose_sent_run(run, Loss::ProcessEnded);
                    }
                    FailOverReason::Unresponsive => break Loss::Silent,
                },
                // An upstream may send the response head only with the first event.
                () = tokio::time::sleep(check_in), if retryable => {
                    let SentRun { guard, wait, .. } = &mut run;
                    let checked = self.gateway.check_wait(&self.accepted, guard, wait, false);
                    if let Some(loss) = checked {
                        break loss;
                    }
                }
                cause = self.gateway.resend_forbidden(&self.accepted.attributes), if retryable => {
                    self.record_run(&mut run);
                    return Err(self.withdraw(&cause));
                }
                () = tokio::time::sleep(time_left) => return Err(StreamStop::TimedOut),
            }
        };
        self.resolve_doubt(DoubtfulRun::Sent(run), loss).await
    }

    /// Handles the response to a run, or the failure of its connection.
    pub(super) fn handle_outcome(
        &mut self,
        run: SentRun,
        response: Result<UpstreamResponse, SendError>,
    ) -> Result<(), StreamStop> {
        match response {
            Ok(response) => self.handle_response(run, response),
            Err(error) => self.handle_send_error(run, error),
        }
    }

    fn handle_response(
        &mut self,
        mut run: SentRun,
        response: UpstreamResponse,
    ) -> Result<(), StreamStop> {
        let (entry, path) = run.target();
        if !response.other_incarnation {
            self.gateway.upstream_responded_over(path, &entry);
        }
        if response.other_incarnation || response.not_executed {
            if response.other_incarnation {
                self.gateway.upstream_replaced(&entry, response.incarnation);
            }
            self.unrecord_run(&run);
            self.record_refusal(&entry, response.status);
            return Ok(());
        }
        self.record_run(&mut run);
        if !response.status.is_success() || !response.signed {
            if response.status.is_server_error() && run.sample_sent_at.is_some() {
                let failure = ResponseOutcome::Failure;
                self.gateway
                    .record_rollout_response(&self.accepted, &entry, failure);
            }
            drop(run);
            self.record_refusal(&entry, response.status);
            return self.continue_if_retryable();
        }
        if !self.delivered {
            // No event of an earlier run was delivered, so the caller gets the head of this one.
            self.head = Some((response.status, response.headers));
        }
        self.active = Some(ActiveRun {
            number: self.relay.begin_run(),
            is_first: !self.delivered,
            guard: run.guard,
            copies: KvCopyManager::new(&self.gateway, run.copy),
            body: response.body,
            splitter: EventSplitter::default(),
            held: HeldBytes::new(&self.gateway, &entry),
            undelivered: 0,
            progress: RunProgress::default(),
            body_end: response.body_end,
            last_data_at: tokio::time::Instant::now(),
            wait: None,
            sample_sent_at: run.sample_sent_at,
        });
        Ok(())
    }

    /// Records that the upstream of a run may have run the stream.
    pub(super) fn record_run(&mut self, run: &mut SentRun) {
        if std::mem::replace(&mut run.recorded, true) {
            return;
        }
        self.ran_on.push(run.guard.entry.id.clone());
        if !run.guard.path.is_direct() {
            self.runs_through_others += 1;
        }
    }

    /// Records that the upstream of a run has not run the stream.
    fn unrecord_run(&mut self, run: &SentRun) {
        let id = &run.guard.entry.id;
        if !run.recorded {
            return;
        }
        if let Some(index) = self.ran_on.iter().rposition(|ran_on| ran_on == id) {
            self.ran_on.remove(index);
        }
        if !run.guard.path.is_direct() {
            self.runs_through_others -= 1;
        }
    }

    /// Closes the connection of a run without a response, so that its upstream stops running it.
    pub(super) fn close_sent_run(&mut self, mut run: SentRun, loss: Loss) {
        self.record_run(&mut run);
        let (entry, path) = run.target();
        drop(run);
        self.run_lost(&entry, path, loss, RunProgress::default());
    }

    /// Handles the loss of a run without a response.
    pub(super) fn lose_sent_run(&mut self, run: SentRun, loss: Loss) -> Result<(), StreamStop> {
        self.close_sent_run(run, loss);
        self.continue_if_retryable()
    }

    fn record_refusal(&mut self, entry: &UpstreamEntry, status: StatusCode) {
        self.avoid.push(entry.id.clone());
        tracing::warn!(request = %self.accepted.call.id, upstream = %entry.id,
            status = status.as_u16(), "upstream refused the stream");
    }

    fn handle_send_error(&mut self, run: SentRun, error: SendError) -> Result<(), StreamStop> {
        let (entry, path) = run.target();
        if error == SendError::Withheld {
            self.unrecord_run(&run);
            self.retry_prepaid = true;
            return Ok(());
        }
        if error == SendError::NoConnection {
            self.unrecord_run(&run);
            drop(run);
            // Nothing was sent, so the next send does not count as another retry.
            self.retry_prepaid = true;
            let error_name: &str = error.into();
            tracing::warn!(request = %self.accepted.call.id, upstream = %entry.id,
                fault = error_name, through = path.through().map(tracing::field::display),
                "call failed");
            if let Some(other) = path.through() {
                self.unopened.through.push(other);
            } else {
                self.avoid.push(entry.id.clone());
                self.unopened.direct = true;
                self.gateway.stream_broke(&entry);
            }
            return Ok(());
        }
        let loss = match error {
            SendError::TooLarge => Loss::TooLarge,
            _ => Loss::Broken,
        };
        self.lose_sent_run(run, loss)
    }

    /// Allows another run if the route may be retried; fails otherwise, because the call may have run.
    pub(super) fn continue_if_retryable(&self) -> Result<(), StreamStop> {
        if self.accepted.route.kind.may_retry() {
            return Ok(());
        }
        Err(StreamStop::Cut(StreamCut::NotResumable))
    }

    fn log_sent(
        &self,
        entry: &UpstreamEntry,
        path: SendPath,
        copy: Option<&UpstreamEntry>,
        from_copy: bool,
        time_left: Duration,
    ) {
        if self
            .gateway
            .log
            .admits(LineKind::Sent, self.gateway.timer.now())
        {
            tracing::info!(request = %self.accepted.call.id, upstream = %entry.id,
                zone = %entry.zone, send = self.sends, left_ms = millis(time_left),
                last_event = self.relay.last(), from_copy,
                through = path.through().map(tracing::field::display),
                copy = copy.map(|c| tracing::field::display(c.id.clone())), "sent");
        }
    }
}
