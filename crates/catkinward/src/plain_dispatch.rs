//! Dispatches calls to plain services: once if the call must not be retried, otherwise with retries and a
//! hedge.

use super::*;
use crate::{
    admission_pool::{AdmissionPool, ChooseUpstream, Refusal},
    plain_call::PlainCall,
    plain_response::PlainResponse,
    plain_send::{SendError, SendOptions, send},
    problem::{Problem, ProblemKind},
    slot_guard::SlotGuard,
    upstream_handle::UpstreamHandle,
};
use std::pin::pin;

/// Dispatches the calls of one admission pool.
#[derive(Clone)]
pub(crate) struct PlainDispatch {
    pub(crate) node: Arc<Node>,
    pub(crate) pool: Arc<AdmissionPool>,
}

impl PlainDispatch {
    /// Dispatches a call that must not be retried, over a new connection. The server may have just
    /// closed a pooled connection, and an error on it would not show whether the call ran.
    pub(crate) async fn call_once(&self, call: PlainCall) -> Result<PlainResponse, Problem> {
        let (queued, mut slot) = self.admit(call).await?;
        let options = self.options(queued.request(), true);
        let dispatched = queued.dispatch();
        self.record(EventKind::Dispatched, dispatched.request(), slot.id());
        let connections = &self.node.connections;
        match send(connections, &mut slot, dispatched.request(), options).await {
            Ok(response) => Ok(response),
            Err(error) => Err(self.failure_problem(dispatched, error)),
        }
    }

    /// Dispatches an idempotent call and retries it while the retry budget allows.
    pub(crate) async fn call_with_retries(
        &self,
        call: PlainCall,
    ) -> Result<PlainResponse, Problem> {
        let (queued, mut slot) = self.admit(call).await?;
        let mut dispatched = queued.dispatch();
        let mut avoid = Vec::new();
        for sent in 1.. {
            avoid.push(slot.id().clone());
            let error = match self
                .send_hedged(slot, dispatched.request(), &mut avoid)
                .await
            {
                Ok(response) => {
                    self.pool.retry_budget.lock().record_success();
                    return Ok(response);
                }
                Err(error) => error,
            };
            if !self.wait_for_retry(dispatched.request(), error, sent).await {
                return Err(self.failure_problem(dispatched, error));
            }
            let Some(next) = self.take_retry_slot(&avoid) else {
                return Err(self.failure_problem(dispatched, error));
            };
            slot = next;
            self.pool.increment_counter("catkin_retries_total");
            dispatched = match error {
                SendError::NotRun(evidence) => match dispatched.not_run(evidence) {
                    Ok(queued) => queued.dispatch(),
                    Err(unknown) => unknown.dispatch_again(),
                },
                _ => dispatched.unknown().dispatch_again(),
            };
        }
        unreachable!("the loop ends by returning")
    }

    pub(crate) fn record(&self, kind: EventKind, call: &PlainCall, upstream: &UpstreamId) {
        self.node.timeline.record(Event {
            request: Some(call.id.clone()),
            upstream: Some(upstream.clone()),
            ..Event::new(kind)
        });
    }

    async fn admit(&self, call: PlainCall) -> Result<(Queued<PlainCall>, SlotGuard), Problem> {
        let queued = Queued::new(call);
        let waiting = match self
            .pool
            .offer(&queued.request().arrival(), self.chooser(Vec::new()))
        {
            Ok(waiting) => waiting,
            Err(refusal) => return Err(refusal_problem(queued, refusal)),
        };
        match waiting.wait_for_slot().await {
            Ok(slot) => Ok((queued, slot)),
            Err(refusal) => Err(refusal_problem(queued, refusal)),
        }
    }

    /// Sends a call, and a hedge to another upstream if the first response takes longer than almost all
    /// others. The slower of the two is cancelled by dropping it.
    async fn send_hedged(
        &self,
        mut slot: SlotGuard,
        call: &PlainCall,
        avoid: &mut Vec<UpstreamId>,
    ) -> Result<PlainResponse, SendError> {
        let start = self.pool.timer.now();
        self.record(EventKind::Dispatched, call, slot.id());
        let connections = &self.node.connections;
        let options = SendOptions {
            // Half of the remaining time, to leave time for a retry: a pooled connection may be dead
            // without notice.
            timeout: self.time_until(call.deadline) / 2,
            ..self.options(call, false)
        };
        let mut first = pin!(send(connections, &mut slot, call, options));
        let delay = self.pool.hedge.lock().delay().unwrap_or(options.timeout);
        tokio::select! {
            response = &mut first => return self.record_latency_on_success(start, response),
            () = tokio::time::sleep(delay) => {}
        }
        let Some(mut second_slot) = self.take_hedge_slot(avoid) else {
            let response = first.await;
            return self.record_latency_on_success(start, response);
        };
        avoid.push(second_slot.id().clone());
        self.record(EventKind::Dispatched, call, second_slot.id());
        let mut second = pin!(send(
            connections,
            &mut second_slot,
            call,
            self.options(call, true)
        ));
        let response = tokio::select! {
            response = &mut first => first_success(response, second).await,
            response = &mut second => first_success(response, first).await,
        };
        self.record_latency_on_success(start, response)
    }

    fn record_latency_on_success(
        &self,
        start: Instant,
        response: Result<PlainResponse, SendError>,
    ) -> Result<PlainResponse, SendError> {
        if response.is_ok() {
            let latency = self.pool.timer.now().since(start);
            self.pool.hedge.lock().record_latency(latency);
        }
        response
    }

    fn take_hedge_slot(&self, avoid: &[UpstreamId]) -> Option<SlotGuard> {
        let choose = self.chooser(avoid.to_vec());
        let slot = self.pool.take_slot(Lane::Quick, false, choose)?;
        if !self.pool.hedge.lock().try_take(true) {
            return None;
        }
        self.pool.increment_counter("catkin_hedges_total");
        Some(slot)
    }

    /// Takes a slot for a retry, preferably on an upstream that has not failed this call.
    fn take_retry_slot(&self, avoid: &[UpstreamId]) -> Option<SlotGuard> {
        let other_upstream = self.chooser(avoid.to_vec());
        let any_upstream = self.chooser(Vec::new());
        let choose = |full: &[UpstreamId]| other_upstream(full).or_else(|| any_upstream(full));
        self.pool.take_slot(Lane::Quick, false, choose)
    }

    async fn wait_for_retry(&self, call: &PlainCall, error: SendError, sent: u32) -> bool {
        if error == SendError::TooLarge {
            return false;
        }
        let failed_call = FailedCall {
            idempotent: call.idempotent,
            not_run: matches!(error, SendError::NotRun(_)),
            sent,
            ..FailedCall::default()
        };
        let retry = self
            .pool
            .retry_budget
            .lock()
            .try_retry(failed_call, rand::random());
        match retry {
            Ok(wait) if wait < self.time_until(call.deadline) => {
                tokio::time::sleep(wait).await;
                true
            }
            _ => false,
        }
    }

    pub(crate) fn failure_problem(
        &self,
        dispatched: Dispatched<PlainCall>,
        error: SendError,
    ) -> Problem {
        let kind = match error {
            SendError::NotRun(evidence) => match dispatched.not_run(evidence) {
                Ok(queued) => {
                    let reason = match evidence {
                        NotRunEvidence::NoConnection => RefusalReason::UpstreamUnreachable,
                        NotRunEvidence::Withheld => RefusalReason::BackOff,
                        NotRunEvidence::UpstreamRefused => RefusalReason::UpstreamRefused,
                    };
                    self.pool.count_refusal(reason);
                    let retry_after = Duration::ZERO;
                    return refusal_problem(
                        queued,
                        Refusal {
                            reason,
                            retry_after,
                        },
                    );
                }
                Err(_) => ProblemKind::AnswerLost,
            },
            SendError::Lost => ProblemKind::AnswerLost,
            SendError::TooLarge => ProblemKind::AnswerTooLarge,
        };
        kind.into()
    }

    pub(crate) fn chooser(&self, avoid: Vec<UpstreamId>) -> ChooseUpstream {
        let upstreams = self.node.upstreams.clone();
        let service = self.pool.service.clone();
        Box::new(move |full| choose(&upstreams, &service, &avoid, full))
    }

    pub(crate) fn options(&self, call: &PlainCall, new_connection: bool) -> SendOptions {
        let until_deadline = self.time_until(call.deadline);
        SendOptions {
            timeout: until_deadline,
            until_deadline,
            new_connection,
            limit: self.node.settings.body_limit,
        }
    }

    pub(crate) fn time_until(&self, deadline: Instant) -> Duration {
        deadline.since(self.pool.timer.now())
    }
}

fn choose(
    upstreams: &Upstreams,
    service: &ServiceId,
    avoid: &[UpstreamId],
    full: &[UpstreamId],
) -> Option<UpstreamHandle> {
    let avoid = [avoid, full].concat();
    let query = UpstreamQuery {
        avoid: &avoid,
        ..UpstreamQuery::new(service)
    };
    upstreams.choose(&query).ok()
}

/// Returns the first successful response of two hedged requests. If both fail, the error is
/// [`SendError::NotRun`] only if neither request ran.
async fn first_success(
    first: Result<PlainResponse, SendError>,
    other: impl Future<Output = Result<PlainResponse, SendError>>,
) -> Result<PlainResponse, SendError> {
    let error = match first {
        Ok(response) => return Ok(response),
        Err(error) => error,
    };
    match (error, other.await) {
        (_, Ok(response)) => Ok(response),
        (SendError::NotRun(_), Err(other)) => Err(other),
        (error, Err(_)) => Err(error),
    }
}

pub(crate) fn refusal_problem(queued: Queued<PlainCall>, refusal: Refusal) -> Problem {
    let not_run = queued.refuse(refusal.reason, refusal.retry_after);
    let id = not_run.request().id.clone();
    Problem {
        request_id: Some(id),
        ..Problem::not_run(&not_run)
    }
}
