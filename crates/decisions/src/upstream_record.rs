//! What one VM knows of one upstream, summarized as a [`Candidate`].
//!
//! Load reports lag by up to half a second, in which a VM dispatches many requests. If the VM's own
//! dispatches since the report did not count, all of them would go to the upstream that the report shows
//! as idle. A new process has cold caches and would be overloaded just because it is idle, so its weight
//! climbs. An upstream that is slow without being busy is recognized by the latency of its responses.
//!
//! The slow start lasts 20 report periods. Latencies expire after the same time, so that a slow upstream
//! gets requests again by then.

use super::*;
use crate::failure_ejection::slow_start_weight;

/// Time in which a new process climbs to its full weight.
const SLOW_START: Duration = Duration::from_secs(10);

/// How long an observed latency counts.
const LATENCY_TTL: Duration = Duration::from_secs(10);

/// Minimum number of outstanding requests for their mean wait to be significant.
const MIN_OUTSTANDING: u32 = 3;

/// Weight of a new latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.2;

/// What this VM knows of one upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRecord {
    /// Evidence on whether the upstream may get new work.
    pub evidence: UpstreamEvidence,
    ejection: FailureEjection,
    report: UpstreamReport,
    own_requests: u32,
    own_requests_in_report: u32,
    mean_latency: Option<(f64, Instant)>,
    /// Number of requests without a response, and the sum of the times at which they were sent, in seconds.
    outstanding: (u32, f64),
}

/// A load report that was requested and has not arrived yet.
#[derive(Clone, Copy, Debug)]
pub struct PendingReport {
    at: Instant,
    own_requests: u32,
}

impl UpstreamRecord {
    /// Marks the request of a load report. Also called when a request is dispatched whose response may
    /// carry a load report.
    #[must_use]
    pub fn report_requested(&self, now: Instant) -> PendingReport {
        PendingReport {
            at: now,
            own_requests: self.own_requests,
        }
    }

    /// Records a load report. Returns the former incarnation if the report shows that it was replaced.
    pub fn record_report(
        &mut self,
        request: PendingReport,
        report: UpstreamReport,
    ) -> Option<Incarnation> {
        let former = self
            .evidence
            .record_report(report.incarnation, report.leaving, request.at);
        if self.evidence.incarnation() == Some(report.incarnation) {
            self.own_requests_in_report = request.own_requests;
            self.report = report;
        }
        former
    }

    /// Counts a request that is dispatched to the upstream.
    pub fn record_dispatch(&mut self) {
        self.own_requests += 1;
    }

    /// Stops counting a request that was dispatched.
    pub fn record_end(&mut self) {
        self.own_requests = self.own_requests.saturating_sub(1);
    }

    /// Counts a request sent at `sent` whose response is outstanding.
    pub fn response_awaited(&mut self, sent: Instant) {
        self.outstanding.0 += 1;
        self.outstanding.1 += sent.0.as_secs_f64();
    }

    /// Stops counting a request sent at `sent`, which has a response or was abandoned.
    pub fn response_ended(&mut self, sent: Instant) {
        self.outstanding.0 = self.outstanding.0.saturating_sub(1);
        self.outstanding.1 -= sent.0.as_secs_f64();
    }

    /// Expected latency of a response in seconds, if known. An upstream that becomes slow sends no response
    /// for as long as its responses then take, and would get its full share meanwhile; so the mean wait of
    /// the outstanding requests counts where it is longer.
    fn mean_latency(&self, now: Instant) -> Option<f64> {
        let (mean_latency, _) = self
            .mean_latency
            .filter(|(_, at)| now.since(*at) <= LATENCY_TTL)?;
        let (count, sum) = self.outstanding;
        if count < MIN_OUTSTANDING {
            return Some(mean_latency);
        }
        Some(mean_latency.max(now.0.as_secs_f64() - sum / f64::from(count)))
    }

    /// Records the latency of a response.
    pub fn record_response(&mut self, incarnation: Incarnation, sent: Instant, now: Instant) {
        self.evidence.record_response(incarnation, sent);
        let latency = now.since(sent).as_secs_f64();
        let mean_latency = match self.mean_latency {
            Some((mean_latency, at)) if now.since(at) <= LATENCY_TTL => {
                mean_latency + LATENCY_WEIGHT * (latency - mean_latency)
            }
            _ => latency,
        };
        self.mean_latency = Some((mean_latency, now));
    }

    /// Records that the upstream failed a request.
    pub fn record_failure(&mut self, now: Instant) {
        self.ejection.record_failure(now);
    }

    /// Number of requests of this VM in flight there.
    #[must_use]
    pub fn own_requests(&self) -> u32 {
        self.own_requests
    }

    /// Latest load report.
    #[must_use]
    pub fn report(&self) -> &UpstreamReport {
        &self.report
    }

    /// Models that a new request may use here; `None` if the upstream may get no new work.
    #[must_use]
    pub fn models(&self, now: Instant) -> Option<&[Model]> {
        self.evidence.eligible(now).ok()?;
        self.report.serves.then_some(&*self.report.models)
    }

    /// The upstream as a candidate for a request for `model`.
    ///
    /// # Errors
    ///
    /// Returns why the upstream may not get the request.
    pub fn candidate(&self, model: Option<&Model>, now: Instant) -> Result<Candidate, Ineligible> {
        let eligible = self.evidence.eligible(now)?;
        if !self.report.can_run(model) {
            return Err(Ineligible::NotServing);
        }
        let others = self.report.load.saturating_sub(self.own_requests_in_report);
        Ok(Candidate {
            load: others + self.own_requests,
            capacity: self.report.capacity.max(1),
            weight: self.ejection.weight(now)
                * slow_start_weight(self.evidence.first_report_requested_at(), SLOW_START, now)
                    .max(0.1),
            latency: self.mean_latency(now),
            own_zone: true,
            affinity: 0,
            eligible,
        })
    }
}
