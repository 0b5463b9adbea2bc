use super::*;

digest_newtype!(
    /// SHA-256 of a bearer key as it is sent; the key itself is never kept.
    KeyHash,
    "key hash"
);
