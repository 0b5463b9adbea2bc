use super::*;

/// Time for which an announced run blocks other runs of the same suspect. A poison request crashes
/// its upstream within its first tokens.
const BLOCK_DURATION: Duration = Duration::from_secs(1);

/// Time for which a crash of the upstream is attributed to a suspect that was announced there.
const ATTRIBUTION_PERIOD: Duration = Duration::from_secs(10);

/// Maximum number of stored announcements and of withdrawals. The oldest are evicted first.
const MAX_RUNS: usize = 1024;

/// Runs of this VM that conflict with runs announced by another VM.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SuspectConflicts {
    /// Runs whose request has not been sent.
    pub waiting: Vec<SuspectRun>,
    /// Runs whose request has been sent.
    pub running: Vec<SuspectRun>,
}

/// Runs that this VM does not follow: those of suspects that other VMs have announced, and its own that it
/// abandoned while the upstream may still run them. A run is open until its upstream has survived for
/// `BLOCK_DURATION` and was checked after that. A suspect waits for its open runs, and others are kept
/// off their upstreams for `BLOCK_DURATION`. A withdrawal names its announcement and applies whether it
/// arrives before or after it.
#[derive(Clone, Debug, Default)]
pub struct SuspectRuns {
    /// Sorted by run, at most one entry for each announcement.
    runs: Vec<Announcement>,
    /// Sorted by run. Withdrawn announcements, each with the time at which the withdrawal arrived.
    withdrawn: Vec<(SuspectRun, Instant)>,
}

#[derive(Clone, Debug)]
struct Announcement {
    run: SuspectRun,
    received_at: Instant,
    /// Whether the request is known to have been sent.
    sent: bool,
    /// When this VM last checked the liveness of the upstream since the announcement.
    checked_at: Option<Instant>,
}

impl SuspectRuns {
    /// Records an announcement, or a run that another VM reports in reply to an announcement.
    /// `sent` states whether the request is known to have been sent.
    pub fn announced(&mut self, run: SuspectRun, sent: bool, now: Instant) {
        if self.is_withdrawn(&run, now) {
            return;
        }
        self.runs
            .retain(|announced| now.since(announced.received_at) <= ATTRIBUTION_PERIOD);
        if self.runs.len() >= MAX_RUNS {
            let oldest = self
                .runs
                .iter()
                .map(|announced| announced.received_at)
                .min();
            self.runs
                .retain(|announced| Some(announced.received_at) != oldest);
        }
        let mut announced = Announcement {
            run,
            received_at: now,
            sent,
            checked_at: None,
        };
        match self.position(&announced.run) {
            Ok(i) => {
                announced.sent |= self.runs[i].sent;
                self.runs[i] = announced;
            }
            Err(i) => self.runs.insert(i, announced),
        }
    }

    /// Returns the runs of a request whose upstreams this VM has not checked yet, or not since they
    /// survived for `BLOCK_DURATION`.
    #[must_use]
    pub fn unchecked(&self, digest: RequestDigest, now: Instant) -> Vec<SuspectRun> {
        self.runs_of(digest, now)
            .filter(|announced| !announced.is_checked(now))
            .map(|announced| announced.run.clone())
            .collect()
    }

    /// Records that the liveness of the upstream of a run was checked.
    pub fn checked(&mut self, run: &SuspectRun, now: Instant) {
        if let Ok(i) = self.position(run) {
            self.runs[i].checked_at = Some(now);
        }
    }

    /// Returns the open runs of a request.
    pub fn open_runs(
        &self,
        digest: RequestDigest,
        now: Instant,
    ) -> impl Iterator<Item = &SuspectRun> {
        self.runs_of(digest, now)
            .filter(move |announced| announced.is_open(now))
            .map(|announced| &announced.run)
    }

    /// Whether two requests have open runs on the same process, whose crash could not be attributed
    /// to one of them.
    #[must_use]
    pub fn share_upstream(
        &self,
        digest: RequestDigest,
        other: RequestDigest,
        now: Instant,
    ) -> bool {
        self.open_runs(digest, now).any(|run| {
            let mut others = self.open_runs(other, now);
            others.any(|other| other.crash() == run.crash())
        })
    }

    /// Returns the process of an upstream on which a run is open.
    #[must_use]
    pub fn open_process(&self, upstream: &UpstreamId, now: Instant) -> Option<Incarnation> {
        let mut open = self.runs.iter().filter(|announced| {
            now.since(announced.received_at) <= ATTRIBUTION_PERIOD && announced.is_open(now)
        });
        let found = open.find(|announced| announced.run.upstream == *upstream)?;
        Some(found.run.incarnation)
    }

    /// Whether an announced run takes precedence over a conflicting run of this VM. A run that has
    /// been sent precedes one that has not. Of two concurrent announcements, the smaller run takes
    /// precedence, which all VMs decide in the same way.
    #[must_use]
    pub fn precedes(&self, own: &SuspectRun, now: Instant) -> bool {
        self.runs
            .iter()
            .filter(|announced| announced.run.conflicts(own) && announced.is_blocking(now))
            .any(|announced| announced.sent || announced.run < *own)
    }

    /// Whether another suspect was announced on an upstream within `BLOCK_DURATION`.
    #[must_use]
    pub fn is_occupied(&self, upstream: &UpstreamId, digest: RequestDigest, now: Instant) -> bool {
        self.runs.iter().any(|announced| {
            announced.run.upstream == *upstream
                && announced.run.digest != digest
                && announced.is_blocking(now)
        })
    }

    /// Removes the runs of a request that has got past the point at which an upstream crashed.
    pub fn cleared(&mut self, digest: RequestDigest) {
        self.runs.retain(|announced| announced.run.digest != digest);
    }

    /// Removes a run whose request was not sent, now or when its announcement arrives.
    pub fn withdrawn(&mut self, run: &SuspectRun, now: Instant) {
        if let Ok(i) = self.position(run) {
            self.runs.remove(i);
        }
        // Without a number, a later announcement of the same run would be taken for this one.
        if run.announcement.is_none() {
            return;
        }
        self.withdrawn
            .retain(|(_, at)| now.since(*at) <= ATTRIBUTION_PERIOD);
        if self.withdrawn.len() >= MAX_RUNS {
            let oldest = self.withdrawn.iter().map(|(_, at)| *at).min();
            self.withdrawn.retain(|(_, at)| Some(*at) != oldest);
        }
        if let Err(i) = self.withdrawn.binary_search_by(|(known, _)| known.cmp(run)) {
            self.withdrawn.insert(i, (run.clone(), now));
        }
    }

    fn is_withdrawn(&self, run: &SuspectRun, now: Instant) -> bool {
        let position = self.withdrawn.binary_search_by(|(known, _)| known.cmp(run));
        position.is_ok_and(|i| now.since(self.withdrawn[i].1) <= ATTRIBUTION_PERIOD)
    }

    /// Removes the runs on a crashed process; returns those to which the crash is attributed.
    pub fn upstream_crashed(&mut self, crash: UpstreamCrashId, now: Instant) -> Vec<SuspectRun> {
        let of_process = |announced: &&Announcement| announced.run.crash() == crash;
        let attributed = self.runs.iter().filter(of_process);
        let attributed = attributed
            .filter(|announced| now.since(announced.received_at) <= ATTRIBUTION_PERIOD)
            .map(|announced| announced.run.clone())
            .collect();
        self.runs.retain(|announced| announced.run.crash() != crash);
        attributed
    }

    fn runs_of(&self, digest: RequestDigest, now: Instant) -> impl Iterator<Item = &Announcement> {
        let start = self
            .runs
            .partition_point(|announced| announced.run.digest < digest);
        self.runs[start..]
            .iter()
            .take_while(move |announced| announced.run.digest == digest)
            .filter(move |announced| now.since(announced.received_at) <= ATTRIBUTION_PERIOD)
    }

    fn position(&self, run: &SuspectRun) -> Result<usize, usize> {
        self.runs
            .binary_search_by(|announced| announced.run.cmp(run))
    }
}

impl Announcement {
    fn is_open(&self, now: Instant) -> bool {
        self.is_blocking(now) || !self.is_checked(now)
    }

    fn is_checked(&self, now: Instant) -> bool {
        self.checked_at
            .is_some_and(|at| self.is_blocking(now) || !self.is_blocking(at))
    }

    fn is_blocking(&self, now: Instant) -> bool {
        now.since(self.received_at) <= BLOCK_DURATION
    }
}
