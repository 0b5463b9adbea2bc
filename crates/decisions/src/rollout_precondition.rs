use super::*;

/// Versions that the rows of a rollout must have for a conditional write, all of one era of the store. In
/// another era, another content may have the same version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RolloutPrecondition {
    /// Era in which the rows were read.
    pub era: StoreEra,
    /// Version of the record; 0 if it must not exist.
    pub record: u64,
    /// Version of the order; 0 if it must not exist.
    pub order: u64,
}

impl RolloutPrecondition {
    /// Requires a record and an order as they were read; `None` if they were read in different eras, so
    /// that one of them must be read again first.
    #[must_use]
    pub fn new(record: StorePosition, order: StorePosition) -> Option<Self> {
        (record.era == order.era).then_some(Self {
            era: record.era,
            record: record.version,
            order: order.version,
        })
    }

    /// Requires a record as it was read, and that there is no order.
    #[must_use]
    pub fn without_order(record: StorePosition) -> Self {
        Self {
            era: record.era,
            record: record.version,
            order: 0,
        }
    }
}
