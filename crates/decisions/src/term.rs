use super::*;

number_newtype!(
    /// Fencing number of a lease; rises with each new holder.
    Term,
    "term"
);
