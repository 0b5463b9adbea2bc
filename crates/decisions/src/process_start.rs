use super::*;

number_newtype!(
    /// When the process of an upstream started, in Unix milliseconds by its own clock.
    ProcessStart,
    "start of an upstream"
);
