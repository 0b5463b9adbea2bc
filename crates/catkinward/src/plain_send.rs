//! A single request of a call to a plain service.

use super::*;
use crate::{
    http_client::HttpError,
    plain_call::{DEADLINE_HEADER, PlainCall},
    plain_headers::passed_on,
    plain_response::PlainResponse,
    slot_guard::SlotGuard,
};

/// Reason why a request yielded no response to forward.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SendError {
    /// The call certainly did not run.
    NotRun(NotRunEvidence),
    /// The call may have run: some of it may have been sent, and the response was not received.
    Lost,
    /// The call ran, but its response exceeds the size limit.
    TooLarge,
}

/// Sends a call to the upstream of its slot and reads the complete response, up to the size limit.
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

/// Options of a single request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendOptions {
    /// Timeout until the response is complete.
    pub(crate) bound: Duration,
    /// Remaining time until the caller's deadline, which is sent to the upstream.
    pub(crate) until_deadline: Duration,
    /// Opens a new connection instead of using one of the pool.
    pub(crate) fresh: bool,
    /// Maximum size of the response body in bytes.
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

/// Returns the kind of a refusal that states that the upstream did not run the call. Any other response,
/// including one with the same status but another body, is the service's own and is forwarded.
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

/// A call is known not to have run only if no connection was opened. A request that failed on an open
/// connection may have been received completely, whatever the error.
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
