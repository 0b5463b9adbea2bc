use super::*;

text_newtype!(
    /// Id of a request, the same over all its attempts.
    RequestId,
    "request id"
);
