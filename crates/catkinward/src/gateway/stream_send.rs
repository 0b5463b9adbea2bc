//! Starts the runs of a stream: selects the upstream and the KV copy, sends the call and interprets the
//! response.

use super::{
    kv_copy::KvCopy,
    kv_copy_manager::KvCopyManager,
    reply::StreamCut,
    reply_log::millis,
    retries::{CALL_RETRY_TIMEOUT, STREAM_RETRY_TIMEOUT},
    run_guard::RunGuard,
    run_progress::RunProgress,
    state::cached_tokens,
    stream_call::StreamStop,
    stream_run::{ActiveRun, FIRST_EVENT_TIMEOUT, Loss, StreamRun},
    upstream_transport::CONNECT_TIMEOUT,
    *,
};

/// Maximum number of sends of a stream, including refused ones. A send costs a few milliseconds, which is
/// cheap compared with a resume that finds no free slot.
const MAX_SENDS: u32 = 12;

/// Delay before upstreams that refused or lost the stream are used again, when no other is left.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(60);

impl StreamRun {
    /// Starts a run: from the KV copy of the previous run if it is usable, otherwise on the best upstream.
    pub(super) async fn open(&mut self) -> Result<(), StreamStop> {
        loop {
            let now = self.gateway.timer.now();
            if self.accepted.time_left(now).is_zero() {
                return Err(StreamStop::TimedOut);
            }
            let id = &self.accepted.call.id;
            let forbidden = self.unconfirmed_crashes.forbid_resend(&self.gateway, id);
            if let Some(cause) = forbidden.await {
                return Err(self.poisoned_stop(&cause));
            }
            if self.sends > 0 && !self.may_resend().await {
                return Err(self.stop());
            }
            self.retry_prepaid = false;
            let mut from = self.copy.take().filter(|copy| {
                copy.is_usable() && self.gateway.take_room(&self.accepted, &copy.holder)
            });
            if let Some(copy) = &mut from {
                copy.keep();
            }
            let entry = match &from {
                Some(copy) => copy.holder.clone(),
                None => match self.choose().await {
                    Some(entry) if self.is_too_late(&entry) => return Err(self.deadline_stop()),
                    Some(entry) => entry,
                    None => return Err(self.stop()),
                },
            };
            if self.send(entry, from).await? {
                return Ok(());
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

    async fn may_resend(&mut self) -> bool {
        // Upstreams that crashed or are unreachable do not count, since the call did not cause their loss.
        // Those that ran it through another VM are unreachable from here only.
        let alive = self.gateway.count_usable(&self.ran_on) + self.runs_through_others;
        self.sends < MAX_SENDS
            && alive < self.accepted.route.max_upstreams
            && (self.retry_prepaid || self.take_retry().await)
    }

    async fn take_retry(&mut self) -> bool {
        let time_left = self.accepted.time_left(self.gateway.timer.now());
        let max_wait = if self.gateway.settings.policy.repeat_wait {
            STREAM_RETRY_TIMEOUT.min(time_left)
        } else {
            CALL_RETRY_TIMEOUT
        };
        self.gateway
            .take_retry(&self.accepted.service, max_wait)
            .await
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

    /// Selects an upstream that has not lost or refused this stream; if there is none, any upstream after a delay.
    async fn choose(&mut self) -> Option<Arc<UpstreamEntry>> {
        if self.sends == 0 && self.gateway.settings.policy.prompt_search {
            self.cached = self.gateway.search_prompt(&self.accepted).await;
        }
        if self.sends == 0 {
            self.gateway.wait_for_rollout(&self.accepted.service).await;
            let trial = self.gateway.select_canary_upstream(&self.accepted);
            if trial.is_some() {
                return trial;
            }
        }
        let fresh = self
            .gateway
            .select(&self.accepted, &self.avoid, &self.cached);
        if fresh.is_some() {
            return fresh;
        }
        self.avoid.clear();
        if self.sends > 0 {
            tokio::time::sleep(REFUSED_RETRY_DELAY).await;
        }
        self.gateway.select(&self.accepted, &[], &self.cached)
    }

    /// Sends the stream to an upstream; returns whether a run started.
    async fn send(
        &mut self,
        entry: Arc<UpstreamEntry>,
        from: Option<KvCopy>,
    ) -> Result<bool, StreamStop> {
        self.sends += 1;
        let gateway = self.gateway.clone();
        let from_copy = from.is_some();
        let copy = gateway.select_holder(&self.accepted, &entry);
        let now = gateway.timer.now();
        let time_left = self.accepted.time_left(now);
        // A resumed run produces its first event sooner than a new one, so it is not counted when a
        // rollout is judged.
        self.sample_sent_at = (!from_copy && self.relay.last().is_none()).then_some(now);
        let path = gateway.path_to(&entry, &self.unopened);
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
        self.log_sent(&entry, path, copy.as_deref(), from_copy, time_left);
        let tokens = if from_copy {
            0
        } else {
            self.prefill_tokens(&entry)
        };
        let copy = copy.map(|holder| KvCopy::growing(&gateway, holder, &self.accepted.call.id));
        let mut guard = RunGuard::begin(&gateway, entry.clone(), tokens, path);
        let retryable = self.accepted.route.kind.may_retry();
        let response = tokio::select! {
            response = (gateway.transport.send)(call) => response,
            // An upstream may send the response head only with the first event.
            () = tokio::time::sleep(FIRST_EVENT_TIMEOUT), if retryable => {
                self.record_run(&entry, path);
                drop((guard, copy));
                self.run_lost(&entry, path, Loss::Stalled, RunProgress::default());
                return Ok(false);
            }
            () = guard.upstream_abandoned() => {
                self.record_run(&entry, path);
                drop((guard, copy));
                self.run_lost(&entry, path, Loss::Silent, RunProgress::default());
                return self.continue_if_retryable();
            }
            cause = gateway.resend_forbidden(&self.accepted.attributes), if retryable => {
                self.record_run(&entry, path);
                return Err(self.withdraw(&cause));
            }
            () = tokio::time::sleep(time_left) => return Err(StreamStop::TimedOut),
        };
        match response {
            Ok(response) => self.handle_response(guard, copy, response),
            Err(error) => {
                drop((guard, copy));
                self.handle_send_error(&entry, path, error)
            }
        }
    }

    fn handle_response(
        &mut self,
        guard: RunGuard,
        copy: Option<KvCopy>,
        response: UpstreamResponse,
    ) -> Result<bool, StreamStop> {
        let entry = guard.entry.clone();
        self.gateway.upstream_responded_over(guard.path, &entry);
        if response.other_incarnation || response.not_executed {
            if response.other_incarnation {
                self.gateway.upstream_replaced(&entry, response.incarnation);
            }
            self.record_refusal(&entry, response.status);
            return Ok(false);
        }
        self.record_run(&entry, guard.path);
        if !response.status.is_success() || !response.signed {
            if response.status.is_server_error() && self.sample_sent_at.take().is_some() {
                let failure = ResponseOutcome::Failure;
                self.gateway
                    .record_rollout_response(&self.accepted, &entry, failure);
            }
            drop(guard);
            self.record_refusal(&entry, response.status);
            return self.continue_if_retryable();
        }
        if !self.delivered {
            // No event of an earlier run was delivered, so the caller gets the head of this one.
            self.head = Some((response.status, response.headers));
        }
        self.active = Some(ActiveRun {
            number: self.relay.begin_run(),
            guard,
            copies: KvCopyManager::new(&self.gateway, copy),
            body: response.body,
            splitter: EventSplitter::default(),
            progress: RunProgress::default(),
            body_end: response.body_end,
            last_data_at: tokio::time::Instant::now(),
        });
        Ok(true)
    }

    fn record_run(&mut self, entry: &UpstreamEntry, path: SendPath) {
        self.ran_on.push(entry.id.clone());
        if !path.is_direct() {
            self.runs_through_others += 1;
        }
    }

    fn record_refusal(&mut self, entry: &UpstreamEntry, status: StatusCode) {
        self.avoid.push(entry.id.clone());
        tracing::warn!(request = %self.accepted.call.id, upstream = %entry.id,
            status = status.as_u16(), "upstream refused the stream");
    }

    fn handle_send_error(
        &mut self,
        entry: &Arc<UpstreamEntry>,
        path: SendPath,
        error: SendError,
    ) -> Result<bool, StreamStop> {
        if error == SendError::Withheld {
            self.retry_prepaid = true;
            return Ok(false);
        }
        if error == SendError::NoConnection {
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
                self.gateway.stream_broke(entry);
            }
            return Ok(false);
        }
        self.record_run(entry, path);
        self.run_lost(entry, path, Loss::Broken, RunProgress::default());
        self.continue_if_retryable()
    }

    /// Allows another run if the route may be retried; fails otherwise, because the call may have run.
    fn continue_if_retryable(&self) -> Result<bool, StreamStop> {
        if self.accepted.route.kind.may_retry() {
            return Ok(false);
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
