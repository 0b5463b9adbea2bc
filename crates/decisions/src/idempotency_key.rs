use super::*;

text_newtype!(
    /// Key under which a team sends a request again without wanting it to run again.
    IdempotencyKey,
    "idempotency key"
);
