//! Failure detector of an upstream: when to probe it.
//!
//! A dead VM, a network partition and an engine that reads a long prompt look alike: nothing comes. A caller in
//! the middle of a stream bears a pause of well under a second, so silence on all connections to an upstream
//! starts one probe (its load report, over a connection of its own), however many calls wait there. Its
//! streams fail over only if the probe fails.

use super::*;

/// Silence of an upstream with calls in flight after which it is probed. Events of a stream come every
/// 30 to 200 ms; a longer bound would leave too little of a caller's patience for the resume.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout of a probe; an answer takes 2 to 10 ms.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(180);

/// Backoff before an upstream whose probe failed is probed again; doubles each time.
const FIRST_BACKOFF: Duration = Duration::from_millis(400);

/// Longest backoff between probes of an upstream that does not answer.
const LONGEST_BACKOFF: Duration = Duration::from_millis(1600);

/// Health of an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamHealth {
    last_seen: Instant,
    in_flight: u32,
    probing: Option<Instant>,
    suspect: Option<Suspect>,
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    probe_at: Instant,
    backoff: Duration,
}

impl UpstreamHealth {
    /// An upstream that was just heard of.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            last_seen: now,
            in_flight: 0,
            probing: None,
            suspect: None,
        }
    }

    /// Notes that a call was sent there.
    pub fn sent(&mut self, now: Instant) {
        if self.in_flight == 0 {
            self.last_seen = self.last_seen.max(now);
        }
        self.in_flight += 1;
    }

    /// Notes that a call there ended.
    pub fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Notes that anything came from it; it is no suspect any more.
    pub fn heard(&mut self, now: Instant) {
        self.last_seen = now;
        self.suspect = None;
    }

    /// Notes that a connection to it broke, or that a probe failed. Returns whether it was no suspect before.
    pub fn doubt(&mut self, now: Instant) -> bool {
        let backoff = match self.suspect {
            Some(suspect) => (suspect.backoff * 2).min(LONGEST_BACKOFF),
            None => FIRST_BACKOFF,
        };
        let new = self.suspect.is_none();
        self.suspect = Some(Suspect {
            probe_at: now.after(backoff),
            backoff,
        });
        new
    }

    /// Whether a probe is due. If so, it counts as begun.
    pub fn probe_due(&mut self, now: Instant) -> bool {
        let due = match (self.probing, self.suspect) {
            (Some(_), _) => false,
            (None, Some(suspect)) => now >= suspect.probe_at,
            (None, None) => self.in_flight > 0 && now.since(self.last_seen) >= SILENCE_TIMEOUT,
        };
        if due {
            self.probing = Some(now);
        }
        due
    }

    /// Whether a probe may begin at once, for a reason other than silence; if so it counts as begun.
    pub fn probe_now(&mut self, now: Instant) -> bool {
        let free = self.probing.is_none();
        if free {
            self.probing = Some(now);
        }
        free
    }

    /// Notes the end of a probe.
    pub fn probed(&mut self) {
        self.probing = None;
    }

    /// Whether it is a suspect.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.suspect.is_some()
    }

    /// Calls in flight there.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}
