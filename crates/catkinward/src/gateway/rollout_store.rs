use super::*;

/// Access to the rollout records in the platform store.
pub struct RolloutStore {
    /// Reads the rollout record of a service.
    pub read: ReadRecord,
    /// Writes a record together with the status that operators read, in one transaction, if its
    /// precondition holds.
    pub write: WriteRecord,
}

/// Function that reads the rollout record of a service.
pub type ReadRecord =
    Box<dyn Fn(ServiceId) -> BoxFuture<'static, Result<StoredRecord, FeedError>> + Send + Sync>;

/// Function that writes a rollout record if its precondition holds.
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
    /// Versions that the row and the order must have.
    pub precondition: RolloutPrecondition,
}

/// Result of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutWriteResult {
    /// The record was written; the row now has this position.
    Done(StorePosition),
    /// The row or the order does not have the expected version, or the store is in another era. The record has to be
    /// read again.
    Conflict,
}
