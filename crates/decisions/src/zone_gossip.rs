//! Gossip within an availability zone: VMs that poll the store advertise what they read, so that the
//! other VMs need not poll it while the gossip is fresh.

use super::*;

/// Maximum age of another VM's poll of the store: that VM polls every 1.1 s and gossips every 0.4 s.
/// A VM whose newest gossip is older polls the store itself at once, which leaves 0.4 s of the two
/// seconds within which every VM must know of a leaving upstream.
pub const GOSSIP_MAX_AGE: Duration = Duration::from_millis(1600);

/// Age of the reader's gossip at which the standby polls the store: longer than the typical interval
/// between the reader's gossip, and shorter than the age at which the other VMs stop relying on it.
pub const STANDBY_MAX_AGE: Duration = Duration::from_millis(1300);

/// Maximum age of another VM's poll of the configuration. Its long poll takes up to [`CONFIG_POLL_TIMEOUT`];
/// the rest allows for a slow store. When the gossip is older, a VM polls the store itself, which
/// leaves half a second of the three within which a configuration must be in force.
pub const CONFIG_GOSSIP_MAX_AGE: Duration = Duration::from_millis(2400);

/// Time that the store holds a long poll for configuration changes. Together with the response timeout
/// it stays below three seconds, so that a connection without responses is detected in that time.
pub const CONFIG_POLL_TIMEOUT: Duration = Duration::from_millis(1900);

/// Time to wait for the rest of a delta that arrived incomplete or out of order; afterwards the table
/// is read from the store instead.
pub const DELTA_WAIT: Duration = Duration::from_millis(60);

/// Maximum number of changes in one datagram: a change takes about 110 bytes of 1,400.
pub const MAX_GOSSIPED_CHANGES: usize = 10;

/// Number of datagrams in which a reader may send one delta to its zone over any link.
const MIN_DELTA_DATAGRAMS: u64 = 512;

/// Size of a full datagram, in bytes.
const DATAGRAM_BYTES: u64 = 1400;

/// Whether a delta of this many changes is sent as datagrams to this many VMs. The members read a larger one over
/// a connection: as datagrams it would fill more than half of the sender's link for [`DELTA_WAIT`], and those
/// that are lost would make every member read the table.
#[must_use]
pub fn gossips_changes(changes: usize, recipients: usize, link: Option<LinkRate>) -> bool {
    let datagrams = changes.div_ceil(MAX_GOSSIPED_CHANGES) * recipients;
    let carried = link.map_or(0, |link| link.bytes_in(DELTA_WAIT) / 2 / DATAGRAM_BYTES);
    u64::try_from(datagrams).is_ok_and(|datagrams| datagrams <= carried.max(MIN_DELTA_DATAGRAMS))
}

/// What a VM has read from the store, as advertised to the other VMs of its zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneGossip {
    /// Id of the sending VM.
    #[serde(rename = "v")]
    pub vm: Arc<str>,
    /// Version of the configuration in force at the sender, if there is one yet.
    #[serde(rename = "c")]
    pub config: Option<ConfigVersion>,
    /// Whether the other VMs must read that configuration from the store, because the sender's link
    /// cannot carry it to all of them.
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    pub config_from_store: bool,
    /// Milliseconds since the sender's last successful poll of the configuration; `None` if there was
    /// none.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub config_age_ms: Option<u32>,
    /// Store position up to which the sender has read the upstream table.
    #[serde(rename = "n")]
    pub position: StorePosition,
    /// Digest of the sender's upstream table.
    #[serde(rename = "d")]
    pub digest: u64,
    /// Milliseconds since the sender's last response from the store.
    #[serde(rename = "g")]
    pub age_ms: u32,
    /// Changed rows of the upstream table: all of a delta, or one part of it.
    #[serde(rename = "u")]
    pub changes: Vec<UpstreamChange>,
    /// Bandwidth of the sender's link, if it is known.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub link: Option<LinkRate>,
    /// Status of some of the zone's VMs.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<MemberStatus>,
}

/// Freshness of the gossip that this VM has received from its zone.
#[derive(Clone, Debug, Default)]
pub struct GossipView {
    /// Time of the store's last response to any VM whose gossip this VM has received.
    store_last_seen: Option<Instant>,
    /// Time of the last successful configuration poll by any VM whose gossip this VM has received.
    config_last_seen: Option<Instant>,
    /// Time since which the local table is known to miss changes.
    behind_since: Option<Instant>,
    /// Position and digest of the table of the VM that last advertised missing changes.
    behind: (StorePosition, u64),
}

/// Whether this VM may rely on gossip.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GossipState {
    /// The local table is up to date and can be relied on until this time.
    Fresh(Instant),
    /// Changes are missing, which may still arrive until this time.
    Behind(Instant),
    /// There is no fresh gossip, or missing changes have not arrived in time.
    Silent,
}

impl GossipView {
    /// Records received gossip, after its changes were merged into `table`. Gossip of an earlier era than the
    /// table's shows nothing: what its sender has read since the store came back is not in it.
    pub fn record(&mut self, gossip: &ZoneGossip, table: &UpstreamTable, now: Instant) {
        if gossip.position.era < table.position().era {
            return;
        }
        let ago = |ms: u32| now.before(Duration::from_millis(ms.into()));
        self.store_last_seen = self.store_last_seen.max(Some(ago(gossip.age_ms)));
        self.config_last_seen = self.config_last_seen.max(gossip.config_age_ms.map(ago));
        if table.is_behind(gossip.position, gossip.digest) {
            self.behind_since.get_or_insert(now);
            self.behind = (gossip.position, gossip.digest);
        } else {
            self.behind_since = None;
        }
    }

    /// Records that this VM has read the table from the store itself.
    pub fn record_own_read(&mut self) {
        self.behind_since = None;
    }

    /// Records that this VM has read changes from another VM, and that `table` contains them.
    pub fn record_catch_up(&mut self, table: &UpstreamTable) {
        let (position, digest) = self.behind;
        if !table.is_behind(position, digest) {
            self.behind_since = None;
        }
    }

    /// Whether changes are missing here that another VM has advertised and that have not arrived in time.
    #[must_use]
    pub fn has_missed_changes(&self, max_age: Duration, now: Instant) -> bool {
        let is_fresh = self.store_age(now).is_some_and(|age| age < max_age);
        is_fresh
            && self
                .behind_since
                .is_some_and(|since| now.since(since) >= DELTA_WAIT)
    }

    /// Time since the last response of the store to any VM that sent gossip; `None` without gossip.
    #[must_use]
    pub fn store_age(&self, now: Instant) -> Option<Duration> {
        self.store_last_seen.map(|last_seen| now.since(last_seen))
    }

    /// Time until which gossip about the configuration can be relied on; `None` if no VM has sent any.
    #[must_use]
    pub fn config_valid_until(&self) -> Option<Instant> {
        self.config_last_seen
            .map(|last_seen| last_seen.after(CONFIG_GOSSIP_MAX_AGE))
    }

    /// Whether the local table can be relied on without reading the store, given a maximum age of the
    /// gossip.
    #[must_use]
    pub fn state(&self, max_age: Duration, now: Instant) -> GossipState {
        let until = self
            .store_last_seen
            .map(|last_seen| last_seen.after(max_age));
        match (until, self.behind_since) {
            (Some(until), None) if now < until => GossipState::Fresh(until),
            (Some(until), Some(since)) if now < until && now.since(since) < DELTA_WAIT => {
                GossipState::Behind(since.after(DELTA_WAIT))
            }
            _ => GossipState::Silent,
        }
    }
}
