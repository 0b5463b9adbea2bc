use super::*;

/// Returns the value of a query parameter.
pub(crate) fn query_value<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.uri()
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Returns the numeric value of a query parameter; 0 if it is absent or not a number.
pub(crate) fn query_number(req: &Request, name: &str) -> u64 {
    query_value(req, name)
        .and_then(|value| value.parse().ok())
        .unwrap_or_default()
}

/// Returns an empty response with status 400.
pub(crate) fn bad_request() -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}
