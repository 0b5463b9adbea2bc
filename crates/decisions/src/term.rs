use super::*;

number_newtype!(
    /// Fencing number of a lease; it increases with each new holder.
    Term,
    "term"
);
