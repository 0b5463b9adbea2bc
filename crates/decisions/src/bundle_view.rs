//! Selects the bundle release that a VM puts in force.
//!
//! The table service and peers announce releases, and the announcements may arrive late, out of
//! order and more than once. A VM only moves to a larger version. A VM that starts has no version
//! yet, and the first one that a peer advertises may be stale; serving it would undo a later release
//! on this VM. So a starting VM waits for the table service, and uses the largest version that its
//! peers advertise only if the table service has not responded for a while.

use super::*;

/// Time that a starting VM waits for the table service before it uses the versions of its peers.
///
/// Peers exchange their state once a second, and a read of the table service times out after one
/// second: in three seconds every reachable peer has sent its version and the table service has
/// failed twice.
pub const PEER_FALLBACK_DELAY: Duration = Duration::from_secs(3);

/// The releases that a VM has learned of.
#[derive(Clone, Debug)]
pub struct BundleView {
    started: Instant,
    in_force: BundleVersion,
    peer_release: Option<(BundleVersion, BundleDigest)>,
    table_release: Option<(BundleVersion, BundleDigest)>,
    table_responded: bool,
}

impl BundleView {
    /// Creates the view of a VM that starts at `now` and knows of no release.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            in_force: BundleVersion::default(),
            peer_release: None,
            table_release: None,
            table_responded: false,
        }
    }

    /// Records the current release in the table service; `None` if nothing was ever rolled out.
    pub fn record_table_release(&mut self, current: Option<(BundleVersion, BundleDigest)>) {
        self.table_responded = true;
        self.table_release = self.table_release.max(current);
    }

    /// Records a release that a peer advertises.
    pub fn record_peer_release(&mut self, version: BundleVersion, digest: BundleDigest) {
        if self
            .peer_release
            .is_none_or(|(largest, _)| version > largest)
        {
            self.peer_release = Some((version, digest));
        }
    }

    /// Records that no source has the content of a release. If only peers advertise it, it is
    /// discarded: a wrong version would otherwise take precedence over every later real release.
    pub fn record_unavailable(&mut self, version: BundleVersion) {
        self.peer_release = self.peer_release.filter(|(largest, _)| *largest != version);
    }

    /// Records the version in force.
    pub fn record_in_force(&mut self, version: BundleVersion) {
        self.in_force = self.in_force.max(version);
    }

    /// Returns the release to fetch and put in force, if there is one.
    #[must_use]
    pub fn next_release(&self, now: Instant) -> Option<(BundleVersion, BundleDigest)> {
        let serving = self.in_force > BundleVersion::default();
        let may_bootstrap = self.table_responded || now.since(self.started) >= PEER_FALLBACK_DELAY;
        // For the same version, the digest of the table service takes precedence over a peer's.
        let largest = match (self.peer_release, self.table_release) {
            (Some(peer), Some(table)) if peer.0 <= table.0 => Some(table),
            (peer, table) => peer.or(table),
        };
        largest.filter(|(version, _)| *version > self.in_force && (serving || may_bootstrap))
    }
}
