use super::*;

/// How far ahead of the own wall clock a received reading may be.
///
/// VMs keep their clocks within milliseconds of each other. One whose clock is days ahead would
/// otherwise pull the readings of every process there with it, and a time line would show events
/// in the future until that day has come.
pub const MAX_CLOCK_LEAD: Duration = Duration::from_secs(600);

/// A hybrid logical clock (Kulkarni and others, 2014): each reading is larger than all earlier ones
/// of this process and than all that it has received, however far the wall clocks are apart.
#[derive(Clone, Copy, Debug, Default)]
pub struct HybridClock {
    last: HybridTime,
}

impl HybridClock {
    /// Reads the clock for an event or a message that is sent; `wall` is the time since 1970.
    pub fn tick(&mut self, wall: Duration) -> HybridTime {
        let wall = HybridTime {
            micros: micros(wall),
            count: 0,
        };
        self.last = wall.max(self.last.next());
        self.last
    }

    /// Takes in a reading that came with a message: all later readings are larger.
    ///
    /// # Errors
    ///
    /// If it is further ahead than [`MAX_CLOCK_LEAD`]; the clock is as before, and the order
    /// over processes is lost for that message.
    pub fn witness(&mut self, wall: Duration, received: HybridTime) -> Result<(), Error> {
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
