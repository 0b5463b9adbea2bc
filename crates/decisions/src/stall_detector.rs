use super::*;

/// Tells when a stream has been without any event for too long.
///
/// Load pattern: streams of steady small gaps, on engines whose steps grow with their batch, and
/// connections that go silent for good while new ones work. With a fixed bound of a second a caller
/// waits a second at each silent connection; with one of a few steps every long prefill on an engine
/// sends all its streams looking for another. So the bound follows the gaps seen, mean plus eight
/// deviations, between a floor and a ceiling.
///
/// Grounds: engines say that they are there every 250 ms, so that a live engine is silent for little
/// more than that; the floor leaves 150 ms for scheduling on a busy VM. The ceiling is four of those
/// words lost in a row. Measured with `catkin-load run silent-connection` and `engine-pause`; the
/// figures stand in `docs/RECOVERY.md`.
#[derive(Clone, Debug)]
pub struct StallDetector {
    floor: Duration,
    ceiling: Duration,
    mean: Duration,
    deviation: Duration,
}

/// Floor of the bound: a heartbeat of 250 ms and what a busy VM may add.
const FLOOR: Duration = Duration::from_millis(400);

/// Ceiling of the bound: four heartbeats.
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

    /// Takes in the gap before an event: a new gap weighs an eighth in the mean and a quarter in
    /// the deviation, as in the round-trip estimate of TCP (RFC 6298).
    pub fn observe(&mut self, gap: Duration) {
        let error = gap.abs_diff(self.mean);
        self.deviation = (self.deviation * 3 + error) / 4;
        self.mean = (self.mean * 7 + gap) / 8;
    }

    /// How long the stream may be without an event.
    #[must_use]
    pub fn bound(&self) -> Duration {
        (self.mean + self.deviation * DEVIATIONS).clamp(self.floor, self.ceiling)
    }
}
