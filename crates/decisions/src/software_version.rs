use super::*;

text_newtype!(
    /// Version of an upstream's software.
    SoftwareVersion,
    "software version"
);
