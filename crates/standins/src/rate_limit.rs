use super::*;
use catkin_decisions::Instant;

/// Token bucket of the mock platform, with a burst of one second's worth of calls.
#[derive(Debug, Default)]
pub(crate) struct RateLimit {
    /// Maximum calls per second; 0 for no limit.
    per_second: u32,
    /// Time at which the bucket is full if no further call is admitted.
    full_at: Duration,
}

impl RateLimit {
    pub(crate) fn new(per_second: u32) -> Self {
        Self {
            per_second,
            full_at: Duration::ZERO,
        }
    }

    /// Takes a token if there is one; returns whether the call is within the limit.
    pub(crate) fn admit(&mut self, now: Instant) -> bool {
        if self.per_second == 0 {
            return true;
        }
        let full_at = self.full_at.max(now.0) + Duration::from_secs(1) / self.per_second;
        let admitted = full_at <= now.0 + Duration::from_secs(1);
        if admitted {
            self.full_at = full_at;
        }
        admitted
    }
}
