use super::*;

number_newtype!(
    /// Version of a configuration bundle. Versions have no gaps, and a VM never returns to a lower one.
    BundleVersion,
    "bundle version"
);
