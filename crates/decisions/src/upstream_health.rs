//! Failure detector that decides when an upstream is probed.
//!
//! A crashed VM, a network partition and an engine that processes a long prompt have the same symptom: no
//! data arrives. A caller in the middle of a stream tolerates a pause of well under a second, so silence on
//! all connections to an upstream starts one probe (a request for its load report, on a separate
//! connection), however many calls wait there. The streams fail over only if the probe fails. Time in which this
//! process itself did not run is not the upstream's silence.

use super::*;

/// Silence of an upstream with calls in flight after which it is probed. Events of a stream arrive every 30
/// to 200 ms; a longer timeout would leave too little time for the resume within the pause that a caller
/// tolerates.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(200);

/// Silence after which an upstream of a scheduled service is probed on which this VM only has runs that wait for their
/// first event. An engine that processes prompts sends nothing for a second or more, and a probe every 200 ms gave six
/// probes for each request in a burst without faults. No caller is in the middle of a stream there.
pub const WAITING_SILENCE_TIMEOUT: Duration = Duration::from_millis(600);

/// Timeout of a probe; a response takes 2 to 10 ms.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(180);

/// Delay of this process above which it counts as a pause. Timers of a busy VM fire some milliseconds late.
pub(crate) const MAX_OWN_DELAY: Duration = Duration::from_millis(50);

/// Number of late checks in a row whose delay is no silence: on a VM that is always late, a dead upstream must still
/// be found.
const MAX_LATE_CHECKS: u32 = 2;

/// First backoff before an upstream whose probe failed is probed again; it doubles each time.
const FIRST_BACKOFF: Duration = Duration::from_millis(400);

/// Longest backoff between probes of an upstream that does not respond.
const MAX_BACKOFF: Duration = Duration::from_millis(1600);

/// Health of one upstream, from the calls of this VM there and from its probes.
#[derive(Clone, Debug)]
pub struct UpstreamHealth {
    last_seen: Instant,
    in_flight: u32,
    late_checks: u32,
    pauses: u32,
    probing: Option<Instant>,
    suspect: Option<Suspect>,
    /// Runs of this VM there that wait for their first event.
    pub waiting: WaitingRuns,
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    probe_at: Instant,
    backoff: Duration,
}

impl UpstreamHealth {
    /// Creates the health of an upstream that was last seen at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            last_seen: now,
            in_flight: 0,
            late_checks: 0,
            pauses: 0,
            probing: None,
            suspect: None,
            waiting: WaitingRuns::default(),
        }
    }

    /// Records that a call was sent to the upstream.
    pub fn call_started(&mut self, now: Instant) {
        if self.in_flight == 0 {
            self.last_seen = self.last_seen.max(now);
        }
        self.in_flight += 1;
    }

    /// Records that a call to the upstream ended.
    pub fn call_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records that data arrived from the upstream; it is no longer suspect.
    pub fn record_activity(&mut self, now: Instant) {
        self.last_seen = now;
        self.suspect = None;
    }

    /// Records a broken connection or a failed probe; returns whether the upstream was not suspect before.
    pub fn record_failure(&mut self, now: Instant) -> bool {
        let backoff = match self.suspect {
            Some(suspect) => (suspect.backoff * 2).min(MAX_BACKOFF),
            None => FIRST_BACKOFF,
        };
        let new = self.suspect.is_none();
        self.suspect = Some(Suspect {
            probe_at: now.after(backoff),
            backoff,
        });
        new
    }

    /// Whether a probe is due after a silence of [`SILENCE_TIMEOUT`]; if so, it is marked as started.
    pub fn start_probe_if_due(&mut self, now: Instant) -> bool {
        self.start_probe_after(SILENCE_TIMEOUT, now)
    }

    /// Silence after which an upstream of a scheduled service is probed.
    #[must_use]
    pub fn scheduled_silence_timeout(&self) -> Duration {
        if self.waiting.only_first_runs(self.in_flight) {
            WAITING_SILENCE_TIMEOUT
        } else {
            SILENCE_TIMEOUT
        }
    }

    /// Whether a probe is due after a silence of `timeout`; if so, it is marked as started.
    pub fn start_probe_after(&mut self, timeout: Duration, now: Instant) -> bool {
        let due = match (self.probing, self.suspect) {
            (Some(_), _) => false,
            (None, Some(suspect)) => now >= suspect.probe_at,
            (None, None) => self.in_flight > 0 && now.since(self.last_seen) >= timeout,
        };
        if due {
            self.probing = Some(now);
        }
        due
    }

    /// Whether a probe may start at once, for a reason other than silence; if so, it is marked as started.
    pub fn start_probe(&mut self, now: Instant) -> bool {
        let free = self.probing.is_none();
        if free {
            self.probing = Some(now);
        }
        free
    }

    /// Records a periodic check of the upstream that came late by `delay`.
    pub fn record_check(&mut self, delay: Duration, now: Instant) {
        if delay <= MAX_OWN_DELAY {
            self.late_checks = 0;
            return;
        }
        self.pauses = self.pauses.wrapping_add(1);
        if self.late_checks < MAX_LATE_CHECKS {
            self.late_checks += 1;
            self.last_seen = self.last_seen.after(delay).min(now);
        }
    }

    /// Number of checks that came late because this process had paused.
    #[must_use]
    pub fn pauses(&self) -> u32 {
        self.pauses
    }

    /// Records the end of a probe.
    pub fn probe_ended(&mut self) {
        self.probing = None;
    }

    /// Time since the upstream was last seen, or since the first of its current calls was sent.
    #[must_use]
    pub fn silent_for(&self, now: Instant) -> Duration {
        now.since(self.last_seen)
    }

    /// Whether the upstream is suspected of having failed.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.suspect.is_some()
    }

    /// Number of calls in flight to the upstream.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}
