//! How a stream's runs begin: which upstream, from which copy, and what its answer means.

use super::{
    health_check::probe,
    kv_copy::KvCopy,
    kv_copy_manager::KvCopyManager,
    reply::StreamCut,
    reply_log::millis,
    retries::{CALL_RETRY_TIMEOUT, STREAM_RETRY_TIMEOUT},
    run_guard::RunGuard,
    state::cached_tokens,
    stream_call::StreamStop,
    stream_run::{ActiveRun, Loss, STALL_BEFORE_FIRST, StreamRun},
    upstream_transport::CONNECT_BOUND,
    *,
};

/// How often a stream is sent at most, refusals counted in. Each costs a few milliseconds; a resume
/// that finds no place is worth several.
const MOST_SENDS: u32 = 12;

/// Wait before upstreams are tried again after all refused.
const REFUSED_WAIT: Duration = Duration::from_millis(60);

impl StreamRun {
    /// Begins a run: from the copy of the one before if that can be, else where it fits best.
    pub(super) async fn open(&mut self) -> Result<(), StreamStop> {
        loop {
            let now = self.gateway.timer.now();
            if self.accepted.time_left(now).is_zero() {
                return Err(StreamStop::TimedOut);
            }
            if self.kills_upstreams().await {
                return Err(StreamStop::Cut(StreamCut::Poisoned));
            }
            if self.sends > 0 && !self.may_send_again().await {
                return Err(self.stop());
            }
            self.send_paid = false;
            let mut from = self.copy.take().filter(KvCopy::is_usable);
            if let Some(copy) = &mut from {
                copy.keep();
            }
            let entry = match &from {
                Some(copy) => copy.holder.clone(),
                None => match self.choose().await {
                    Some(entry) if self.is_too_late(&entry) => return Err(self.too_late()),
                    Some(entry) => entry,
                    None => return Err(self.stop()),
                },
            };
            if self.send(entry, from).await? {
                return Ok(());
            }
        }
    }

    /// Whether so many upstreams have died as they began to run this stream that it is the cause.
    ///
    /// Dead upstreams do not count against a stream otherwise, so it would go on from one to the next and
    /// end all that runs there; one sees `run of a stream lost` with `loss=broken` twelve times under one
    /// request. Connections also break while their upstreams live, so these are asked first: it costs a
    /// round trip, and only those whose third run ends before its first event.
    async fn kills_upstreams(&mut self) -> bool {
        if self.broke_beginning.len() < MAX_CRASHES_PER_BODY {
            return false;
        }
        let probes = self.broke_beginning.iter();
        let probes = probes.map(|entry| probe(self.gateway.clone(), entry.clone()));
        let live = futures::future::join_all(probes).await;
        let mut live = live.into_iter();
        self.broke_beginning
            .retain(|_| !live.next().unwrap_or(true));
        self.broke_beginning.len() >= MAX_CRASHES_PER_BODY
    }

    async fn may_send_again(&mut self) -> bool {
        // Upstreams that died or were cut off do not count: their loss is no fault of the call.
        let alive = self.gateway.count_usable(&self.ran_on);
        self.sends < MOST_SENDS
            && alive < self.accepted.route.max_upstreams
            && (self.send_paid || self.pay_repeat().await)
    }

    async fn pay_repeat(&mut self) -> bool {
        let time_left = self.accepted.time_left(self.gateway.timer.now());
        let patience = if self.gateway.settings.policy.repeat_wait {
            STREAM_RETRY_TIMEOUT.min(time_left)
        } else {
            CALL_RETRY_TIMEOUT
        };
        self.gateway
            .take_retry(&self.accepted.service, patience)
            .await
    }

    /// Tokens that an engine has to read before the next event.
    fn tokens_to_read(&self, entry: &UpstreamEntry) -> u32 {
        let prompt = self.accepted.call.prompt.as_ref().map_or(0, |p| p.tokens);
        prompt.saturating_sub(cached_tokens(&self.cached, &entry.id))
    }

    /// Whether the stream cannot be whole in the time that is left, even with nothing else to do. Sent all the same, it
    /// would take an engine's time from others, and its caller would leave with nothing. One that has begun goes on
    /// for as long as its prompt can be read.
    fn is_too_late(&self, entry: &UpstreamEntry) -> bool {
        let policy = &self.gateway.settings.policy;
        if !policy.refuse_late {
            return false;
        }
        let now = self.gateway.timer.now();
        let mut needed = prefill_time(self.tokens_to_read(entry));
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

    fn too_late(&self) -> StreamStop {
        match self.stop() {
            StreamStop::NotRun(_) => StreamStop::NotRun(RefusalReason::DeadlineTooNear),
            stop => stop,
        }
    }

    fn stop(&self) -> StreamStop {
        if self.ran_on.is_empty() {
            StreamStop::NotRun(RefusalReason::UpstreamRefused)
        } else {
            StreamStop::Cut(StreamCut::NoUpstream)
        }
    }

    /// An upstream that has not failed this stream, or after a wait any.
    async fn choose(&mut self) -> Option<Arc<UpstreamEntry>> {
        if self.sends == 0 && self.gateway.settings.policy.prompt_search {
            self.cached = self.gateway.search_prompt(&self.accepted).await;
        }
        if self.sends == 0 {
            self.gateway.wait_for_rollout(&self.accepted.service).await;
            let trial = self.gateway.place_trial(&self.accepted);
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
            tokio::time::sleep(REFUSED_WAIT).await;
        }
        self.gateway.select(&self.accepted, &[], &self.cached)
    }

    /// Sends it to an upstream; whether a run began.
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
        // What goes on from a copy, or in the middle, is answered sooner than what begins.
        self.judged_since = (!from_copy && self.relay.last().is_none()).then_some(now);
        let call = UpstreamCall {
            call: self.accepted.call.clone(),
            entry: entry.clone(),
            team: self.accepted.team.clone(),
            priority: self.accepted.priority,
            time_left,
            last_event: self.relay.last(),
            copy_to: copy.as_ref().map(|copy| copy.address),
            copy_from: from.as_ref().map(|copy| copy.source.clone()),
            longest_idle: self.accepted.max_idle(),
            connect_bound: CONNECT_BOUND,
        };
        self.log_sent(&entry, copy.as_deref(), from_copy, time_left);
        let tokens = if from_copy {
            0
        } else {
            self.tokens_to_read(&entry)
        };
        let copy = copy.map(|holder| KvCopy::growing(&gateway, holder, &self.accepted.call.id));
        let mut guard = RunGuard::begin(&gateway, entry.clone(), tokens);
        let repeat = self.accepted.route.kind.may_retry();
        let answer = tokio::select! {
            answer = (gateway.transport.send)(call) => answer,
            // An answer may have no head before its first event.
            () = tokio::time::sleep(STALL_BEFORE_FIRST), if repeat => {
                self.ran_on.push(entry.id.clone());
                drop((guard, copy));
                self.run_lost(&entry, Loss::Stalled);
                return Ok(false);
            }
            () = guard.lost() => {
                self.ran_on.push(entry.id.clone());
                drop((guard, copy));
                self.run_lost(&entry, Loss::Silent);
                return self.unless_once();
            }
            () = tokio::time::sleep(time_left) => return Err(StreamStop::TimedOut),
        };
        match answer {
            Ok(answer) => self.begun(guard, copy, answer),
            Err(fault) => {
                drop((guard, copy));
                self.send_failed(&entry, fault)
            }
        }
    }

    fn begun(
        &mut self,
        guard: RunGuard,
        copy: Option<KvCopy>,
        answer: UpstreamResponse,
    ) -> Result<bool, StreamStop> {
        let entry = guard.entry.clone();
        self.gateway.upstream_responded(&entry, answer.load);
        if answer.other_incarnation || answer.not_executed {
            if answer.other_incarnation {
                self.gateway.upstream_replaced(&entry, answer.incarnation);
            }
            self.refused(&entry, answer.status);
            return Ok(false);
        }
        self.ran_on.push(entry.id.clone());
        if !answer.status.is_success() || !answer.signed {
            if answer.status.is_server_error() && self.judged_since.take().is_some() {
                let failure = ResponseOutcome::Failure;
                self.gateway.rollout_answer(&self.accepted, &entry, failure);
            }
            drop(guard);
            self.refused(&entry, answer.status);
            return self.unless_once();
        }
        if !self.delivered {
            // Nothing of a run before was handed on, so the caller gets the head of this one.
            self.head = Some((answer.status, answer.headers));
        }
        self.active = Some(ActiveRun {
            number: self.relay.begin_run(),
            guard,
            copies: KvCopyManager::new(&self.gateway, copy),
            body: answer.body,
            splitter: EventSplitter::default(),
            gave_events: false,
            progress: tokio::time::Instant::now(),
        });
        Ok(true)
    }

    fn refused(&mut self, entry: &UpstreamEntry, status: StatusCode) {
        self.avoid.push(entry.id.clone());
        tracing::warn!(request = %self.accepted.call.id, upstream = %entry.id,
            status = status.as_u16(), "refused by the upstream");
    }

    fn send_failed(
        &mut self,
        entry: &Arc<UpstreamEntry>,
        fault: SendError,
    ) -> Result<bool, StreamStop> {
        if fault == SendError::NoConnection {
            self.avoid.push(entry.id.clone());
            // Nothing arrived there, so the next send is the same one still.
            self.send_paid = true;
            let fault_name: &str = fault.into();
            tracing::warn!(request = %self.accepted.call.id, upstream = %entry.id,
                fault = fault_name, "call failed");
            self.gateway.stream_broke(entry);
            return Ok(false);
        }
        self.ran_on.push(entry.id.clone());
        self.broke_beginning.push(entry.clone());
        self.run_lost(entry, Loss::Broken);
        self.unless_once()
    }

    /// Whether the stream may go on elsewhere after it may have run.
    fn unless_once(&self) -> Result<bool, StreamStop> {
        if self.accepted.route.kind.may_retry() {
            return Ok(false);
        }
        Err(StreamStop::Cut(StreamCut::NotResumable))
    }

    fn log_sent(
        &self,
        entry: &UpstreamEntry,
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
                copy = copy.map(|c| tracing::field::display(c.id.clone())), "sent");
        }
    }
}
