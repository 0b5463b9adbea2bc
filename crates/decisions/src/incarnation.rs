use super::*;

number_newtype!(
    /// Number that an upstream or VM draws when its process starts, so that a restarted process is not
    /// taken for the former one.
    Incarnation,
    "incarnation"
);
