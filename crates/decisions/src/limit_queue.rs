use super::*;

/// Shortest time after which a refused caller returns.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Longest time after which a refused caller returns; by then the limit may have changed.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Times at which callers return that were refused because of limits. Each gets the time at which there is
/// room for it after those refused before.
#[derive(Clone, Copy, Debug, Default)]
pub struct LimitQueue {
    next: Instant,
}

impl LimitQueue {
    /// Time after which the next refused caller returns, if `rate` requests per second are served.
    pub fn retry_after(&mut self, rate: f64, now: Instant) -> Duration {
        let longest = MAX_RETRY_AFTER.as_secs_f64();
        let interval = (1.0 / rate.max(1.0 / longest)).min(longest);
        let next = self.next.max(now).after(Duration::from_secs_f64(interval));
        self.next = next.min(now.after(MAX_RETRY_AFTER));
        self.next.since(now).max(MIN_RETRY_AFTER)
    }
}
