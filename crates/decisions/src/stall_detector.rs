//! Detects that a stream has been without any event for too long.
//!
//! Streams with steady small gaps run on engines whose steps grow with their batch, and connections may go
//! silent permanently while new ones work. With a fixed timeout of a second, a caller waits a second at
//! each silent connection; with a timeout of a few steps, every long prefill on an engine makes all its
//! streams fail over. The timeout therefore follows the observed gaps, mean plus eight deviations, between
//! a floor and a ceiling.
//!
//! Engines send a heartbeat every 250 ms, so a live engine is silent for little more than that; the floor
//! leaves 150 ms for scheduling delays on a busy VM. The ceiling is four lost heartbeats in a row. The
//! scenarios `silent-connection` and `engine-pause` of `catkin-load run` exercise it; `docs/RECOVERY.md`
//! has the figures.

use super::*;

/// Timeout between two events of a stream, adapted to the gaps observed so far.
#[derive(Clone, Debug)]
pub struct StallDetector {
    floor: Duration,
    ceiling: Duration,
    mean: Duration,
    deviation: Duration,
}

/// Floor of the timeout: a heartbeat of 250 ms and the delay that a busy VM may add.
const FLOOR: Duration = Duration::from_millis(400);

/// Ceiling of the timeout: four heartbeats.
const CEILING: Duration = Duration::from_secs(1);

/// Deviations above the mean at which a gap counts as a stall.
const DEVIATIONS: u32 = 8;

impl Default for StallDetector {
    fn default() -> Self {
        Self {
            floor: FLOOR,
            ceiling: CEILING,
            mean: Duration::ZERO,
            deviation: Duration::ZERO,
        }
    }
}

impl StallDetector {
    /// A detector with other limits.
    #[must_use]
    pub fn new(floor: Duration, ceiling: Duration) -> Self {
        Self {
            floor,
            ceiling,
            ..Self::default()
        }
    }

    /// Records the gap before an event. A new gap has a weight of an eighth in the mean and of a quarter in
    /// the deviation, as in the round-trip estimate of TCP (RFC 6298).
    pub fn record_gap(&mut self, gap: Duration) {
        let error = gap.abs_diff(self.mean);
        self.deviation = (self.deviation * 3 + error) / 4;
        self.mean = (self.mean * 7 + gap) / 8;
    }

    /// Maximum time that the stream may be without an event before it counts as stalled.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        (self.mean + self.deviation * DEVIATIONS).clamp(self.floor, self.ceiling)
    }
}
