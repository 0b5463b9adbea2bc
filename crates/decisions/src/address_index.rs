//! Which upstreams show which address.
//!
//! Each entry that is read asks whether another upstream shows the same address. Answered by a walk over all
//! of them, a whole read costs the square of their number, and a VM with an eighth of a core stands still for
//! seconds whenever the platform returns.

use super::*;

/// Upstreams by the address that they show.
#[derive(Clone, Debug, Default)]
pub(crate) struct AddressIndex {
    /// Sorted by address, then by incarnation.
    shown: Vec<(SocketAddr, UpstreamIncarnation)>,
    comparisons: ComparisonCounter,
}

impl AddressIndex {
    /// Sets all of them anew.
    pub(crate) fn set(&mut self, shown: impl Iterator<Item = (SocketAddr, UpstreamIncarnation)>) {
        self.shown = shown.collect();
        let comparisons = &self.comparisons;
        self.shown
            .sort_unstable_by(|a, b| comparisons.note(a.cmp(b)));
    }

    /// Notes that an upstream shows an address.
    pub(crate) fn insert(&mut self, address: SocketAddr, id: UpstreamIncarnation) {
        let shows = (address, id);
        if let Err(index) = self.position(&shows) {
            self.shown.insert(index, shows);
        }
    }

    /// Notes that an upstream no longer shows an address.
    pub(crate) fn remove(&mut self, address: SocketAddr, id: &UpstreamIncarnation) {
        if let Ok(index) = self.position(&(address, id.clone())) {
            self.shown.remove(index);
        }
    }

    /// The upstreams that show an address, sorted.
    pub(crate) fn at(&self, address: SocketAddr) -> impl Iterator<Item = &UpstreamIncarnation> {
        let start = self.shown.partition_point(|(other, _)| {
            self.comparisons.note(other.cmp(&address)) == std::cmp::Ordering::Less
        });
        self.shown[start..]
            .iter()
            .take_while(move |(other, _)| self.comparisons.note(*other == address))
            .map(|(_, id)| id)
    }

    /// Comparisons made so far.
    pub(crate) fn comparisons(&self) -> u64 {
        self.comparisons.count()
    }

    fn position(&self, shows: &(SocketAddr, UpstreamIncarnation)) -> Result<usize, usize> {
        self.shown
            .binary_search_by(|other| self.comparisons.note(other.cmp(shows)))
    }
}
