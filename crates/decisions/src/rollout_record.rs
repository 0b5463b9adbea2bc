use super::*;

/// The durable state of a rollout in the platform's store. It is only ever written on condition that it has not
/// changed, so there is one history of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Version of the store at which the order was written.
    #[serde(rename = "order")]
    pub written: u64,
    /// Version that the order names.
    pub to: SoftwareVersion,
    /// How far it is.
    pub progress: RolloutProgress,
    /// The VM that owns it.
    pub owner: Arc<str>,
    /// Where the owner takes datagrams.
    pub address: SocketAddr,
    /// Deadline by the store's steady clock, in milliseconds.
    pub deadline_ms: u64,
}

/// A row of the store that may be missing: version 0 then.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredRecord {
    /// The record, if there is one that can be read.
    pub record: Option<RolloutRecord>,
    /// Version at which the row was written.
    pub version: u64,
    /// The store's steady clock at the answer, in milliseconds.
    pub now_ms: u64,
}
