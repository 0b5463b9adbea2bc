use super::*;

/// How long a suspect is not sent elsewhere for an announced run: one that kills does so within its first tokens.
const HOLD: Duration = Duration::from_secs(1);

/// How long the death of an upstream counts against a suspect that was announced there.
const EXPIRY: Duration = Duration::from_secs(10);

/// Announced runs kept; the oldest go first.
const MOST_RUNS: usize = 1024;

/// Runs of a VM that conflict with runs that another VM announces.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SuspectConflicts {
    /// Those whose order is not sent yet.
    pub waiting: Vec<SuspectRun>,
    /// Those whose order is sent.
    pub running: Vec<SuspectRun>,
}

/// Runs of suspects that other VMs have announced.
///
/// A suspect waits until the upstream of its announced run was checked and has survived for [`HOLD`], and other
/// suspects keep away from that upstream meanwhile.
#[derive(Clone, Debug, Default)]
pub struct SuspectRuns {
    /// Sorted by run.
    runs: Vec<Announced>,
}

#[derive(Clone, Debug)]
struct Announced {
    run: SuspectRun,
    at: Instant,
    /// Whether its order is known to be sent.
    sent: bool,
    /// Whether this VM has asked the upstream since.
    checked: bool,
}

impl SuspectRuns {
    /// Takes an announcement, or what another VM answers to one: then the run may be `sent`.
    pub fn announced(&mut self, run: SuspectRun, sent: bool, now: Instant) {
        self.runs
            .retain(|announced| now.since(announced.at) <= EXPIRY);
        if self.runs.len() >= MOST_RUNS {
            let oldest = self.runs.iter().map(|announced| announced.at).min();
            self.runs.retain(|announced| Some(announced.at) != oldest);
        }
        let announced = Announced {
            run,
            at: now,
            sent,
            checked: false,
        };
        match self.position(&announced.run) {
            Ok(i) => self.runs[i] = announced,
            Err(i) => self.runs.insert(i, announced),
        }
    }

    /// Runs of a request whose upstreams this VM has not asked yet.
    #[must_use]
    pub fn unchecked(&self, digest: RequestDigest, now: Instant) -> Vec<SuspectRun> {
        self.of(digest, now)
            .filter(|announced| !announced.checked)
            .map(|announced| announced.run.clone())
            .collect()
    }

    /// Notes that the upstream of a run was asked whether it lives.
    pub fn checked(&mut self, run: &SuspectRun) {
        if let Ok(i) = self.position(run) {
            self.runs[i].checked = true;
        }
    }

    /// Whether a request has to wait for its announced runs.
    #[must_use]
    pub fn hold(&self, digest: RequestDigest, now: Instant) -> bool {
        self.of(digest, now)
            .any(|announced| !announced.checked || announced.holds(now))
    }

    /// Whether an announced run goes before one of this VM that conflicts with it: a run that was sent goes before one that
    /// was not, and of two that were announced together one goes first on all VMs.
    #[must_use]
    pub fn precedes(&self, own: &SuspectRun, now: Instant) -> bool {
        self.runs
            .iter()
            .filter(|announced| announced.run.conflicts(own) && announced.holds(now))
            .any(|announced| announced.sent || announced.run < *own)
    }

    /// Whether another request was just announced on an upstream.
    #[must_use]
    pub fn occupy(&self, upstream: &UpstreamId, digest: RequestDigest, now: Instant) -> bool {
        self.runs.iter().any(|announced| {
            announced.run.upstream == *upstream
                && announced.run.digest != digest
                && announced.holds(now)
        })
    }

    /// Forgets the runs of a request that has got past the point at which an upstream died.
    pub fn cleared(&mut self, digest: RequestDigest) {
        self.runs.retain(|announced| announced.run.digest != digest);
    }

    /// Forgets a run whose order was not sent.
    pub fn withdrawn(&mut self, run: &SuspectRun) {
        if let Ok(i) = self.position(run) {
            self.runs.remove(i);
        }
    }

    /// Forgets the runs on a process that has died; the requests that it died under.
    pub fn died(&mut self, death: UpstreamCrashId, now: Instant) -> Vec<RequestDigest> {
        let on_it = |announced: &&Announced| announced.run.death() == death;
        let under = self.runs.iter().filter(on_it);
        let under = under
            .filter(|announced| now.since(announced.at) <= EXPIRY)
            .map(|announced| announced.run.digest)
            .collect();
        self.runs.retain(|announced| announced.run.death() != death);
        under
    }

    fn of(&self, digest: RequestDigest, now: Instant) -> impl Iterator<Item = &Announced> {
        let start = self
            .runs
            .partition_point(|announced| announced.run.digest < digest);
        self.runs[start..]
            .iter()
            .take_while(move |announced| announced.run.digest == digest)
            .filter(move |announced| now.since(announced.at) <= EXPIRY)
    }

    fn position(&self, run: &SuspectRun) -> Result<usize, usize> {
        self.runs
            .binary_search_by(|announced| announced.run.cmp(run))
    }
}

impl Announced {
    fn holds(&self, now: Instant) -> bool {
        now.since(self.at) <= HOLD
    }
}
