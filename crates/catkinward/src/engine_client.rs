use super::*;
use crate::{
    attempt_stream::AttemptStream,
    engine_event::AttemptFault,
    http_client::{HttpError, json_bytes},
    upstream_handle::UpstreamHandle,
};

/// Longest body of a refusal that is read, in bytes.
const REFUSAL_LIMIT: usize = 64 * 1024;

/// Header in which an engine may send its load report with a reply.
const LOAD_HEADER: &str = "catkin-load";

/// Starts an attempt on an engine.
///
/// It takes a handle, which exists only for upstreams that may get new work.
pub(crate) async fn start_attempt(
    connections: &Connections,
    upstream: &UpstreamHandle,
    order: &engine::EngineGenerate,
    bound: Duration,
) -> Result<AttemptStream, AttemptFault> {
    let call = HttpCall {
        address: upstream.address(),
        method: Method::POST,
        path: "/v1/generate".to_owned(),
        body: json_bytes(order),
        bound,
        ..HttpCall::default()
    };
    let (stream, load) = open_stream(connections, Attempt(order.attempt), call).await?;
    upstream.answered();
    if let Some(load) = load {
        upstream.reported(load);
    }
    Ok(stream)
}

/// Goes on with a running attempt over a new connection, from `from` on.
///
/// The connection is never a kept one: what made the old one silent may have silenced those too.
pub(crate) async fn reattach(
    connections: &Connections,
    address: SocketAddr,
    id: &RequestId,
    attempt: Attempt,
    from: TokenIndex,
    bound: Duration,
) -> Result<AttemptStream, AttemptFault> {
    let call = HttpCall {
        address,
        path: format!("/v1/streams/{id}?attempt={attempt}&from={from}"),
        bound,
        fresh: true,
        ..HttpCall::default()
    };
    let (stream, _) = open_stream(connections, attempt, call).await?;
    Ok(stream)
}

/// Cancels all attempts of a request up to `attempt`; an engine that does not answer is left alone.
pub(crate) async fn cancel(
    connections: &Connections,
    address: SocketAddr,
    id: &RequestId,
    attempt: Attempt,
) {
    let call = HttpCall {
        address,
        method: Method::DELETE,
        path: format!("/v1/streams/{id}?attempt={attempt}"),
        fresh: true,
        ..HttpCall::default()
    };
    if let Err(fault) = connections.call_whole(call).await {
        tracing::debug!(%address, %id, %attempt, %fault, "cancel got no answer");
    }
}

async fn open_stream(
    connections: &Connections,
    attempt: Attempt,
    call: HttpCall,
) -> Result<(AttemptStream, Option<engine::UpstreamLoad>), AttemptFault> {
    let HttpCall { address, bound, .. } = call;
    let response = connections.call(call).await?;
    let status = response.status();
    if status.is_success() {
        let load = response
            .headers()
            .get(LOAD_HEADER)
            .and_then(|value| serde_json::from_slice(value.as_bytes()).ok());
        return Ok((AttemptStream::new(attempt, response)?, load));
    }
    let body = http_body_util::Limited::new(response.into_body(), REFUSAL_LIMIT);
    let body = tokio::time::timeout(bound, http_body_util::BodyExt::collect(body))
        .await
        .map_err(|_| HttpError::Timeout { address, bound })?
        .map_err(|_| HttpError::Status { address, status })?;
    let refusal: engine::EngineRefusal = serde_json::from_slice(&body.to_bytes())
        .map_err(|_| HttpError::Status { address, status })?;
    Err(AttemptFault::Refused { kind: refusal.kind })
}
