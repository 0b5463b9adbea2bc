//! Requests that kill the upstreams that run them.
//!
//! Load pattern: one request crashes each engine that runs it, its VM resumes it elsewhere, and its
//! caller sends it again. Without the tracker it takes down engine after engine, and the innocent
//! requests beside it lose their work each time.
//!
//! Each death of an upstream marks the digests in flight on it. A marked digest is watched on its
//! next run: on one upstream at a time, with no other watched digest beside it. So a second death
//! marks exactly one digest twice, the culprit's, which is refused from then on. A resume starts
//! where the upstream died, so the culprit kills again at once, while an innocent request gets past
//! that point: after [`PROBATION_STEPS`] steps its marks are cleared and the next one is watched.
//! An innocent request may thus share two upstreams with the culprit and still finish: by the
//! second time it has been cleared.
//!
//! Bounds: two upstreams are lost to one digest if it kills within its watched steps; one that
//! kills later is refused after [`MAX_CRASHES_PER_DIGEST`]. VMs watch apart from each other only as far as
//! marks have spread and upstreams are divided among them (`watches` of [`PoisonTracker::may_start`]).
//! An innocent request that meets two unrelated deaths within its watched steps is refused too,
//! until its marks expire.
//!
//! A death that a refused request explains is not laid to the others that ran there, on this VM or
//! another: whoever was refused first, by the times of the deaths, is the cause. Without this a request
//! that runs beside the culprit twice is refused with it, and its caller loses an answer for nothing.
//!
//! A run counts as a cause of its upstream's death if the upstream had begun to answer it, or had proved
//! alive right before the order was sent ([`PoisonTracker::proven`]). Without either, the upstream may
//! have been dead when the order came, as at the loss of a rack, so such a death only makes the request
//! a suspect. Suspects are sent to upstreams that have just proved alive, so a request that kills before
//! it is answered is refused after its second upstream too.
//!
//! A VM may be lost together with the second upstream, and its caller returns to another VM. So the run of
//! a suspect is announced to the other VMs before its order is sent ([`SuspectRun`]), and whoever notices
//! that the upstream died marks the request.

use super::*;

/// Calls of [`PoisonTracker::progressed`] until a watched run is cleared.
pub const PROBATION_STEPS: u32 = 2;

/// Deaths under a digest, none of them cleared, after which it is refused.
const MOST_OPEN_DEATHS: usize = 2;

/// Deaths under a digest, cleared ones counted in, after which it is refused.
pub const MAX_CRASHES_PER_DIGEST: usize = 3;

/// Upstreams that one unmarked digest runs on at once.
const MOST_UPSTREAMS: usize = 2;

/// How long a mark counts.
const EXPIRY: Duration = Duration::from_secs(600);

/// Marks kept; the oldest go first. About 64 bytes each.
const MOST_MARKS: usize = 4096;

/// Marks told to a peer at a time: about half a kilobyte.
const MOST_TOLD: usize = 12;

/// How often a mark is told. Each telling goes to one peer, who tells it as often in turn; by the
/// theory of rumours about one VM in 3,000 (e to the -8) then misses it.
const TELLINGS: u32 = 8;

/// Names a run of a request on an upstream.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TrackedRunId {
    digest: RequestDigest,
    id: u64,
}

/// What runs where on this VM, and which digests upstreams died under.
#[derive(Clone, Debug, Default)]
pub struct PoisonTracker {
    /// Sorted by digest and death.
    marks: Vec<Mark>,
    /// Sorted by digest and id.
    runs: Vec<Run>,
    last: u64,
    /// Runs of suspects on other VMs.
    others: SuspectRuns,
}

#[derive(Clone, Debug)]
struct Mark {
    digest: RequestDigest,
    death: UpstreamCrashId,
    /// When the death was first noticed, as far as is known here; the same for all marks of a death.
    at: Instant,
    told: u32,
    cleared: bool,
    /// Whether it stems from the announcement of another VM alone.
    presumed: bool,
}

#[derive(Clone, Debug)]
struct Run {
    key: TrackedRunId,
    upstream: UpstreamId,
    incarnation: Incarnation,
    watched: bool,
    /// Whether its order is sent, or is about to be.
    sent: bool,
    /// Whether the upstream has begun to answer it, or proved alive right before it was sent.
    was_there: bool,
    steps: u32,
}

impl PoisonTracker {
    /// Whether a digest is refused everywhere.
    #[must_use]
    pub fn refuses(&self, digest: RequestDigest, now: Instant) -> bool {
        let (open, all) = self.deaths(digest, now);
        open >= MOST_OPEN_DEATHS || all >= MAX_CRASHES_PER_DIGEST
    }

    /// Whether a digest is a suspect, to be watched on its next run.
    #[must_use]
    pub fn is_marked(&self, digest: RequestDigest, now: Instant) -> bool {
        self.deaths(digest, now).0 > 0
    }

    /// Whether a request may start on an upstream. `watches` tells whether this VM may watch
    /// suspects there.
    ///
    /// # Errors
    ///
    /// Why it may not.
    pub fn may_start(
        &self,
        digest: RequestDigest,
        upstream: &UpstreamId,
        watches: bool,
        now: Instant,
    ) -> Result<(), PoisonBlock> {
        if self.refuses(digest, now) {
            return Err(PoisonBlock::Refused);
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
        free.then_some(()).ok_or(PoisonBlock::Elsewhere)
    }

    /// Notes that a request starts on an upstream, after [`Self::may_start`].
    pub fn started(
        &mut self,
        digest: RequestDigest,
        upstream: UpstreamId,
        incarnation: Incarnation,
        now: Instant,
    ) -> TrackedRunId {
        self.last += 1;
        let key = TrackedRunId {
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

    /// Notes some progress of a run: a few tokens.
    pub fn progressed(&mut self, run: TrackedRunId) {
        let Some(run) = self.run_mut(run) else { return };
        if !run.watched {
            return;
        }
        run.steps += 1;
        if run.steps >= PROBATION_STEPS {
            let digest = run.key.digest;
            self.clear(digest);
        }
    }

    /// Notes the end of a run that the upstream brought to its end.
    pub fn finished(&mut self, run: TrackedRunId) {
        if self.remove(run).is_some_and(|run| run.watched) {
            self.clear(run.digest);
        }
    }

    /// Notes that a run was given up here; that says nothing of the request.
    pub fn left(&mut self, run: TrackedRunId) {
        self.remove(run);
    }

    /// Notes that the upstream of a run has begun to answer: the run is there.
    pub fn arrived(&mut self, run: TrackedRunId) {
        if let Some(run) = self.run_mut(run) {
            run.was_there = true;
        }
    }

    /// Whether the upstream of a run has to prove alive before the order is sent: the request is a
    /// suspect.
    #[must_use]
    pub fn needs_proof(&self, run: TrackedRunId) -> bool {
        self.runs
            .binary_search_by_key(&run, |run| run.key)
            .is_ok_and(|i| self.runs[i].watched)
    }

    /// Notes that the upstream of a run has just proved alive, and that the order goes out now. If it
    /// dies from here on, the run is taken for the cause, answered or not.
    pub fn proven(&mut self, run: TrackedRunId) {
        self.arrived(run);
    }

    /// The run as it is announced to other VMs, if the request is a suspect.
    #[must_use]
    pub fn suspect_run(&self, run: TrackedRunId) -> Option<SuspectRun> {
        let i = self.runs.binary_search_by_key(&run, |run| run.key).ok()?;
        let run = &self.runs[i];
        run.watched.then(|| run.as_suspect())
    }

    /// Commits a run whose order is sent next, unless another VM has told of deaths under the request or of a run that goes
    /// first since this one was started.
    ///
    /// # Errors
    ///
    /// Why the order must not be sent.
    pub fn commit(&mut self, run: TrackedRunId, now: Instant) -> Result<(), PoisonBlock> {
        if self.refuses(run.digest, now) {
            return Err(PoisonBlock::Refused);
        }
        let own = self.suspect_run(run);
        if own.is_some_and(|own| self.others.precedes(&own, now)) {
            return Err(PoisonBlock::Elsewhere);
        }
        if let Some(run) = self.run_mut(run) {
            run.sent = true;
        }
        Ok(())
    }

    /// Runs of suspects on this VM that conflict with runs that another VM announces.
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

    /// Takes the announcement of another VM that it sends a suspect to an upstream.
    pub fn announced(&mut self, run: SuspectRun, now: Instant) {
        self.others.announced(run, false, now);
    }

    /// Takes the answer of another VM that a suspect runs there.
    pub fn runs_elsewhere(&mut self, run: SuspectRun, now: Instant) {
        self.others.announced(run, true, now);
    }

    /// Takes the withdrawal of a run by the VM that has announced it: its order was not sent.
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

    /// Announced runs of a request whose upstreams have to be asked whether they live before it is sent elsewhere.
    #[must_use]
    pub fn unchecked(&self, digest: RequestDigest, now: Instant) -> Vec<SuspectRun> {
        self.others.unchecked(digest, now)
    }

    /// Notes that the upstream of an announced run was asked.
    pub fn checked(&mut self, run: &SuspectRun) {
        self.others.checked(run);
    }

    /// Notes the death of a process of an upstream and marks all digests in flight on it, by what is
    /// known here; returns the marks that are new.
    pub fn died(
        &mut self,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        now: Instant,
    ) -> Vec<PoisonRecord> {
        self.expire(now);
        let death = UpstreamCrashId::of(upstream, incarnation);
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

    /// Marks for a peer: those told least often so far, each eight times in all, 12 at a time.
    pub fn deltas(&mut self, now: Instant) -> Vec<PoisonRecord> {
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

    /// Marks of one digest.
    #[must_use]
    pub fn marks_of(&self, digest: RequestDigest, now: Instant) -> Vec<PoisonRecord> {
        let marks = self.fresh(digest, now);
        marks.map(|mark| mark.tell(now)).collect()
    }

    /// Marks of the digests that are refused here and share a death with one of `marks`: what a peer
    /// has to know before it lays these deaths to another request. At most 12.
    #[must_use]
    pub fn culprits(&self, marks: &[PoisonRecord], now: Instant) -> Vec<PoisonRecord> {
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

    /// All marks, as for a peer that has just started.
    #[must_use]
    pub fn marks(&self, now: Instant) -> Vec<PoisonRecord> {
        self.marks.iter().map(|mark| mark.tell(now)).collect()
    }

    /// Takes marks from a peer; returns those that were new. What is new here is told on.
    pub fn merge(&mut self, marks: &[PoisonRecord], now: Instant) -> Vec<PoisonRecord> {
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

    /// Deaths under a digest that no other digest explains: those not cleared, and all.
    fn deaths(&self, digest: RequestDigest, now: Instant) -> (usize, usize) {
        let convicted = self.convicted_at(digest, now);
        self.fresh(digest, now)
            .filter(|mark| !self.is_explained(mark, convicted, now))
            .fold((0, 0), |(open, all), mark| {
                (open + usize::from(!mark.cleared), all + 1)
            })
    }

    /// Whether another digest that was to be refused earlier than this one was on the same upstream.
    fn is_explained(&self, mark: &Mark, convicted: Option<Instant>, now: Instant) -> bool {
        self.marks
            .iter()
            .filter(|other| other.death == mark.death && other.digest != mark.digest)
            .filter_map(|other| self.convicted_at(other.digest, now))
            .any(|other| convicted.is_none_or(|own| other < own))
    }

    /// When so many upstreams had died under a digest that it is refused, whoever ran beside it.
    fn convicted_at(&self, digest: RequestDigest, now: Instant) -> Option<Instant> {
        let open = self.fresh(digest, now).filter(|mark| !mark.cleared);
        let open = Instant::nth_smallest(open.map(|mark| mark.at), MOST_OPEN_DEATHS);
        let all = Instant::nth_smallest(
            self.fresh(digest, now).map(|mark| mark.at),
            MAX_CRASHES_PER_DIGEST,
        );
        open.into_iter().chain(all).min()
    }

    /// Marks of a digest that still count.
    fn fresh(&self, digest: RequestDigest, now: Instant) -> impl Iterator<Item = &Mark> {
        let start = self.marks.partition_point(|mark| mark.digest < digest);
        self.marks[start..]
            .iter()
            .take_while(move |mark| mark.digest == digest)
            .filter(move |mark| now.since(mark.at) <= EXPIRY)
    }

    /// Takes in a mark; returns whether it was new.
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

    /// Watches the runs of a digest that has just become a suspect. Without this a second copy
    /// that was under way already could kill its upstream beside a watched innocent request, and
    /// both would be taken for the culprit.
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

    /// Places of a digest's runs.
    fn range(&self, digest: RequestDigest) -> std::ops::Range<usize> {
        let start = self.runs.partition_point(|run| run.key.digest < digest);
        let end = self.runs.partition_point(|run| run.key.digest <= digest);
        start..end
    }

    fn run_mut(&mut self, run: TrackedRunId) -> Option<&mut Run> {
        let i = self.runs.binary_search_by_key(&run, |run| run.key).ok()?;
        self.runs.get_mut(i)
    }

    fn remove(&mut self, run: TrackedRunId) -> Option<Run> {
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
    fn tell(&self, now: Instant) -> PoisonRecord {
        let age = now.since(self.at).as_millis();
        PoisonRecord {
            digest: self.digest,
            death: self.death,
            cleared: self.cleared,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }
}
