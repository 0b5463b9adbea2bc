use super::*;

/// Right to give one order, under a term, until it has to be answered.
///
/// Only a lease makes one. An order without it could come from a holder whose lease has lapsed.
#[derive(Debug, PartialEq)]
pub struct OrderPermit {
    pub(crate) term: Term,
    pub(crate) until: Instant,
}

impl OrderPermit {
    /// Fencing number of the order.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// Time by which the order has to be answered or given up.
    #[must_use]
    pub fn until(&self) -> Instant {
        self.until
    }
}
