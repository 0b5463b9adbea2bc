use super::*;

text_newtype!(
    /// Key by which a team marks retries of a request, so that the request runs only once.
    IdempotencyKey,
    "idempotency key"
);
