use super::*;

number_newtype!(
    /// Start time of an upstream's process, in Unix milliseconds by the upstream's own clock.
    ProcessStart,
    "start of an upstream"
);
