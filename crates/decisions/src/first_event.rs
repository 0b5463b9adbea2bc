//! Decides whether a run that sends no events is doubtful, or waits at a busy upstream.
//!
//! Load pattern: at twice the load, calls wait in engines for longer than [`FIRST_EVENT_TIMEOUT`], and engines preempt
//! begun runs. A run that is then sent to another engine joins the end of a queue again, and its prompt is processed
//! twice. An upstream that reports at least as many calls as this VM has there has the run, and is only busy. If it
//! reports fewer, the call was lost on the way.

use super::*;

/// Time without a first event after which the prompt is prefilled on another upstream. Prefill, with the
/// wait for other prompts, takes one to four seconds, and a restart costs as much again, so this timeout
/// only covers dead connections.
pub const FIRST_EVENT_TIMEOUT: Duration = Duration::from_secs(6);

/// Time without data from a started run after which the stream resumes on another upstream although this
/// one answers health checks: the connection is dead, or the engine preempted the run for a more urgent
/// one. Events come every 30 to 200 ms; with the resume a caller waits less than 0.7 s.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(450);

/// Age from which on a report does not show whether the upstream has a run. Reports are requested at each check, at
/// most a second apart, and one of them may be lost.
const REPORT_MAX_AGE: Duration = Duration::from_secs(2);

/// Time from the send of a call after which a report counts it: the reports are 200 to 300 ms old when they arrive, and
/// a prompt takes some 100 ms on a slow link.
const COUNTED_AFTER: Duration = Duration::from_secs(1);

/// Minimum time between two reports that both show a call as lost. Reports are up to 300 ms old, so that two that
/// arrive within that time may describe the same moment.
const REPORT_DISTANCE: Duration = Duration::from_millis(400);

/// Lead of the first check before [`FIRST_EVENT_TIMEOUT`], in which a report arrives that shows whether the upstream
/// has the run.
const FIRST_REPORT_LEAD: Duration = Duration::from_millis(500);

/// Interval of the checks of a run that waits for its first event at a busy upstream.
const BUSY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of the checks while a report shows fewer calls than this VM has there.
const MISSING_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum interval between requests for the report of an upstream, whatever number of runs wait there.
const REPORT_REQUEST_INTERVAL: Duration = Duration::from_millis(350);

/// Runs of this VM on an upstream that wait for their first event, and the requests for reports on their behalf.
#[derive(Clone, Debug, Default)]
pub struct WaitingRuns {
    runs: Vec<WaitingRun>,
    report_requested: Option<Instant>,
}

/// A run that waits for its first event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitingRun {
    /// When it was sent.
    pub sent: Instant,
    /// Whether its caller has received events of an earlier run, and tolerates only a short pause.
    pub resumes: bool,
}

impl WaitingRuns {
    /// Adds a run that was sent.
    pub fn add(&mut self, run: WaitingRun) {
        self.runs.push(run);
    }

    /// Removes a run that received its first event or ended.
    pub fn remove(&mut self, run: WaitingRun) {
        if let Some(index) = self.runs.iter().position(|other| *other == run) {
            self.runs.swap_remove(index);
        }
    }

    /// Whether these are all of the `in_flight` calls of this VM on the upstream, and no caller is in the middle of a
    /// stream.
    #[must_use]
    pub fn only_first_runs(&self, in_flight: u32) -> bool {
        self.runs.len() >= in_flight as usize && self.runs.iter().all(|run| !run.resumes)
    }

    /// Number of the `in_flight` calls that a report received at `report_at` must count.
    #[must_use]
    pub fn counted_at(&self, report_at: Instant, in_flight: u32) -> u32 {
        let recent = |run: &&WaitingRun| run.sent.after(COUNTED_AFTER) > report_at;
        let recent = self.runs.iter().filter(recent).count();
        in_flight.saturating_sub(u32::try_from(recent).unwrap_or(u32::MAX))
    }

    /// Whether a report of the upstream is to be requested now; if so, it is marked as requested.
    pub fn request_report(&mut self, now: Instant) -> bool {
        let due = self
            .report_requested
            .is_none_or(|at| now.since(at) >= REPORT_REQUEST_INTERVAL);
        if due {
            self.report_requested = Some(now);
        }
        due
    }
}

/// What an upstream reported of its calls, compared with those of this VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallReport {
    /// When the report arrived.
    pub at: Instant,
    /// Calls that it counts, running and waiting, of all VMs.
    pub calls: u32,
    /// Calls of this VM that it must count.
    pub own_calls: u32,
}

/// What is known of the upstream of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UpstreamCalls {
    /// Whether the upstream is suspected of having failed.
    pub suspect: bool,
    /// Its last report.
    pub report: Option<CallReport>,
}

/// What to do with a run that sends no events.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitDecision {
    /// Keep the run, and check it again.
    Wait,
    /// Keep the run, since its upstream is busy, and check it again.
    Busy(CallReport),
    /// It may have failed; there is no sign that its upstream has it.
    Doubtful,
    /// It may have failed: its upstream reports fewer calls than this VM has there.
    Missing(CallReport),
}

/// The wait of a run for its first or its next event.
#[derive(Clone, Copy, Debug)]
pub struct EventWait {
    since: Instant,
    begun: bool,
    check_at: Instant,
    /// Arrival of the first of the successive reports that count too few calls.
    missing_since: Option<Instant>,
}

impl EventWait {
    /// The wait of a run for its first event, from `since` on.
    #[must_use]
    pub fn for_first(since: Instant) -> Self {
        Self {
            since,
            begun: false,
            check_at: since.after(FIRST_EVENT_TIMEOUT.saturating_sub(FIRST_REPORT_LEAD)),
            missing_since: None,
        }
    }

    /// The wait of a begun run that sent its last data at `since`.
    #[must_use]
    pub fn for_next(since: Instant) -> Self {
        Self {
            since,
            begun: true,
            check_at: since.after(STALL_TIMEOUT),
            missing_since: None,
        }
    }

    /// Whether the run waits for its first event.
    #[must_use]
    pub fn is_for_first(&self) -> bool {
        !self.begun
    }

    /// When the run is to be checked.
    #[must_use]
    pub fn check_at(&self) -> Instant {
        self.check_at
    }

    /// Checks the run, given what is known of its upstream (`None` if its service is not scheduled) and whether the run
    /// could resume from a KV copy.
    pub fn check(
        &mut self,
        upstream: Option<&UpstreamCalls>,
        has_copy: bool,
        now: Instant,
    ) -> WaitDecision {
        if now < self.check_at {
            return WaitDecision::Wait;
        }
        let Some(upstream) = upstream.filter(|upstream| !upstream.suspect) else {
            return self.without_report(self.timeout(), now);
        };
        if self.begun && has_copy {
            return WaitDecision::Doubtful;
        }
        let fresh = |report: &CallReport| now.since(report.at) < REPORT_MAX_AGE;
        let Some(report) = upstream.report.filter(fresh) else {
            // While other streams keep an upstream from silence it is not checked, so a begun run has no report when it
            // pauses. It gets one interval to arrive.
            let arrival = if self.begun {
                STALL_TIMEOUT
            } else {
                Duration::ZERO
            };
            return self.without_report(self.timeout() + arrival, now);
        };
        if report.calls >= report.own_calls {
            return self.busy(report, now);
        }
        let first = *self.missing_since.get_or_insert(report.at);
        if report.at.since(first) >= REPORT_DISTANCE && now >= self.since.after(self.timeout()) {
            return WaitDecision::Missing(report);
        }
        self.check_at = now.after(self.missing_interval());
        WaitDecision::Wait
    }

    fn timeout(&self) -> Duration {
        if self.begun {
            STALL_TIMEOUT
        } else {
            FIRST_EVENT_TIMEOUT
        }
    }

    fn missing_interval(&self) -> Duration {
        if self.begun {
            STALL_TIMEOUT
        } else {
            MISSING_CHECK_INTERVAL
        }
    }

    fn without_report(&mut self, timeout: Duration, now: Instant) -> WaitDecision {
        let due = self.since.after(timeout);
        if now >= due {
            return WaitDecision::Doubtful;
        }
        self.check_at = due;
        WaitDecision::Wait
    }

    fn busy(&mut self, report: CallReport, now: Instant) -> WaitDecision {
        self.missing_since = None;
        let due = self.since.after(self.timeout());
        if now < due {
            self.check_at = due;
            return WaitDecision::Wait;
        }
        self.check_at = now.after(if self.begun {
            STALL_TIMEOUT
        } else {
            BUSY_CHECK_INTERVAL
        });
        WaitDecision::Busy(report)
    }
}
