use super::*;

/// Name of the header and field that carry a clock reading between processes.
pub const CLOCK_HEADER: &str = "catkin-clock";

/// The process's hybrid logical clock. Every message to a peer, an engine, the platform or an
/// operator carries a reading, and every received reading advances the clock.
#[derive(Debug, Default)]
pub struct ProcessClock {
    clock: Mutex<HybridClock>,
}

impl ProcessClock {
    /// Returns a reading for an event, or for a message about to be sent.
    pub fn tick(&self) -> HybridTime {
        self.clock.lock().tick(wall())
    }

    /// Advances the clock by the reading of a received message.
    pub fn observe(&self, received: HybridTime) {
        if let Err(error) = self.clock.lock().observe(wall(), received) {
            tracing::warn!(fault = %error, "clock reading of a received message ignored");
        }
    }

    /// Adds a reading to the headers of a message.
    pub fn stamp(&self, headers: &mut HeaderMap) {
        if let Ok(value) = self.tick().to_string().parse() {
            headers.insert(CLOCK_HEADER, value);
        }
    }

    /// Advances the clock by the reading in a message's headers, if there is one.
    pub fn observe_headers(&self, headers: &HeaderMap) {
        let received = headers.get(CLOCK_HEADER).and_then(|v| v.to_str().ok());
        if let Some(Ok(received)) = received.map(str::parse) {
            self.observe(received);
        }
    }
}

/// Returns the wall clock time since the Unix epoch; zero if the clock is set before it.
pub(crate) fn wall() -> Duration {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default()
}
