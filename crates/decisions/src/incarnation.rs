use super::*;

number_newtype!(
    /// Number an upstream or VM draws when its process starts, so that a returned process is not taken for its former self.
    Incarnation,
    "incarnation"
);
