//! Detects poison requests, which crash every upstream that runs them.
//!
//! When an engine crashes, its requests are resumed on other engines, and callers retry. Without
//! the tracker, a poison request would crash one engine after another, and the unrelated requests
//! on these engines would lose their work each time.
//!
//! A crash adds a poison record for the digest of each request in flight on the upstream. A digest
//! with an uncleared record is a suspect. Its next run is a probation run: on one upstream at a
//! time, and without another digest on probation there. A second crash therefore adds a second
//! record to only one digest, that of the poison request, which is refused from then on. A resumed
//! run starts at the point of the crash, so a poison request crashes the next upstream at once,
//! while an unrelated request gets past that point: after [`WATCHED_STEPS`] steps its records are
//! cleared, and the next suspect is put on probation. An unrelated request can therefore share two
//! upstreams with the poison request and still finish, because it is cleared before the second
//! crash.
//!
//! Bounds: a request that crashes its upstreams within the probation steps costs two upstreams; one
//! that does so later is refused after [`MOST_DEATHS`] crashes. Different VMs separate their
//! probation runs only as far as records have spread and upstreams are partitioned among the VMs
//! (parameter `watches` of [`PoisonTracker::may_start`]). An unrelated request that is affected by
//! two independent crashes within its probation steps is also refused until its records expire.
//!
//! A crash that a refused request explains is not attributed to the other requests on that
//! upstream, on this VM or another. The cause is the request that reached the limit first, by the
//! times of the crashes. Otherwise a request that ran next to the poison request twice would also
//! be refused, and its caller would lose an answer without cause.
//!
//! A run counts as a possible cause of a crash if the upstream had begun to answer it, or was
//! confirmed alive right before the request was sent ([`PoisonTracker::proven`]). Otherwise the
//! upstream may have been dead already, as after the loss of a rack, so the crash only makes the
//! request a suspect. Suspects are sent only to upstreams that were just confirmed alive, so a
//! request that crashes upstreams before they answer is also refused after its second upstream.
//!
//! A VM may fail together with the second upstream, and its caller reconnects to another VM. The
//! run of a suspect is therefore announced to the other VMs before the request is sent
//! ([`SuspectRun`]), and every VM that detects the crash of the upstream records it.

use super::*;

/// Number of [`PoisonTracker::progressed`] calls after which a probation run is cleared.
pub const WATCHED_STEPS: u32 = 2;

/// Number of uncleared crashes after which a digest is refused.
const MOST_OPEN_DEATHS: usize = 2;

/// Number of crashes, including cleared ones, after which a digest is refused.
pub const MOST_DEATHS: usize = 3;

/// Maximum number of upstreams on which a digest runs at the same time, if it is not a suspect.
const MOST_UPSTREAMS: usize = 2;

/// Time after which a poison record expires.
const EXPIRY: Duration = Duration::from_secs(600);

/// Maximum number of stored records, about 64 bytes each. The oldest are evicted first.
const MOST_MARKS: usize = 4096;

/// Maximum number of records in a message to a peer, about half a kilobyte.
const MOST_TOLD: usize = 12;

/// Number of times that a record is sent. Each time it goes to one peer, which sends it equally often
/// in turn. In the epidemic model of gossip, about one VM in 3,000 (e^-8) does not receive it.
const TELLINGS: u32 = 8;

/// Identifies a run of a request on an upstream.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PoisonRun {
    digest: RequestDigest,
    id: u64,
}

/// Tracks the runs of this VM by upstream, and the digests that were in flight at crashes.
#[derive(Clone, Debug, Default)]
pub struct PoisonTracker {
    /// Sorted by digest and crash.
    marks: Vec<Mark>,
    /// Sorted by digest and id.
    runs: Vec<Run>,
    last: u64,
    /// Runs of suspects that other VMs have announced.
    others: SuspectRuns,
}

#[derive(Clone, Debug)]
struct Mark {
    digest: RequestDigest,
    death: UpstreamDeath,
    /// Earliest known detection of the crash, the same for all records of one crash.
    at: Instant,
    told: u32,
    cleared: bool,
    /// Whether the only evidence of the run is the announcement of another VM.
    presumed: bool,
}

#[derive(Clone, Debug)]
struct Run {
    key: PoisonRun,
    upstream: UpstreamId,
    incarnation: Incarnation,
    watched: bool,
    /// Whether the request has been sent, or is sent next.
    sent: bool,
    /// Whether the upstream has begun to answer, or was confirmed alive right before the request
    /// was sent.
    was_there: bool,
    steps: u32,
}

impl PoisonTracker {
    /// Whether a digest is refused on all upstreams.
    #[must_use]
    pub fn refuses(&self, digest: RequestDigest, now: Instant) -> bool {
        let (open, all) = self.deaths(digest, now);
        open >= MOST_OPEN_DEATHS || all >= MOST_DEATHS
    }

    /// Whether a digest is a suspect, whose next run is a probation run.
    #[must_use]
    pub fn is_marked(&self, digest: RequestDigest, now: Instant) -> bool {
        self.deaths(digest, now).0 > 0
    }

    /// Checks whether a request may start. `watches` permits probation runs on the upstream.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request may not start.
    pub fn may_start(
        &self,
        digest: RequestDigest,
        upstream: &UpstreamId,
        watches: bool,
        now: Instant,
    ) -> Result<(), PoisonHold> {
        if self.refuses(digest, now) {
            return Err(PoisonHold::Refused);
        }
        let mut elsewhere = self.runs[self.range(digest)]
            .iter()
            .filter(|run| run.upstream != *upstream)
            .map(|run| &run.upstream)
            .collect::<Vec<_>>();
        elsewhere.sort();
        elsewhere.dedup();
        let marked = self.is_marked(digest, now);
        let beside_another = || {
            self.runs
                .iter()
                .any(|run| run.watched && run.upstream == *upstream && run.key.digest != digest)
        };
        let free = if marked {
            let awaited = self.others.hold(digest, now);
            let occupied = self.others.occupy(upstream, digest, now);
            watches && elsewhere.is_empty() && !beside_another() && !awaited && !occupied
        } else {
            elsewhere.len() < MOST_UPSTREAMS
        };
        free.then_some(()).ok_or(PoisonHold::Elsewhere)
    }

    /// Records that a request starts on an upstream, after [`Self::may_start`] has permitted it.
    pub fn started(
        &mut self,
        digest: RequestDigest,
        upstream: UpstreamId,
        incarnation: Incarnation,
        now: Instant,
    ) -> PoisonRun {
        self.last += 1;
        let key = PoisonRun {
            digest,
            id: self.last,
        };
        let run = Run {
            key,
            upstream,
            incarnation,
            watched: self.is_marked(digest, now),
            sent: false,
            was_there: false,
            steps: 0,
        };
        self.runs.insert(self.range(digest).end, run);
        key
    }

    /// Records progress of a run, by a few tokens.
    pub fn progressed(&mut self, run: PoisonRun) {
        let Some(run) = self.run_mut(run) else { return };
        if !run.watched {
            return;
        }
        run.steps += 1;
        if run.steps >= WATCHED_STEPS {
            let digest = run.key.digest;
            self.clear(digest);
        }
    }

    /// Records that the upstream has completed a run.
    pub fn finished(&mut self, run: PoisonRun) {
        if self.remove(run).is_some_and(|run| run.watched) {
            self.clear(run.digest);
        }
    }

    /// Records that this VM abandoned a run, which is no evidence for or against the request.
    pub fn left(&mut self, run: PoisonRun) {
        self.remove(run);
    }

    /// Records that the upstream has begun to answer, so the run counts as a possible cause if the
    /// upstream crashes.
    pub fn arrived(&mut self, run: PoisonRun) {
        if let Some(run) = self.run_mut(run) {
            run.was_there = true;
        }
    }

    /// Whether the upstream of a run has to be confirmed alive before the request is sent, which
    /// holds for suspects.
    #[must_use]
    pub fn needs_proof(&self, run: PoisonRun) -> bool {
        self.runs
            .binary_search_by_key(&run, |run| run.key)
            .is_ok_and(|i| self.runs[i].watched)
    }

    /// Records that the upstream of a run was confirmed alive and that the request is sent now. If
    /// the upstream crashes afterwards, the run counts as a possible cause, answered or not.
    pub fn proven(&mut self, run: PoisonRun) {
        self.arrived(run);
    }

    /// Returns the announcement of a run to other VMs, if the request is a suspect.
    #[must_use]
    pub fn suspect_run(&self, run: PoisonRun) -> Option<SuspectRun> {
        let i = self.runs.binary_search_by_key(&run, |run| run.key).ok()?;
        let run = &self.runs[i];
        run.watched.then(|| run.as_suspect())
    }

    /// Commits a run whose request is sent next.
    ///
    /// # Errors
    ///
    /// Fails if another VM has since reported crashes of the request or a run with precedence.
    pub fn commit(&mut self, run: PoisonRun, now: Instant) -> Result<(), PoisonHold> {
        if self.refuses(run.digest, now) {
            return Err(PoisonHold::Refused);
        }
        let own = self.suspect_run(run);
        if own.is_some_and(|own| self.others.precedes(&own, now)) {
            return Err(PoisonHold::Elsewhere);
        }
        if let Some(run) = self.run_mut(run) {
            run.sent = true;
        }
        Ok(())
    }

    /// Returns the runs of suspects on this VM that conflict with runs announced by another VM.
    #[must_use]
    pub fn conflicts(&self, announced: &[SuspectRun]) -> SuspectConflicts {
        let mut conflicts = SuspectConflicts::default();
        for run in self.runs.iter().filter(|run| run.watched) {
            let own = run.as_suspect();
            if announced.iter().any(|other| other.conflicts(&own)) {
                let of_kind = if run.sent {
                    &mut conflicts.running
                } else {
                    &mut conflicts.waiting
                };
                of_kind.push(own);
            }
        }
        conflicts
    }

    /// Records the announcement of another VM that it sends a suspect to an upstream.
    pub fn announced(&mut self, run: SuspectRun, now: Instant) {
        self.others.announced(run, false, now);
    }

    /// Records the answer of another VM that a suspect already runs there.
    pub fn runs_elsewhere(&mut self, run: SuspectRun, now: Instant) {
        self.others.announced(run, true, now);
    }

    /// Records that the VM that announced a run has withdrawn it without sending the request.
    pub fn withdrawn(&mut self, run: &SuspectRun) {
        self.others.withdrawn(run);
        let death = run.death();
        let presumed = self
            .marks
            .iter_mut()
            .filter(|mark| mark.digest == run.digest && mark.death == death && mark.presumed);
        for mark in presumed.filter(|mark| !mark.cleared) {
            mark.cleared = true;
            mark.told = 0;
        }
    }

    /// Returns the announced runs of a request whose upstreams need a liveness check before the
    /// request is sent to another upstream.
    #[must_use]
    pub fn unchecked(&self, digest: RequestDigest, now: Instant) -> Vec<SuspectRun> {
        self.others.unchecked(digest, now)
    }

    /// Records that the liveness of the upstream of an announced run was checked.
    pub fn checked(&mut self, run: &SuspectRun) {
        self.others.checked(run);
    }

    /// Records the crash of an upstream process for all digests that were in flight on it as far as
    /// this VM knows, and returns the new records.
    pub fn died(
        &mut self,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        now: Instant,
    ) -> Vec<PoisonMark> {
        self.expire(now);
        let death = UpstreamDeath::of(upstream, incarnation);
        let (dead, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.upstream == *upstream && run.incarnation == incarnation);
        self.runs = running;
        let under = dead
            .iter()
            .filter(|run| run.was_there || !self.is_marked(run.key.digest, now))
            .map(|run| (run.key.digest, false));
        let mut under = under.collect::<Vec<_>>();
        let announced = self.others.died(death, now);
        under.extend(announced.into_iter().map(|digest| (digest, true)));
        let mut new = Vec::new();
        for (digest, presumed) in under {
            let mark = Mark {
                digest,
                death,
                at: now,
                told: 0,
                cleared: false,
                presumed,
            };
            if self.mark(mark.clone()) {
                new.push(mark.tell(now));
            }
            self.watch(digest);
        }
        new
    }

    /// Returns records for a gossip message to a peer, those sent least often first. Each record is
    /// sent eight times in total, and a message has at most 12 records.
    pub fn deltas(&mut self, now: Instant) -> Vec<PoisonMark> {
        self.expire(now);
        let mut fresh = self
            .marks
            .iter_mut()
            .filter(|mark| mark.told < TELLINGS)
            .collect::<Vec<_>>();
        fresh.sort_by_key(|mark| (mark.told, std::cmp::Reverse(mark.at)));
        fresh.truncate(MOST_TOLD);
        fresh
            .into_iter()
            .map(|mark| {
                mark.told += 1;
                mark.tell(now)
            })
            .collect()
    }

    /// Returns the unexpired records of a digest, in the form sent to peers.
    #[must_use]
    pub fn marks_of(&self, digest: RequestDigest, now: Instant) -> Vec<PoisonMark> {
        let marks = self.fresh(digest, now);
        marks.map(|mark| mark.tell(now)).collect()
    }

    /// Returns at most 12 records of digests that are refused here and were in flight at one of the
    /// crashes of `marks`. A peer needs them before it attributes these crashes to another request.
    #[must_use]
    pub fn culprits(&self, marks: &[PoisonMark], now: Instant) -> Vec<PoisonMark> {
        let shared = |mark: &&Mark| marks.iter().any(|other| other.death == mark.death);
        let sharing = self.marks.iter().filter(shared);
        let mut digests = sharing.map(|mark| mark.digest).collect::<Vec<_>>();
        digests.dedup();
        digests.retain(|digest| self.refuses(*digest, now));
        let marks = digests
            .into_iter()
            .flat_map(|digest| self.marks_of(digest, now));
        marks.take(MOST_TOLD).collect()
    }

    /// Returns all records, for a peer that has just started.
    #[must_use]
    pub fn marks(&self, now: Instant) -> Vec<PoisonMark> {
        self.marks.iter().map(|mark| mark.tell(now)).collect()
    }

    /// Merges records from a peer and returns the new ones, which are then sent to other peers.
    pub fn merge(&mut self, marks: &[PoisonMark], now: Instant) -> Vec<PoisonMark> {
        let mut new = Vec::new();
        for mark in marks {
            let age = Duration::from_millis(mark.age_ms.into());
            let changed = self.mark(Mark {
                digest: mark.digest,
                death: mark.death,
                at: Instant(now.0.saturating_sub(age)),
                told: 0,
                cleared: mark.cleared,
                presumed: false,
            });
            if changed {
                new.push(*mark);
            }
            if mark.cleared {
                self.others.cleared(mark.digest);
            } else {
                self.watch(mark.digest);
            }
        }
        self.expire(now);
        new
    }

    /// Counts the crashes of a digest that no other digest explains: uncleared ones, and all.
    fn deaths(&self, digest: RequestDigest, now: Instant) -> (usize, usize) {
        let convicted = self.convicted_at(digest, now);
        self.fresh(digest, now)
            .filter(|mark| !self.is_explained(mark, convicted, now))
            .fold((0, 0), |(open, all), mark| {
                (open + usize::from(!mark.cleared), all + 1)
            })
    }

    /// Whether a digest that reached the limit earlier than this one was in flight at the crash.
    fn is_explained(&self, mark: &Mark, convicted: Option<Instant>, now: Instant) -> bool {
        self.marks
            .iter()
            .filter(|other| other.death == mark.death && other.digest != mark.digest)
            .filter_map(|other| self.convicted_at(other.digest, now))
            .any(|other| convicted.is_none_or(|own| other < own))
    }

    /// When a digest reached the number of crashes at which it is refused, regardless of the other
    /// requests on the upstreams.
    fn convicted_at(&self, digest: RequestDigest, now: Instant) -> Option<Instant> {
        let open = self.fresh(digest, now).filter(|mark| !mark.cleared);
        let open = Instant::nth_smallest(open.map(|mark| mark.at), MOST_OPEN_DEATHS);
        let all = Instant::nth_smallest(self.fresh(digest, now).map(|mark| mark.at), MOST_DEATHS);
        open.into_iter().chain(all).min()
    }

    /// Returns the unexpired records of a digest.
    fn fresh(&self, digest: RequestDigest, now: Instant) -> impl Iterator<Item = &Mark> {
        let start = self.marks.partition_point(|mark| mark.digest < digest);
        self.marks[start..]
            .iter()
            .take_while(move |mark| mark.digest == digest)
            .filter(move |mark| now.since(mark.at) <= EXPIRY)
    }

    /// Merges a record and returns whether it was new.
    fn mark(&mut self, mut mark: Mark) -> bool {
        let of_death = self.marks.iter_mut().filter(|m| m.death == mark.death);
        for other in of_death {
            mark.at = mark.at.min(other.at);
            other.at = mark.at;
        }
        let place = self
            .marks
            .binary_search_by(|known| (known.digest, known.death).cmp(&(mark.digest, mark.death)));
        match place {
            Ok(i) if mark.cleared && !self.marks[i].cleared => {
                self.marks[i].cleared = true;
                self.marks[i].told = 0;
                true
            }
            Ok(_) => false,
            Err(i) => {
                self.marks.insert(i, mark);
                true
            }
        }
    }

    /// Puts the running copies of a digest that has just become a suspect on probation. Otherwise a
    /// second copy that is already running could crash the upstream of an unrelated request on
    /// probation, and the crash would be attributed to both.
    fn watch(&mut self, digest: RequestDigest) {
        let range = self.range(digest);
        for run in self.runs[range].iter_mut().filter(|run| !run.watched) {
            run.watched = true;
            run.steps = 0;
        }
    }

    fn clear(&mut self, digest: RequestDigest) {
        self.others.cleared(digest);
        let range = self.range(digest);
        for run in &mut self.runs[range] {
            run.watched = false;
        }
        for mark in &mut self.marks {
            if mark.digest == digest && !mark.cleared {
                mark.cleared = true;
                mark.told = 0;
            }
        }
    }

    fn expire(&mut self, now: Instant) {
        self.marks.retain(|mark| now.since(mark.at) <= EXPIRY);
        while self.marks.len() > MOST_MARKS {
            let oldest = self.marks.iter().map(|mark| mark.at).min();
            self.marks.retain(|mark| Some(mark.at) != oldest);
        }
    }

    /// Returns the index range of a digest's runs.
    fn range(&self, digest: RequestDigest) -> std::ops::Range<usize> {
        let start = self.runs.partition_point(|run| run.key.digest < digest);
        let end = self.runs.partition_point(|run| run.key.digest <= digest);
        start..end
    }

    fn run_mut(&mut self, run: PoisonRun) -> Option<&mut Run> {
        let i = self.runs.binary_search_by_key(&run, |run| run.key).ok()?;
        self.runs.get_mut(i)
    }

    fn remove(&mut self, run: PoisonRun) -> Option<Run> {
        let i = self.runs.binary_search_by_key(&run, |run| run.key).ok()?;
        Some(self.runs.remove(i))
    }
}

impl Run {
    fn as_suspect(&self) -> SuspectRun {
        SuspectRun {
            digest: self.key.digest,
            upstream: self.upstream.clone(),
            incarnation: self.incarnation,
        }
    }
}

impl Mark {
    fn tell(&self, now: Instant) -> PoisonMark {
        let age = now.since(self.at).as_millis();
        PoisonMark {
            digest: self.digest,
            death: self.death,
            cleared: self.cleared,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }
}
