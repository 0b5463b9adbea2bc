//! A single request of a call to a plain service.

use super::*;
use crate::{
    http_client::HttpError,
    plain_call::{DEADLINE_HEADER, PlainCall},
    plain_headers::forwarded_headers,
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
    slot: &mut SlotGuard,
    call: &PlainCall,
    options: SendOptions,
) -> Result<PlainResponse, SendError> {
    let timeout = options.timeout;
    let http_call = HttpCall {
        address: slot.address(),
        method: call.method.clone(),
        path: call.path.clone(),
        headers: headers_with_deadline(call, options.until_deadline),
        body: call.body.clone(),
        timeout,
        new_connection: options.new_connection,
    };
    let response_read = read_response(connections, http_call, options.limit);
    let response = tokio::time::timeout(timeout, response_read).await;
    match response {
        Ok(Ok(response)) => accept_response(slot, response),
        Ok(Err(error)) => {
            slot.record_failure();
            Err(error)
        }
        Err(_) => {
            slot.record_failure();
            slot.record_overload();
            Err(SendError::Lost)
        }
    }
}

/// Options of a single request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendOptions {
    /// Timeout until the response is complete.
    pub(crate) timeout: Duration,
    /// Remaining time until the caller's deadline, which is sent to the upstream.
    pub(crate) until_deadline: Duration,
    /// Opens a new connection instead of using one of the pool.
    pub(crate) new_connection: bool,
    /// Maximum size of the response body in bytes.
    pub(crate) limit: usize,
}

fn accept_response(
    slot: &mut SlotGuard,
    response: PlainResponse,
) -> Result<PlainResponse, SendError> {
    if let Some(kind) = refusal_kind(&response) {
        if kind == engine::EngineRefusalKind::Full {
            slot.record_overload();
        }
        slot.record_refusal(kind);
        return Err(SendError::NotRun(NotRunEvidence::UpstreamRefused));
    }
    slot.record_first_part();
    slot.record_response_start();
    slot.record_completion();
    slot.record_success();
    Ok(response)
}

/// Returns the kind of a refusal that states that the upstream did not run the call. Any other response,
/// including one with the same status but another body, is the service's own and is forwarded.
fn refusal_kind(response: &PlainResponse) -> Option<engine::EngineRefusalKind> {
    if response.status != StatusCode::CONFLICT {
        return None;
    }
    let refusal: engine::EngineRefusal = serde_json::from_slice(&response.body).ok()?;
    matches!(
        refusal.kind,
        engine::EngineRefusalKind::Full | engine::EngineRefusalKind::Leaving
    )
    .then_some(refusal.kind)
}

async fn read_response(
    connections: &Connections,
    call: HttpCall,
    limit: usize,
) -> Result<PlainResponse, SendError> {
    let response = connections
        .call(call)
        .await
        .map_err(|error| send_error(&error))?;
    let (parts, body) = response.into_parts();
    if !(200..600).contains(&parts.status.as_u16()) {
        return Err(SendError::Lost);
    }
    let body = http_body_util::Limited::new(body, limit);
    let body = http_body_util::BodyExt::collect(body).await;
    let body =
        body.map_err(
            |error| match error.downcast::<http_body_util::LengthLimitError>() {
                Ok(_) => SendError::TooLarge,
                Err(_) => SendError::Lost,
            },
        )?;
    Ok(PlainResponse {
        status: parts.status,
        headers: forwarded_headers(&parts.headers),
        body: body.to_bytes(),
    })
}

/// A call is known not to have run only if no connection was opened. A request that failed on an open
/// connection may have been received completely, whatever the error.
fn send_error(error: &HttpError) -> SendError {
    if error.never_connected() {
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
