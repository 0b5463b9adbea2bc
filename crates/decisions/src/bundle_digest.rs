use super::*;

digest_newtype!(
    /// SHA-256 of a bundle in its canonical form. Sign-offs are given to it, and an object is named
    /// by it.
    BundleDigest,
    "bundle digest"
);
