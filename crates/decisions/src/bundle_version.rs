use super::*;

number_newtype!(
    /// Version of a configuration bundle: dense, and never going back on a VM.
    BundleVersion,
    "bundle version"
);
