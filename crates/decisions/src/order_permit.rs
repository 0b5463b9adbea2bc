use super::*;

/// Permission to send one order under a term.
///
/// Only a lease creates permits. An order without one could come from a holder whose lease has
/// expired.
#[derive(Debug, PartialEq)]
pub struct OrderPermit {
    pub(crate) term: Term,
    pub(crate) deadline: Instant,
}

impl OrderPermit {
    /// Fencing number of the order.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// Time by which the order must complete; it is abandoned afterwards.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        self.deadline
    }
}
