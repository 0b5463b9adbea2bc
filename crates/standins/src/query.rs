use super::*;

/// A number of a request's query; 0 if it is absent.
pub(crate) fn query_number(req: &Request, name: &str) -> u64 {
    req.uri()
        .query()
        .unwrap_or_default()
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or_default()
}
