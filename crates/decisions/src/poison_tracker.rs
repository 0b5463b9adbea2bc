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
//! while an unrelated request gets past that point: after [`PROBATION_STEPS`] steps its records are
//! cleared, and the next suspect is put on probation. An unrelated request can therefore share two
//! upstreams with the poison request and still finish, because it is cleared before the second
//! crash.
//!
//! Bounds: a request that crashes its upstreams within the probation steps costs two upstreams; one
//! that does so later is refused after [`MAX_CRASHES_PER_DIGEST`] crashes. Different VMs separate their
//! probation runs only as far as records have spread and upstreams are partitioned among the VMs
//! (parameter `allows_probation` of [`PoisonTracker::may_start`]). An unrelated request that is
//! affected by two independent crashes within its probation steps is also refused until its records
//! expire.
//!
//! A crash that a refused request explains is not attributed to the other requests on that
//! upstream, on this VM or another. The cause is the request that reached the limit first, by the
//! times of the crashes. Otherwise a request that ran next to the poison request twice would also
//! be refused, and its caller would lose a response without cause.
//!
//! A run counts as a possible cause of a crash if the upstream had begun to respond, or was
//! confirmed alive right before the request was sent ([`PoisonTracker::liveness_confirmed`]).
//! Otherwise the upstream may have crashed before, as after the loss of a rack, so the crash only
//! makes the request a suspect. Suspects are sent only to upstreams that were just confirmed alive,
//! so a request that crashes upstreams before they respond is also refused after its second upstream.
//!
//! A VM may fail together with the second upstream, and its caller reconnects to another VM. The
//! run of a suspect is therefore announced to the other VMs before the request is sent
//! ([`SuspectRun`]), and every VM that detects the crash of the upstream records it.
//!
//! An upstream that leaves an order unanswered may still run it, and crash after the VM has moved on
//! to another upstream. The run therefore stays open like one of another VM
//! ([`PoisonTracker::abandoned`]): it counts if the upstream crashes, towards the upstreams on which
//! the request runs, and a suspect waits for it. Requests that the same upstream left unanswered are
//! not sent to one upstream together, as two crashes could then not be attributed to one of them.

use super::*;

/// Number of [`PoisonTracker::progressed`] calls after which a probation run is cleared.
pub const PROBATION_STEPS: u32 = 2;

/// Number of uncleared crashes after which a digest is refused.
const MAX_OPEN_CRASHES_PER_DIGEST: usize = 2;

/// Number of crashes, including cleared ones, after which a digest is refused.
pub const MAX_CRASHES_PER_DIGEST: usize = 3;

/// Maximum number of upstreams on which a digest runs at the same time, if it is not a suspect.
const MAX_UPSTREAMS_PER_DIGEST: usize = 2;

/// Time after which a poison record expires.
const RECORD_TTL: Duration = Duration::from_secs(600);

/// Maximum number of stored records, about 64 bytes each. The oldest are evicted first.
const MAX_RECORDS: usize = 4096;

/// Maximum number of records in a message to a peer, about half a kilobyte.
const MAX_RECORDS_PER_MESSAGE: usize = 12;

/// Number of times that a record is sent. Each time it goes to one peer, which sends it equally often
/// in turn. In the epidemic model of gossip, about one VM in 3,000 (e^-8) does not receive it.
const SENDS_PER_RECORD: u32 = 8;

/// Identifies a run of a request on an upstream.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TrackedRunId {
    digest: RequestDigest,
    id: u64,
}

/// Tracks the runs of this VM by upstream, and the digests that were in flight at crashes.
#[derive(Clone, Debug, Default)]
pub struct PoisonTracker {
    /// Sorted by digest and crash.
    records: Vec<TrackedRecord>,
    /// Sorted by digest and id.
    runs: Vec<Run>,
    last_run_id: u64,
    /// Runs of suspects that other VMs have announced, and unanswered ones of this VM.
    remote_runs: SuspectRuns,
}

#[derive(Clone, Debug)]
struct TrackedRecord {
    digest: RequestDigest,
    crash: UpstreamCrashId,
    /// Earliest known detection of the crash, the same for all records of one crash.
    detected_at: Instant,
    times_sent: u32,
    cleared: bool,
    evidence: RunEvidence,
}

/// Evidence that a request was running on a crashed upstream.
#[derive(Clone, Debug)]
enum RunEvidence {
    /// A run of this VM, or the record of another VM.
    Observed,
    /// Announcements of other VMs that have not been withdrawn, and unanswered runs of this VM.
    Announced(Vec<SuspectRun>),
}

#[derive(Clone, Debug)]
struct Run {
    key: TrackedRunId,
    upstream: UpstreamId,
    incarnation: Incarnation,
    on_probation: bool,
    /// Whether the request has been sent, or is sent next.
    sent: bool,
    liveness: Liveness,
    steps: u32,
}

/// What is known about the upstream of a run since the request was sent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Liveness {
    Unknown,
    /// It was confirmed alive right before the request was sent.
    Confirmed,
    /// It has begun to respond.
    Responded,
}

impl PoisonTracker {
    /// Creates a tracker whose runs are numbered from `first_run_id`. Runs of different processes get
    /// different numbers, as these distinguish their announcements.
    #[must_use]
    pub fn new(first_run_id: u64) -> Self {
        Self {
            last_run_id: first_run_id,
            ..Self::default()
        }
    }

    /// Whether a digest is refused on all upstreams.
    #[must_use]
    pub fn is_refused(&self, digest: RequestDigest, now: Instant) -> bool {
        let (open, all) = self.count_crashes(digest, now);
        open >= MAX_OPEN_CRASHES_PER_DIGEST || all >= MAX_CRASHES_PER_DIGEST
    }

    /// Whether a digest is a suspect, whose next run is a probation run.
    #[must_use]
    pub fn is_suspect(&self, digest: RequestDigest, now: Instant) -> bool {
        self.count_crashes(digest, now).0 > 0
    }

    /// Checks whether a request may start; `allows_probation` permits a probation run.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request may not start.
    pub fn may_start(
        &self,
        digest: RequestDigest,
        upstream: &UpstreamId,
        allows_probation: bool,
        now: Instant,
    ) -> Result<(), PoisonBlock> {
        if self.is_refused(digest, now) {
            return Err(PoisonBlock::Refused);
        }
        let mut other_upstreams = self.runs[self.run_range(digest)]
            .iter()
            .filter(|run| run.upstream != *upstream)
            .map(|run| &run.upstream)
            .collect::<Vec<_>>();
        let open_runs = self.remote_runs.open_runs(digest, now);
        other_upstreams.extend(open_runs.map(|run| &run.upstream));
        other_upstreams.sort();
        other_upstreams.dedup();
        let shares_two_upstreams = self.runs.iter().any(|run| {
            let other = run.key.digest;
            run.upstream == *upstream
                && other != digest
                && self.remote_runs.share_upstream(digest, other, now)
        });
        if shares_two_upstreams {
            return Err(PoisonBlock::OtherUpstream);
        }
        let suspect = self.is_suspect(digest, now);
        let shares_upstream_with_suspect = || {
            self.runs.iter().any(|run| {
                run.on_probation && run.upstream == *upstream && run.key.digest != digest
            })
        };
        let allowed = if suspect {
            let waits_for_open_run = self.remote_runs.open_runs(digest, now).next().is_some();
            let occupied = self.remote_runs.is_occupied(upstream, digest, now);
            allows_probation
                && other_upstreams.is_empty()
                && !shares_upstream_with_suspect()
                && !waits_for_open_run
                && !occupied
        } else {
            other_upstreams.len() < MAX_UPSTREAMS_PER_DIGEST
        };
        allowed.then_some(()).ok_or(PoisonBlock::OtherUpstream)
    }

    /// Records that a request starts on an upstream, after [`Self::may_start`] has permitted it.
    pub fn started(
        &mut self,
        digest: RequestDigest,
        upstream: UpstreamId,
        incarnation: Incarnation,
        now: Instant,
    ) -> TrackedRunId {
        self.last_run_id += 1;
        let key = TrackedRunId {
            digest,
            id: self.last_run_id,
        };
        let run = Run {
            key,
            upstream,
            incarnation,
            on_probation: self.is_suspect(digest, now),
            sent: false,
            liveness: Liveness::Unknown,
            steps: 0,
        };
        self.runs.insert(self.run_range(digest).end, run);
        key
    }

    /// Records progress of a run, by a few tokens.
    pub fn progressed(&mut self, run: TrackedRunId) {
        let Some(run) = self.run_mut(run) else { return };
        if !run.on_probation {
            return;
        }
        run.steps += 1;
        if run.steps >= PROBATION_STEPS {
            let digest = run.key.digest;
            self.clear(digest);
        }
    }

    /// Records that the upstream has completed a run.
    pub fn completed(&mut self, run: TrackedRunId) {
        if self.remove(run).is_some_and(|run| run.on_probation) {
            self.clear(run.digest);
        } else {
            self.remote_runs.cleared(run.digest);
        }
    }

    /// Records that this VM abandoned a run, which is no evidence for or against the request. The
    /// upstream may still run it if it was sent and not answered, or if its stream fell silent, so the
    /// run of a suspect and an unanswered one stay open.
    pub fn abandoned(&mut self, run: TrackedRunId, now: Instant) {
        let Some(run) = self.remove(run) else { return };
        if run.sent && (run.on_probation || run.liveness < Liveness::Responded) {
            self.remote_runs.announced(run.as_suspect(), true, now);
        }
    }

    /// Records that a run was not sent, or that the upstream did not accept it.
    pub fn never_ran(&mut self, run: TrackedRunId) {
        self.remove(run);
    }

    /// Records that the upstream has begun to respond, so the run counts as a possible cause if the
    /// upstream crashes.
    pub fn response_started(&mut self, run: TrackedRunId) {
        if let Some(run) = self.run_mut(run) {
            run.liveness = Liveness::Responded;
        }
    }

    /// Records that the stream of a run fell silent, so that its upstream may run it without response.
    pub fn fell_silent(&mut self, run: TrackedRunId) {
        if let Some(run) = self.run_mut(run) {
            run.liveness = run.liveness.min(Liveness::Confirmed);
        }
    }

    /// Whether the upstream of a run has to be confirmed alive before the request is sent, which
    /// holds for suspects.
    #[must_use]
    pub fn needs_liveness_check(&self, run: TrackedRunId) -> bool {
        self.runs
            .binary_search_by_key(&run, |run| run.key)
            .is_ok_and(|i| self.runs[i].on_probation)
    }

    /// Records that the upstream of a run was confirmed alive and that the request is sent now. If
    /// the upstream crashes afterwards, the run counts as a possible cause, with or without a
    /// response.
    pub fn liveness_confirmed(&mut self, run: TrackedRunId) {
        if let Some(run) = self.run_mut(run) {
            run.liveness = run.liveness.max(Liveness::Confirmed);
        }
    }

    /// Returns the announcement of a run to other VMs, if the request is a suspect.
    #[must_use]
    pub fn suspect_run(&self, run: TrackedRunId) -> Option<SuspectRun> {
        let i = self.runs.binary_search_by_key(&run, |run| run.key).ok()?;
        let run = &self.runs[i];
        run.on_probation.then(|| run.as_suspect())
    }

    /// Marks a run as sent, right before its request is sent.
    ///
    /// # Errors
    ///
    /// Fails if the request has since been reported to crash upstreams, or another VM's run precedes it.
    pub fn commit(&mut self, run: TrackedRunId, now: Instant) -> Result<(), PoisonBlock> {
        // Another VM has since reported that the request crashed upstreams.
        if self.is_refused(run.digest, now) {
            return Err(PoisonBlock::Refused);
        }
        let own = self.suspect_run(run);
        // Another VM has announced a conflicting run that takes precedence.
        if own.is_some_and(|own| self.remote_runs.precedes(&own, now)) {
            return Err(PoisonBlock::OtherUpstream);
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
        for run in self.runs.iter().filter(|run| run.on_probation) {
            let own = run.as_suspect();
            if announced.iter().any(|other| other.conflicts(&own)) {
                let list = if run.sent {
                    &mut conflicts.running
                } else {
                    &mut conflicts.waiting
                };
                list.push(own);
            }
        }
        conflicts
    }

    /// Records the announcement of another VM that it sends a suspect to an upstream.
    pub fn announced(&mut self, run: SuspectRun, now: Instant) {
        self.remote_runs.announced(run, false, now);
    }

    /// Records the reply of another VM that a suspect already runs there.
    pub fn running_on_peer(&mut self, run: SuspectRun, now: Instant) {
        self.remote_runs.announced(run, true, now);
    }

    /// Records that the VM that announced a run has withdrawn it without sending the request.
    pub fn withdrawn(&mut self, run: &SuspectRun, now: Instant) {
        self.remote_runs.withdrawn(run, now);
        let Ok(i) = self.record_position(run.digest, run.crash()) else {
            return;
        };
        let record = &mut self.records[i];
        if let RunEvidence::Announced(runs) = &mut record.evidence {
            runs.retain(|announced| announced != run);
            if runs.is_empty() && !record.cleared {
                record.cleared = true;
                record.times_sent = 0;
            }
        }
    }

    /// Returns the open runs of a request whose upstreams need a liveness check before the request is
    /// sent to another upstream.
    #[must_use]
    pub fn unchecked(&self, digest: RequestDigest, now: Instant) -> Vec<SuspectRun> {
        self.remote_runs.unchecked(digest, now)
    }

    /// Records that the liveness of the upstream of an open run was checked.
    pub fn checked(&mut self, run: &SuspectRun, now: Instant) {
        self.remote_runs.checked(run, now);
    }

    /// Returns the process of an upstream on which a run is open. If the upstream fails, it has to be
    /// found out whether that process crashed.
    #[must_use]
    pub fn open_process(&self, upstream: &UpstreamId, now: Instant) -> Option<Incarnation> {
        self.remote_runs.open_process(upstream, now)
    }

    /// Records the crash of an upstream process for all digests that were in flight on it as far as
    /// this VM knows, and returns the new records.
    pub fn upstream_crashed(
        &mut self,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        now: Instant,
    ) -> Vec<PoisonRecord> {
        self.expire(now);
        let crash = UpstreamCrashId::of(upstream, incarnation);
        let (crashed, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.upstream == *upstream && run.incarnation == incarnation);
        self.runs = running;
        let in_flight = crashed
            .iter()
            .filter(|run| run.liveness > Liveness::Unknown || !run.on_probation)
            .map(|run| (run.key.digest, RunEvidence::Observed));
        let mut in_flight = in_flight.collect::<Vec<_>>();
        let announced = self.remote_runs.upstream_crashed(crash, now);
        in_flight.extend(
            announced
                .into_iter()
                .map(|run| (run.digest, RunEvidence::Announced(vec![run]))),
        );
        let mut new = Vec::new();
        for (digest, evidence) in in_flight {
            let record = TrackedRecord {
                digest,
                crash,
                detected_at: now,
                times_sent: 0,
                cleared: false,
                evidence,
            };
            if self.merge_record(record.clone()) {
                new.push(record.to_message(now));
            }
            self.start_probation(digest);
        }
        new
    }

    /// Returns records for a gossip message to a peer, those sent least often first. Each record is
    /// sent eight times in total, and a message has at most 12 records.
    pub fn deltas(&mut self, now: Instant) -> Vec<PoisonRecord> {
        self.expire(now);
        let mut pending = self
            .records
            .iter_mut()
            .filter(|record| record.times_sent < SENDS_PER_RECORD)
            .collect::<Vec<_>>();
        pending.sort_by_key(|record| (record.times_sent, std::cmp::Reverse(record.detected_at)));
        pending.truncate(MAX_RECORDS_PER_MESSAGE);
        pending
            .into_iter()
            .map(|record| {
                record.times_sent += 1;
                record.to_message(now)
            })
            .collect()
    }

    /// Returns the unexpired records of a digest, in the form sent to peers, followed by those of other
    /// digests with the same crashes, up to 12 in total. A peer that runs one of these needs to know it.
    #[must_use]
    pub fn records_of(&self, digest: RequestDigest, now: Instant) -> Vec<PoisonRecord> {
        let own = self.unexpired(digest, now).collect::<Vec<_>>();
        let sharing = self.records.iter().filter(|record| {
            record.digest != digest
                && !record.cleared
                && own.iter().any(|own| own.crash == record.crash)
        });
        let records = own.iter().copied().chain(sharing);
        let records = records.take(MAX_RECORDS_PER_MESSAGE.max(own.len()));
        records.map(|record| record.to_message(now)).collect()
    }

    /// Returns at most 12 records of digests that are refused here and were in flight at one of the
    /// crashes of `records`. A peer needs them before it attributes these crashes to another request.
    #[must_use]
    pub fn explaining_records(&self, records: &[PoisonRecord], now: Instant) -> Vec<PoisonRecord> {
        let shared =
            |record: &&TrackedRecord| records.iter().any(|other| other.crash == record.crash);
        let sharing = self.records.iter().filter(shared);
        let mut digests = sharing.map(|record| record.digest).collect::<Vec<_>>();
        digests.dedup();
        digests.retain(|digest| self.is_refused(*digest, now));
        let records = digests
            .into_iter()
            .flat_map(|digest| self.unexpired(digest, now));
        records
            .take(MAX_RECORDS_PER_MESSAGE)
            .map(|record| record.to_message(now))
            .collect()
    }

    /// Returns all records, for a peer that has just started.
    #[must_use]
    pub fn records(&self, now: Instant) -> Vec<PoisonRecord> {
        self.records
            .iter()
            .map(|record| record.to_message(now))
            .collect()
    }

    /// Merges records from a peer and returns the new ones, which are then sent to other peers.
    pub fn merge(&mut self, records: &[PoisonRecord], now: Instant) -> Vec<PoisonRecord> {
        let mut new = Vec::new();
        for record in records {
            let age = Duration::from_millis(record.age_ms.into());
            let changed = self.merge_record(TrackedRecord {
                digest: record.digest,
                crash: record.crash,
                detected_at: Instant(now.0.saturating_sub(age)),
                times_sent: 0,
                cleared: record.cleared,
                evidence: RunEvidence::Observed,
            });
            if changed {
                new.push(*record);
            }
            if record.cleared {
                self.remote_runs.cleared(record.digest);
            } else {
                self.start_probation(record.digest);
            }
        }
        self.expire(now);
        new
    }

    /// Counts the crashes of a digest that no other digest explains: uncleared ones, and all.
    fn count_crashes(&self, digest: RequestDigest, now: Instant) -> (usize, usize) {
        let own_limit = self.limit_reached_at(digest, now);
        self.unexpired(digest, now)
            .filter(|record| !self.is_explained_by_other(record, own_limit, now))
            .fold((0, 0), |(open, all), record| {
                (open + usize::from(!record.cleared), all + 1)
            })
    }

    /// Whether a digest that reached the limit earlier than this one was in flight at the crash.
    fn is_explained_by_other(
        &self,
        record: &TrackedRecord,
        own_limit: Option<Instant>,
        now: Instant,
    ) -> bool {
        self.records
            .iter()
            .filter(|other| other.crash == record.crash && other.digest != record.digest)
            .filter_map(|other| self.limit_reached_at(other.digest, now))
            .any(|other| own_limit.is_none_or(|own| other < own))
    }

    /// When a digest reached the number of crashes at which it is refused, regardless of the other
    /// requests on the upstreams.
    fn limit_reached_at(&self, digest: RequestDigest, now: Instant) -> Option<Instant> {
        let open = self.unexpired(digest, now).filter(|record| !record.cleared);
        let open = Instant::nth_smallest(
            open.map(|record| record.detected_at),
            MAX_OPEN_CRASHES_PER_DIGEST,
        );
        let all = Instant::nth_smallest(
            self.unexpired(digest, now).map(|record| record.detected_at),
            MAX_CRASHES_PER_DIGEST,
        );
        open.into_iter().chain(all).min()
    }

    /// Returns the unexpired records of a digest.
    fn unexpired(
        &self,
        digest: RequestDigest,
        now: Instant,
    ) -> impl Iterator<Item = &TrackedRecord> {
        let start = self
            .records
            .partition_point(|record| record.digest < digest);
        self.records[start..]
            .iter()
            .take_while(move |record| record.digest == digest)
            .filter(move |record| now.since(record.detected_at) <= RECORD_TTL)
    }

    /// Merges a record and returns whether it was new.
    fn merge_record(&mut self, mut record: TrackedRecord) -> bool {
        let of_crash = self.records.iter_mut().filter(|m| m.crash == record.crash);
        for other in of_crash {
            record.detected_at = record.detected_at.min(other.detected_at);
            other.detected_at = record.detected_at;
        }
        match self.record_position(record.digest, record.crash) {
            Ok(i) if record.cleared && !self.records[i].cleared => {
                self.records[i].cleared = true;
                self.records[i].times_sent = 0;
                true
            }
            Ok(i) => self.records[i].add_announcements(&record.evidence),
            Err(i) => {
                self.records.insert(i, record);
                true
            }
        }
    }

    fn record_position(
        &self,
        digest: RequestDigest,
        crash: UpstreamCrashId,
    ) -> Result<usize, usize> {
        self.records
            .binary_search_by(|known| (known.digest, known.crash).cmp(&(digest, crash)))
    }

    /// Puts the current runs of a digest that has just become a suspect on probation. Otherwise a
    /// second run in progress could crash the upstream of an unrelated request on
    /// probation, and the crash would be attributed to both.
    fn start_probation(&mut self, digest: RequestDigest) {
        let run_range = self.run_range(digest);
        for run in self.runs[run_range]
            .iter_mut()
            .filter(|run| !run.on_probation)
        {
            run.on_probation = true;
            run.steps = 0;
        }
    }

    fn clear(&mut self, digest: RequestDigest) {
        self.remote_runs.cleared(digest);
        let run_range = self.run_range(digest);
        for run in &mut self.runs[run_range] {
            run.on_probation = false;
        }
        for record in &mut self.records {
            if record.digest == digest && !record.cleared {
                record.cleared = true;
                record.times_sent = 0;
            }
        }
    }

    fn expire(&mut self, now: Instant) {
        self.records
            .retain(|record| now.since(record.detected_at) <= RECORD_TTL);
        while self.records.len() > MAX_RECORDS {
            let oldest = self.records.iter().map(|record| record.detected_at).min();
            self.records
                .retain(|record| Some(record.detected_at) != oldest);
        }
    }

    /// Returns the index range of a digest's runs.
    fn run_range(&self, digest: RequestDigest) -> std::ops::Range<usize> {
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
            announcement: Some(self.key.id),
        }
    }
}

impl TrackedRecord {
    /// Adds announcements on which the record also rests, and returns whether it counts again: all
    /// earlier announcements had been withdrawn.
    fn add_announcements(&mut self, evidence: &RunEvidence) -> bool {
        let (RunEvidence::Announced(known), RunEvidence::Announced(added)) =
            (&mut self.evidence, evidence)
        else {
            return false;
        };
        let was_withdrawn = known.is_empty();
        for run in added {
            if !known.contains(run) {
                known.push(run.clone());
            }
        }
        if was_withdrawn && self.cleared {
            self.cleared = false;
            self.times_sent = 0;
            return true;
        }
        false
    }

    fn to_message(&self, now: Instant) -> PoisonRecord {
        let age = now.since(self.detected_at).as_millis();
        PoisonRecord {
            digest: self.digest,
            crash: self.crash,
            cleared: self.cleared,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }
}
