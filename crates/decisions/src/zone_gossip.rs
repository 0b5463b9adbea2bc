//! Gossip within an availability zone: what the VMs that poll the store advertise, and who may rely on it.

use super::*;

/// Age up to which another VM's poll of the store counts: it polls every 1.1 s and gossips every 0.4 s. A VM whose
/// gossip is older polls by itself at once, which leaves 0.4 s of the two seconds in which a leaving upstream must
/// be known.
pub const GOSSIP_MAX_AGE: Duration = Duration::from_millis(1600);

/// Age of the reader's word at which the VM that stands by reads: later than the reader's word comes as a rule, and
/// sooner than the others do without it.
pub const STANDBY_MAX_AGE: Duration = Duration::from_millis(1300);

/// Age up to which another VM's reading of the configuration counts. Its question waits at the store for up to
/// [`CONFIG_POLL_TIMEOUT`]; the rest is for a store that is slow. Beyond that a VM asks by itself, which leaves half a
/// second of the three in which a configuration must be in force.
pub const CONFIG_GOSSIP_MAX_AGE: Duration = Duration::from_millis(2400);

/// How long a question for changes of the configuration waits at the store. Its sum with the bound of an answer
/// stays below three seconds, so that a silent connection is noticed in that time.
pub const CONFIG_POLL_TIMEOUT: Duration = Duration::from_millis(1900);

/// Wait for the rest of a delta that came in part, or overtook a part, before the table is read instead.
pub const DELTA_WAIT: Duration = Duration::from_millis(60);

/// Changes in one datagram: about 110 bytes each, within 1,400.
pub const MAX_GOSSIPED_CHANGES: usize = 10;

/// What a VM advertises to its zone of what it has read from the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneGossip {
    /// Its name.
    #[serde(rename = "v")]
    pub vm: Arc<str>,
    /// Version of the configuration in force there, if there is one yet.
    #[serde(rename = "c")]
    pub config: Option<ConfigVersion>,
    /// Whether others read that configuration from the store, as the VM's link cannot carry it to all of them.
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    pub config_from_store: bool,
    /// Milliseconds since the store was asked there for the configuration and answered; none if it never was.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub config_age_ms: Option<u32>,
    /// Version of the store up to which it has read the table of upstreams.
    #[serde(rename = "n")]
    pub version: u64,
    /// Digest of that table.
    #[serde(rename = "d")]
    pub digest: u64,
    /// Milliseconds since the store was heard.
    #[serde(rename = "g")]
    pub age_ms: u32,
    /// What has changed, in full or in part.
    #[serde(rename = "u")]
    pub changes: Vec<UpstreamChange>,
}

/// What this VM has received from others of its zone.
#[derive(Clone, Debug, Default)]
pub struct GossipView {
    /// When the store last answered any of them.
    store_heard: Option<Instant>,
    /// When any of them last polled the store for the configuration.
    config_heard: Option<Instant>,
    /// Since when the own table is known to miss something.
    behind: Option<Instant>,
}

/// Whether this VM may rely on gossip.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GossipState {
    /// The own table holds what the store said, until then at least.
    Fresh(Instant),
    /// Something is missing; it may still come until then.
    Behind(Instant),
    /// No fresh gossip.
    Silent,
}

impl GossipView {
    /// Takes in gossip, after the changes in it were merged into `table`.
    pub fn take(&mut self, gossip: &ZoneGossip, table: &UpstreamTable, now: Instant) {
        let ago = |ms: u32| now.before(Duration::from_millis(ms.into()));
        self.store_heard = self.store_heard.max(Some(ago(gossip.age_ms)));
        self.config_heard = self.config_heard.max(gossip.config_age_ms.map(ago));
        if table.is_behind(gossip.version, gossip.digest) {
            self.behind.get_or_insert(now);
        } else {
            self.behind = None;
        }
    }

    /// Notes that the table was read here.
    pub fn read_here(&mut self) {
        self.behind = None;
    }

    /// Time since the store was heard by the one who heard it last, if anybody told.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.store_heard.map(|heard| now.since(heard))
    }

    /// Until when the configuration is known by the word of others; none if nobody told of theirs.
    #[must_use]
    pub fn config_until(&self) -> Option<Instant> {
        self.config_heard
            .map(|heard| heard.after(CONFIG_GOSSIP_MAX_AGE))
    }

    /// Whether the own table can be relied on without reading it, for words up to an age.
    #[must_use]
    pub fn state(&self, age: Duration, now: Instant) -> GossipState {
        let until = self.store_heard.map(|heard| heard.after(age));
        match (until, self.behind) {
            (Some(until), None) if now < until => GossipState::Fresh(until),
            (Some(until), Some(since)) if now < until && now.since(since) < DELTA_WAIT => {
                GossipState::Behind(since.after(DELTA_WAIT))
            }
            _ => GossipState::Silent,
        }
    }
}
