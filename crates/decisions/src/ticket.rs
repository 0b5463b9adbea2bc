/// Where a request waits in a [`crate::FairQueue`]; valid until it leaves.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket {
    pub(crate) number: u64,
    pub(crate) slot: usize,
}
