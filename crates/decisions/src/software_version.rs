use super::*;

text_newtype!(
    /// Version of the software that an upstream runs.
    SoftwareVersion,
    "software version"
);
