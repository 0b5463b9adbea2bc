use super::*;

/// What is to be done for a lease now.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseStep {
    /// Nothing for so long.
    Wait(Duration),
    /// Read the row.
    Read,
    /// Write the record if the row has the expected version.
    Write(LeaseWrite),
}

/// A write of the lease's row.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseWrite {
    /// Version that the row must have.
    pub expected: u64,
    /// What is written.
    pub record: LeaseRecord,
}

/// Answer to a write of the lease's row.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseWriteResult {
    /// It is written.
    Written,
    /// It is not, since the row is this one.
    Conflict(LeaseRow),
    /// It is not.
    NotRun,
    /// It is, or it isn't.
    Unknown,
}
