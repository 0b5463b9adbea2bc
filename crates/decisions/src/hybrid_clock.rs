use super::*;

/// Maximum lead of a received reading over the local wall clock.
///
/// VMs keep their clocks within milliseconds of each other. Without a limit, a VM whose clock is days
/// ahead would advance the readings of every other process with it, and timelines would show events
/// in the future until the wall clocks catch up.
pub const MAX_CLOCK_LEAD: Duration = Duration::from_secs(600);

/// A hybrid logical clock (Kulkarni et al., 2014). Each reading is larger than all earlier readings of
/// this process and all readings it has received, however much the wall clocks differ.
#[derive(Clone, Copy, Debug, Default)]
pub struct HybridClock {
    last: HybridTime,
}

impl HybridClock {
    /// Returns a new reading for an event or an outgoing message; `wall` is the time since the Unix
    /// epoch.
    pub fn tick(&mut self, wall: Duration) -> HybridTime {
        let wall = HybridTime {
            micros: micros(wall),
            count: 0,
        };
        self.last = wall.max(self.last.next());
        self.last
    }

    /// Merges the reading of a received message, so that all later readings are larger.
    ///
    /// # Errors
    /// Fails if the reading is ahead of `wall` by more than [`MAX_CLOCK_LEAD`]. The clock is then
    /// unchanged, and events are not causally ordered across processes for that message.
    pub fn observe(&mut self, wall: Duration, received: HybridTime) -> Result<(), Error> {
        let limit = micros(wall.saturating_add(MAX_CLOCK_LEAD));
        if received.micros > limit {
            return Err(Error::ClockLead {
                lead: Duration::from_micros(received.micros - micros(wall)),
            });
        }
        self.last = self.last.max(received);
        Ok(())
    }
}

fn micros(wall: Duration) -> u64 {
    u64::try_from(wall.as_micros()).unwrap_or(u64::MAX)
}
