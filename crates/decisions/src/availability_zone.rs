use super::*;

text_newtype!(
    /// Name of an availability zone.
    AvailabilityZone,
    "availability zone"
);
