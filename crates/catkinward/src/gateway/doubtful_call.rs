//! Keeps a send of a buffered call that may have failed, until its response arrives, it is lost for certain, or
//! another upstream has taken the call.

use super::{
    buffered_call::{Awaited, BufferedCall, CollectedResponse, PendingSend, Sent},
    reply_log::millis,
    run_guard::FailOverReason,
    successor_check::SuccessorCheck,
    *,
};

/// What happened while a send was doubtful.
enum Event {
    Response(Result<CollectedResponse, SendError>),
    ProcessEnded,
    /// The search for another upstream ended.
    Searched(Option<Arc<UpstreamEntry>>),
    Successor(Result<CollectedResponse, SendError>),
    SuccessorEnded,
    /// The successor is doubtful in its turn.
    SuccessorSilent,
    /// A decision is due.
    Due,
    /// Upstreams crashed under the same body or part.
    Forbidden(CallAttribute),
    TimedOut,
}

impl BufferedCall {
    /// Keeps a send that may have failed while the call is sent to another upstream.
    pub(super) async fn resolve_doubt(
        &mut self,
        mut pending: PendingSend,
        fault: SendError,
    ) -> Awaited {
        let began = self.gateway.timer.now();
        self.record_run(&mut pending);
        self.log_doubt(&pending, fault);
        let mut search = RunDoubt::new(self.accepted.route.kind, began);
        let mut successor: Option<PendingSend> = None;
        let mut check: Option<SuccessorCheck> = None;
        let mut resent = false;
        let sent = loop {
            let state = state_of(successor.as_ref());
            let now = self.gateway.timer.now();
            let answered = check.as_ref().is_none_or(SuccessorCheck::has_answered);
            let Some(decision) = search.decide_silent(state, answered, now) else {
                self.cancel(successor.take());
                search.end_search(now);
                self.log_kept(&pending, "successor_silent", began);
                continue;
            };
            let event = match decision {
                RunDecision::Search => self.search(&mut pending).await,
                RunDecision::Keep { until } => {
                    self.watch(&mut pending, successor.as_mut(), check.as_mut(), until)
                        .await
                }
                RunDecision::HandOver | RunDecision::GoOn | RunDecision::Lost => {
                    self.hand_over(&pending, successor.as_ref(), fault, began);
                    break Sent::HandedOver;
                }
            };
            let now = self.gateway.timer.now();
            match event {
                Event::Response(response) => {
                    let sent = self.finish(pending, response);
                    if matches!(sent, Sent::Answered(_)) {
                        self.log_answered(successor.as_ref(), began);
                        successor = None;
                    }
                    break sent;
                }
                Event::ProcessEnded => {
                    break self.lose(pending);
                }
                Event::Searched(Some(entry)) => {
                    resent = true;
                    let sent = successor.insert(self.send(entry));
                    check = Some(self.check(sent));
                }
                Event::Searched(None) => {
                    search.end_search(now);
                    self.log_kept(&pending, "no_upstream_or_budget", began);
                }
                Event::Successor(response) => {
                    let Some(sent) = successor.take() else {
                        continue;
                    };
                    match self.finish(sent, response) {
                        Sent::Answered(reply) => {
                            self.hand_over(&pending, None, fault, began);
                            return Awaited {
                                resent,
                                ..Sent::Answered(reply).into()
                            };
                        }
                        Sent::Failed(reply) => self.failure = Some(reply),
                        _ => {}
                    }
                    // An upstream that the call did not reach is no reason to wait.
                    if !self.retry_prepaid {
                        search.record_refusal(now);
                    }
                    self.log_kept(&pending, "upstream_refused", began);
                }
                Event::SuccessorEnded => {
                    if let Some(sent) = successor.take() {
                        self.lose(sent);
                    }
                    search.record_refusal(now);
                }
                Event::SuccessorSilent => {
                    self.cancel(successor.take());
                    search.record_refusal(now);
                }
                Event::Due => {}
                Event::Forbidden(cause) => return self.withdraw(&pending, &cause).into(),
                Event::TimedOut => return Sent::TimedOut.into(),
            }
        };
        Awaited {
            sent,
            successor,
            resent,
        }
    }

    /// Selects another upstream.
    async fn search(&mut self, pending: &mut PendingSend) -> Event {
        let time_left = self.accepted.time_left(self.gateway.timer.now());
        let (gateway, attributes) = (self.gateway.clone(), self.accepted.attributes.clone());
        tokio::select! {
            biased;
            response = &mut pending.response => Event::Response(response),
            () = pending.guard.process_ended() => Event::ProcessEnded,
            cause = gateway.resend_forbidden(&attributes) => Event::Forbidden(cause),
            () = tokio::time::sleep(time_left) => Event::TimedOut,
            next = self.next_for_retry() => Event::Searched(next),
        }
    }

    /// Waits for a doubtful send and its successor.
    async fn watch(
        &mut self,
        pending: &mut PendingSend,
        mut successor: Option<&mut PendingSend>,
        check: Option<&mut SuccessorCheck>,
        until: Option<Instant>,
    ) -> Event {
        let now = self.gateway.timer.now();
        let time_left = self.accepted.time_left(now);
        let until = until.map_or(time_left, |until| until.since(now));
        let response = async {
            let Some(sent) = &mut successor else {
                return std::future::pending().await;
            };
            tokio::select! {
                biased;
                response = &mut sent.response => Event::Successor(response),
                reason = sent.guard.failed_over() => match reason {
                    FailOverReason::ProcessEnded => Event::SuccessorEnded,
                    FailOverReason::Unresponsive => Event::SuccessorSilent,
                },
                () = tokio::time::sleep_until(sent.stalls_at) => Event::SuccessorSilent,
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
            response = &mut pending.response => Event::Response(response),
            event = response => event,
            () = answered => Event::Due,
            () = pending.guard.process_ended() => Event::ProcessEnded,
            cause = self.gateway.resend_forbidden(&self.accepted.attributes) => {
                Event::Forbidden(cause)
            }
            () = tokio::time::sleep(time_left) => Event::TimedOut,
            () = tokio::time::sleep(until) => Event::Due,
        }
    }

    fn check(&self, sent: &PendingSend) -> SuccessorCheck {
        SuccessorCheck::start(&self.gateway, &sent.guard.entry, sent.guard.path)
    }

    fn cancel(&mut self, successor: Option<PendingSend>) {
        if let Some(mut sent) = successor {
            self.record_run(&mut sent);
        }
    }

    fn hand_over(
        &self,
        pending: &PendingSend,
        successor: Option<&PendingSend>,
        fault: SendError,
        began: Instant,
    ) {
        self.close(pending, fault);
        metrics::counter!("catkin_runs_handed_over_total").increment(1);
        tracing::info!(request = %self.accepted.call.id, upstream = %pending.guard.entry.id,
            successor = successor.map(|sent| tracing::field::display(sent.guard.entry.id.clone())),
            sends = self.sends, ms = self.millis_since(began), "doubtful call handed over");
    }

    fn log_doubt(&self, pending: &PendingSend, fault: SendError) {
        metrics::counter!("catkin_runs_doubtful_total").increment(1);
        let (entry, reason): (_, &str) = (&pending.guard.entry, fault.into());
        tracing::warn!(request = %self.accepted.call.id, upstream = %entry.id, zone = %entry.zone,
            reason, silent_ms = self.millis_since(pending.sent_at), sends = self.sends,
            "call is doubtful");
    }

    fn log_answered(&self, cancelled: Option<&PendingSend>, began: Instant) {
        tracing::info!(request = %self.accepted.call.id, ms = self.millis_since(began),
            cancelled = cancelled.map(|sent| tracing::field::display(sent.guard.entry.id.clone())),
            "doubtful call got its response");
    }

    fn log_kept(&self, pending: &PendingSend, reason: &str, began: Instant) {
        if self
            .gateway
            .log
            .admits(LineKind::Belief, self.gateway.timer.now())
        {
            tracing::info!(request = %self.accepted.call.id, upstream = %pending.guard.entry.id,
                reason, sends = self.sends, ms = self.millis_since(began),
                "doubtful call kept: no other upstream takes it");
        }
    }

    fn millis_since(&self, began: Instant) -> u64 {
        millis(self.gateway.timer.now().since(began))
    }
}

fn state_of(successor: Option<&PendingSend>) -> SuccessorState {
    successor.map_or(SuccessorState::None, |sent| {
        SuccessorState::Sent(sent.sent_at)
    })
}
