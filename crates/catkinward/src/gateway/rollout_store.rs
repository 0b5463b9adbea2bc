use super::*;

/// The durable state of rollouts in the platform's store.
pub struct RolloutStore {
    /// Reads the record of a service.
    pub read: ReadRecord,
    /// Writes a record, and the status that operators read, both or neither.
    pub write: WriteRecord,
}

/// Reads the record of a service's rollout.
pub type ReadRecord =
    Box<dyn Fn(ServiceId) -> BoxFuture<'static, Result<StoredRecord, FeedError>> + Send + Sync>;

/// Writes the record of a service's rollout.
pub type WriteRecord = Box<
    dyn Fn(RolloutWrite) -> BoxFuture<'static, Result<RolloutWriteResult, FeedError>> + Send + Sync,
>;

/// A write of a record.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutWrite {
    /// The service.
    pub service: ServiceId,
    /// What is written.
    pub record: RolloutRecord,
    /// Version that the row must have; 0 if there must be none.
    pub expected: u64,
    /// Version that the order must have; 0 if it must be gone.
    pub order: u64,
}

/// What came of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RolloutWriteResult {
    /// It was done, at this version.
    Done(u64),
    /// The row or the order has another version than expected.
    Conflict,
}
