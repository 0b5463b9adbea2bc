//! News of the platform within an availability zone: who reads it, and who may rely on that.

use super::*;

/// VMs of a zone that read the table of upstreams, by the number of VMs in it: one may be lost, and then
/// the others read by themselves until its successor is known.
const ONE_READER_UP_TO: usize = 8;

/// Age up to which another VM's reading of the store counts: it reads every 1.1 s and tells every 0.4 s.
/// A VM that relies on it and finds it older reads by itself at once, which leaves 0.4 s of the two
/// seconds in which a leaving upstream must be known.
pub const NEWS_AGE: Duration = Duration::from_millis(1600);

/// Wait for the rest of news that came in part, or overtook a part, before the table is read instead.
pub const REST_WAIT: Duration = Duration::from_millis(60);

/// Changes in one datagram: about 110 bytes each, within 1,400.
pub const CHANGES_TOLD: usize = 10;

/// A VM's word on what it has read of the platform, to the VMs of its zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneNews {
    /// Its name.
    #[serde(rename = "v")]
    pub vm: Arc<str>,
    /// Version of the configuration in force there, if there is one yet.
    #[serde(rename = "c")]
    pub config: Option<ConfigVersion>,
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

/// What this VM knows by the word of others of its zone.
#[derive(Clone, Debug, Default)]
pub struct HeardNews {
    /// When the store was heard by the one who heard it last.
    store_heard: Option<Instant>,
    /// Since when the own table is known to miss something.
    behind: Option<Instant>,
}

/// How this VM stands to the news.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NewsState {
    /// The own table holds what the store said, until then at least.
    Fresh(Instant),
    /// Something is missing; it may still come until then.
    Behind(Instant),
    /// Nobody tells.
    Silent,
}

impl HeardNews {
    /// Takes in a word, after the changes in it were taken into `table`.
    pub fn take(&mut self, news: &ZoneNews, table: &UpstreamTable, now: Instant) {
        let age = Duration::from_millis(news.age_ms.into());
        let heard = Instant(now.0.saturating_sub(age));
        self.store_heard = self.store_heard.max(Some(heard));
        if table.is_behind(news.version, news.digest) {
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

    /// Whether the own table can be relied on without reading it.
    #[must_use]
    pub fn state(&self, now: Instant) -> NewsState {
        let until = self.store_heard.map(|heard| heard.after(NEWS_AGE));
        match (until, self.behind) {
            (Some(until), None) if now < until => NewsState::Fresh(until),
            (Some(until), Some(since)) if now < until && now.since(since) < REST_WAIT => {
                NewsState::Behind(since.after(REST_WAIT))
            }
            _ => NewsState::Silent,
        }
    }
}

/// Whether a VM is one of those that read the table for its zone. `zone_vms` are the live ones, itself
/// among them.
#[must_use]
pub fn reads_for_zone(vm: &str, zone_vms: &[Arc<str>]) -> bool {
    let readers = if zone_vms.len() <= ONE_READER_UP_TO {
        1
    } else {
        2
    };
    let ranked = rendezvous_rank("reader", zone_vms.to_vec(), Arc::clone);
    ranked
        .iter()
        .take(readers)
        .any(|reader| reader.as_ref() == vm)
}
