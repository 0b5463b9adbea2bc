//! Non-idempotent calls with an idempotency key: the key is claimed in the table service, then the call
//! is dispatched once.

use super::*;
use crate::{
    admission_pool::Refusal,
    claims::{ClaimRequest, Claims, ResponseToRecord},
    plain_call::PlainCall,
    plain_dispatch::{PlainDispatch, refusal_problem},
    plain_response::PlainResponse,
    plain_send::{SendError, send},
    problem::{Problem, ProblemKind},
    slot_guard::SlotGuard,
};

impl PlainDispatch {
    /// Dispatches a non-idempotent call with an idempotency key at most once across all VMs. A caller
    /// that sends the call again receives the response of the first dispatch.
    ///
    /// Without a platform there are no claims, and the call is dispatched as if it had no key.
    pub(crate) async fn call_with_key(
        &self,
        call: PlainCall,
        key: IdempotencyKey,
    ) -> Result<PlainResponse, Problem> {
        let Some(claims) = self.node.claims.clone() else {
            return self.call_once(call).await;
        };
        // A claim costs a write of the table service and its release another one, so a call that would
        // be refused is refused before it is claimed.
        if let Err(refusal) = self.pool.check(&call.arrival()) {
            return Err(refusal_problem(Queued::new(call), refusal));
        }
        let request = self.claim_request(&call, key);
        let digest = request.digest;
        let verdict = match claims.claim(request).await {
            ClaimVerdict::InProgress(found) => {
                let remaining = self.time_until(call.deadline);
                claims.wait_for_outcome(&digest, found, remaining).await
            }
            verdict => verdict,
        };
        match verdict {
            ClaimVerdict::Claimed(claimed) => {
                self.node.timeline.record(Event {
                    request: Some(call.id.clone()),
                    ..Event::new(EventKind::Claimed)
                });
                self.dispatch_claimed(claims, claimed.with_request(call))
                    .await
            }
            ClaimVerdict::Done(ClaimOutcome::Answered(response)) => replay(&claims, response).await,
            ClaimVerdict::Done(ClaimOutcome::Unknown) => Err(ProblemKind::AnswerLost.into()),
            ClaimVerdict::InProgress(_) => Err(ProblemKind::KeyInUse.into()),
            ClaimVerdict::Conflict => Err(ProblemKind::KeyConflict.into()),
            ClaimVerdict::NotRun => {
                self.pool.count_refusal(RefusalReason::NotClaimed);
                let refusal = Refusal {
                    reason: RefusalReason::NotClaimed,
                    retry_after: Duration::ZERO,
                };
                Err(refusal_problem(Queued::new(call), refusal))
            }
        }
    }

    /// Dispatches a claimed call in a separate task, which continues if the caller disconnects. A caller
    /// that reconnects then finds a recorded outcome instead of a claim that is never resolved.
    async fn dispatch_claimed(
        &self,
        claims: Arc<Claims>,
        claimed: Claimed<PlainCall>,
    ) -> Result<PlainResponse, Problem> {
        let dispatch = self.clone();
        let in_flight = self.node.drain.enter();
        let task = tokio::spawn(async move {
            let _in_flight = in_flight;
            dispatch.dispatch_and_resolve(&claims, claimed).await
        });
        task.await.unwrap_or(Err(ProblemKind::AnswerLost.into()))
    }

    async fn dispatch_and_resolve(
        &self,
        claims: &Arc<Claims>,
        claimed: Claimed<PlainCall>,
    ) -> Result<PlainResponse, Problem> {
        let mut slot = match self.acquire_slot(claimed.request()).await {
            Ok(slot) => slot,
            Err(refusal) => {
                let queued = Queued::new(claimed.request().clone());
                claims.release(claimed.release());
                return Err(refusal_problem(queued, refusal));
            }
        };
        let (call, held_claim) = claimed.dispatch();
        let options = self.options(&call, true);
        self.record(EventKind::Dispatched, &call, slot.id());
        let dispatched = Queued::new(call).dispatch();
        let connections = &self.node.connections;
        match send(connections, &mut slot, dispatched.request(), options).await {
            Ok(response) => {
                claims.record_response(held_claim, response_to_record(&response));
                Ok(response)
            }
            Err(error) => {
                match error {
                    SendError::NotRun(_) => claims.release(held_claim),
                    SendError::Lost | SendError::TooLarge => claims.record_unknown(held_claim),
                }
                Err(self.failure_problem(dispatched, error))
            }
        }
    }

    async fn acquire_slot(&self, call: &PlainCall) -> Result<SlotGuard, Refusal> {
        let waiting = self.pool.offer(&call.arrival(), self.chooser(Vec::new()))?;
        waiting.wait_for_slot().await
    }

    fn claim_request(&self, call: &PlainCall, key: IdempotencyKey) -> ClaimRequest {
        ClaimRequest {
            team: call.team.id.clone(),
            key,
            digest: call.digest(),
            kind: ClaimKind::Call,
            request: call.id.clone(),
            time_left: self.time_until(call.deadline),
        }
    }
}

fn response_to_record(response: &PlainResponse) -> ResponseToRecord {
    let headers = response.headers.iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?;
        Some((name.as_str().into(), value.into()))
    });
    ResponseToRecord {
        status: response.status.as_u16(),
        headers: headers.collect(),
        body: response.body.clone(),
    }
}

async fn replay(claims: &Claims, response: RecordedResponse) -> Result<PlainResponse, Problem> {
    let body = match claims.response_body(&response.body).await {
        Ok(Some(body)) => body,
        Ok(None) => return Err(ProblemKind::AnswerTooLarge.into()),
        Err(_) => return Err(ProblemKind::AnswerLost.into()),
    };
    let headers = response.headers.iter().filter_map(|(name, value)| {
        let name: header::HeaderName = name.parse().ok()?;
        Some((name, value.parse().ok()?))
    });
    Ok(PlainResponse {
        status: StatusCode::from_u16(response.status).unwrap_or(StatusCode::OK),
        headers: headers.collect(),
        body,
    })
}
