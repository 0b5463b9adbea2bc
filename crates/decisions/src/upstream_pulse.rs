//! When an upstream that says nothing is asked whether it lives.
//!
//! A dead VM, a cut and an engine that reads a long prompt look alike: nothing comes. A caller in the
//! middle of a stream bears a pause of well under a second, so silence on all connections to an
//! upstream leads to one question to it (its load report, over a connection of its own), however many
//! calls wait there. Its streams are given up only if that is not answered.

use super::*;

/// Silence of an upstream with calls in flight after which it is asked. Events of a stream come every
/// 30 to 200 ms; a longer bound would leave too little of a caller's patience for the resume.
pub const SILENCE: Duration = Duration::from_millis(200);

/// How long an upstream may take to answer the question; an answer takes 2 to 10 ms.
pub const ANSWER_BOUND: Duration = Duration::from_millis(180);

/// Wait before an upstream that did not answer is asked again; doubles each time.
const FIRST_RETRY: Duration = Duration::from_millis(400);

/// Longest wait between two questions to an upstream that does not answer.
const LONGEST_RETRY: Duration = Duration::from_millis(1600);

/// What is known of an upstream's life.
#[derive(Clone, Debug)]
pub struct UpstreamPulse {
    heard: Instant,
    in_flight: u32,
    asked: Option<Instant>,
    suspect: Option<Suspect>,
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    ask_at: Instant,
    wait: Duration,
}

impl UpstreamPulse {
    /// An upstream that was just heard of.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            heard: now,
            in_flight: 0,
            asked: None,
            suspect: None,
        }
    }

    /// Notes that a call was sent there.
    pub fn sent(&mut self, now: Instant) {
        if self.in_flight == 0 {
            self.heard = self.heard.max(now);
        }
        self.in_flight += 1;
    }

    /// Notes that a call there ended.
    pub fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Notes that anything came from it; it is no suspect any more.
    pub fn heard(&mut self, now: Instant) {
        self.heard = now;
        self.suspect = None;
    }

    /// Notes that a connection to it broke, or that it did not answer a question. Tells whether it
    /// was no suspect before.
    pub fn doubt(&mut self, now: Instant) -> bool {
        let wait = match self.suspect {
            Some(suspect) => (suspect.wait * 2).min(LONGEST_RETRY),
            None => FIRST_RETRY,
        };
        let new = self.suspect.is_none();
        self.suspect = Some(Suspect {
            ask_at: now.after(wait),
            wait,
        });
        new
    }

    /// Whether it should be asked now. If so, the question counts as asked.
    pub fn ask(&mut self, now: Instant) -> bool {
        let due = match (self.asked, self.suspect) {
            (Some(_), _) => false,
            (None, Some(suspect)) => now >= suspect.ask_at,
            (None, None) => self.in_flight > 0 && now.since(self.heard) >= SILENCE,
        };
        if due {
            self.asked = Some(now);
        }
        due
    }

    /// Whether a question may be asked at once, for a reason other than silence; if so it counts as
    /// asked.
    pub fn ask_now(&mut self, now: Instant) -> bool {
        let free = self.asked.is_none();
        if free {
            self.asked = Some(now);
        }
        free
    }

    /// Notes the end of a question.
    pub fn answered(&mut self) {
        self.asked = None;
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
