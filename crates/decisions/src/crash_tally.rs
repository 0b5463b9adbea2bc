//! Calls that crash each upstream that runs them.
//!
//! Load pattern: a call's body crashes its upstream, the caller sends it again to any VM, and so it
//! takes down one upstream after the other, with all that runs beside it. Each VM counts the
//! upstreams that died under a body, tells the others, and refuses the body from the third on. A
//! body that was delivered well is innocent, whatever died under it before.

use super::*;

/// Upstreams that may die under one body. Two may be chance: whole availability zones crash together.
pub const MOST_CRASHES: usize = 3;

/// How long a crash counts: far longer than callers go on asking.
const EXPIRY: Duration = Duration::from_secs(600);

/// Crashes kept at most; the oldest go first.
const MOST_KEPT: usize = 4096;

/// Deaths of upstreams by the digest of the body that ran there.
#[derive(Clone, Debug, Default)]
pub struct CrashTally {
    crashes: Vec<Crash>,
}

/// The death of an upstream under a body.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Crash {
    /// Digest of the call: path, team and body.
    pub digest: u64,
    /// The upstream that died.
    pub upstream: UpstreamIncarnation,
    /// When this process heard of it.
    #[serde(skip)]
    pub at: Instant,
}

impl CrashTally {
    /// Notes a death; tells whether it is news.
    pub fn crashed(&mut self, crash: Crash) -> bool {
        let known = self
            .crashes
            .iter()
            .any(|c| c.digest == crash.digest && c.upstream == crash.upstream);
        if known {
            return false;
        }
        if self.crashes.len() == MOST_KEPT {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        true
    }

    /// The latest crashes, to be told to other VMs.
    #[must_use]
    pub fn latest(&self, most: usize) -> Vec<Crash> {
        self.crashes.iter().rev().take(most).cloned().collect()
    }

    /// Notes that a call was answered in whole.
    pub fn delivered(&mut self, digest: u64) {
        self.crashes.retain(|crash| crash.digest != digest);
    }

    /// Upstreams that have died under a body.
    #[must_use]
    pub fn crashes(&self, digest: u64, now: Instant) -> usize {
        self.crashes
            .iter()
            .filter(|crash| crash.digest == digest && now.since(crash.at) < EXPIRY)
            .count()
    }

    /// Whether a body is refused.
    #[must_use]
    pub fn refuses(&self, digest: u64, now: Instant) -> bool {
        self.crashes(digest, now) >= MOST_CRASHES
    }
}
