use super::*;

/// Fetches the load report of a mock engine or plain service, as routers do.
///
/// # Errors
///
/// If the upstream does not respond.
pub async fn upstream_load(address: SocketAddr) -> Result<engine::UpstreamLoad, CallError> {
    let call = HttpCall {
        address,
        path: "/v1/load".to_owned(),
        new_connection: true,
        ..HttpCall::default()
    };
    Ok(Connections::new()?.call_json(call).await?)
}

/// Returns the index in `addresses` of the first upstream that is running a request.
///
/// # Errors
///
/// If one of the polled upstreams does not respond.
pub async fn first_busy(addresses: &[SocketAddr]) -> Result<Option<usize>, CallError> {
    for (i, address) in addresses.iter().enumerate() {
        if upstream_load(*address).await?.running > 0 {
            return Ok(Some(i));
        }
    }
    Ok(None)
}
