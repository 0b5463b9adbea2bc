use super::*;

/// Handle of a request in a [`crate::FairQueue`], valid until the request leaves the queue.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket {
    pub(crate) time: Instant,
    pub(crate) number: u64,
    pub(crate) team_index: usize,
}
