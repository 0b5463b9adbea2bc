//! Counts the upstreams that crashed while running the same call.
//!
//! A call whose body crashes its upstream is retried by its caller on any VM, and so takes down one
//! upstream after the other, together with all calls that run there. Each VM records which upstreams
//! crashed while running a call, sends these records to the other VMs, and refuses the call from the third
//! crash on. A call that was accepted before is not sent again either, and is withdrawn from the upstream
//! in which it waits. A call that received a complete response is cleared, whichever upstreams crashed under
//! it before. Crashes that a refused call explains are not attributed to the calls that ran beside it.

use super::*;

/// Number of crashed upstreams at which a call is refused. Two may be a coincidence, because whole
/// availability zones crash together.
pub const MAX_CRASHES_PER_BODY: usize = 3;

/// Weight of the crashes under a call from which on it is not sent again.
const RESEND_LIMIT: usize = MAX_CRASHES_PER_BODY * CrashPhase::BeforeEvent.weight();

/// How long a crash counts: far longer than callers keep retrying.
const CRASH_TTL: Duration = Duration::from_secs(600);

/// How long a crash is sent to other VMs: usually longer than a VM is partitioned or paused. Without a
/// limit, crashes of hours ago would fill every heartbeat.
const SEND_PERIOD: Duration = Duration::from_secs(20);

/// Maximum number of crashes that are kept; the oldest under calls that are not refused are evicted first.
const MAX_TRACKED: usize = 4096;

/// Crashes of upstreams by the digest of the call that ran there.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    /// Sorted by digest and upstream.
    crashes: Vec<TrackedCrash>,
}

#[derive(Clone, Debug)]
struct TrackedCrash {
    crash: Crash,
    /// Number of times that the crash was sent to other VMs.
    times_sent: u32,
}

/// Crash of an upstream while it ran a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Crash {
    /// Digest of the call's path, team and body.
    pub digest: u64,
    /// The upstream that crashed.
    pub upstream: UpstreamIncarnation,
    /// When this process learned of the crash; the same for all calls that ran there.
    #[serde(skip)]
    pub at: Instant,
    /// Whether the call has received a complete response since.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub cleared: bool,
    /// How far the run had come.
    #[serde(
        rename = "p",
        default,
        skip_serializing_if = "CrashPhase::is_before_event"
    )]
    pub phase: CrashPhase,
}

/// How far a run had come when its upstream crashed.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub enum CrashPhase {
    /// It had produced no event.
    #[default]
    #[serde(rename = "b")]
    BeforeEvent,
    /// It had produced an event, so it had got past the point at which a call usually crashes its upstream.
    #[serde(rename = "a")]
    AfterEvent,
}

impl CrashPhase {
    /// Weight of a crash in the decision whether a call is sent again.
    #[must_use]
    pub const fn weight(self) -> usize {
        match self {
            Self::BeforeEvent => 2,
            Self::AfterEvent => 1,
        }
    }

    #[expect(
        clippy::trivially_copy_pass_by_ref,
        reason = "serde passes a reference"
    )]
    fn is_before_event(&self) -> bool {
        *self == Self::BeforeEvent
    }
}

impl CrashTracker {
    /// Records a crash, or that it is cleared; returns whether that is new.
    pub fn record_crash(&mut self, crash: Crash) -> bool {
        let key = (crash.digest, &crash.upstream);
        match self
            .crashes
            .binary_search_by(|tracked| tracked.key().cmp(&key))
        {
            Ok(i) if crash.cleared => self.crashes[i].clear(),
            Ok(i) => {
                let known = &mut self.crashes[i].crash;
                known.phase = known.phase.min(crash.phase);
                false
            }
            Err(_) => {
                self.insert(crash);
                true
            }
        }
    }

    fn insert(&mut self, mut crash: Crash) {
        let now = crash.at;
        self.crashes
            .retain(|tracked| now.since(tracked.crash.at) < CRASH_TTL);
        if self.crashes.len() == MAX_TRACKED {
            self.evict(now);
        }
        for tracked in &mut self.crashes {
            if tracked.crash.upstream == crash.upstream {
                crash.at = crash.at.min(tracked.crash.at);
                tracked.crash.at = crash.at;
            }
        }
        let key = (crash.digest, &crash.upstream);
        let i = self.crashes.partition_point(|tracked| tracked.key() < key);
        self.crashes.insert(
            i,
            TrackedCrash {
                crash,
                times_sent: 0,
            },
        );
    }

    /// Removes the oldest crashes under calls that are not refused, or the oldest of all if there are none.
    fn evict(&mut self, now: Instant) {
        let refused = self
            .crashes
            .chunk_by(|a, b| a.crash.digest == b.crash.digest)
            .map(|same| same[0].crash.digest)
            .filter(|digest| self.limit_reached_at(*digest, now).is_some())
            .collect::<Vec<_>>();
        let is_refused =
            |tracked: &TrackedCrash| refused.binary_search(&tracked.crash.digest).is_ok();
        let oldest = |crashes: &[TrackedCrash], any: bool| {
            let evictable = crashes.iter().filter(|tracked| any || !is_refused(tracked));
            evictable.map(|tracked| tracked.crash.at).min()
        };
        let any = oldest(&self.crashes, false).is_none();
        let Some(evicted_at) = oldest(&self.crashes, any) else {
            return;
        };
        self.crashes
            .retain(|tracked| tracked.crash.at != evicted_at || (is_refused(tracked) && !any));
    }

    /// Crashes to send to other VMs: those sent least often, and of these the latest.
    ///
    /// If always the latest were sent, then after a crash of a zone's engines under more calls than a
    /// heartbeat holds, some crashes would never be sent, and each VM would lose upstreams to a call that
    /// is known to crash them.
    pub fn next_to_send(&mut self, max: usize, now: Instant) -> Vec<Crash> {
        let fresh = |tracked: &&mut TrackedCrash| now.since(tracked.crash.at) < SEND_PERIOD;
        let mut fresh = self.crashes.iter_mut().filter(fresh).collect::<Vec<_>>();
        fresh.sort_by_key(|tracked| (tracked.times_sent, std::cmp::Reverse(tracked.crash.at)));
        fresh.truncate(max);
        fresh
            .into_iter()
            .map(|tracked| {
                tracked.times_sent += 1;
                tracked.crash.clone()
            })
            .collect()
    }

    /// Records that a call received a complete response. Its crashes are kept, because otherwise the same
    /// crashes would count as new when other VMs report them.
    pub fn record_complete_response(&mut self, digest: u64) {
        let range = self.range(digest);
        for tracked in &mut self.crashes[range] {
            tracked.clear();
        }
    }

    /// Number of upstreams that crashed while running a call, without the crashes that are explained by a
    /// call refused earlier.
    #[must_use]
    pub fn crash_count(&self, digest: u64, now: Instant) -> usize {
        self.unexplained_crashes(digest, now).count()
    }

    /// Number of upstreams that crashed while running a call and whose crashes do not count, because a call
    /// refused earlier explains them.
    #[must_use]
    pub fn explained_count(&self, digest: u64, now: Instant) -> usize {
        self.active_crashes(digest, now).count() - self.crash_count(digest, now)
    }

    /// Whether a call is refused because of its crashes.
    #[must_use]
    pub fn is_refused(&self, digest: u64, now: Instant) -> bool {
        self.crash_count(digest, now) >= MAX_CRASHES_PER_BODY
    }

    /// Whether a call that was accepted is not sent to another upstream because of its crashes.
    #[must_use]
    pub fn forbids_resend(&self, digest: u64, now: Instant) -> bool {
        self.forbids_resend_with(digest, [], now)
    }

    /// Whether a call would not be sent to another upstream if upstreams had also crashed in these phases.
    #[must_use]
    pub fn forbids_resend_with(
        &self,
        digest: u64,
        unconfirmed: impl IntoIterator<Item = CrashPhase>,
        now: Instant,
    ) -> bool {
        let confirmed = self
            .unexplained_crashes(digest, now)
            .map(|crash| crash.phase);
        let weight = confirmed.chain(unconfirmed).map(CrashPhase::weight);
        weight.sum::<usize>() >= RESEND_LIMIT
    }

    /// Whether a crash of an upstream under a call is known.
    #[must_use]
    pub fn has_crash(&self, digest: u64, upstream: &UpstreamIncarnation) -> bool {
        let key = (digest, upstream);
        self.crashes
            .binary_search_by(|tracked| tracked.key().cmp(&key))
            .is_ok()
    }

    /// Whether an upstream is known to have crashed within `period`, under any call.
    #[must_use]
    pub fn has_crashed_within(
        &self,
        period: Duration,
        upstream: &UpstreamIncarnation,
        now: Instant,
    ) -> bool {
        self.crashes.iter().any(|tracked| {
            tracked.crash.upstream == *upstream && now.since(tracked.crash.at) < period
        })
    }

    fn unexplained_crashes(&self, digest: u64, now: Instant) -> impl Iterator<Item = &Crash> {
        let own_limit_at = self.limit_reached_at(digest, now);
        self.active_crashes(digest, now)
            .filter(move |crash| !self.is_explained_by_another(crash, own_limit_at, now))
    }

    /// Whether a call that reached the limit earlier than this one ran on the same upstream.
    fn is_explained_by_another(
        &self,
        crash: &Crash,
        own_limit_at: Option<Instant>,
        now: Instant,
    ) -> bool {
        self.crashes
            .iter()
            .map(|tracked| &tracked.crash)
            .filter(|other| other.upstream == crash.upstream && other.digest != crash.digest)
            .filter_map(|other| self.limit_reached_at(other.digest, now))
            .any(|other| own_limit_at.is_none_or(|own| other < own))
    }

    /// When the crashes under a call reached the limit, regardless of the calls that ran beside it.
    fn limit_reached_at(&self, digest: u64, now: Instant) -> Option<Instant> {
        let times = self.active_crashes(digest, now).map(|crash| crash.at);
        Instant::nth_smallest(times, MAX_CRASHES_PER_BODY)
    }

    fn active_crashes(&self, digest: u64, now: Instant) -> impl Iterator<Item = &Crash> {
        self.crashes[self.range(digest)]
            .iter()
            .map(|tracked| &tracked.crash)
            .filter(move |crash| !crash.cleared && now.since(crash.at) < CRASH_TTL)
    }

    /// Index range of a call's crashes.
    fn range(&self, digest: u64) -> std::ops::Range<usize> {
        let start = self
            .crashes
            .partition_point(|tracked| tracked.crash.digest < digest);
        let end = self
            .crashes
            .partition_point(|tracked| tracked.crash.digest <= digest);
        start..end
    }
}

impl TrackedCrash {
    fn key(&self) -> (u64, &UpstreamIncarnation) {
        (self.crash.digest, &self.crash.upstream)
    }

    /// Marks the call as having received a complete response; returns whether that is new.
    fn clear(&mut self) -> bool {
        let is_new = !self.crash.cleared;
        if is_new {
            self.crash.cleared = true;
            self.times_sent = 0;
        }
        is_new
    }
}
