use super::*;

digest_newtype!(
    /// SHA-256 of a bearer key as sent by the caller; the key itself is never stored.
    KeyHash,
    "key hash"
);
