//! Which headers pass between callers and plain services.

use super::*;

/// Headers that speak of one connection only, or that the other side writes itself.
const OF_ONE_CONNECTION: &[&str] = &[
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The headers of a request or answer that are passed on.
///
/// The bearer key stays here: a plain service that saw it could call in its team's name.
pub(crate) fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let named = named_by_connection(headers);
    headers
        .iter()
        .filter(|(name, _)| {
            !OF_ONE_CONNECTION.contains(&name.as_str())
                && **name != header::AUTHORIZATION
                && *name != CLOCK_HEADER
                && !named.iter().any(|other| name.as_str() == other)
        })
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Names that the `Connection` header adds to those of one connection.
fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}
