//! What one VM knows of one upstream, brought down to a [`Candidate`].
//!
//! Load pattern: load reports lag by up to half a second, in which a VM dispatches many requests.
//! Without the VM's own dispatches since the report, all of them go to the upstream that looked
//! idle in it. A fresh process has cold caches and would be flooded just because it is idle; its
//! weight climbs. An upstream that is slow without being busy shows in its answers' latency.
//!
//! Grounds for the figures: the slow start is as long as 20 report periods; the pace is forgotten
//! after as long, so that a slow upstream is tried again by then. Neither is tuned by a
//! measurement.

use super::*;
use crate::failure_ejection::climb;

/// Time in which a fresh process climbs to its whole weight.
const SLOW_START: Duration = Duration::from_secs(10);

/// How long an observed latency counts.
const PACE_BOUND: Duration = Duration::from_secs(10);

/// Requests without an answer whose mean wait says little.
const FEW_UNANSWERED: u32 = 3;

/// Part of a new latency in the average.
const PACE_PART: f64 = 0.2;

/// What is known of one upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRecord {
    /// Whether it may get new work.
    pub evidence: UpstreamEvidence,
    suspicion: FailureEjection,
    report: UpstreamReport,
    own: u32,
    own_in_report: u32,
    pace: Option<(f64, Instant)>,
    /// Requests that have no answer yet, and the sum of the seconds at which they were sent.
    unanswered: (u32, f64),
}

/// A load report that was asked for and has not come yet.
#[derive(Clone, Copy, Debug)]
pub struct AskedReport {
    at: Instant,
    own: u32,
}

impl UpstreamRecord {
    /// Notes that a load report is asked for now. Also taken at the dispatch of a request whose
    /// reply may bring one.
    #[must_use]
    pub fn ask(&self, now: Instant) -> AskedReport {
        AskedReport {
            at: now,
            own: self.own,
        }
    }

    /// Takes a load report. Returns the former incarnation if it has just been replaced.
    pub fn reported(&mut self, asked: AskedReport, report: UpstreamReport) -> Option<Incarnation> {
        let former = self
            .evidence
            .reported(report.incarnation, report.leaving, asked.at);
        if self.evidence.incarnation() == Some(report.incarnation) {
            self.own_in_report = asked.own;
            self.report = report;
        }
        former
    }

    /// Counts a request that is dispatched there.
    pub fn dispatched(&mut self) {
        self.own += 1;
    }

    /// Counts it no more.
    pub fn finished(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Counts a request sent at `sent` whose answer is due.
    pub fn awaits(&mut self, sent: Instant) {
        self.unanswered.0 += 1;
        self.unanswered.1 += sent.0.as_secs_f64();
    }

    /// Counts it no more: it was answered, or given up.
    pub fn awaits_no_more(&mut self, sent: Instant) {
        self.unanswered.0 = self.unanswered.0.saturating_sub(1);
        self.unanswered.1 -= sent.0.as_secs_f64();
    }

    /// Seconds that an answer takes, as far as that is known. An upstream that becomes slow answers
    /// nothing for as long as its answers take now, and would get its full share meanwhile; so the
    /// mean wait of those that have no answer yet counts where it is the longer one.
    fn pace(&self, now: Instant) -> Option<f64> {
        let (pace, _) = self.pace.filter(|(_, at)| now.since(*at) <= PACE_BOUND)?;
        let (count, sum) = self.unanswered;
        if count < FEW_UNANSWERED {
            return Some(pace);
        }
        Some(pace.max(now.0.as_secs_f64() - sum / f64::from(count)))
    }

    /// Takes the latency of an answer.
    pub fn answered(&mut self, incarnation: Incarnation, sent: Instant, now: Instant) {
        self.evidence.replied(incarnation, sent);
        let latency = now.since(sent).as_secs_f64();
        let pace = match self.pace {
            Some((pace, at)) if now.since(at) <= PACE_BOUND => pace + PACE_PART * (latency - pace),
            _ => latency,
        };
        self.pace = Some((pace, now));
    }

    /// Notes that it failed a request.
    pub fn failed(&mut self, now: Instant) {
        self.suspicion.failed(now);
    }

    /// Requests of this VM there.
    #[must_use]
    pub fn own(&self) -> u32 {
        self.own
    }

    /// The last load report.
    #[must_use]
    pub fn report(&self) -> &UpstreamReport {
        &self.report
    }

    /// Models that a new request may get here; `None` if it may get no new work.
    #[must_use]
    pub fn models(&self, now: Instant) -> Option<&[Model]> {
        self.evidence.eligible(now).ok()?;
        self.report.serves.then_some(&*self.report.models)
    }

    /// The upstream as a candidate for a request for `model`.
    ///
    /// # Errors
    ///
    /// Why it may not get it.
    pub fn candidate(&self, model: Option<&Model>, now: Instant) -> Result<Candidate, Ineligible> {
        let eligible = self.evidence.eligible(now)?;
        if !self.report.suits(model) {
            return Err(Ineligible::Unsuited);
        }
        let others = self.report.load.saturating_sub(self.own_in_report);
        Ok(Candidate {
            load: others + self.own,
            capacity: self.report.capacity.max(1),
            weight: self.suspicion.weight(now)
                * climb(self.evidence.since(), SLOW_START, now).max(0.1),
            pace: self.pace(now),
            own_zone: true,
            affinity: 0,
            eligible,
        })
    }
}
