use super::*;

/// Holder of a lease. This is a process instead of a VM, since a restarted process has no record of
/// the orders that were sent before the restart.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseHolder {
    /// VM of the holder.
    pub vm: VmId,
    /// Incarnation of the process on that VM.
    pub incarnation: Incarnation,
}

/// Content of a lease row.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseRecord {
    /// The process that last wrote the lease.
    pub holder: LeaseHolder,
    /// Fencing number of the holder.
    pub term: Term,
    /// How long the lease lasts after each write; zero once it is released.
    pub duration: Duration,
}

/// Lease row with its version; version 0 and no record if the row does not exist.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseRow {
    /// Version of the row; 0 if it does not exist.
    pub version: u64,
    /// Record of the row; `None` if the row does not exist or cannot be decoded.
    pub record: Option<LeaseRecord>,
}
