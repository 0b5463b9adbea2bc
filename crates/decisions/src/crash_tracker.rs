//! Attributes crashes of upstreams to the calls that ran there.
//!
//! A call that crashes its upstream is retried by its caller on any VM, and so takes down one upstream after the other,
//! together with all calls that run there. Its cause may be the whole body, or one part of the prompt, which other
//! bodies have too. Each VM records which upstreams crashed under which attributes of calls, sends these records to
//! the other VMs, and refuses calls with an attribute that crashes upstreams: a body from the third crash on, a part
//! as `part_blame.rs` decides. A call that was accepted before is not sent again either, and is withdrawn from the
//! upstream in which it waits. A body that received a complete response is cleared, and a part of which a run got past
//! its beginning. Crashes that a refused attribute explains do not count for the calls that ran beside it.

use super::*;
use std::cmp::Reverse;

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

/// How long a crash under a part counts: as long as a part may stay blocked, and a while for trials after that.
const PART_CRASH_TTL: Duration = Duration::from_secs(1800);

/// Number of times that a crash under a part is sent to other VMs.
const SENDS_PER_PART_CRASH: u32 = 3;

/// Maximum number of crashes under a part that are kept of one moment.
const MAX_CRASHES_PER_MOMENT: usize = 3;

/// Number of crashes of a blamed part that are sent to VMs that may have started since.
const MAX_EVIDENCE: usize = 6;

/// Crashes of upstreams by attribute of the calls that ran there.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    /// Sorted by attribute and upstream.
    crashes: Vec<TrackedCrash>,
    /// Times of the tracked crashes, the same for all of an upstream, sorted by upstream.
    crash_times: Vec<(UpstreamIncarnation, Instant)>,
    clean_runs: CleanRuns,
    /// Parts that crash upstreams, sorted by part.
    blamed: Vec<BlamedPart>,
    /// When this VM last tried a call with a part.
    trials: Vec<(PartId, Instant)>,
    /// Number of the next blamed part whose evidence is sent.
    next_evidence: usize,
    /// The refused body whose crashes were sent last to VMs that may have started since.
    last_refused: u64,
}

/// A crash and how far it is known to others.
#[derive(Clone, Debug)]
struct TrackedCrash {
    crash: Crash,
    /// Whether this VM has seen the crash itself.
    is_own: bool,
    /// When the upstream crashed, or the crash was cleared.
    changed_at: Instant,
    /// Number of times that the crash was sent to other VMs.
    times_sent: u32,
}

impl CrashTracker {
    /// Records a crash that this VM has seen; returns whether it is new.
    pub fn record_crash(&mut self, crash: Crash) -> bool {
        let now = crash.at;
        self.record(crash, true, now)
    }

    /// Records a crash that another VM reports at `now`, or that it is cleared; returns whether that is new.
    pub fn record_reported(&mut self, crash: Crash, now: Instant) -> bool {
        self.record(crash, false, now)
    }

    fn record(&mut self, mut crash: Crash, is_own: bool, now: Instant) -> bool {
        if let CallAttribute::Part(part) = &crash.attribute {
            let last_began = self.clean_runs.last_began(part);
            crash.cleared |= last_began.is_some_and(|began| began >= crash.at);
        }
        let key = (&crash.attribute, &crash.upstream);
        match self
            .crashes
            .binary_search_by(|tracked| tracked.key().cmp(&key))
        {
            Ok(i) if crash.cleared => self.crashes[i].clear(now),
            Ok(i) => self.crashes[i].merge(&crash),
            Err(_) if self.is_superfluous(&crash) => false,
            Err(_) => {
                self.insert(crash, is_own);
                true
            }
        }
    }

    /// Whether enough crashes under a part are known of the same moment. When a zone's engines crash, all of them do
    /// under a part that many calls share.
    fn is_superfluous(&self, crash: &Crash) -> bool {
        if matches!(crash.attribute, CallAttribute::Body(_)) {
            return false;
        }
        let is_of_moment = |tracked: &&TrackedCrash| {
            let at = tracked.crash.at;
            at.since(crash.at).max(crash.at.since(at)) <= MOMENT
        };
        let known = self.crashes[self.range(&crash.attribute)].iter();
        known.filter(is_of_moment).count() >= MAX_CRASHES_PER_MOMENT
    }

    fn insert(&mut self, mut crash: Crash, is_own: bool) {
        let now = crash.at;
        let before = self.crashes.len();
        self.crashes
            .retain(|tracked| now.since(tracked.crash.at) < tracked.crash.attribute.crash_ttl());
        if self.crashes.len() == MAX_TRACKED {
            self.evict(now);
        }
        if self.crashes.len() < before {
            self.index_crash_times();
        }
        crash.at = self.unify_crash_time(&crash);
        let changed_at = crash.at;
        let key = (&crash.attribute, &crash.upstream);
        let i = self.crashes.partition_point(|tracked| tracked.key() < key);
        self.crashes.insert(
            i,
            TrackedCrash {
                crash,
                is_own,
                changed_at,
                times_sent: 0,
            },
        );
    }

    /// Gives all crashes of an upstream the earliest of their times; returns that time.
    fn unify_crash_time(&mut self, crash: &Crash) -> Instant {
        let found = self
            .crash_times
            .binary_search_by(|(upstream, _)| upstream.cmp(&crash.upstream));
        let index = match found {
            Ok(index) => index,
            Err(index) => {
                let time = (crash.upstream.clone(), crash.at);
                self.crash_times.insert(index, time);
                return crash.at;
            }
        };
        let known_at = &mut self.crash_times[index].1;
        if crash.at < *known_at {
            *known_at = crash.at;
            let same = |tracked: &&mut TrackedCrash| tracked.crash.upstream == crash.upstream;
            for tracked in self.crashes.iter_mut().filter(same) {
                tracked.crash.at = crash.at;
            }
        }
        *known_at
    }

    fn index_crash_times(&mut self) {
        let times = self.crashes.iter().map(|tracked| &tracked.crash);
        let times = times.map(|crash| (crash.upstream.clone(), crash.at));
        self.crash_times = times.collect();
        self.crash_times.sort_unstable();
        self.crash_times.dedup_by(|a, b| a.0 == b.0);
    }

    /// Removes the oldest crashes under attributes that are not refused, or the oldest of all if there are none.
    fn evict(&mut self, now: Instant) {
        let refused = self
            .crashes
            .chunk_by(|a, b| a.crash.attribute == b.crash.attribute)
            .map(|same| &same[0].crash.attribute)
            .filter(|attribute| match attribute {
                CallAttribute::Body(_) => self.limit_reached_at(attribute, now).is_some(),
                CallAttribute::Part(part) => self.blamed(part).is_some(),
            })
            .cloned()
            .collect::<Vec<_>>();
        let is_refused =
            |tracked: &TrackedCrash| refused.binary_search(&tracked.crash.attribute).is_ok();
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

    /// Crashes under bodies to send to other VMs: those sent least often, and of these the latest.
    ///
    /// If always the latest were sent, then after a crash of a zone's engines under more calls than a
    /// heartbeat holds, some crashes would never be sent, and each VM would lose upstreams to a call that
    /// is known to crash them.
    pub fn next_to_send(&mut self, max: usize, now: Instant) -> Vec<BodyCrash> {
        let is_body = |tracked: &TrackedCrash| tracked.body().is_some();
        let mut next = self.take_next(max, is_body, now);
        for crash in &mut next {
            // Only crashes that are sent again have an age: a short one makes no difference for a body.
            crash.at = now;
        }
        let crashes = next.iter().filter_map(|crash| BodyCrash::new(crash, now));
        crashes.collect()
    }

    /// Crashes of a refused body that are not sent otherwise any more, of each body in turn, for VMs that may have
    /// started since.
    pub fn next_refused(&mut self, now: Instant) -> Vec<BodyCrash> {
        let refused = self
            .crashes
            .chunk_by(|a, b| a.crash.attribute == b.crash.attribute)
            .filter_map(|same| same[0].body())
            .filter(|body| {
                let limit_at = self.limit_reached_at(&CallAttribute::Body(*body), now);
                limit_at.is_some_and(|at| now.since(at) >= SEND_PERIOD)
            })
            .collect::<Vec<_>>();
        let after = refused.partition_point(|body| *body <= self.last_refused);
        let Some(body) = refused.get(after).or(refused.first()) else {
            return Vec::new();
        };
        self.last_refused = *body;
        let crashes = self.active_crashes(&CallAttribute::Body(*body), now);
        crashes
            .take(MAX_CRASHES_PER_BODY)
            .filter_map(|crash| BodyCrash::new(crash, now))
            .collect()
    }

    /// Crashes under suspect parts, those with crashes at several moments, to send to all VMs; each a limited number of
    /// times, by each VM that knows it.
    pub fn next_suspects_to_send(&mut self, max: usize, now: Instant) -> Vec<PartCrash> {
        self.take_next_parts(max, |is_suspect, _| is_suspect, now)
    }

    /// Crashes under other parts that this VM has seen itself, to send to the VMs that collect those of a part. Most
    /// parts get no second one.
    pub fn next_own_to_send(&mut self, max: usize, now: Instant) -> Vec<PartCrash> {
        self.take_next_parts(max, |is_suspect, is_own| is_own && !is_suspect, now)
    }

    fn take_next_parts(
        &mut self,
        max: usize,
        is_wanted: impl Fn(bool, bool) -> bool,
        now: Instant,
    ) -> Vec<PartCrash> {
        let mut due = Vec::new();
        let of_parts = self
            .crashes
            .chunk_by_mut(|a, b| a.crash.attribute == b.crash.attribute)
            .filter(|same| same[0].body().is_none());
        for same in of_parts {
            // With those that are cleared, so that all VMs which know them learn that.
            let is_fresh = |tracked: &TrackedCrash| now.since(tracked.changed_at) < SEND_PERIOD;
            if !same.iter().any(is_fresh) {
                continue;
            }
            let fresh = same.iter().filter(|tracked| is_fresh(tracked));
            let is_suspect = moments(fresh.map(|tracked| tracked.crash.at)).len() > 1;
            due.extend(same.iter_mut().filter(|tracked| {
                is_fresh(tracked)
                    && tracked.times_sent < SENDS_PER_PART_CRASH
                    && is_wanted(is_suspect, tracked.is_own)
            }));
        }
        due.sort_by_key(|tracked| (tracked.times_sent, Reverse(tracked.crash.at)));
        due.truncate(max);
        due.into_iter()
            .filter_map(|tracked| {
                tracked.times_sent += 1;
                PartCrash::new(&tracked.crash, now)
            })
            .collect()
    }

    /// The latest crashes of one blamed part, of each in turn, for VMs that may have started since.
    pub fn next_evidence(&mut self, now: Instant) -> Vec<PartCrash> {
        if self.blamed.is_empty() {
            return Vec::new();
        }
        self.next_evidence = (self.next_evidence + 1) % self.blamed.len();
        let part = self.blamed[self.next_evidence].part.clone();
        let attribute = CallAttribute::Part(part);
        let mut crashes = self.active_crashes(&attribute, now).collect::<Vec<_>>();
        crashes.sort_by_key(|crash| Reverse(crash.at));
        let latest = crashes.into_iter().take(MAX_EVIDENCE);
        latest
            .filter_map(|crash| PartCrash::new(crash, now))
            .collect()
    }

    fn take_next(
        &mut self,
        max: usize,
        is_due: impl Fn(&TrackedCrash) -> bool,
        now: Instant,
    ) -> Vec<Crash> {
        let is_fresh = |tracked: &&mut TrackedCrash| {
            now.since(tracked.crash.at) < SEND_PERIOD && is_due(tracked)
        };
        let mut fresh = self.crashes.iter_mut().filter(is_fresh).collect::<Vec<_>>();
        fresh.sort_by_key(|tracked| (tracked.times_sent, Reverse(tracked.crash.at)));
        fresh.truncate(max);
        fresh
            .into_iter()
            .map(|tracked| {
                tracked.times_sent += 1;
                tracked.crash.clone()
            })
            .collect()
    }

    /// Records that a call with this body received a complete response. Its crashes are kept, because otherwise the
    /// same crashes would count as new when other VMs report them.
    pub fn record_complete_response(&mut self, digest: u64) {
        let range = self.range(&CallAttribute::Body(digest));
        for tracked in &mut self.crashes[range] {
            // A body is not sent again once its crashes are old.
            let changed_at = tracked.changed_at;
            tracked.clear(changed_at);
        }
    }

    /// Records that a run of a call that began to produce events at `began` got past the point at which a call crashes
    /// its upstream. So none of its parts is the cause of an earlier crash. Returns whether crashes were cleared.
    pub fn record_clean_run(&mut self, call: &CallAttributes, began: Instant) -> bool {
        let mut cleared = false;
        for part in call.parts.iter() {
            self.clean_runs.record(part, began);
            let range = self.range(&CallAttribute::Part(part.clone()));
            for tracked in &mut self.crashes[range] {
                if tracked.crash.at <= began {
                    cleared |= tracked.clear(began);
                }
            }
        }
        cleared
    }

    /// Whether a new crash under an attribute may change which parts are blamed.
    #[must_use]
    pub fn may_change_blame(&self, attribute: &CallAttribute) -> bool {
        match attribute {
            CallAttribute::Body(_) => false,
            CallAttribute::Part(_) => {
                !self.blamed.is_empty() || self.range(attribute).len() >= MIN_MOMENTS
            }
        }
    }

    /// Determines which parts crash upstreams; returns what has changed. To be called after what is recorded of a part
    /// has changed.
    pub fn update_blame(&mut self, now: Instant) -> Vec<BlameChange> {
        let counted = self
            .crashes
            .iter()
            .filter(|tracked| tracked.body().is_none() && tracked.counts(now))
            .map(|tracked| &tracked.crash)
            .collect::<Vec<_>>();
        let blamed = blamed_parts(&counted, |part| self.clean_runs.count(part, now));
        let before = std::mem::replace(&mut self.blamed, blamed);
        let is_in =
            |parts: &[BlamedPart], part| parts.binary_search_by(|b| b.part.cmp(part)).is_ok();
        let new = self.blamed.iter().filter(|new| !is_in(&before, &new.part));
        let new = new.cloned().map(BlameChange::Blamed);
        let cleared = before.iter().filter(|old| !is_in(&self.blamed, &old.part));
        let cleared = cleared.map(|old| BlameChange::Cleared(old.part.clone()));
        new.chain(cleared).collect()
    }

    /// Number of parts that crash upstreams.
    #[must_use]
    pub fn blamed_count(&self) -> usize {
        self.blamed.len()
    }

    /// Whether a call that arrives may be sent.
    #[must_use]
    pub fn verdict(&self, call: &CallAttributes, now: Instant) -> CrashVerdict {
        let crashes = self.crash_count(call.body, now);
        if crashes >= MAX_CRASHES_PER_BODY {
            return CrashVerdict::Refused(CrashRefusal {
                attribute: CallAttribute::Body(call.body),
                crashes,
                blocked_for: CRASH_TTL,
            });
        }
        let blamed = call.parts.iter().filter_map(|part| self.blamed(part));
        let Some(blamed) = blamed.max_by_key(|blamed| blamed.blocked_for(now)) else {
            return CrashVerdict::Admitted;
        };
        match blamed.trial_slot(now) {
            Some(slot) if !self.was_tried(&blamed.part, now) => CrashVerdict::Trial {
                part: blamed.part.clone(),
                slot,
            },
            _ => CrashVerdict::Refused(CrashRefusal {
                attribute: CallAttribute::Part(blamed.part.clone()),
                crashes: blamed.crashes,
                blocked_for: blamed.blocked_for(now),
            }),
        }
    }

    /// Records that this VM tries a call with a blamed part.
    pub fn record_trial(&mut self, part: PartId, now: Instant) {
        self.trials
            .retain(|(known, at)| *known != part && now.since(*at) < PART_CRASH_TTL);
        self.trials.push((part, now));
    }

    fn was_tried(&self, part: &PartId, now: Instant) -> bool {
        let mut trials = self.trials.iter();
        trials.any(|(known, at)| known == part && now.since(*at) < TrialSlot::LENGTH)
    }

    /// Number of upstreams that crashed while running a call with this body, without the crashes that another
    /// attribute refused earlier explains.
    #[must_use]
    pub fn crash_count(&self, digest: u64, now: Instant) -> usize {
        self.unexplained_crashes(digest, now).count()
    }

    /// Number of upstreams that crashed while running a call with this body and whose crashes do not count.
    #[must_use]
    pub fn explained_count(&self, digest: u64, now: Instant) -> usize {
        let all = self.active_crashes(&CallAttribute::Body(digest), now);
        all.count() - self.crash_count(digest, now)
    }

    /// Whether calls with this body are refused because of its crashes.
    #[must_use]
    pub fn is_refused(&self, digest: u64, now: Instant) -> bool {
        self.crash_count(digest, now) >= MAX_CRASHES_PER_BODY
    }

    /// Whether a call that was accepted is not sent to another upstream because of the crashes under its body.
    #[must_use]
    pub fn forbids_resend(&self, digest: u64, now: Instant) -> bool {
        self.forbids_resend_with(digest, [], now)
    }

    /// Whether a call would not be sent to another upstream because of the crashes under its body, if upstreams had
    /// also crashed in these phases.
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

    /// The part because of which a call that was accepted is not sent to another upstream.
    #[must_use]
    pub fn blocked_part(&self, call: &CallAttributes, now: Instant) -> Option<&BlamedPart> {
        let mut blamed = call.parts.iter().filter_map(|part| self.blamed(part));
        blamed.find(|blamed| !blamed.blocked_for(now).is_zero())
    }

    /// Whether one more crash may be enough to blame a part of the call.
    #[must_use]
    pub fn is_near_blame(&self, call: &CallAttributes, now: Instant) -> bool {
        call.parts.iter().any(|part| {
            let attribute = CallAttribute::Part(part.clone());
            let times = self.active_crashes(&attribute, now).map(|crash| crash.at);
            moments(times).len() + 1 >= MIN_MOMENTS
        })
    }

    /// Whether a crash of an upstream under a call with this body is known.
    #[must_use]
    pub fn has_crash(&self, digest: u64, upstream: &UpstreamIncarnation) -> bool {
        let attribute = CallAttribute::Body(digest);
        let key = (&attribute, upstream);
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

    fn blamed(&self, part: &PartId) -> Option<&BlamedPart> {
        let i = self
            .blamed
            .binary_search_by(|blamed| blamed.part.cmp(part))
            .ok()?;
        Some(&self.blamed[i])
    }

    fn unexplained_crashes(&self, digest: u64, now: Instant) -> impl Iterator<Item = &Crash> {
        let attribute = CallAttribute::Body(digest);
        let own_limit_at = self.limit_reached_at(&attribute, now);
        self.active_crashes(&attribute, now)
            .filter(move |crash| !self.is_explained_by_another(crash, own_limit_at, now))
    }

    /// Whether a call ran on the same upstream that has a blamed part, or whose body reached the limit earlier than
    /// this one.
    fn is_explained_by_another(
        &self,
        crash: &Crash,
        own_limit_at: Option<Instant>,
        now: Instant,
    ) -> bool {
        self.crashes
            .iter()
            .filter(|tracked| tracked.crash.upstream == crash.upstream && tracked.counts(now))
            .map(|tracked| &tracked.crash)
            .filter(|other| other.attribute != crash.attribute)
            .any(|other| match &other.attribute {
                CallAttribute::Part(part) => self.blamed(part).is_some(),
                body @ CallAttribute::Body(_) => {
                    let limit_at = self.limit_reached_at(body, now);
                    limit_at.is_some_and(|other| own_limit_at.is_none_or(|own| other < own))
                }
            })
    }

    /// When the crashes under a body reached the limit, regardless of the calls that ran beside it.
    fn limit_reached_at(&self, body: &CallAttribute, now: Instant) -> Option<Instant> {
        let times = self.active_crashes(body, now).map(|crash| crash.at);
        Instant::nth_smallest(times, MAX_CRASHES_PER_BODY)
    }

    fn active_crashes<'a>(
        &'a self,
        attribute: &CallAttribute,
        now: Instant,
    ) -> impl Iterator<Item = &'a Crash> + use<'a> {
        self.crashes[self.range(attribute)]
            .iter()
            .filter(move |tracked| tracked.counts(now))
            .map(|tracked| &tracked.crash)
    }

    /// Index range of the crashes under an attribute.
    fn range(&self, attribute: &CallAttribute) -> std::ops::Range<usize> {
        let start = self
            .crashes
            .partition_point(|tracked| tracked.crash.attribute < *attribute);
        let end = self
            .crashes
            .partition_point(|tracked| tracked.crash.attribute <= *attribute);
        start..end
    }
}

impl CallAttribute {
    fn crash_ttl(&self) -> Duration {
        match self {
            Self::Body(_) => CRASH_TTL,
            Self::Part(_) => PART_CRASH_TTL,
        }
    }
}

impl TrackedCrash {
    fn key(&self) -> (&CallAttribute, &UpstreamIncarnation) {
        (&self.crash.attribute, &self.crash.upstream)
    }

    fn body(&self) -> Option<u64> {
        match self.crash.attribute {
            CallAttribute::Body(digest) => Some(digest),
            CallAttribute::Part(_) => None,
        }
    }

    fn counts(&self, now: Instant) -> bool {
        !self.crash.cleared && now.since(self.crash.at) < self.crash.attribute.crash_ttl()
    }

    /// Adds what another report tells of the crash; returns whether that matters for a part.
    fn merge(&mut self, other: &Crash) -> bool {
        self.crash.phase = self.crash.phase.min(other.phase);
        self.crash.position = self.crash.position.min(other.position);
        let is_new = self.crash.bodies.merge(&other.bodies);
        if is_new {
            self.times_sent = 0;
        }
        is_new
    }

    /// Marks the attribute as not having caused the crash; returns whether that is new.
    fn clear(&mut self, now: Instant) -> bool {
        let is_new = !self.crash.cleared;
        if is_new {
            self.crash.cleared = true;
            self.changed_at = self.changed_at.max(now);
            self.times_sent = 0;
        }
        is_new
    }
}
