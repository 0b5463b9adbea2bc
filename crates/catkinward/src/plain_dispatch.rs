//! Dispatch of calls of plain services: either once, or with retries and a hedge.

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
        let (queued, mut place) = self.admitted(call).await?;
        let options = self.options(queued.request(), true);
        let dispatched = queued.dispatch();
        self.record(EventKind::Dispatched, dispatched.request(), place.id());
        let connections = &self.node.connections;
        match send(connections, &mut place, dispatched.request(), options).await {
            Ok(answer) => Ok(answer),
            Err(fault) => Err(self.failed(dispatched, fault)),
        }
    }

    /// Dispatches an idempotent call and retries it while the retry budget allows.
    pub(crate) async fn call_repeatedly(&self, call: PlainCall) -> Result<PlainResponse, Problem> {
        let (queued, mut place) = self.admitted(call).await?;
        let mut dispatched = queued.dispatch();
        let mut avoid = Vec::new();
        for sent in 1.. {
            avoid.push(place.id().clone());
            let fault = match self
                .send_hedged(place, dispatched.request(), &mut avoid)
                .await
            {
                Ok(answer) => {
                    self.pool.retry_budget.lock().record_success();
                    return Ok(answer);
                }
                Err(fault) => fault,
            };
            if !self.wait_for_retry(dispatched.request(), fault, sent).await {
                return Err(self.failed(dispatched, fault));
            }
            let Some(next) = self.place_again(&avoid) else {
                return Err(self.failed(dispatched, fault));
            };
            place = next;
            self.pool.increment_counter("catkin_retries_total");
            dispatched = match fault {
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

    async fn admitted(&self, call: PlainCall) -> Result<(Queued<PlainCall>, SlotGuard), Problem> {
        let queued = Queued::new(call);
        let waiting = match self
            .pool
            .offer(&queued.request().arrival(), self.chooser(Vec::new()))
        {
            Ok(waiting) => waiting,
            Err(refusal) => return Err(refused(queued, refusal)),
        };
        match waiting.wait_for_slot().await {
            Ok(place) => Ok((queued, place)),
            Err(refusal) => Err(refused(queued, refusal)),
        }
    }

    /// Sends a call, and a hedge to another upstream if the first response takes longer than almost all
    /// others. The slower of the two is cancelled by dropping it.
    async fn send_hedged(
        &self,
        mut place: SlotGuard,
        call: &PlainCall,
        avoid: &mut Vec<UpstreamId>,
    ) -> Result<PlainResponse, SendError> {
        let start = self.pool.timer.now();
        self.record(EventKind::Dispatched, call, place.id());
        let connections = &self.node.connections;
        let options = SendOptions {
            // Half of the remaining time, to leave time for a retry: a pooled connection may be dead
            // without notice.
            bound: self.until(call.deadline) / 2,
            ..self.options(call, false)
        };
        let mut first = pin!(send(connections, &mut place, call, options));
        let delay = self.pool.hedge.lock().delay().unwrap_or(options.bound);
        tokio::select! {
            answer = &mut first => return self.observed(start, answer),
            () = tokio::time::sleep(delay) => {}
        }
        let Some(mut second_place) = self.place_for_hedge(avoid) else {
            let answer = first.await;
            return self.observed(start, answer);
        };
        avoid.push(second_place.id().clone());
        self.record(EventKind::Dispatched, call, second_place.id());
        let mut second = pin!(send(
            connections,
            &mut second_place,
            call,
            self.options(call, true)
        ));
        let answer = tokio::select! {
            answer = &mut first => either(answer, second).await,
            answer = &mut second => either(answer, first).await,
        };
        self.observed(start, answer)
    }

    fn observed(
        &self,
        start: Instant,
        answer: Result<PlainResponse, SendError>,
    ) -> Result<PlainResponse, SendError> {
        if answer.is_ok() {
            let latency = self.pool.timer.now().since(start);
            self.pool.hedge.lock().record_latency(latency);
        }
        answer
    }

    fn place_for_hedge(&self, avoid: &[UpstreamId]) -> Option<SlotGuard> {
        let choose = self.chooser(avoid.to_vec());
        let place = self.pool.take_slot(Lane::Quick, false, choose)?;
        if !self.pool.hedge.lock().try_spend(true) {
            return None;
        }
        self.pool.increment_counter("catkin_hedges_total");
        Some(place)
    }

    /// Takes a slot for a retry, preferably on an upstream that has not failed this call.
    fn place_again(&self, avoid: &[UpstreamId]) -> Option<SlotGuard> {
        let elsewhere = self.chooser(avoid.to_vec());
        let anywhere = self.chooser(Vec::new());
        let choose = |taken: &[UpstreamId]| elsewhere(taken).or_else(|| anywhere(taken));
        self.pool.take_slot(Lane::Quick, false, choose)
    }

    async fn wait_for_retry(&self, call: &PlainCall, fault: SendError, sent: u32) -> bool {
        if fault == SendError::TooLarge {
            return false;
        }
        let failed = FailedCall {
            idempotent: call.idempotent,
            not_run: matches!(fault, SendError::NotRun(_)),
            sent,
            ..FailedCall::default()
        };
        let paid = self
            .pool
            .retry_budget
            .lock()
            .try_retry(failed, rand::random());
        match paid {
            Ok(wait) if wait < self.until(call.deadline) => {
                tokio::time::sleep(wait).await;
                true
            }
            _ => false,
        }
    }

    pub(crate) fn failed(&self, dispatched: Dispatched<PlainCall>, fault: SendError) -> Problem {
        let kind = match fault {
            SendError::NotRun(evidence) => match dispatched.not_run(evidence) {
                Ok(queued) => {
                    let reason = match evidence {
                        NotRunEvidence::NoConnection => RefusalReason::UpstreamUnreachable,
                        NotRunEvidence::UpstreamRefused => RefusalReason::UpstreamRefused,
                    };
                    self.pool.count_refusal(reason);
                    let retry_after = Duration::ZERO;
                    return refused(
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
        Box::new(move |taken| choose(&upstreams, &service, &avoid, taken))
    }

    pub(crate) fn options(&self, call: &PlainCall, fresh: bool) -> SendOptions {
        let until_deadline = self.until(call.deadline);
        SendOptions {
            bound: until_deadline,
            until_deadline,
            fresh,
            limit: self.node.settings.body_limit,
        }
    }

    pub(crate) fn until(&self, deadline: Instant) -> Duration {
        deadline.since(self.pool.timer.now())
    }
}

fn choose(
    upstreams: &Upstreams,
    service: &ServiceId,
    avoid: &[UpstreamId],
    taken: &[UpstreamId],
) -> Option<UpstreamHandle> {
    let avoid = [avoid, taken].concat();
    let want = UpstreamQuery {
        avoid: &avoid,
        ..UpstreamQuery::new(service)
    };
    upstreams.choose(&want).ok()
}

/// Returns the first successful response of two hedged requests. If both fail, the error is
/// [`SendError::NotRun`] only if neither request ran.
async fn either(
    first: Result<PlainResponse, SendError>,
    other: impl Future<Output = Result<PlainResponse, SendError>>,
) -> Result<PlainResponse, SendError> {
    let fault = match first {
        Ok(answer) => return Ok(answer),
        Err(fault) => fault,
    };
    match (fault, other.await) {
        (_, Ok(answer)) => Ok(answer),
        (SendError::NotRun(_), Err(other)) => Err(other),
        (fault, Err(_)) => Err(fault),
    }
}

pub(crate) fn refused(queued: Queued<PlainCall>, refusal: Refusal) -> Problem {
    let not_run = queued.refuse(refusal.reason, refusal.retry_after);
    let id = not_run.request().id.clone();
    Problem {
        request_id: Some(id),
        ..Problem::not_run(&not_run)
    }
}
