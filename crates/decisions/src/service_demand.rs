//! How many calls of a service reach this VM, as it advertises them to the others.

use super::*;

/// Number of seconds over which calls are counted.
const WINDOW_SECONDS: usize = 4;

/// How long a demand that was advertised limits what this VM uses, so that the others know of a rise before.
const ADVERTISED_PERIOD: Duration = Duration::from_millis(1300);

/// Shortest time between two values that are advertised.
const MIN_INTERVAL: Duration = Duration::from_millis(300);

/// Age from which on an advertised demand counts as known to the others: two heartbeats, one of which
/// may be lost.
const KNOWN_AFTER: Duration = Duration::from_millis(700);

/// Counts the calls of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceDemand {
    /// Calls in each of the last seconds, by the second modulo the length.
    counts: [(u64, u32); WINDOW_SECONDS + 1],
    /// What was advertised lately, oldest first.
    advertised: Vec<(Instant, f64)>,
}

impl ServiceDemand {
    /// Counts a call, whether it is served or not.
    pub fn record_call(&mut self, now: Instant) {
        let second = now.0.as_secs() + 1;
        let index = usize::try_from(second).unwrap_or(0) % self.counts.len();
        let count = &mut self.counts[index];
        if count.0 != second {
            *count = (second, 0);
        }
        count.1 += 1;
    }

    /// Calls per second, lately.
    #[must_use]
    pub fn rate(&self, now: Instant) -> f64 {
        let second = now.0.as_secs() + 1;
        let window = u64::try_from(WINDOW_SECONDS).unwrap_or(u64::MAX);
        let recent = self.counts.iter().filter(|(at, _)| *at + window >= second);
        let calls: u32 = recent.map(|(_, calls)| calls).sum();
        let part_of_second = f64::from(now.0.subsec_millis()) / 1000.0;
        f64::from(calls) / (f64::from(u32::try_from(WINDOW_SECONDS).unwrap_or(1)) + part_of_second)
    }

    /// Returns the demand to advertise, and remembers it. Within an interval it stays the same.
    pub fn advertise(&mut self, now: Instant) -> f64 {
        if let Some((at, rate)) = self.advertised.last()
            && now.since(*at) < MIN_INTERVAL
        {
            return *rate;
        }
        self.advertised
            .retain(|(at, _)| now.since(*at) < ADVERTISED_PERIOD);
        let rate = self.rate(now);
        self.advertised.push((now, rate));
        rate
    }

    /// The demand that the other VMs know of: none until it has been advertised for a while, and no more than
    /// was advertised since.
    #[must_use]
    pub fn known_to_others(&self, now: Instant) -> f64 {
        let recent = self
            .advertised
            .iter()
            .filter(|(at, _)| now.since(*at) < ADVERTISED_PERIOD);
        let is_known = recent.clone().any(|(at, _)| now.since(*at) >= KNOWN_AFTER);
        if !is_known {
            return 0.0;
        }
        recent.map(|(_, rate)| *rate).fold(self.rate(now), f64::min)
    }
}
