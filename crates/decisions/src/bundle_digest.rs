use super::*;

digest_newtype!(
    /// SHA-256 of a bundle's canonical form. Operators sign off a digest, and the object that holds
    /// the content is named after it.
    BundleDigest,
    "bundle digest"
);
