use super::*;

number_newtype!(
    /// Fencing number of an attempt, rising within a request; 0 means that none was made.
    Attempt,
    "attempt"
);
