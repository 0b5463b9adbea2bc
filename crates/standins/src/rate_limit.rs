use super::*;
use catkin_decisions::Instant;

/// Rate limit of the stand-in platform: a second's worth of calls may come at once.
#[derive(Debug, Default)]
pub(crate) struct RateLimit {
    /// Calls a second; 0 means no limit.
    per_second: u32,
    /// When the bucket would be full again.
    full_at: Duration,
}

impl RateLimit {
    pub(crate) fn new(per_second: u32) -> Self {
        Self {
            per_second,
            full_at: Duration::ZERO,
        }
    }

    /// Whether one more call is within the limit.
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
