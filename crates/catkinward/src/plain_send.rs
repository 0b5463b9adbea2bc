//! One dispatch of a call to a plain service.

use super::*;
use crate::{
    http_client::HttpError,
    plain_call::{DEADLINE_HEADER, PlainCall},
    plain_headers::passed_on,
    plain_response::PlainResponse,
    slot_guard::SlotGuard,
};

/// Why a dispatch brought no answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SendError {
    /// It certainly did not run.
    NotRun(NotRunEvidence),
    /// It may have run: a byte of it may have left, and no answer came.
    Lost,
    /// It ran, and its answer is longer than is passed on.
    TooLarge,
}

/// Sends a call to the upstream of its place and reads the whole answer, of `limit` bytes at most.
pub(crate) async fn send(
    connections: &Connections,
    place: &mut SlotGuard,
    call: &PlainCall,
    dispatch: SendOptions,
) -> Result<PlainResponse, SendError> {
    let bound = dispatch.bound;
    let http_call = HttpCall {
        address: place.address(),
        method: call.method.clone(),
        path: call.path.clone(),
        headers: headers_with_deadline(call, dispatch.until_deadline),
        body: call.body.clone(),
        bound,
        fresh: dispatch.fresh,
    };
    let reading = read(connections, http_call, dispatch.limit);
    let answer = tokio::time::timeout(bound, reading).await;
    match answer {
        Ok(Ok(answer)) => answered(place, answer),
        Ok(Err(fault)) => {
            place.record_failure();
            Err(fault)
        }
        Err(_) => {
            place.record_failure();
            place.record_overload();
            Err(SendError::Lost)
        }
    }
}

/// How a call is sent, to be filled in by update syntax.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendOptions {
    /// Bound until the whole answer.
    pub(crate) bound: Duration,
    /// What is left until the caller's deadline.
    pub(crate) until_deadline: Duration,
    /// True for a connection of its own.
    pub(crate) fresh: bool,
    /// Longest answer, in bytes.
    pub(crate) limit: usize,
}

fn answered(place: &mut SlotGuard, answer: PlainResponse) -> Result<PlainResponse, SendError> {
    if let Some(kind) = refusal_kind(&answer) {
        if kind == engine::EngineRefusalKind::Full {
            place.record_overload();
        }
        place.record_refusal(kind);
        return Err(SendError::NotRun(NotRunEvidence::UpstreamRefused));
    }
    place.record_first_part();
    place.record_response_start();
    place.record_completion();
    place.record_success();
    Ok(answer)
}

/// An upstream's word that it did not run this call, as the border defines it. Any other answer, and
/// any other body of that status, is the service's own and is passed on.
fn refusal_kind(answer: &PlainResponse) -> Option<engine::EngineRefusalKind> {
    if answer.status != StatusCode::CONFLICT {
        return None;
    }
    let refusal: engine::EngineRefusal = serde_json::from_slice(&answer.body).ok()?;
    matches!(
        refusal.kind,
        engine::EngineRefusalKind::Full | engine::EngineRefusalKind::Leaving
    )
    .then_some(refusal.kind)
}

async fn read(
    connections: &Connections,
    call: HttpCall,
    limit: usize,
) -> Result<PlainResponse, SendError> {
    let response = connections
        .call(call)
        .await
        .map_err(|fault| fault_of(&fault))?;
    let (parts, body) = response.into_parts();
    let body = http_body_util::Limited::new(body, limit);
    let body = http_body_util::BodyExt::collect(body).await;
    let body =
        body.map_err(
            |fault| match fault.downcast::<http_body_util::LengthLimitError>() {
                Ok(_) => SendError::TooLarge,
                Err(_) => SendError::Lost,
            },
        )?;
    Ok(PlainResponse {
        status: parts.status,
        headers: passed_on(&parts.headers),
        body: body.to_bytes(),
    })
}

/// Only a call that never had a connection is known not to have run. A request that failed on one
/// may have been received whole, however the connection ended.
fn fault_of(fault: &HttpError) -> SendError {
    if fault.never_connected() {
        SendError::NotRun(NotRunEvidence::NoConnection)
    } else {
        SendError::Lost
    }
}

fn headers_with_deadline(call: &PlainCall, until_deadline: Duration) -> HeaderMap {
    let mut headers = call.headers.clone();
    let ms = u64::try_from(until_deadline.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE_HEADER, ms.into());
    headers
}
