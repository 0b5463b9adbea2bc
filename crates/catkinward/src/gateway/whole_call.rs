use super::{
    accepted_call::AcceptedCall, reply_log::millis, retries::CALL_RETRY_TIMEOUT,
    run_guard::RunGuard, upstream_transport::CONNECT_BOUND, *,
};
use std::pin::pin;

/// How often a call is sent at most beyond once to each zone that has upstreams of its service, refusals counted in:
/// one full upstream in each zone does not end it.
const SENDS_BEYOND_ZONES: u32 = 2;

/// Largest answer that is taken in whole. Answers of plain services have some kilobytes.
const LARGEST_ANSWER: usize = 8 << 20;

/// When a caller may come back after all upstreams refused: a few calls' time, in which places become
/// free, spread so that those refused together do not return together.
const REFUSED_RETRY: Duration = Duration::from_millis(100);

/// Time after which an idempotent call without an answer is sent elsewhere, as a part of the time that
/// it has: its connection may have gone silent for good although its upstream lives. Calls take a
/// twentieth of that time; the rest is left for the second send.
const STALL_PART: f64 = 0.5;

/// How a send ended.
enum Sent {
    /// With an answer for the caller.
    Answered(Reply),
    /// With an upstream's own failure, which the caller gets unless another upstream does better.
    Failed(Reply),
    /// It has not run.
    NotRun(NotRunEvidence),
    /// Without an answer for so long that it is sent to another upstream.
    Moved(Arc<UpstreamEntry>),
    /// It may have run.
    Lost,
    /// Its time is over.
    TimedOut,
}

/// Serves a call whose answer is taken in whole before the caller gets any of it, so that one that
/// breaks off can still be replaced.
pub(crate) async fn call_whole(gateway: &Arc<Gateway>, accepted: AcceptedCall) -> Reply {
    let most_sends = gateway.zones_with(&accepted.service) + SENDS_BEYOND_ZONES;
    WholeCall {
        gateway: gateway.clone(),
        accepted,
        avoid: Vec::new(),
        sends: 0,
        most_sends,
        send_paid: false,
        runs: 0,
    }
    .serve()
    .await
}

struct WholeCall {
    gateway: Arc<Gateway>,
    accepted: AcceptedCall,
    /// Upstreams that refused or failed it.
    avoid: Vec<UpstreamIncarnation>,
    sends: u32,
    most_sends: u32,
    /// Whether the next send is paid for: the one before did not arrive.
    send_paid: bool,
    runs: u32,
}

impl WholeCall {
    async fn serve(mut self) -> Reply {
        let queued = Queued::new(self.accepted.call.id.clone());
        self.gateway.wait_for_rollout(&self.accepted.service).await;
        let trial = self.gateway.place_trial(&self.accepted);
        let first = trial.or_else(|| self.gateway.select(&self.accepted, &[], &[]));
        let Some(mut entry) = first else {
            return refused(queued, RefusalReason::NoUpstream);
        };
        let mut dispatched = queued.dispatch();
        let mut failure = None;
        loop {
            let sent = self.send(&entry).await;
            dispatched = match sent {
                Sent::Moved(next) => {
                    entry = next;
                    dispatched.unknown().dispatch_again()
                }
                Sent::Answered(reply) => {
                    self.gateway.record_delivery(self.accepted.digest);
                    return reply;
                }
                Sent::TimedOut => return Reply::TimedOut,
                Sent::NotRun(evidence) => match dispatched.not_run(evidence) {
                    Ok(queued) => match self.next_upstream().await {
                        Some(next) => {
                            entry = next;
                            queued.dispatch()
                        }
                        None => return refused(queued, RefusalReason::UpstreamRefused),
                    },
                    Err(unknown) => match self.next_upstream().await {
                        Some(next) => {
                            entry = next;
                            unknown.dispatch_again()
                        }
                        None => return failure.unwrap_or(Reply::Unknown),
                    },
                },
                Sent::Lost | Sent::Failed(_) => {
                    self.runs += 1;
                    if let Sent::Failed(reply) = sent {
                        failure = Some(reply);
                    }
                    match self.next_for_repeat().await {
                        Some(next) => {
                            entry = next;
                            dispatched.unknown().dispatch_again()
                        }
                        None => return failure.unwrap_or(Reply::Unknown),
                    }
                }
            };
        }
    }

    /// Where a call goes that may have run: nowhere, unless it may be repeated.
    async fn next_for_repeat(&self) -> Option<Arc<UpstreamEntry>> {
        let repeat = self.accepted.route.kind.may_retry();
        if !repeat || self.runs >= self.accepted.route.max_upstreams {
            return None;
        }
        self.next_upstream().await
    }

    async fn next_upstream(&self) -> Option<Arc<UpstreamEntry>> {
        let now = self.gateway.timer.now();
        if self.sends >= self.most_sends || self.accepted.time_left(now).is_zero() {
            return None;
        }
        let next = self.gateway.select(&self.accepted, &self.avoid, &[])?;
        let paid = self.send_paid
            || self
                .gateway
                .take_retry(&self.accepted.service, CALL_RETRY_TIMEOUT)
                .await;
        paid.then_some(next)
    }

    async fn send(&mut self, entry: &Arc<UpstreamEntry>) -> Sent {
        self.sends += 1;
        self.send_paid = false;
        self.avoid.push(entry.id.clone());
        let gateway = self.gateway.clone();
        let mut guard = RunGuard::begin(&gateway, entry.clone(), 0);
        let start = gateway.timer.now();
        let time_left = self.accepted.time_left(start);
        self.log_sent(entry, time_left);
        let call = UpstreamCall {
            call: self.accepted.call.clone(),
            entry: entry.clone(),
            team: self.accepted.team.clone(),
            priority: self.accepted.priority,
            time_left,
            last_event: None,
            copy_to: None,
            copy_from: None,
            longest_idle: self.accepted.max_idle(),
            connect_bound: CONNECT_BOUND,
        };
        let repeat = self.accepted.route.kind.may_retry();
        let answer = async {
            let answer = (gateway.transport.send)(call).await?;
            gateway.upstream_responded(entry, answer.load);
            collect(answer).await
        };
        let mut answer = pin!(answer);
        let deadline = tokio::time::Instant::now() + time_left;
        let mut stalls_at = Some(deadline - time_left.mul_f64(1.0 - STALL_PART));
        let answer = loop {
            let stall = tokio::time::sleep_until(stalls_at.unwrap_or(deadline));
            tokio::select! {
                answer = &mut answer => break answer,
                // A call that runs once at most stays with its upstream: it may yet answer.
                () = guard.lost(), if repeat => break Err(SendError::Lost),
                () = stall, if repeat && stalls_at.is_some() => {
                    // Without another try left it is better to wait on.
                    self.runs += 1;
                    if let Some(next) = self.next_for_repeat().await {
                        self.log_fault(entry, SendError::Stalled);
                        gateway.record_call_outcome(entry, true);
                        return Sent::Moved(next);
                    }
                    self.runs -= 1;
                    stalls_at = None;
                }
                () = tokio::time::sleep_until(deadline) => return Sent::TimedOut,
            }
        };
        let sent = match answer {
            Ok(answer) => {
                let sent = self.judge(entry, answer);
                self.note_answer(entry, &sent, start);
                sent
            }
            Err(fault) => self.failed(entry, fault),
        };
        let failed = !matches!(sent, Sent::Answered(_));
        gateway.record_call_outcome(entry, failed);
        sent
    }

    fn note_answer(&self, entry: &UpstreamEntry, sent: &Sent, start: Instant) {
        let outcome = match sent {
            Sent::Answered(_) => ResponseOutcome::Success(self.gateway.timer.now().since(start)),
            Sent::Failed(_) => ResponseOutcome::Failure,
            _ => return,
        };
        self.gateway.rollout_answer(&self.accepted, entry, outcome);
    }

    fn judge(&self, entry: &Arc<UpstreamEntry>, answer: CollectedAnswer) -> Sent {
        let CollectedAnswer { head, body } = answer;
        if head.other_incarnation {
            self.gateway.upstream_replaced(entry, None);
            return Sent::NotRun(NotRunEvidence::UpstreamRefused);
        }
        if head.not_executed {
            return Sent::NotRun(NotRunEvidence::UpstreamRefused);
        }
        let status = head.status;
        // These statuses promise the caller that nothing ran, which this upstream did not say; and a
        // success without signature is none.
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
                status = status.as_u16(), "upstream answered with a failure");
            return Sent::Failed(reply);
        }
        Sent::Answered(reply)
    }

    fn failed(&mut self, entry: &Arc<UpstreamEntry>, fault: SendError) -> Sent {
        self.log_fault(entry, fault);
        match fault {
            SendError::NoConnection => {
                // Nothing arrived there, so the next send is the same one still.
                self.send_paid = true;
                self.gateway.stream_broke(entry);
                Sent::NotRun(NotRunEvidence::NoConnection)
            }
            SendError::Lost => {
                self.gateway.call_broke(entry, self.accepted.digest);
                Sent::Lost
            }
            SendError::Crossed | SendError::Stalled => Sent::Lost,
        }
    }

    fn log_fault(&self, entry: &UpstreamEntry, fault: SendError) {
        let fault: &str = fault.into();
        tracing::warn!(request = %self.accepted.call.id, upstream = %entry.id, fault,
            "call failed");
    }

    fn log_sent(&self, entry: &UpstreamEntry, time_left: Duration) {
        if self
            .gateway
            .log
            .admits(LineKind::Sent, self.gateway.timer.now())
        {
            tracing::info!(request = %self.accepted.call.id, upstream = %entry.id,
                zone = %entry.zone, send = self.sends, left_ms = millis(time_left), "sent");
        }
    }
}

fn refused(queued: Queued<RequestId>, reason: RefusalReason) -> Reply {
    let spread = 1.0 + 2.0 * rand::random::<f64>();
    let not_run = queued.refuse(reason, REFUSED_RETRY.mul_f64(spread));
    Reply::NotRun { not_run }
}

/// Statuses that promise the caller that its call has not run and will not.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// An answer with its whole body.
struct CollectedAnswer {
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

async fn collect(answer: UpstreamResponse) -> Result<CollectedAnswer, SendError> {
    let head = CollectedHead {
        status: answer.status,
        headers: answer.headers,
        signed: answer.signed,
        not_executed: answer.not_executed,
        other_incarnation: answer.other_incarnation,
    };
    let mut chunks = answer.body;
    let mut body = Vec::new();
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|BodyError| SendError::Lost)?;
        if body.len() + chunk.len() > LARGEST_ANSWER {
            return Err(SendError::Lost);
        }
        body.extend_from_slice(&chunk);
    }
    let body = body.into();
    Ok(CollectedAnswer { head, body })
}
