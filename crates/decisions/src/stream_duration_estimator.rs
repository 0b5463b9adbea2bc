//! How long streams take from their first event to the end.
//!
//! Load pattern: callers whose VM was lost come back when they have waited for most of their time. What such a call
//! still needs is known from the streams before it; one that cannot be whole in time only slows the others down.

use super::*;

/// Streams that are remembered.
const REMEMBERED: usize = 32;

/// Streams without which nothing is said.
const FEWEST: usize = 8;

/// Lengths and paces of the latest whole streams.
#[derive(Clone, Debug, Default)]
pub struct StreamDurationEstimator {
    /// Events, and the time of each of them; the oldest first.
    streams: Vec<(u64, Duration)>,
}

impl StreamDurationEstimator {
    /// Notes a stream that was made as a whole: its events, and the time from the first to the last.
    pub fn whole(&mut self, events: u64, took: Duration) {
        let Ok(pauses @ 1..) = u32::try_from(events.saturating_sub(1)) else {
            return;
        };
        if self.streams.len() == REMEMBERED {
            self.streams.remove(0);
        }
        self.streams.push((events, took / pauses));
    }

    /// The time that a stream needs to its end if it is one of the shorter and faster ones: a quarter of the latest were
    /// shorter, and a quarter faster. The caller has the first `had` events already.
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
