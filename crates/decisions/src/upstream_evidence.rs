//! Which upstream may get new work.
//!
//! Load pattern: upstreams leave all day, by orders, crashes and restarts, and each of the ways in
//! which a VM hears of it lags or fails at times. Without one rule over all of them, work goes on
//! to an upstream that is about to end, and its callers pay with a resume each. Here new work needs
//! a fresh word of the upstream itself, and no word of leaving from anyone.
//!
//! Leaving is sticky per incarnation: reports and list entries come late and crossed, and an old
//! "not leaving" must not undo a newer "leaving". A returned upstream has another incarnation.
//!
//! Grounds for the figures: callers are promised no new work to a leaving upstream after a few
//! seconds, here 3. The last dispatch happens at most [`EVIDENCE_MAX_AGE`] (2 s) after the upstream's
//! last word and takes at most 1 s to reach it; any other source alone has 3 s less its own lag.
//! Reports are asked for twice a second, so four must be lost before a healthy upstream is taken
//! for gone. Held by `tests/eligibility.rs`.

use super::*;

/// How old the last word of an upstream may be for it to get new work.
pub const EVIDENCE_MAX_AGE: Duration = Duration::from_secs(2);

/// How many former incarnations are remembered.
const FORMER: usize = 16;

/// All that bears on whether an upstream may get new work.
#[derive(Clone, Debug, Default)]
pub struct UpstreamEvidence {
    current: Option<Incarnation>,
    since: Instant,
    heard: Instant,
    replaced: Vec<Incarnation>,
    leaving: Vec<(Incarnation, LeavingSource)>,
    listed: Listed,
}

/// What the platform's list says; it knows no incarnations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Listed {
    #[default]
    Live,
    /// Leaving since before any incarnation was known here.
    LeavingUnknown,
    /// Leaving, and noted with the incarnation that was current.
    LeavingNoted,
}

impl UpstreamEvidence {
    /// Takes a load report that was asked for at `asked`. Its evidence dates from then: an upstream
    /// that was paused may answer long after it was asked.
    ///
    /// Returns the former incarnation if the report is the first of another one; the former
    /// process is then gone.
    pub fn reported(
        &mut self,
        incarnation: Incarnation,
        leaving: bool,
        asked: Instant,
    ) -> Option<Incarnation> {
        if self.replaced.contains(&incarnation) {
            return None;
        }
        if leaving {
            self.note_leaving(incarnation, LeavingSource::Report);
        }
        if self.current == Some(incarnation) {
            self.heard = self.heard.max(asked);
            return None;
        }
        let former = self.current.replace(incarnation);
        if let Some(former) = former {
            push_bounded(&mut self.replaced, former);
        }
        self.since = asked;
        self.heard = asked;
        former
    }

    /// Takes a reply of the process that was given work as `incarnation`; it was sent after `sent`.
    pub fn replied(&mut self, incarnation: Incarnation, sent: Instant) {
        if self.current == Some(incarnation) {
            self.heard = self.heard.max(sent);
        }
    }

    /// Notes for good that this process of the upstream is leaving. Returns whether that was new.
    pub fn note_leaving(&mut self, incarnation: Incarnation, source: LeavingSource) -> bool {
        if self.leaving.iter().any(|(known, _)| *known == incarnation) {
            return false;
        }
        // The note about the present process must outlast any number of others, or an upstream that
        // leaves would get work again.
        if self.leaving.len() >= FORMER {
            let i = usize::from(self.current == Some(self.leaving[0].0));
            self.leaving.remove(i);
        }
        self.leaving.push((incarnation, source));
        true
    }

    /// Takes the state in the platform's list. The list lags and knows no incarnations, so a word
    /// of leaving is about the process that was known when the list began to say so.
    pub fn listed(&mut self, leaving: bool) {
        self.listed = match (leaving, self.listed, self.current) {
            (false, _, _) => Listed::Live,
            (true, Listed::Live, Some(incarnation)) => {
                self.note_leaving(incarnation, LeavingSource::Platform);
                Listed::LeavingNoted
            }
            (true, Listed::Live, None) => Listed::LeavingUnknown,
            (true, listed, _) => listed,
        };
    }

    /// Notes that the process is certainly gone; only another incarnation counts from now on.
    pub fn gone(&mut self, incarnation: Incarnation) {
        if self.current == Some(incarnation) {
            self.current = None;
        }
        if !self.replaced.contains(&incarnation) {
            push_bounded(&mut self.replaced, incarnation);
        }
    }

    /// The one decision whether the upstream may get new work now.
    ///
    /// # Errors
    ///
    /// Why it may not.
    pub fn eligible(&self, now: Instant) -> Result<Eligible, Ineligible> {
        let incarnation = self.current.ok_or(Ineligible::Unheard)?;
        if now.since(self.heard) > EVIDENCE_MAX_AGE {
            return Err(Ineligible::Stale);
        }
        if let Some(source_of_word) = self.leaving_source(incarnation) {
            return Err(Ineligible::Leaving { source_of_word });
        }
        Ok(Eligible {
            incarnation,
            until: self.heard.after(EVIDENCE_MAX_AGE),
        })
    }

    /// The process last heard of.
    #[must_use]
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.current
    }

    /// When that process was first heard of.
    #[must_use]
    pub fn since(&self) -> Instant {
        self.since
    }

    /// When it was last heard of.
    #[must_use]
    pub fn heard(&self) -> Instant {
        self.heard
    }

    /// Processes known to be leaving, the one last noted at the end.
    #[must_use]
    pub fn leaving(&self) -> &[(Incarnation, LeavingSource)] {
        &self.leaving
    }

    fn leaving_source(&self, incarnation: Incarnation) -> Option<LeavingSource> {
        if self.listed == Listed::LeavingUnknown {
            return Some(LeavingSource::Platform);
        }
        self.leaving
            .iter()
            .find(|(known, _)| *known == incarnation)
            .map(|(_, source)| *source)
    }
}

fn push_bounded<T>(list: &mut Vec<T>, entry: T) {
    if list.len() >= FORMER {
        list.remove(0);
    }
    list.push(entry);
}
