//! Decides when a run of a call is given up because its upstream has fallen silent.
//!
//! Silence does not show that an upstream has failed: a sound one may pause for a second or two and go on. A silent
//! run is therefore kept while another upstream is looked for, and is given up only when that one has taken the call.
//! Only what shows that a run cannot go on ends it without a successor: a broken connection, the end of the process,
//! or the deadline.

use super::*;

/// Time from the send to a successor after which the silent run is closed, although the successor has not responded
/// yet. An upstream that does not take a call says so within milliseconds; one that takes it may respond only after
/// the prefill, and the two must not both work on the call for that long.
pub const MAX_RUN_OVERLAP: Duration = Duration::from_millis(250);

/// Time from the send to a successor after which it is cancelled if its upstream has not answered a health check: a sound
/// upstream answers within milliseconds, and a paused one is no better than the silent run.
pub const UNANSWERED_CHECK_TIMEOUT: Duration = Duration::from_millis(350);

/// Interval between the first two searches for a successor; it doubles each time.
const FIRST_SEARCH_INTERVAL: Duration = Duration::from_millis(250);

/// Longest interval between searches for a successor.
const MAX_SEARCH_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of sends of the first search. Later searches send once: upstreams that refused shortly before are
/// likely to refuse again, and each send is taken from the retry budget.
const FIRST_SEARCH_SENDS: u32 = 3;

/// A run that may have failed, and the search for an upstream that takes its call.
#[derive(Clone, Debug)]
pub struct RunDoubt {
    kind: CallKind,
    searches: u32,
    sends_in_search: u32,
    search_at: Instant,
}

/// What is known of a run since it is doubtful.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunSign {
    /// Nothing was received.
    Silence,
    /// Data was received.
    Data,
    /// The run cannot go on: its connection broke, or its process ended.
    End,
}

/// State of the successor of a doubtful run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuccessorState {
    /// There is none.
    None,
    /// The call was sent to it at this time.
    Sent(Instant),
    /// It has responded, and runs the call.
    Accepted,
}

/// What to do with a doubtful run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunDecision {
    /// Keep the run, and decide again at the given time or when something changes.
    Keep {
        /// Time of the next decision, if one is due.
        until: Option<Instant>,
    },
    /// Keep the run, and look for another upstream.
    Search,
    /// The run goes on; its successor is cancelled.
    GoOn,
    /// Close the run, and go on with its successor.
    HandOver,
    /// The run is lost; its successor goes on, if there is one.
    Lost,
}

impl RunDoubt {
    /// A run of a call of this kind that is doubtful from `now` on.
    #[must_use]
    pub fn new(kind: CallKind, now: Instant) -> Self {
        Self {
            kind,
            searches: 0,
            sends_in_search: 0,
            search_at: now,
        }
    }

    /// Decides about the run.
    #[must_use]
    pub fn decide(&self, sign: RunSign, successor: SuccessorState, now: Instant) -> RunDecision {
        match (sign, successor) {
            (RunSign::End, _) => RunDecision::Lost,
            (RunSign::Data, _) => RunDecision::GoOn,
            (RunSign::Silence, SuccessorState::Accepted) => RunDecision::HandOver,
            // Two upstreams may run such a call at the same time, so the first response decides.
            (RunSign::Silence, SuccessorState::Sent(_)) if self.kind == CallKind::Idempotent => {
                RunDecision::Keep { until: None }
            }
            (RunSign::Silence, SuccessorState::Sent(at)) => {
                let until = at.after(MAX_RUN_OVERLAP);
                if now >= until {
                    RunDecision::HandOver
                } else {
                    RunDecision::Keep { until: Some(until) }
                }
            }
            (RunSign::Silence, SuccessorState::None) if !self.kind.may_retry() => {
                RunDecision::Keep { until: None }
            }
            (RunSign::Silence, SuccessorState::None) if now >= self.search_at => {
                RunDecision::Search
            }
            (RunSign::Silence, SuccessorState::None) => RunDecision::Keep {
                until: Some(self.search_at),
            },
        }
    }

    /// Decides about a silent run, given whether the upstream of its successor has answered a health check since the
    /// send; `None` if the successor is cancelled.
    #[must_use]
    pub fn decide_silent(
        &self,
        successor: SuccessorState,
        answered: bool,
        now: Instant,
    ) -> Option<RunDecision> {
        match successor {
            SuccessorState::Sent(at) if !answered => {
                let until = at.after(UNANSWERED_CHECK_TIMEOUT);
                (now < until).then_some(RunDecision::Keep { until: Some(until) })
            }
            _ => Some(self.decide(RunSign::Silence, successor, now)),
        }
    }

    /// Records that the call was sent to another upstream, which did not take it.
    pub fn record_refusal(&mut self, now: Instant) {
        self.sends_in_search += 1;
        if self.searches > 0 || self.sends_in_search >= FIRST_SEARCH_SENDS {
            self.end_search(now);
        }
    }

    /// Records that no other upstream may be used now.
    pub fn end_search(&mut self, now: Instant) {
        let doublings = self.searches.min(8);
        let interval = (FIRST_SEARCH_INTERVAL * 2_u32.pow(doublings)).min(MAX_SEARCH_INTERVAL);
        self.searches += 1;
        self.sends_in_search = 0;
        self.search_at = now.after(interval);
    }
}
