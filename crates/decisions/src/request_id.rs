use super::*;

text_newtype!(
    /// Id of a request, shared by all its attempts.
    RequestId,
    "request id"
);
