use super::*;

/// The load report of a stand-in, as routers see it.
///
/// # Errors
///
/// If it does not answer.
pub async fn upstream_load(address: SocketAddr) -> Result<engine::UpstreamLoad, CallError> {
    let call = HttpCall {
        address,
        path: "/v1/load".to_owned(),
        new_connection: true,
        ..HttpCall::default()
    };
    Ok(Connections::new()?.call_json(call).await?)
}

/// Place in `addresses` of the first upstream that runs something now.
///
/// # Errors
///
/// If one of them does not answer.
pub async fn first_busy(addresses: &[SocketAddr]) -> Result<Option<usize>, CallError> {
    for (i, address) in addresses.iter().enumerate() {
        if upstream_load(*address).await?.running > 0 {
            return Ok(Some(i));
        }
    }
    Ok(None)
}
