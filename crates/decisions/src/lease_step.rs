use super::*;

/// Next action for a lease.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseStep {
    /// Do nothing for this long.
    Wait(Duration),
    /// Read the row.
    Read,
    /// Write the record if the row has the expected version.
    Write(LeaseWrite),
}

/// Conditional write of a lease row.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseWrite {
    /// Version that the row must have; 0 if the row must not exist.
    pub expected: u64,
    /// Record to write.
    pub record: LeaseRecord,
}

/// Result of a write of a lease row.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseWriteResult {
    /// The record was written.
    Written,
    /// The record was not written; the row is returned as it stands.
    Conflict(LeaseRow),
    /// The record was not written.
    NotRun,
    /// The result was lost: the record may or may not have been written.
    Unknown,
}
