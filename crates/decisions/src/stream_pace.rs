//! Estimates how long streams take from their first event to their end.
//!
//! Load pattern: callers whose VM was lost reconnect when most of their time has passed. The time that such
//! a call still needs is estimated from earlier streams; a call that cannot complete in time only slows the
//! others down.

use super::*;

/// Number of latest streams that the estimate is based on.
const REMEMBERED: usize = 32;

/// Minimum number of streams for an estimate.
const FEWEST: usize = 8;

/// Lengths and paces of the latest complete streams.
#[derive(Clone, Debug, Default)]
pub struct StreamPace {
    /// Number of events of each stream and the mean interval between them; the oldest stream first.
    streams: Vec<(u64, Duration)>,
}

impl StreamPace {
    /// Records a complete stream: its number of events, and the time from the first to the last. A stream
    /// of fewer than two events has no interval and is ignored.
    pub fn whole(&mut self, events: u64, took: Duration) {
        let Ok(pauses @ 1..) = u32::try_from(events.saturating_sub(1)) else {
            return;
        };
        if self.streams.len() == REMEMBERED {
            self.streams.remove(0);
        }
        self.streams.push((events, took / pauses));
    }

    /// Optimistic estimate of the time until a stream ends, whose caller has received `had` events: the lower
    /// quartile of the lengths and that of the intervals of the latest streams. `None` if there were too few.
    #[must_use]
    pub fn least_rest(&self, had: u64) -> Option<Duration> {
        if self.streams.len() < FEWEST {
            return None;
        }
        let events = lower_quartile(self.streams.iter().map(|(events, _)| *events));
        let pause = lower_quartile(self.streams.iter().map(|(_, pause)| *pause));
        let rest = u32::try_from(events.saturating_sub(had)).unwrap_or(u32::MAX);
        Some(pause.saturating_mul(rest))
    }
}

fn lower_quartile<T: Ord + Copy + Default>(values: impl Iterator<Item = T>) -> T {
    let mut values = values.collect::<Vec<_>>();
    values.sort_unstable();
    values.get(values.len() / 4).copied().unwrap_or_default()
}
