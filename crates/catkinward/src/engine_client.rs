use super::*;
use crate::{
    attempt_stream::AttemptStream,
    engine_event::AttemptError,
    http_client::{HttpError, large_json_bytes},
    upstream_handle::UpstreamHandle,
};

/// Maximum number of bytes that are read of a refusal's body.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;

/// Header in which an engine may send its load report with a response.
const LOAD_HEADER: &str = "catkin-load";

/// Starts an attempt on an engine over a new connection: a pooled one may be silently broken, and
/// the caller would wait for the full timeout, while a new connection costs one round trip.
///
/// The handle proves that its upstream may receive new work. The order loses its prompt, which is large, once it has been
/// written as JSON.
pub(crate) async fn start_attempt(
    connections: &Connections,
    upstream: &UpstreamHandle,
    order: &mut engine::EngineGenerate,
    timeout: Duration,
) -> Result<AttemptStream, AttemptError> {
    upstream.check_eligible()?;
    let body = large_json_bytes(order, &order.prompt);
    order.prompt = String::new();
    let call = HttpCall {
        address: upstream.address(),
        method: Method::POST,
        path: "/v1/generate".to_owned(),
        body,
        timeout,
        new_connection: true,
        ..HttpCall::default()
    };
    let (stream, load) = open_stream(connections, Attempt(order.attempt), call).await?;
    upstream.record_response_start();
    if let Some(load) = load {
        upstream.record_report(load);
    }
    Ok(stream)
}

/// Parameters for reattaching to a running attempt.
pub(crate) struct Reattach<'a> {
    pub(crate) address: SocketAddr,
    pub(crate) id: &'a RequestId,
    /// Current number of the attempt at the engine.
    pub(crate) attempt: Attempt,
    /// Number of the attempt from now on. If it differs, this VM takes over the attempt of another
    /// VM: the engine then ends the other VM's stream and ignores its cancellations and
    /// reattachments.
    pub(crate) new_attempt: Attempt,
    /// Index of the first token to send.
    pub(crate) from: TokenIndex,
    pub(crate) timeout: Duration,
}

/// Reattaches to a running attempt over a new connection.
///
/// No pooled connection is used: the cause that silenced the old connection may affect those too.
pub(crate) async fn reattach(
    connections: &Connections,
    reattach: Reattach<'_>,
) -> Result<AttemptStream, AttemptError> {
    let Reattach {
        address,
        id,
        attempt,
        new_attempt,
        from,
        timeout,
    } = reattach;
    let call = HttpCall {
        address,
        path: format!("/v1/streams/{id}?attempt={attempt}&as={new_attempt}&from={from}"),
        timeout,
        new_connection: true,
        ..HttpCall::default()
    };
    let (stream, _) = open_stream(connections, new_attempt, call).await?;
    Ok(stream)
}

/// Cancels all attempts of a request up to `attempt`, without a retry if the engine does not
/// respond.
async fn cancel(connections: &Connections, address: SocketAddr, id: &RequestId, attempt: Attempt) {
    let call = HttpCall {
        address,
        method: Method::DELETE,
        path: format!("/v1/streams/{id}?attempt={attempt}"),
        new_connection: true,
        ..HttpCall::default()
    };
    if let Err(error) = connections.call_complete(call).await {
        tracing::debug!(%address, %id, %attempt, fault = %error, "cancel got no answer");
    }
}

/// Cancels all attempts of a request up to `attempt` in a background task.
pub(crate) fn spawn_cancel(
    connections: &Arc<Connections>,
    address: SocketAddr,
    id: &RequestId,
    attempt: Attempt,
) {
    let (connections, id) = (connections.clone(), id.clone());
    tokio::spawn(async move { cancel(&connections, address, &id, attempt).await });
}

async fn open_stream(
    connections: &Connections,
    attempt: Attempt,
    call: HttpCall,
) -> Result<(AttemptStream, Option<engine::UpstreamLoad>), AttemptError> {
    let HttpCall {
        address, timeout, ..
    } = call;
    let response = connections.call(call).await?;
    let status = response.status();
    if status.is_success() {
        let load = response
            .headers()
            .get(LOAD_HEADER)
            .and_then(|value| serde_json::from_slice(value.as_bytes()).ok());
        return Ok((AttemptStream::new(attempt, response)?, load));
    }
    let body = http_body_util::Limited::new(response.into_body(), MAX_REFUSAL_BYTES);
    let body = tokio::time::timeout(timeout, http_body_util::BodyExt::collect(body))
        .await
        .map_err(|_| HttpError::Timeout { address, timeout })?
        .map_err(|_| HttpError::Status { address, status })?;
    let refusal: engine::EngineRefusal = serde_json::from_slice(&body.to_bytes())
        .map_err(|_| HttpError::Status { address, status })?;
    Err(AttemptError::Refused { kind: refusal.kind })
}
