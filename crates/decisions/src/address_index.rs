//! Index of the upstreams by address.
//!
//! For each entry that is read, the index finds other upstreams with the same address. With a scan over all
//! upstreams instead, reading the whole table would take time quadratic in their number, and a VM with an
//! eighth of a core would stall for seconds whenever the platform returns.

use super::*;

/// Upstreams by the address in their entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct AddressIndex {
    /// Sorted by address, then by incarnation.
    entries: Vec<(SocketAddr, UpstreamIncarnation)>,
    comparisons: ComparisonCounter,
}

impl AddressIndex {
    /// Replaces the contents of the index.
    pub(crate) fn rebuild(
        &mut self,
        entries: impl Iterator<Item = (SocketAddr, UpstreamIncarnation)>,
    ) {
        self.entries = entries.collect();
        let comparisons = &self.comparisons;
        self.entries
            .sort_unstable_by(|a, b| comparisons.record(a.cmp(b)));
    }

    /// Adds an upstream; adding it a second time has no effect.
    pub(crate) fn insert(&mut self, address: SocketAddr, id: UpstreamIncarnation) {
        let entry = (address, id);
        if let Err(index) = self.position(&entry) {
            self.entries.insert(index, entry);
        }
    }

    /// Removes an upstream from an address.
    pub(crate) fn remove(&mut self, address: SocketAddr, id: &UpstreamIncarnation) {
        if let Ok(index) = self.position(&(address, id.clone())) {
            self.entries.remove(index);
        }
    }

    /// Upstreams with an address, sorted by incarnation.
    pub(crate) fn at(&self, address: SocketAddr) -> impl Iterator<Item = &UpstreamIncarnation> {
        let start = self.entries.partition_point(|(other, _)| {
            self.comparisons.record(other.cmp(&address)) == std::cmp::Ordering::Less
        });
        self.entries[start..]
            .iter()
            .take_while(move |(other, _)| self.comparisons.record(*other == address))
            .map(|(_, id)| id)
    }

    /// Number of comparisons made so far.
    pub(crate) fn comparisons(&self) -> u64 {
        self.comparisons.count()
    }

    fn position(&self, entry: &(SocketAddr, UpstreamIncarnation)) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|other| self.comparisons.record(other.cmp(entry)))
    }
}
