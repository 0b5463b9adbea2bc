//! Which bundle a VM takes, from what it hears.
//!
//! Word of a release comes from the table service and from peers: late, crossed and repeated. A VM
//! only moves to a larger version. One that starts knows nothing, and the first word it hears from
//! a peer may be old; serving under that would take back a release on this VM. So it waits for the
//! table service, and takes the largest of its peers' words only once the table service has not
//! answered for a while.

use super::*;

/// How long a VM that starts waits for the table service before it takes its peers' word.
///
/// Peers exchange what they know once a second, and a read of the table service is given up after
/// one second: in three seconds every reachable peer has spoken and the table service has failed
/// twice.
pub const PEER_FALLBACK_DELAY: Duration = Duration::from_secs(3);

/// What a VM knows of releases.
#[derive(Clone, Debug)]
pub struct BundleView {
    started: Instant,
    in_force: BundleVersion,
    peers: Option<(BundleVersion, BundleDigest)>,
    table: Option<(BundleVersion, BundleDigest)>,
    heard_table: bool,
}

impl BundleView {
    /// The view of a VM that starts now and knows nothing.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            in_force: BundleVersion::default(),
            peers: None,
            table: None,
            heard_table: false,
        }
    }

    /// Takes in an answer of the table service; `None` if nothing was ever rolled out.
    pub fn table(&mut self, current: Option<(BundleVersion, BundleDigest)>) {
        self.heard_table = true;
        self.table = self.table.max(current);
    }

    /// Takes in the word of a peer.
    pub fn hear(&mut self, version: BundleVersion, digest: BundleDigest) {
        if self.peers.is_none_or(|(largest, _)| version > largest) {
            self.peers = Some((version, digest));
        }
    }

    /// Notes that no source has the content of a release. If only peers spoke of it, their word is
    /// forgotten: a wrong one would otherwise stand before every true release to come.
    pub fn unfetchable(&mut self, version: BundleVersion) {
        self.peers = self.peers.filter(|(largest, _)| *largest != version);
    }

    /// Notes the version in force.
    pub fn advanced(&mut self, version: BundleVersion) {
        self.in_force = self.in_force.max(version);
    }

    /// The release to fetch and put in force, if any.
    #[must_use]
    pub fn wanted(&self, now: Instant) -> Option<(BundleVersion, BundleDigest)> {
        let serves = self.in_force > BundleVersion::default();
        let may_start = self.heard_table || now.since(self.started) >= PEER_FALLBACK_DELAY;
        // Where both name one version, the table service knows its digest.
        let largest = match (self.peers, self.table) {
            (Some(peers), Some(table)) if peers.0 <= table.0 => Some(table),
            (peers, table) => peers.or(table),
        };
        largest.filter(|(version, _)| *version > self.in_force && (serves || may_start))
    }
}
