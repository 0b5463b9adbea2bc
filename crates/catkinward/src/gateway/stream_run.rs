//! Serves a stream to a caller. Each attempt on an upstream is a run; when a run is lost, the stream
//! resumes with another run.

use super::{
    accepted_call::AcceptedCall,
    crashes::UnconfirmedCrashes,
    doubtful_run::DoubtfulRun,
    kv_copy::KvCopy,
    kv_copy_manager::KvCopyManager,
    lost_run::CrashProof,
    receive_limits::{HeldBytes, counted_len},
    reply::StreamCut,
    reply_log::{BodyHex, log_caller_left, logged_parts, millis},
    run_guard::{FailOverReason, RunGuard},
    run_progress::RunProgress,
    sent_run::SentRun,
    stream_call::StreamStop,
    *,
};

/// State of a stream that is being served to a caller, across all its runs.
pub(crate) struct StreamRun {
    pub(super) gateway: Arc<Gateway>,
    pub(super) accepted: AcceptedCall,
    pub(super) relay: EventRelay,
    pub(super) active: Option<ActiveRun>,
    /// Run that takes the place of one that was given up, before its upstream has responded.
    pub(super) sent: Option<SentRun>,
    /// KV copy of the previous run.
    pub(super) copy: Option<KvCopy>,
    /// KV copies of the run that is doubtful, if there is one.
    pub(super) doubtful_copies: Option<KvCopyManager>,
    /// Number of prompt tokens that each engine has cached, sorted by engine.
    pub(super) cached: Vec<(UpstreamIncarnation, u32)>,
    /// Upstreams that lost or refused the stream.
    pub(super) avoid: Vec<UpstreamIncarnation>,
    pub(super) sends: u32,
    /// Whether the next send takes nothing more from the retry budget, because it has been paid for or the previous
    /// one did not arrive.
    pub(super) retry_prepaid: bool,
    /// Connections for this call that could not be opened.
    pub(super) unopened: UnopenedConnections,
    /// Number of runs over connections through other VMs.
    pub(super) runs_through_others: u32,
    /// Upstreams that may have run the stream, including the current one.
    pub(super) ran_on: Vec<UpstreamIncarnation>,
    /// Upstreams whose connections broke and that may have crashed.
    pub(super) unconfirmed_crashes: UnconfirmedCrashes,
    /// Whether the caller has received an event.
    pub(super) delivered: bool,
    /// Time when the caller received its first event.
    pub(super) first_event_at: Option<Instant>,
    pub(super) head: Option<(StatusCode, HeaderMap)>,
    /// Time when the previous run was lost.
    pub(super) lost_at: Option<Instant>,
    /// Whether the stream is complete or cut.
    pub(super) ended: bool,
}

impl Drop for StreamRun {
    fn drop(&mut self) {
        // Before the first event, the guard of the waiting call logs it.
        if self.delivered && !self.ended {
            log_caller_left(&self.accepted.call, self.relay.last());
        }
    }
}

/// The run that currently produces the events.
pub(super) struct ActiveRun {
    pub(super) number: EventRun,
    /// Whether the caller has received no event of an earlier run.
    pub(super) is_first: bool,
    pub(super) guard: RunGuard,
    pub(super) copies: KvCopyManager,
    pub(super) body: ResponseBody,
    pub(super) splitter: EventSplitter,
    /// Memory that the data takes which has no complete event yet.
    pub(super) held: HeldBytes,
    /// Bytes received since the last event for the caller.
    pub(super) undelivered: usize,
    pub(super) progress: RunProgress,
    pub(super) body_end: BodyEnd,
    /// Time of the last received data.
    pub(super) last_data_at: tokio::time::Instant,
    /// The wait for the next data; `None` until it begins.
    pub(super) wait: Option<EventWait>,
    /// Time when the run was sent, to judge a rollout by the latency of its first event. `None` after that
    /// event, and for a resumed run.
    pub(super) sample_sent_at: Option<Instant>,
}

impl ActiveRun {
    /// Records that data arrived.
    pub(super) fn record_data(&mut self) {
        self.last_data_at = tokio::time::Instant::now();
        self.wait = None;
    }

    /// Records that events were taken for the caller.
    fn record_delivered(&mut self) {
        self.undelivered = self.splitter.buffered_len();
        // Less than before, so within the limits.
        let _ = self.held.record_event(self.undelivered);
    }

    /// Whether the run, whose body has ended, was broken off: within an event, or before the first one if only the
    /// end of the connection ended the body.
    pub(super) fn is_broken_off(&self) -> bool {
        self.splitter.has_incomplete_event()
            || (self.body_end == BodyEnd::Connection && !self.progress.has_events())
    }

    /// What it means for the run that those on its upstream fail over.
    fn receive_fail_over(&self, reason: FailOverReason) -> Received {
        if reason == FailOverReason::ProcessEnded {
            return Received::Broken(Loss::ProcessEnded);
        }
        // Data that arrives during a health check shows more than the check.
        if self.progress.has_events() && self.last_data_at.elapsed() < SILENCE_TIMEOUT {
            return Received::Nothing;
        }
        Received::Doubt(Loss::Silent)
    }
}

/// What was received from the active run.
enum Received {
    Bytes(Bytes),
    End,
    Broken(Loss),
    /// Nothing, for so long that the run may have failed.
    Doubt(Loss),
    TimedOut,
    /// Nothing that matters.
    Nothing,
    /// No data, but the KV copies of the run must be checked.
    CheckCopies,
    /// No data, for so long that the upstream is checked for the run.
    CheckWait,
    /// Upstreams crashed under the same body or part, and this run has not produced an event yet.
    Forbidden(CallAttribute),
}

/// Why a run was lost, or may be.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Loss {
    /// The connection broke.
    Broken,
    /// The upstream did not answer a health check.
    Silent,
    /// The process of the upstream ended.
    ProcessEnded,
    /// The stream ended within an event, or before the first one.
    Torn,
    /// The upstream sent more than is read without an event for the caller.
    TooLarge,
    /// The run skipped events.
    Gap,
    /// The upstream answers health checks, but the run sends no data.
    Stalled,
    /// The upstream reports fewer calls than this VM has there.
    Missing,
}

impl From<BodyError> for Loss {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::Broken => Self::Broken,
            BodyError::TooLarge => Self::TooLarge,
        }
    }
}

impl Loss {
    /// What would show that the upstream of a run lost in this way has crashed; `None` if it has not.
    fn crash_proof(self) -> Option<CrashProof> {
        match self {
            Self::Broken | Self::Torn => Some(CrashProof::Unresponsive),
            Self::Silent | Self::Stalled | Self::Missing | Self::ProcessEnded => {
                Some(CrashProof::ProcessEnded)
            }
            Self::TooLarge | Self::Gap => None,
        }
    }

    /// Whether the own zone may have been partitioned.
    fn follows_silence(self) -> bool {
        matches!(self, Self::Silent | Self::ProcessEnded)
    }
}

impl StreamRun {
    pub(crate) fn new(gateway: Arc<Gateway>, accepted: AcceptedCall) -> Self {
        Self {
            relay: EventRelay::new(accepted.call.last_event),
            gateway,
            unconfirmed_crashes: UnconfirmedCrashes::new(accepted.attributes.clone()),
            accepted,
            active: None,
            sent: None,
            copy: None,
            doubtful_copies: None,
            cached: Vec::new(),
            avoid: Vec::new(),
            sends: 0,
            retry_prepaid: false,
            unopened: UnopenedConnections::default(),
            runs_through_others: 0,
            ran_on: Vec::new(),
            delivered: false,
            first_event_at: None,
            head: None,
            lost_at: None,
            ended: false,
        }
    }

    /// Response head of the first upstream; set once there is an event or the end of the stream.
    pub(crate) fn take_head(&mut self) -> Option<(StatusCode, HeaderMap)> {
        self.head.take()
    }

    /// Returns the next complete events, or `None` at the end of the complete stream.
    pub(crate) async fn next_events(&mut self) -> Result<Option<Bytes>, StreamStop> {
        loop {
            if self.active.is_none() {
                self.open().await?;
            }
            let events = self.take_events();
            match events {
                Ok((count, events)) if count > 0 => {
                    self.record_progress(count);
                    self.record_delivery();
                    return Ok(Some(events.into()));
                }
                Ok(_) => {}
                Err(loss) => {
                    self.lose_active_run(loss)?;
                    continue;
                }
            }
            match self.receive().await {
                Received::Bytes(bytes) => self.push(&bytes)?,
                Received::End if self.is_broken_off() => self.lose_active_run(Loss::Torn)?,
                Received::End => {
                    self.complete_stream();
                    return Ok(None);
                }
                Received::Broken(loss) => self.lose_active_run(loss)?,
                Received::Doubt(loss) => self.doubt_active_run(loss).await?,
                Received::CheckWait => {
                    if let Some(loss) = self.check_wait() {
                        self.doubt_active_run(loss).await?;
                    }
                }
                Received::Nothing => {}
                Received::TimedOut => return Err(StreamStop::TimedOut),
                Received::CheckCopies => self.check_copies(),
                Received::Forbidden(cause) => return Err(self.withdraw(&cause)),
            }
        }
    }

    pub(crate) fn log_cut(&mut self, cut: StreamCut) {
        self.ended = true;
        metrics::counter!("catkin_streams_cut_total").increment(1);
        tracing::warn!(request = %self.accepted.call.id, last_event = self.relay.last(),
            sends = self.sends, runs = self.ran_on.len(), %cut, "stream cut");
    }

    /// Takes the next complete events that the caller has not received, and their number.
    fn take_events(&mut self) -> Result<(u32, Vec<u8>), Loss> {
        let (mut count, mut buf) = (0, Vec::new());
        let Some(active) = &mut self.active else {
            return Ok((count, buf));
        };
        while let Some(CompleteEvent { id, bytes }) = active.splitter.next_event() {
            let decision = match id {
                Some(id) => self.relay.decide(active.number, id),
                // An event without an ID cannot be distinguished from one that was already delivered.
                None if !active.is_first => EventDecision::Drop,
                None => EventDecision::Deliver,
            };
            match decision {
                EventDecision::Deliver => {
                    count += 1;
                    buf.extend_from_slice(&bytes);
                }
                EventDecision::Drop => {}
                EventDecision::Gap if buf.is_empty() => return Err(Loss::Gap),
                EventDecision::Gap => break,
            }
        }
        Ok((count, buf))
    }

    fn record_progress(&mut self, events: u32) {
        let now = self.gateway.timer.now();
        let Some(active) = &mut self.active else {
            return;
        };
        active.record_delivered();
        if let Some(began) = active.progress.record_events(events, now) {
            self.gateway
                .record_clean_run(&self.accepted.attributes, began);
        }
    }

    async fn receive(&mut self) -> Received {
        let now = self.gateway.timer.now();
        let time_left = self.accepted.time_left(now);
        let retryable = self.accepted.route.kind.may_retry();
        let Some(active) = &mut self.active else {
            return Received::Broken(Loss::Broken);
        };
        let since = now.before(active.last_data_at.elapsed());
        let begun = active.progress.has_events();
        let wait = active.wait.get_or_insert_with(|| {
            if begun {
                EventWait::for_next(since)
            } else {
                EventWait::for_first(since)
            }
        });
        let check_in = wait.check_at().since(now);
        tokio::select! {
            chunk = active.body.next() => match chunk {
                Some(Ok(bytes)) => {
                    active.record_data();
                    Received::Bytes(bytes)
                }
                Some(Err(error)) => Received::Broken(error.into()),
                None => Received::End,
            },
            reason = active.guard.failed_over() => active.receive_fail_over(reason),
            () = active.copies.wait() => Received::CheckCopies,
            cause = self.gateway.resend_forbidden(&self.accepted.attributes),
                if retryable && !active.progress.has_events() => Received::Forbidden(cause),
            () = tokio::time::sleep(check_in), if retryable => Received::CheckWait,
            () = tokio::time::sleep(time_left) => Received::TimedOut,
        }
    }

    async fn doubt_active_run(&mut self, loss: Loss) -> Result<(), StreamStop> {
        match self.active.take() {
            Some(active) => self.resolve_doubt(DoubtfulRun::Active(active), loss).await,
            None => Ok(()),
        }
    }

    /// Checks the active run, which has sent no data for a while; returns why it is doubtful, if it is.
    fn check_wait(&mut self) -> Option<Loss> {
        let active = self.active.as_mut()?;
        let has_copy = active.progress.has_events() && active.copies.has_usable();
        let wait = active.wait.as_mut()?;
        self.gateway
            .check_wait(&self.accepted, &active.guard, wait, has_copy)
    }

    pub(super) fn push(&mut self, bytes: &[u8]) -> Result<(), StreamStop> {
        let Some(active) = &mut self.active else {
            return Ok(());
        };
        let ActiveRun { guard, .. } = active;
        guard.record_data();
        self.gateway
            .upstream_responded_over(guard.path, &guard.entry);
        active.undelivered += counted_len(bytes);
        let fits = active.held.record_event(active.undelivered);
        if fits.is_err() || active.splitter.push(bytes).is_err() {
            return self.lose_active_run(Loss::TooLarge);
        }
        Ok(())
    }

    /// Requests a new KV copy if there is none. Not before the first event: the engine may not run the call yet.
    fn check_copies(&mut self) {
        let has_copies = self.gateway.has_copies(&self.accepted.service);
        if let (Some(active), true) = (&mut self.active, self.delivered && has_copies) {
            active.copies.check(&self.accepted, &active.guard.entry);
        }
    }

    fn is_broken_off(&self) -> bool {
        self.active.as_ref().is_some_and(ActiveRun::is_broken_off)
    }

    fn record_delivery(&mut self) {
        let now = self.gateway.timer.now();
        if let Some(active) = &mut self.active
            && let Some(sent) = active.sample_sent_at.take()
        {
            let outcome = ResponseOutcome::Success(now.since(sent));
            let entry = &active.guard.entry;
            self.gateway
                .record_rollout_response(&self.accepted, entry, outcome);
        }
        if let Some(lost_at) = self.lost_at.take() {
            let pause = now.since(lost_at);
            metrics::histogram!("catkin_resume_seconds").record(pause.as_secs_f64());
            tracing::info!(request = %self.accepted.call.id, ms = millis(pause), "stream resumed");
        }
        if !self.delivered {
            let wait = now.since(self.accepted.call.arrived);
            metrics::histogram!("catkin_first_event_seconds").record(wait.as_secs_f64());
            self.delivered = true;
            self.first_event_at = Some(now);
            if self.gateway.log.admits(LineKind::Answered, now) {
                tracing::info!(request = %self.accepted.call.id, ms = millis(wait), "first event");
            }
        }
    }

    fn complete_stream(&mut self) {
        self.ended = true;
        let began = self
            .active
            .take()
            .and_then(|active| active.progress.began());
        if let Some(began) = began {
            self.gateway
                .record_clean_run(&self.accepted.attributes, began);
        }
        self.record_duration();
        self.gateway.record_delivery(&self.accepted.attributes);
        let now = self.gateway.timer.now();
        if self.gateway.log.admits(LineKind::Answered, now) {
            let ms = millis(now.since(self.accepted.call.arrived));
            tracing::info!(request = %self.accepted.call.id, last_event = self.relay.last(),
                sends = self.sends, ms, "stream whole");
        }
    }

    /// Records the time from the first event until now, for estimates of stream durations. Does nothing
    /// if the caller resumed the stream, since its earlier events were not timed, or if no event was
    /// relayed.
    fn record_duration(&self) {
        let (Some(first), Some(last), None) = (
            self.first_event_at,
            self.relay.last(),
            self.accepted.call.last_event,
        ) else {
            return;
        };
        let now = self.gateway.timer.now();
        let mut state = self.gateway.state.lock();
        state
            .stream_durations
            .record_complete(last, now.since(first));
    }

    /// Handles the loss of the active run.
    pub(super) fn lose_active_run(&mut self, loss: Loss) -> Result<(), StreamStop> {
        if self.active.is_some() {
            self.close_active_run(loss);
            return self.continue_if_retryable();
        }
        Ok(())
    }

    /// Closes the connection of the active run, so that its upstream stops running it.
    pub(super) fn close_active_run(&mut self, loss: Loss) {
        let Some(active) = self.active.take() else {
            return;
        };
        let ActiveRun {
            guard,
            copies,
            body,
            progress,
            ..
        } = active;
        drop(body);
        let (entry, path) = (guard.entry.clone(), guard.path);
        drop(guard);
        // The KV cache of a run is not copied before its first event, and a resume from a missing copy costs a retry.
        self.copy = copies
            .into_best(loss.follows_silence())
            .filter(|_| progress.has_events());
        self.run_lost(&entry, path, loss, progress);
    }

    pub(super) fn run_lost(
        &mut self,
        entry: &Arc<UpstreamEntry>,
        path: SendPath,
        loss: Loss,
        progress: RunProgress,
    ) {
        self.lost_at.get_or_insert(self.gateway.timer.now());
        self.avoid.push(entry.id.clone());
        let produced_events = progress.has_events();
        let loss_name: &str = loss.into();
        tracing::warn!(request = %self.accepted.call.id, upstream = %entry.id, zone = %entry.zone,
            body = %BodyHex(self.accepted.attributes.body), parts = logged_parts(&self.accepted.call),
            loss = loss_name, produced_events, last_event = self.relay.last(),
            copy = self.copy.as_ref().map(|c| tracing::field::display(c.holder.id.clone())),
            "run of a stream lost");
        match loss {
            Loss::Broken if path.is_direct() => self.gateway.stream_broke(entry),
            // Not suspect: it runs, so the run counts as one of those that its route allows.
            Loss::TooLarge if path.is_direct() => self.gateway.record_call_outcome(entry, true),
            _ => {}
        }
        let Some(proof) = loss.crash_proof() else {
            return;
        };
        let proof = proof.max(CrashProof::of_broken(path));
        if proof == CrashProof::Unresponsive {
            self.unconfirmed_crashes
                .push(entry.clone(), progress.crash_phase());
        }
        self.gateway
            .run_of_call_lost(entry, &self.accepted.attributes, progress, proof);
    }

    /// Takes a usable KV copy of the previous or of the doubtful run.
    pub(super) fn take_copy(&mut self) -> Option<KvCopy> {
        let (gateway, accepted) = (self.gateway.clone(), self.accepted.clone());
        let has_room = |copy: &KvCopy| gateway.take_room(&accepted, &copy.holder);
        if let Some(copy) = self.copy.take() {
            return (copy.is_usable() && has_room(&copy)).then_some(copy);
        }
        self.doubtful_copies.as_mut()?.take_best(true, has_room)
    }

    /// Ends the stream while its run waits in an upstream. The connection is closed, so that the upstream does
    /// not run it.
    pub(super) fn withdraw(&mut self, cause: &CallAttribute) -> StreamStop {
        self.active = None;
        tracing::warn!(request = %self.accepted.call.id,
            body = %BodyHex(self.accepted.attributes.body), %cause,
            upstream = self.ran_on.last().map(tracing::field::display),
            "waiting call withdrawn: upstreams crashed under its body or a part");
        StreamStop::Cut(StreamCut::Poisoned)
    }
}
