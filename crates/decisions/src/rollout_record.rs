use super::*;

/// Durable state of a rollout in the platform store. All writes are conditional on the previous
/// version of the row, so the record has a single history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Position of the store at which the order was written.
    #[serde(rename = "order")]
    pub written: StorePosition,
    /// Version that the order names.
    pub to: SoftwareVersion,
    /// Progress as decided by the owner.
    pub progress: RolloutProgress,
    /// VM of the owner.
    pub owner: Arc<str>,
    /// Address at which the owner receives datagrams.
    pub address: SocketAddr,
    /// Deadline by the store's steady clock, in milliseconds.
    pub deadline_ms: u64,
}

impl RolloutRecord {
    /// Whether this is the record of an order. A record of an earlier era of the store is that of the
    /// order with the same target version.
    #[must_use]
    pub fn is_of(&self, order: &RolloutOrder) -> bool {
        if self.written.era == order.written.era {
            self.written == order.written
        } else {
            self.to == order.to
        }
    }
}

/// Row of the platform store with its position; version 0 if the row does not exist.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredRecord {
    /// The record; `None` if the row does not exist or cannot be decoded.
    pub record: Option<RolloutRecord>,
    /// Version of the last write of the row, in the era in which it was read.
    pub position: StorePosition,
    /// Time of the response by the store's steady clock, in milliseconds.
    pub now_ms: u64,
}
