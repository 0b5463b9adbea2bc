use super::*;
use crate::{
    attempt_stream::AttemptStream,
    engine_event::AttemptError,
    http_client::{HttpError, json_bytes},
    upstream_handle::UpstreamHandle,
};

/// Longest body of a refusal that is read, in bytes.
const REFUSAL_LIMIT: usize = 64 * 1024;

/// Header in which an engine may send its load report with a reply.
const LOAD_HEADER: &str = "catkin-load";

/// Starts an attempt on an engine, over a connection of its own: a kept one may have gone silent,
/// and the caller would wait for the whole bound where a new connection costs one round trip.
///
/// It takes a handle that has proof that its upstream may get new work.
pub(crate) async fn start_attempt(
    connections: &Connections,
    upstream: &UpstreamHandle,
    order: &engine::EngineGenerate,
    bound: Duration,
) -> Result<AttemptStream, AttemptError> {
    upstream.check_eligible()?;
    let call = HttpCall {
        address: upstream.address(),
        method: Method::POST,
        path: "/v1/generate".to_owned(),
        body: json_bytes(order),
        bound,
        fresh: true,
        ..HttpCall::default()
    };
    let (stream, load) = open_stream(connections, Attempt(order.attempt), call).await?;
    upstream.record_response_start();
    if let Some(load) = load {
        upstream.record_report(load);
    }
    Ok(stream)
}

/// A running attempt to go on with.
pub(crate) struct Reattach<'a> {
    pub(crate) address: SocketAddr,
    pub(crate) id: &'a RequestId,
    /// The attempt as the engine knows it.
    pub(crate) attempt: Attempt,
    /// Number that it has from now on. Where it differs, a VM takes over another's attempt: the
    /// engine then ends the other's stream, and neither its cancel nor its re-attach is heard.
    pub(crate) becomes: Attempt,
    /// First token wanted.
    pub(crate) from: TokenIndex,
    pub(crate) bound: Duration,
}

/// Goes on with a running attempt over a new connection.
///
/// The connection is never a kept one: what made the old one silent may have silenced those too.
pub(crate) async fn reattach(
    connections: &Connections,
    reattach: Reattach<'_>,
) -> Result<AttemptStream, AttemptError> {
    let Reattach {
        address,
        id,
        attempt,
        becomes,
        from,
        bound,
    } = reattach;
    let call = HttpCall {
        address,
        path: format!("/v1/streams/{id}?attempt={attempt}&as={becomes}&from={from}"),
        bound,
        fresh: true,
        ..HttpCall::default()
    };
    let (stream, _) = open_stream(connections, becomes, call).await?;
    Ok(stream)
}

/// Cancels all attempts of a request up to `attempt`; an engine that does not answer is left alone.
async fn cancel(connections: &Connections, address: SocketAddr, id: &RequestId, attempt: Attempt) {
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

/// Cancels in the background.
pub(crate) fn cancel_later(
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
    Err(AttemptError::Refused { kind: refusal.kind })
}
