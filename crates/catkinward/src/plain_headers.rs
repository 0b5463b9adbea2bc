//! Selection of the headers that are forwarded between callers and plain services.

use super::*;

/// Headers that apply to a single connection (hop-by-hop) or that the other side sets itself.
const HOP_BY_HOP_HEADERS: &[&str] = &[
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

/// Returns the headers of a request or response that are forwarded.
///
/// The bearer key is not forwarded: a plain service that received it could make calls as that team.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let listed = listed_in_connection_header(headers);
    headers
        .iter()
        .filter(|(name, _)| {
            !HOP_BY_HOP_HEADERS.contains(&name.as_str())
                && **name != header::AUTHORIZATION
                && *name != CLOCK_HEADER
                && !listed.iter().any(|other| name.as_str() == other)
        })
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Names of further hop-by-hop headers, which are listed in the `Connection` header.
fn listed_in_connection_header(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}
