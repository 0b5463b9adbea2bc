use super::*;

/// Access to the rollout records in the platform store.
pub struct RolloutStore {
    /// Reads the rollout record of a service.
    pub read: ReadRecord,
    /// Writes a record together with the status that operators read, in one transaction, if the row and
    /// the order have the expected versions.
    pub write: WriteRecord,
}

/// Function that reads the rollout record of a service.
pub type ReadRecord =
    Box<dyn Fn(ServiceId) -> BoxFuture<'static, Result<StoredRecord, FeedError>> + Send + Sync>;

/// Function that writes a rollout record if the row and the order have the expected versions.
pub type WriteRecord = Box<
    dyn Fn(RolloutWrite) -> BoxFuture<'static, Result<RolloutWriteResult, FeedError>> + Send + Sync,
>;

/// A conditional write of a rollout record.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutWrite {
    /// Service whose rollout the record describes.
    pub service: ServiceId,
    /// New content of the row.
    pub record: RolloutRecord,
    /// Version that the row must have; 0 if the row must not exist.
    pub expected_version: u64,
    /// Version that the order must have; 0 if the order must not exist.
    pub expected_order: u64,
}

/// Result of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutWriteResult {
    /// The record was written; the row now has this version.
    Done(u64),
    /// Nothing was written: the row or the order does not have the expected version.
    Conflict,
}
