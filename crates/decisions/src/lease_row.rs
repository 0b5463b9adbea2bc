use super::*;

/// Who holds a lease: a process, not only a VM, since a returned process knows nothing of its former
/// self's orders.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseHolder {
    /// The VM.
    pub vm: VmId,
    /// The process on it.
    pub incarnation: Incarnation,
}

/// What the lease's row holds.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseRecord {
    /// Last holder.
    pub holder: LeaseHolder,
    /// Its fencing number.
    pub term: Term,
    /// How long the lease lasts after each write; zero once it is given back.
    pub duration: Duration,
}

/// The lease's row with its version; version 0 and no record if there is none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseRow {
    /// Its version.
    pub version: u64,
    /// Its record; `None` too if it cannot be read.
    pub record: Option<LeaseRecord>,
}
