use super::{
    accepted_call::AcceptedCall,
    lost_run::CrashProof,
    receive_limits::{HeldResponse, complete_answer, counted_len},
    reply_log::{BodyHex, millis},
    retries::CALL_RETRY_TIMEOUT,
    run_guard::{FailOverReason, RunGuard},
    run_progress::RunProgress,
    upstream_transport::CONNECT_TIMEOUT,
    *,
};

/// Number of sends of a call allowed beyond one per zone with upstreams of its service, including refused ones. One
/// full upstream in each zone must not end the call.
const EXTRA_SENDS: u32 = 2;

/// Minimum retry delay for the caller after all upstreams refused: the duration of a few calls, in which slots
/// become free. It is randomized so that callers refused together do not retry together.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Fraction of the remaining time after which an idempotent call without a response is sent to another
/// upstream, because the connection may be dead although the upstream lives. Calls take a twentieth of
/// their time; the rest is left for the second send.
const STALL_FRACTION: f64 = 0.5;

/// Outcome of a send.
pub(super) enum Sent {
    /// The upstream responded; the reply is for the caller.
    Answered(Reply),
    /// The upstream failed; its response goes to the caller unless another upstream succeeds.
    Failed(Reply),
    /// The call has not run.
    NotRun(NotRunEvidence),
    /// The upstream was silent, and another one has taken the call.
    HandedOver,
    /// The call may have run.
    Lost,
    /// Upstreams crashed under the same body, so the call was withdrawn.
    Withdrawn,
    /// The deadline passed.
    TimedOut,
}

/// Serves a call whose response is buffered completely before the caller gets any of it, so that a truncated
/// response can still be replaced by that of another upstream.
pub(crate) async fn call_buffered(gateway: &Arc<Gateway>, accepted: AcceptedCall) -> Reply {
    let max_sends = gateway.zones_with(&accepted.service) + EXTRA_SENDS;
    BufferedCall {
        gateway: gateway.clone(),
        accepted,
        avoid: Vec::new(),
        sends: 0,
        max_sends,
        retry_prepaid: false,
        unopened: UnopenedConnections::default(),
        runs: 0,
        failure: None,
    }
    .serve()
    .await
}

pub(super) struct BufferedCall {
    pub(super) gateway: Arc<Gateway>,
    pub(super) accepted: AcceptedCall,
    /// Upstreams that the call was already sent to.
    avoid: Vec<UpstreamIncarnation>,
    pub(super) sends: u32,
    max_sends: u32,
    /// Whether the next send takes nothing from the retry budget, because the previous one did not arrive.
    pub(super) retry_prepaid: bool,
    /// Connections for this call that could not be opened.
    unopened: UnopenedConnections,
    /// Number of upstreams that may have run the call.
    runs: u32,
    /// Response of an upstream that failed.
    pub(super) failure: Option<Reply>,
}

/// A send whose response is awaited. Dropping it closes the connection.
pub(super) struct PendingSend {
    pub(super) guard: RunGuard,
    pub(super) response: BoxFuture<'static, Result<CollectedResponse, SendError>>,
    pub(super) sent_at: Instant,
    /// When the call counts as stalled.
    pub(super) stalls_at: tokio::time::Instant,
    /// Whether the upstream counts as one that may have run the call.
    recorded: bool,
}

/// What a send came to.
pub(super) struct Awaited {
    pub(super) sent: Sent,
    /// Send to another upstream that the call goes on with.
    pub(super) successor: Option<PendingSend>,
    /// Whether the call was sent to another upstream meanwhile.
    pub(super) resent: bool,
}

impl From<Sent> for Awaited {
    fn from(sent: Sent) -> Self {
        Self {
            sent,
            successor: None,
            resent: false,
        }
    }
}

impl BufferedCall {
    async fn serve(mut self) -> Reply {
        let queued = Queued::new(self.accepted.call.id.clone());
        self.gateway.wait_for_rollout(&self.accepted.service).await;
        let trial = self.gateway.select_canary_upstream(&self.accepted);
        let first = trial.or_else(|| self.gateway.select(&self.accepted, &[], &[]));
        let Some(entry) = first else {
            return self.refused(queued, RefusalReason::NoUpstream);
        };
        let mut dispatched = queued.dispatch();
        let mut pending = self.send(entry);
        loop {
            let awaited = self.await_response(pending).await;
            if awaited.resent {
                dispatched = dispatched.unknown().dispatch_again();
            }
            let sent = match awaited.sent {
                Sent::Failed(reply) => {
                    self.failure = Some(reply);
                    Sent::Lost
                }
                sent => sent,
            };
            if let Some(successor) = awaited.successor {
                pending = successor;
                continue;
            }
            let next;
            (dispatched, next) = match sent {
                Sent::Answered(reply) => {
                    self.gateway.record_delivery(&self.accepted.attributes);
                    return reply;
                }
                Sent::TimedOut => return Reply::TimedOut,
                Sent::Withdrawn => return self.failure.unwrap_or(Reply::Unknown),
                Sent::NotRun(evidence) => match dispatched.not_run(evidence) {
                    Ok(queued) => match self.next_upstream().await {
                        Some(next) => (queued.dispatch(), next),
                        None => return self.refused(queued, RefusalReason::UpstreamRefused),
                    },
                    Err(unknown) => match self.next_upstream().await {
                        Some(next) => (unknown.dispatch_again(), next),
                        None => return self.failure.unwrap_or(Reply::Unknown),
                    },
                },
                Sent::Lost | Sent::Failed(_) | Sent::HandedOver => {
                    match self.next_for_retry().await {
                        Some(next) => (dispatched.unknown().dispatch_again(), next),
                        None => return self.failure.unwrap_or(Reply::Unknown),
                    }
                }
            };
            pending = self.send(next);
        }
    }

    /// Refuses the call, because of back-offs or limits if they are the reason.
    fn refused(&self, queued: Queued<RequestId>, reason: RefusalReason) -> Reply {
        let not_run = if let Some(delay) = self.gateway.back_off_retry_after(&self.accepted) {
            queued.refuse(RefusalReason::BackOff, delay)
        } else if let Some(delay) = self.gateway.limit_retry_after(&self.accepted) {
            queued.refuse(RefusalReason::Limit, delay)
        } else {
            let spread = 1.0 + 2.0 * rand::random::<f64>();
            queued.refuse(reason, REFUSED_RETRY_AFTER.mul_f64(spread))
        };
        Reply::NotRun { not_run }
    }

    /// Selects the next upstream of a call that may have run; `None` if the route forbids a retry, its
    /// maximum number of upstreams is reached, or no upstream, time, sends or retry budget is left.
    pub(super) async fn next_for_retry(&mut self) -> Option<Arc<UpstreamEntry>> {
        let retryable = self.accepted.route.kind.may_retry();
        if !retryable || self.runs >= self.accepted.route.max_upstreams {
            return None;
        }
        self.next_upstream().await
    }

    async fn next_upstream(&mut self) -> Option<Arc<UpstreamEntry>> {
        let now = self.gateway.timer.now();
        if self.sends >= self.max_sends || self.accepted.time_left(now).is_zero() {
            return None;
        }
        let AcceptedCall {
            call, attributes, ..
        } = &self.accepted;
        if self.gateway.refuse_resend(attributes, &call.id).is_some() {
            return None;
        }
        let next = self.gateway.select(&self.accepted, &self.avoid, &[])?;
        let paid = self.retry_prepaid
            || self
                .gateway
                .take_retry(&self.accepted.service, CALL_RETRY_TIMEOUT)
                .await;
        paid.then_some(next)
    }

    /// Sends the call to an upstream.
    pub(super) fn send(&mut self, entry: Arc<UpstreamEntry>) -> PendingSend {
        self.sends += 1;
        self.retry_prepaid = false;
        self.avoid.push(entry.id.clone());
        let gateway = self.gateway.clone();
        let path = gateway.path_to(&entry, &self.unopened);
        let guard = RunGuard::begin(&gateway, entry.clone(), self.accepted.call.size(), 0, path);
        let sent_at = gateway.timer.now();
        let time_left = self.accepted.time_left(sent_at);
        self.log_sent(&entry, path, time_left);
        let call = UpstreamCall {
            call: self.accepted.call.clone(),
            entry: entry.clone(),
            team: self.accepted.team.clone(),
            priority: self.accepted.priority,
            time_left,
            last_event: None,
            copy_to: None,
            copy_from: None,
            path,
            max_idle: self.accepted.max_idle(),
            connect_timeout: CONNECT_TIMEOUT,
            gate: gateway.gate_for_call(&self.accepted, &entry, path),
        };
        let response = async move {
            let response = (gateway.transport.send)(call).await?;
            if !response.other_incarnation {
                gateway.upstream_responded_over(path, &entry);
            }
            collect(response, HeldResponse::new(&gateway, &entry)).await
        };
        PendingSend {
            guard,
            response: Box::pin(response),
            sent_at,
            stalls_at: tokio::time::Instant::now() + time_left.mul_f64(STALL_FRACTION),
            recorded: false,
        }
    }

    async fn await_response(&mut self, mut pending: PendingSend) -> Awaited {
        let time_left = self.accepted.time_left(self.gateway.timer.now());
        let deadline = tokio::time::Instant::now() + time_left;
        let retryable = self.accepted.route.kind.may_retry();
        let fault = loop {
            tokio::select! {
                biased;
                response = &mut pending.response => return self.finish(pending, response).into(),
                reason = pending.guard.failed_over() => match reason {
                    FailOverReason::ProcessEnded => return self.lose(pending).into(),
                    FailOverReason::Unresponsive if retryable => break SendError::Silent,
                    // A non-idempotent call stays with its upstream, which may still respond.
                    FailOverReason::Unresponsive => {}
                },
                cause = self.gateway.resend_forbidden(&self.accepted.attributes), if retryable => {
                    return self.withdraw(&pending, &cause).into();
                }
                () = tokio::time::sleep_until(pending.stalls_at), if retryable => {
                    break SendError::Stalled;
                }
                () = tokio::time::sleep_until(deadline) => return Sent::TimedOut.into(),
            }
        };
        self.resolve_doubt(pending, fault).await
    }

    /// Ends a call that waits in an upstream. The connection is closed, so that the upstream does not run it.
    pub(super) fn withdraw(&self, pending: &PendingSend, cause: &CallAttribute) -> Sent {
        tracing::warn!(request = %self.accepted.call.id, upstream = %pending.guard.entry.id,
            body = %BodyHex(self.accepted.attributes.body), %cause,
            "waiting call withdrawn: upstreams crashed under its body or a part");
        Sent::Withdrawn
    }

    /// Handles the response to a send, or the failure of its connection.
    pub(super) fn finish(
        &mut self,
        mut pending: PendingSend,
        response: Result<CollectedResponse, SendError>,
    ) -> Sent {
        let (entry, path) = (pending.guard.entry.clone(), pending.guard.path);
        let sent = match response {
            Ok(response) => {
                let sent = self.classify_response(&entry, response);
                self.record_outcome(&entry, &sent, pending.sent_at);
                sent
            }
            Err(error) => self.handle_send_error(&entry, path, error),
        };
        match sent {
            Sent::Lost | Sent::Failed(_) => self.record_run(&mut pending),
            Sent::NotRun(_) if pending.recorded => self.runs -= 1,
            _ => {}
        }
        if path.is_direct() && !self.gateway.is_backing_off(&entry.id) {
            let failed = !matches!(sent, Sent::Answered(_));
            self.gateway.record_call_outcome(&entry, failed);
        }
        sent
    }

    /// Handles the end of the process to which the call was sent.
    pub(super) fn lose(&mut self, mut pending: PendingSend) -> Sent {
        self.record_run(&mut pending);
        self.close(&pending, SendError::Lost);
        Sent::Lost
    }

    /// Records that the upstream of a send may have run the call.
    pub(super) fn record_run(&mut self, pending: &mut PendingSend) {
        if !std::mem::replace(&mut pending.recorded, true) {
            self.runs += 1;
        }
    }

    /// Records that a send without a response is given up.
    pub(super) fn close(&self, pending: &PendingSend, fault: SendError) {
        let entry = &pending.guard.entry;
        self.log_send_error(entry, pending.guard.path, fault);
        if fault != SendError::Stalled {
            let (call, proof) = (&self.accepted.attributes, CrashProof::ProcessEnded);
            let progress = RunProgress::default();
            self.gateway.run_of_call_lost(entry, call, progress, proof);
        }
        if pending.guard.path.is_direct() && !self.gateway.is_backing_off(&entry.id) {
            self.gateway.record_call_outcome(entry, true);
        }
    }

    fn record_outcome(&self, entry: &UpstreamEntry, sent: &Sent, start: Instant) {
        let outcome = match sent {
            Sent::Answered(_) => ResponseOutcome::Success(self.gateway.timer.now().since(start)),
            Sent::Failed(_) => ResponseOutcome::Failure,
            _ => return,
        };
        self.gateway
            .record_rollout_response(&self.accepted, entry, outcome);
    }

    fn classify_response(&self, entry: &Arc<UpstreamEntry>, response: CollectedResponse) -> Sent {
        let CollectedResponse { head, body } = response;
        if head.other_incarnation {
            self.gateway.upstream_replaced(entry, None);
            return Sent::NotRun(NotRunEvidence::UpstreamRefused);
        }
        if head.not_executed {
            return Sent::NotRun(NotRunEvidence::UpstreamRefused);
        }
        let status = head.status;
        // These statuses tell the caller that the call has not run, which this upstream did not state. A
        // success without a signature does not count as a success.
        if promises_not_run(status) || (status.is_success() && !head.signed) {
            return Sent::Lost;
        }
        let reply = Reply::Whole {
            status,
            headers: head.headers,
            body,
        };
        if status.is_server_error() {
            tracing::warn!(request = %self.accepted.call.id, upstream = %entry.id,
                status = status.as_u16(), "upstream responded with a server error");
            return Sent::Failed(reply);
        }
        Sent::Answered(reply)
    }

    fn handle_send_error(
        &mut self,
        entry: &Arc<UpstreamEntry>,
        path: SendPath,
        error: SendError,
    ) -> Sent {
        self.log_send_error(entry, path, error);
        match (error, path) {
            (SendError::Withheld, _) => {
                self.retry_prepaid = true;
                self.sends -= 1;
                Sent::NotRun(NotRunEvidence::Withheld)
            }
            (SendError::NoConnection, SendPath::Through(other)) => {
                self.retry_prepaid = true;
                self.unopened.through.push(other);
                self.avoid.retain(|id| *id != entry.id);
                Sent::NotRun(NotRunEvidence::NoConnection)
            }
            (SendError::NoConnection, SendPath::Direct) => {
                // Nothing was sent, so the next send does not count as another retry.
                self.retry_prepaid = true;
                self.unopened.direct = true;
                self.gateway.stream_broke(entry);
                Sent::NotRun(NotRunEvidence::NoConnection)
            }
            (SendError::Lost, _) => {
                let (call, proof) = (&self.accepted.attributes, CrashProof::of_broken(path));
                let progress = RunProgress::default();
                self.gateway.run_of_call_lost(entry, call, progress, proof);
                Sent::Lost
            }
            (
                SendError::Crossed | SendError::TooLarge | SendError::Stalled | SendError::Silent,
                _,
            ) => Sent::Lost,
        }
    }

    fn log_send_error(&self, entry: &UpstreamEntry, path: SendPath, error: SendError) {
        let fault: &str = error.into();
        tracing::warn!(request = %self.accepted.call.id, upstream = %entry.id, fault,
            through = path.through().map(tracing::field::display), "call failed");
    }

    fn log_sent(&self, entry: &UpstreamEntry, path: SendPath, time_left: Duration) {
        if self
            .gateway
            .log
            .admits(LineKind::Sent, self.gateway.timer.now())
        {
            tracing::info!(request = %self.accepted.call.id, upstream = %entry.id,
                zone = %entry.zone, send = self.sends, left_ms = millis(time_left),
                through = path.through().map(tracing::field::display), "sent");
        }
    }
}

/// Whether a status tells the caller that its call has not run and will not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// A response with its complete body.
pub(super) struct CollectedResponse {
    head: CollectedHead,
    body: Bytes,
}

struct CollectedHead {
    status: StatusCode,
    headers: HeaderMap,
    signed: bool,
    not_executed: bool,
    other_incarnation: bool,
}

async fn collect(
    response: UpstreamResponse,
    mut memory: HeldResponse,
) -> Result<CollectedResponse, SendError> {
    let head = CollectedHead {
        status: response.status,
        headers: response.headers,
        signed: response.signed,
        not_executed: response.not_executed,
        other_incarnation: response.other_incarnation,
    };
    let mut chunks = response.body;
    // Parts are joined at the end: a buffer that grows takes up to three times the memory.
    let (mut parts, mut counted) = (Vec::new(), 0);
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk?;
        counted += counted_len(&chunk);
        let recorded = memory.record(counted).await;
        recorded.map_err(|_| SendError::TooLarge)?;
        parts.push(chunk);
    }
    let body = complete_answer(parts.concat(), memory);
    Ok(CollectedResponse { head, body })
}
