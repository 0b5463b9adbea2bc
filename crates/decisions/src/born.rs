use super::*;

number_newtype!(
    /// Start time of an upstream's process, in Unix milliseconds by the upstream's own clock.
    Born,
    "start of an upstream"
);
