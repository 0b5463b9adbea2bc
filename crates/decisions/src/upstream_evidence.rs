//! Decides whether an upstream may get new work.
//!
//! Upstreams leave all day, by orders, crashes and restarts, and each source from which a VM learns of it
//! lags or fails at times. Without one rule for all sources, work is sent to upstreams that are about to
//! end, and each caller has to be resumed elsewhere. New work therefore needs recent evidence from the upstream
//! itself, and no notice of leaving from any source.
//!
//! Leaving is permanent for an incarnation: reports and list entries arrive late and out of order, and an
//! old "not leaving" must not undo a newer "leaving". An upstream that returns has another incarnation.
//!
//! Callers are promised that a leaving upstream gets no new work after a few seconds, here 3. The last
//! dispatch happens at most [`EVIDENCE_MAX_AGE`] (2 s) after the last evidence from the upstream and takes at
//! most 1 s to reach it; any other source alone has 3 s minus its own lag. Reports are requested twice a
//! second, so four must be lost before a healthy upstream counts as lost. `tests/eligibility.rs` checks
//! these bounds.

use super::*;

/// Maximum age of the last evidence from an upstream that gets new work.
pub const EVIDENCE_MAX_AGE: Duration = Duration::from_secs(2);

/// Number of former and of leaving incarnations that are remembered.
const MAX_REMEMBERED: usize = 16;

/// Evidence on whether an upstream may get new work.
#[derive(Clone, Debug, Default)]
pub struct UpstreamEvidence {
    current: Option<Incarnation>,
    /// Time at which the first report of the current incarnation was requested.
    first_report_requested_at: Instant,
    /// Latest time at which a request was sent that the current incarnation has answered.
    last_seen: Instant,
    /// Incarnations that have ended, or that another one has replaced.
    replaced: Vec<Incarnation>,
    leaving: Vec<(Incarnation, LeavingSource)>,
    listed: ListedState,
}

/// State of the upstream in the platform's list, which contains no incarnations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum ListedState {
    #[default]
    Live,
    /// Leaving since before any incarnation was known here.
    LeavingUnattributed,
    /// Leaving, and recorded for the incarnation that was current.
    LeavingRecorded,
}

impl UpstreamEvidence {
    /// Records a load report that was requested at `requested_at`. Its evidence dates from then: an
    /// upstream that was paused may respond long after the request.
    ///
    /// Returns the former incarnation if this is the first report of another one; the former process
    /// has then ended.
    pub fn record_report(
        &mut self,
        incarnation: Incarnation,
        leaving: bool,
        requested_at: Instant,
    ) -> Option<Incarnation> {
        if self.replaced.contains(&incarnation) {
            return None;
        }
        if leaving {
            self.record_leaving(incarnation, LeavingSource::Report);
        }
        if self.current == Some(incarnation) {
            self.last_seen = self.last_seen.max(requested_at);
            return None;
        }
        let former = self.current.replace(incarnation);
        if let Some(former) = former {
            push_bounded(&mut self.replaced, former);
        }
        self.first_report_requested_at = requested_at;
        self.last_seen = requested_at;
        former
    }

    /// Records a response of the process that was given work as `incarnation`; the response was sent
    /// after `sent`.
    pub fn record_response(&mut self, incarnation: Incarnation, sent: Instant) {
        if self.current == Some(incarnation) {
            self.last_seen = self.last_seen.max(sent);
        }
    }

    /// Records permanently that this process of the upstream is leaving; returns whether that is new.
    pub fn record_leaving(&mut self, incarnation: Incarnation, source: LeavingSource) -> bool {
        if self.leaving.iter().any(|(known, _)| *known == incarnation) {
            return false;
        }
        // The record of the current process must outlast any number of others, or an upstream that is
        // leaving would get work again.
        if self.leaving.len() >= MAX_REMEMBERED {
            let i = usize::from(self.current == Some(self.leaving[0].0));
            self.leaving.remove(i);
        }
        self.leaving.push((incarnation, source));
        true
    }

    /// Records the state in the platform's list. The list lags and contains no incarnations, so "leaving"
    /// refers to the process that was known when the list began to say so.
    pub fn record_listed(&mut self, leaving: bool) {
        self.listed = match (leaving, self.listed, self.current) {
            (false, _, _) => ListedState::Live,
            (true, ListedState::Live, Some(incarnation)) => {
                self.record_leaving(incarnation, LeavingSource::Platform);
                ListedState::LeavingRecorded
            }
            (true, ListedState::Live, None) => ListedState::LeavingUnattributed,
            (true, listed, _) => listed,
        };
    }

    /// Records that the process has certainly ended; only another incarnation counts from now on.
    pub fn record_ended(&mut self, incarnation: Incarnation) {
        if self.current == Some(incarnation) {
            self.current = None;
        }
        if !self.replaced.contains(&incarnation) {
            push_bounded(&mut self.replaced, incarnation);
        }
    }

    /// Whether the upstream may get new work now. No other code decides this.
    ///
    /// # Errors
    ///
    /// Returns why it may not.
    pub fn eligible(&self, now: Instant) -> Result<Eligible, Ineligible> {
        let incarnation = self.current.ok_or(Ineligible::NoReport)?;
        if now.since(self.last_seen) > EVIDENCE_MAX_AGE {
            return Err(Ineligible::Stale);
        }
        if let Some(reported_by) = self.leaving_source(incarnation) {
            return Err(Ineligible::Leaving { reported_by });
        }
        Ok(Eligible {
            incarnation,
            valid_until: self.last_seen.after(EVIDENCE_MAX_AGE),
        })
    }

    /// Incarnation of the process that reported last.
    #[must_use]
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.current
    }

    /// When the first report of that process was requested.
    #[must_use]
    pub fn first_report_requested_at(&self) -> Instant {
        self.first_report_requested_at
    }

    /// Time of the latest evidence from that process.
    #[must_use]
    pub fn last_seen(&self) -> Instant {
        self.last_seen
    }

    /// Processes known to be leaving, the latest record at the end.
    #[must_use]
    pub fn leaving(&self) -> &[(Incarnation, LeavingSource)] {
        &self.leaving
    }

    fn leaving_source(&self, incarnation: Incarnation) -> Option<LeavingSource> {
        if self.listed == ListedState::LeavingUnattributed {
            return Some(LeavingSource::Platform);
        }
        self.leaving
            .iter()
            .find(|(known, _)| *known == incarnation)
            .map(|(_, source)| *source)
    }
}

fn push_bounded<T>(list: &mut Vec<T>, entry: T) {
    if list.len() >= MAX_REMEMBERED {
        list.remove(0);
    }
    list.push(entry);
}
