use super::*;

/// A value of a request's query.
pub(crate) fn query_value<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.uri()
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// A number of a request's query; 0 if it is absent.
pub(crate) fn query_number(req: &Request, name: &str) -> u64 {
    query_value(req, name)
        .and_then(|value| value.parse().ok())
        .unwrap_or_default()
}

/// The answer to a request that cannot be read.
pub(crate) fn malformed() -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::BAD_REQUEST;
    response
}
