use super::*;

/// State of an owner's claim in the platform store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutClaim {
    /// The record names this owner.
    Confirmed,
    /// Another VM owns the rollout.
    OwnedByOther,
    /// The record belongs to another order.
    OtherOrder,
    /// The store has returned from a copy without this claim, which is to be written again.
    Lost,
    /// The store has returned from a copy, and the order has not been read since.
    OrderUnknown,
}

impl RolloutOwner {
    /// Checks this owner's claim against the record as read from the store. `name` is the owner as the
    /// record names it.
    #[must_use]
    pub fn check_claim(
        &self,
        name: &str,
        order: &RolloutOrder,
        stored: &StoredRecord,
    ) -> RolloutClaim {
        let record = stored.record.as_ref().filter(|record| record.is_of(order));
        let is_new_era = stored.position.era > self.position.era;
        match record {
            Some(record) if record.progress.term == self.term && record.owner.as_ref() == name => {
                RolloutClaim::Confirmed
            }
            Some(record) if record.progress.term >= self.term || !is_new_era => {
                RolloutClaim::OwnedByOther
            }
            None if !is_new_era => RolloutClaim::OtherOrder,
            _ if order.written.era == stored.position.era => RolloutClaim::Lost,
            _ => RolloutClaim::OrderUnknown,
        }
    }
}
