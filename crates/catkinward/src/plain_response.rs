use super::*;

/// Complete response of a plain service.
#[derive(Clone, Debug)]
pub(crate) struct PlainResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl PlainResponse {
    /// Converts it into the response to the caller.
    pub(crate) fn response(self) -> Response {
        let mut response = Response::new(Body::from(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}
