//! Calls that crash each upstream that runs them.
//!
//! Load pattern: a call's body crashes its upstream, the caller sends it again to any VM, and so it
//! takes down one upstream after the other, with all that runs beside it. Each VM counts the
//! upstreams that died under a body, tells the others, and refuses the body from the third on. A
//! body that was delivered well is innocent, whatever died under it before. Deaths that a refused
//! body explains are not laid to those that ran beside it.

use super::*;

/// Upstreams that may die under one body. Two may be chance: whole availability zones crash together.
pub const MAX_CRASHES_PER_BODY: usize = 3;

/// How long a crash counts: far longer than callers go on asking.
const EXPIRY: Duration = Duration::from_secs(600);

/// How long a crash is told: longer than VMs are cut off or paused for, as a rule. Told for good, crashes
/// of hours ago would fill every note.
const TOLD_FOR: Duration = Duration::from_secs(20);

/// Crashes kept at most; the oldest go first.
const MOST_KEPT: usize = 4096;

/// Deaths of upstreams by the digest of the body that ran there.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    /// Sorted by digest and upstream.
    crashes: Vec<KnownCrash>,
}

#[derive(Clone, Debug)]
struct KnownCrash {
    crash: Crash,
    /// How often other VMs were told.
    told: u32,
}

/// The death of an upstream under a body.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Crash {
    /// Digest of the call: path, team and body.
    pub digest: u64,
    /// The upstream that died.
    pub upstream: UpstreamIncarnation,
    /// When this process first heard of the death; the same for all bodies that ran there.
    #[serde(skip)]
    pub at: Instant,
    /// Whether the body was delivered well since.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cleared: bool,
}

impl CrashTracker {
    /// Notes a death; tells whether it is news.
    pub fn crashed(&mut self, crash: Crash) -> bool {
        let key = (crash.digest, &crash.upstream);
        match self.crashes.binary_search_by(|known| known.key().cmp(&key)) {
            Ok(i) if crash.cleared => self.crashes[i].clear(),
            Ok(_) => false,
            Err(_) => {
                self.insert(crash);
                true
            }
        }
    }

    fn insert(&mut self, mut crash: Crash) {
        let now = crash.at;
        self.crashes
            .retain(|known| now.since(known.crash.at) < EXPIRY);
        if self.crashes.len() == MOST_KEPT {
            let oldest = self.crashes.iter().map(|known| known.crash.at).min();
            self.crashes.retain(|known| Some(known.crash.at) != oldest);
        }
        for known in &mut self.crashes {
            if known.crash.upstream == crash.upstream {
                crash.at = crash.at.min(known.crash.at);
                known.crash.at = crash.at;
            }
        }
        let key = (crash.digest, &crash.upstream);
        let i = self.crashes.partition_point(|known| known.key() < key);
        self.crashes.insert(i, KnownCrash { crash, told: 0 });
    }

    /// Crashes to be told to other VMs: those told least often, of these the latest.
    ///
    /// Were it always the latest, those of a zone whose engines crash together under more calls than a
    /// note holds would never be told, and each VM would lose upstreams to a body that is known to kill.
    pub fn to_tell(&mut self, most: usize, now: Instant) -> Vec<Crash> {
        let fresh = |known: &&mut KnownCrash| now.since(known.crash.at) < TOLD_FOR;
        let mut fresh = self.crashes.iter_mut().filter(fresh).collect::<Vec<_>>();
        fresh.sort_by_key(|known| (known.told, std::cmp::Reverse(known.crash.at)));
        fresh.truncate(most);
        fresh
            .into_iter()
            .map(|known| {
                known.told += 1;
                known.crash.clone()
            })
            .collect()
    }

    /// Notes that a call was answered in whole. The crashes are kept, or what other VMs heard of them
    /// would be taken for news.
    pub fn delivered(&mut self, digest: u64) {
        let range = self.range(digest);
        for known in &mut self.crashes[range] {
            known.clear();
        }
    }

    /// Upstreams that have died under a body, but for those that a body refused earlier explains.
    #[must_use]
    pub fn crashes(&self, digest: u64, now: Instant) -> usize {
        let refused = self.refused_at(digest, now);
        self.counted(digest, now)
            .filter(|crash| !self.is_explained(crash, refused, now))
            .count()
    }

    /// Whether a body is refused.
    #[must_use]
    pub fn refuses(&self, digest: u64, now: Instant) -> bool {
        self.crashes(digest, now) >= MAX_CRASHES_PER_BODY
    }

    /// Whether a body that was to be refused earlier than this one ran on the same upstream.
    fn is_explained(&self, crash: &Crash, refused: Option<Instant>, now: Instant) -> bool {
        self.crashes
            .iter()
            .map(|known| &known.crash)
            .filter(|other| other.upstream == crash.upstream && other.digest != crash.digest)
            .filter_map(|other| self.refused_at(other.digest, now))
            .any(|other| refused.is_none_or(|own| other < own))
    }

    /// When so many upstreams had died under a body that it is refused, whoever ran beside it.
    fn refused_at(&self, digest: u64, now: Instant) -> Option<Instant> {
        let times = self.counted(digest, now).map(|crash| crash.at);
        Instant::nth_smallest(times, MAX_CRASHES_PER_BODY)
    }

    fn counted(&self, digest: u64, now: Instant) -> impl Iterator<Item = &Crash> {
        self.crashes[self.range(digest)]
            .iter()
            .map(|known| &known.crash)
            .filter(move |crash| !crash.cleared && now.since(crash.at) < EXPIRY)
    }

    /// Places of a body's crashes.
    fn range(&self, digest: u64) -> std::ops::Range<usize> {
        let start = self
            .crashes
            .partition_point(|known| known.crash.digest < digest);
        let end = self
            .crashes
            .partition_point(|known| known.crash.digest <= digest);
        start..end
    }
}

impl KnownCrash {
    fn key(&self) -> (u64, &UpstreamIncarnation) {
        (self.crash.digest, &self.crash.upstream)
    }

    /// Notes that the body was delivered well; tells whether that is news.
    fn clear(&mut self) -> bool {
        let news = !self.crash.cleared;
        if news {
            self.crash.cleared = true;
            self.told = 0;
        }
        news
    }
}
