use super::*;

/// How long after the last report of a suspect upstream another one is not a repetition.
const QUIET_PERIOD: Duration = Duration::from_secs(10);

/// Upstreams that other VMs reported as suspect. Each stands in several heartbeats of many VMs, so most reports are
/// repetitions.
#[derive(Clone, Debug, Default)]
pub struct PeerSuspicions {
    /// Sorted by upstream, with the time of the last report.
    reported: Vec<(UpstreamIncarnation, Instant)>,
}

impl PeerSuspicions {
    /// Records a report; returns whether it is the first one, or the first after a quiet period.
    pub fn record(&mut self, upstream: &UpstreamIncarnation, now: Instant) -> bool {
        match self.reported.binary_search_by(|(id, _)| id.cmp(upstream)) {
            Ok(index) => {
                let last = std::mem::replace(&mut self.reported[index].1, now);
                now.since(last) >= QUIET_PERIOD
            }
            Err(index) => {
                self.reported.insert(index, (upstream.clone(), now));
                true
            }
        }
    }

    /// Forgets the upstreams whose quiet period has passed.
    pub fn remove_old(&mut self, now: Instant) {
        self.reported
            .retain(|(_, last)| now.since(*last) < QUIET_PERIOD);
    }
}
