//! Estimates how long streams take from their first event to their end.
//!
//! Load pattern: callers whose VM was lost reconnect when most of their time has passed. The time that such
//! a call still needs is estimated from earlier streams; a call that cannot complete in time only slows the
//! others down.

use super::*;

/// Number of latest streams that the estimate is based on.
const MAX_STREAMS: usize = 32;

/// Minimum number of streams for an estimate.
const MIN_STREAMS: usize = 8;

/// Lengths and paces of the latest complete streams.
#[derive(Clone, Debug, Default)]
pub struct StreamDurationEstimator {
    /// Number of events of each stream and the mean interval between them; the oldest stream first.
    streams: Vec<(u64, Duration)>,
}

impl StreamDurationEstimator {
    /// Records a complete stream: its number of events, and the time from the first to the last. A stream
    /// of fewer than two events has no interval and is ignored.
    pub fn record_complete(&mut self, events: u64, duration: Duration) {
        let Ok(intervals @ 1..) = u32::try_from(events.saturating_sub(1)) else {
            return;
        };
        if self.streams.len() == MAX_STREAMS {
            self.streams.remove(0);
        }
        self.streams.push((events, duration / intervals));
    }

    /// Optimistic estimate of the time until a stream ends, whose caller has `received` events: the lower
    /// quartile of the lengths and that of the intervals of the latest streams. `None` if there were too few.
    #[must_use]
    pub fn min_remaining(&self, received: u64) -> Option<Duration> {
        if self.streams.len() < MIN_STREAMS {
            return None;
        }
        let events = lower_quartile(self.streams.iter().map(|(events, _)| *events));
        let interval = lower_quartile(self.streams.iter().map(|(_, interval)| *interval));
        let remaining_events = u32::try_from(events.saturating_sub(received)).unwrap_or(u32::MAX);
        Some(interval.saturating_mul(remaining_events))
    }
}

fn lower_quartile<T: Ord + Copy + Default>(values: impl Iterator<Item = T>) -> T {
    let mut values = values.collect::<Vec<_>>();
    values.sort_unstable();
    values.get(values.len() / 4).copied().unwrap_or_default()
}
