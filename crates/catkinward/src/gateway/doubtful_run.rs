//! Keeps a run of a stream that may have failed, until it goes on, is lost for certain, or another upstream has taken
//! the stream.

use super::{
    kv_copy_manager::KvCopyManager,
    reply_log::millis,
    run_guard::RunGuard,
    sent_run::{SentRun, accepts_call},
    stream_call::StreamStop,
    stream_run::{ActiveRun, Loss, StreamRun},
    stream_send::NoSend,
    successor_check::SuccessorCheck,
    *,
};

/// A run that may have failed.
pub(super) enum DoubtfulRun {
    /// Its upstream has not responded yet.
    Sent(SentRun),
    /// Its upstream has responded.
    Active(ActiveRun),
}

/// What happened to a doubtful run.
enum RunEvent {
    Response(Result<UpstreamResponse, SendError>),
    Bytes(Bytes),
    Complete,
    Lost(Loss),
}

/// What happened while a run was doubtful.
enum Event {
    Run(RunEvent),
    /// The search for a successor ended.
    Searched(Result<Box<SentRun>, NoSend>),
    Successor(RunEvent),
    /// A decision is due.
    Due,
    /// Upstreams crashed under the same body or part.
    Forbidden(CallAttribute),
    TimedOut,
}

/// Why a run is doubtful, and since when.
#[derive(Clone, Copy)]
struct Doubt {
    loss: Loss,
    began: Instant,
    /// Whether an earlier run was lost and the caller has received no event since.
    resuming: bool,
}

impl DoubtfulRun {
    fn guard(&self) -> &RunGuard {
        match self {
            Self::Sent(run) => &run.guard,
            Self::Active(run) => &run.guard,
        }
    }

    fn has_events(&self) -> bool {
        match self {
            Self::Sent(_) => false,
            Self::Active(run) => run.progress.has_events(),
        }
    }

    async fn next(&mut self) -> RunEvent {
        match self {
            Self::Sent(run) => tokio::select! {
                biased;
                response = &mut run.response => RunEvent::Response(response),
                () = run.guard.process_ended() => RunEvent::Lost(Loss::ProcessEnded),
            },
            Self::Active(run) => tokio::select! {
                biased;
                chunk = run.body.next() => match chunk {
                    Some(Ok(bytes)) => RunEvent::Bytes(bytes),
                    Some(Err(error)) => RunEvent::Lost(error.into()),
                    None if run.is_broken_off() => RunEvent::Lost(Loss::Torn),
                    None => RunEvent::Complete,
                },
                () = run.guard.process_ended() => RunEvent::Lost(Loss::ProcessEnded),
            },
        }
    }
}

impl RunEvent {
    fn sign(&self) -> RunSign {
        match self {
            Self::Response(response) if !accepts_call(response) => RunSign::End,
            Self::Response(_) | Self::Bytes(_) | Self::Complete => RunSign::Data,
            Self::Lost(_) => RunSign::End,
        }
    }
}

impl StreamRun {
    /// Keeps a run that may have failed while a successor is looked for. Afterwards the stream has an active or a sent
    /// run, or none and may be sent again.
    pub(super) async fn resolve_doubt(
        &mut self,
        mut run: DoubtfulRun,
        loss: Loss,
    ) -> Result<(), StreamStop> {
        let doubt = self.begin_doubt(&mut run, loss);
        let mut search = RunDoubt::new(self.accepted.route.kind, doubt.began);
        let mut successor: Option<SentRun> = None;
        let mut check: Option<SuccessorCheck> = None;
        loop {
            let state = state_of(successor.as_ref());
            let now = self.gateway.timer.now();
            let answered = check.as_ref().is_none_or(SuccessorCheck::has_answered);
            let Some(decision) = search.decide_silent(state, answered, now) else {
                if let Some(sent) = successor.take() {
                    self.cancel_unresponsive(sent);
                }
                check = None;
                search.end_search(now);
                self.log_kept(&run, doubt, "successor_silent");
                continue;
            };
            let event = match decision {
                RunDecision::Search => self.search(&mut run).await,
                RunDecision::Keep { until } => {
                    self.watch(&mut run, successor.as_mut(), check.as_mut(), until)
                        .await
                }
                RunDecision::HandOver | RunDecision::GoOn | RunDecision::Lost => {
                    if let Some(sent) = &successor {
                        self.hand_over(run, doubt, sent);
                    }
                    self.sent = successor;
                    return Ok(());
                }
            };
            let now = self.gateway.timer.now();
            match event {
                Event::Run(event) => {
                    return match search.decide(event.sign(), state, now) {
                        RunDecision::GoOn => self.go_on(run, event, doubt, successor),
                        _ => self.lose_doubtful_run(run, event, doubt, successor),
                    };
                }
                Event::Searched(Ok(sent)) => {
                    let (entry, path) = sent.target();
                    check = Some(SuccessorCheck::start(&self.gateway, &entry, path));
                    successor = Some(*sent);
                }
                Event::Searched(Err(reason)) => {
                    search.end_search(now);
                    self.log_kept(&run, doubt, reason.into());
                }
                Event::Successor(event) => {
                    let Some(sent) = successor.take() else {
                        continue;
                    };
                    match event {
                        RunEvent::Response(response) if accepts_call(&response) => {
                            self.hand_over(run, doubt, &sent);
                            return self.handle_outcome(sent, response);
                        }
                        RunEvent::Response(response) => self.handle_outcome(sent, response)?,
                        _ => self.lose_sent_run(sent, Loss::ProcessEnded)?,
                    }
                    // An upstream that the call did not reach is no reason to wait.
                    if !self.retry_prepaid {
                        search.record_refusal(now);
                    }
                    self.log_kept(&run, doubt, "upstream_refused");
                }
                Event::Due => {}
                Event::Forbidden(cause) => {
                    if let Some(sent) = &mut successor {
                        self.record_run(sent);
                    }
                    if !run.has_events() {
                        return Err(self.withdraw(&cause));
                    }
                    successor = None;
                    search.end_search(now);
                    self.log_kept(&run, doubt, "poisoned");
                }
                Event::TimedOut => return Err(StreamStop::TimedOut),
            }
        }
    }

    fn begin_doubt(&mut self, run: &mut DoubtfulRun, loss: Loss) -> Doubt {
        let now = self.gateway.timer.now();
        let silence = match run {
            DoubtfulRun::Sent(run) => {
                self.record_run(run);
                now.since(run.sent_at)
            }
            DoubtfulRun::Active(run) => {
                if run.progress.has_events() {
                    let none = KvCopyManager::new(&self.gateway, None);
                    self.doubtful_copies = Some(std::mem::replace(&mut run.copies, none));
                }
                run.last_data_at.elapsed()
            }
        };
        metrics::counter!("catkin_runs_doubtful_total").increment(1);
        let (entry, reason): (_, &str) = (&run.guard().entry, loss.into());
        tracing::warn!(request = %self.accepted.call.id, upstream = %entry.id, zone = %entry.zone,
            reason, silent_ms = millis(silence), sends = self.sends,
            last_event = self.relay.last(), resumable = self.accepted.route.kind.may_retry(),
            "run of a stream is doubtful");
        Doubt {
            loss,
            began: now,
            resuming: self.lost_at.is_some(),
        }
    }

    /// Looks for a successor of a doubtful run.
    async fn search(&mut self, run: &mut DoubtfulRun) -> Event {
        let time_left = self.accepted.time_left(self.gateway.timer.now());
        let (gateway, attributes) = (self.gateway.clone(), self.accepted.attributes.clone());
        let doubtful = (run.guard().entry.id.clone(), run.guard().path);
        let has_events = run.has_events();
        tokio::select! {
            biased;
            event = run.next() => Event::Run(event),
            cause = gateway.resend_forbidden(&attributes), if !has_events => Event::Forbidden(cause),
            () = tokio::time::sleep(time_left) => Event::TimedOut,
            sent = self.prepare(Some(&doubtful)) => Event::Searched(sent.map(Box::new)),
        }
    }

    /// Waits for a doubtful run and its successor.
    async fn watch(
        &mut self,
        run: &mut DoubtfulRun,
        mut successor: Option<&mut SentRun>,
        check: Option<&mut SuccessorCheck>,
        until: Option<Instant>,
    ) -> Event {
        let now = self.gateway.timer.now();
        let time_left = self.accepted.time_left(now);
        let until = until.map_or(time_left, |until| until.since(now));
        let withdrawable =
            self.accepted.route.kind.may_retry() && (!run.has_events() || successor.is_some());
        let response = async {
            let Some(sent) = &mut successor else {
                return std::future::pending().await;
            };
            tokio::select! {
                response = &mut sent.response => RunEvent::Response(response),
                () = sent.guard.process_ended() => RunEvent::Lost(Loss::ProcessEnded),
            }
        };
        let answered = async {
            match check {
                Some(check) => check.wait().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            event = run.next() => Event::Run(event),
            event = response => Event::Successor(event),
            () = answered => Event::Due,
            cause = self.gateway.resend_forbidden(&self.accepted.attributes), if withdrawable => {
                Event::Forbidden(cause)
            }
            () = tokio::time::sleep(time_left) => Event::TimedOut,
            () = tokio::time::sleep(until) => Event::Due,
        }
    }

    /// Cancels a successor whose upstream has not answered a health check.
    fn cancel_unresponsive(&mut self, mut sent: SentRun) {
        self.record_run(&mut sent);
        self.avoid.push(sent.guard.entry.id.clone());
    }

    /// Goes on with a run that was doubtful. Its successor, if there is one, is cancelled.
    fn go_on(
        &mut self,
        run: DoubtfulRun,
        event: RunEvent,
        doubt: Doubt,
        successor: Option<SentRun>,
    ) -> Result<(), StreamStop> {
        let cancelled = successor.map(|mut sent| {
            self.record_run(&mut sent);
            sent.guard.entry.id.clone()
        });
        if !doubt.resuming {
            self.lost_at = None;
        }
        let ms = millis(self.gateway.timer.now().since(doubt.began));
        tracing::info!(request = %self.accepted.call.id, upstream = %run.guard().entry.id, ms,
            cancelled = cancelled.as_ref().map(tracing::field::display),
            "doubtful run of a stream goes on");
        match (run, event) {
            (DoubtfulRun::Sent(sent), RunEvent::Response(response)) => {
                self.handle_outcome(sent, response)
            }
            (DoubtfulRun::Active(mut active), event) => {
                active.record_data();
                if !matches!(event, RunEvent::Bytes(_)) {
                    active.body = futures::stream::empty().boxed();
                }
                self.restore(active);
                match event {
                    RunEvent::Bytes(bytes) => self.push(&bytes),
                    _ => Ok(()),
                }
            }
            (DoubtfulRun::Sent(_), _) => Ok(()),
        }
    }

    /// Handles the certain loss of a doubtful run. Its successor goes on, if there is one.
    fn lose_doubtful_run(
        &mut self,
        run: DoubtfulRun,
        event: RunEvent,
        doubt: Doubt,
        successor: Option<SentRun>,
    ) -> Result<(), StreamStop> {
        self.lost_at.get_or_insert(doubt.began);
        match (run, event) {
            (DoubtfulRun::Sent(sent), RunEvent::Response(response)) => {
                self.handle_outcome(sent, response)?;
            }
            (DoubtfulRun::Sent(sent), RunEvent::Lost(loss)) => self.lose_sent_run(sent, loss)?,
            (DoubtfulRun::Active(active), RunEvent::Lost(loss)) => {
                self.restore(active);
                self.lose_active_run(loss)?;
            }
            _ => {}
        }
        self.sent = successor;
        Ok(())
    }

    /// Closes a doubtful run, because its successor has the stream.
    fn hand_over(&mut self, run: DoubtfulRun, doubt: Doubt, successor: &SentRun) {
        let entry = run.guard().entry.clone();
        let ms = millis(self.gateway.timer.now().since(doubt.began));
        self.lost_at.get_or_insert(doubt.began);
        match run {
            DoubtfulRun::Sent(run) => self.close_sent_run(run, doubt.loss),
            DoubtfulRun::Active(active) => {
                self.restore(active);
                self.close_active_run(doubt.loss);
                // The successor has its copy already.
                self.copy = None;
            }
        }
        metrics::counter!("catkin_runs_handed_over_total").increment(1);
        tracing::info!(request = %self.accepted.call.id, upstream = %entry.id, ms,
            successor = %successor.guard.entry.id, sends = self.sends, "doubtful run of a stream handed over");
    }

    fn restore(&mut self, mut active: ActiveRun) {
        if let Some(copies) = self.doubtful_copies.take() {
            active.copies = copies;
        }
        self.active = Some(active);
    }

    fn log_kept(&self, run: &DoubtfulRun, doubt: Doubt, reason: &str) {
        let now = self.gateway.timer.now();
        if self.gateway.log.admits(LineKind::Belief, now) {
            tracing::info!(request = %self.accepted.call.id, upstream = %run.guard().entry.id,
                reason, sends = self.sends, ms = millis(now.since(doubt.began)),
                "doubtful run of a stream kept: no other upstream takes it");
        }
    }
}

fn state_of(successor: Option<&SentRun>) -> SuccessorState {
    successor.map_or(SuccessorState::None, |sent| {
        SuccessorState::Sent(sent.sent_at)
    })
}
