//! Decides whether a probe that timed out shows anything about its upstream.

use super::{upstream_health::MAX_OWN_DELAY, *};

/// A probe that was sent, and may be repeated once.
#[derive(Clone, Copy, Debug)]
pub struct ProbeAttempt {
    sent: Instant,
    pauses: u32,
    repeated: bool,
}

impl ProbeAttempt {
    /// The first probe, sent at `sent` while this process had paused `pauses` times.
    #[must_use]
    pub fn first(sent: Instant, pauses: u32) -> Self {
        Self {
            sent,
            pauses,
            repeated: false,
        }
    }

    /// The repetition of a probe whose timeout fired at `now`, if this process paused since the send: the response may
    /// have arrived meanwhile. A repetition is not repeated, so that an upstream that is down is found on a VM that is
    /// always late.
    #[must_use]
    pub fn repeat(self, now: Instant, pauses: u32) -> Option<Self> {
        let late = now.since(self.sent) > PROBE_TIMEOUT + MAX_OWN_DELAY;
        let void = !self.repeated && (late || pauses != self.pauses);
        void.then_some(Self {
            sent: now,
            pauses,
            repeated: true,
        })
    }

    /// Time of the send.
    #[must_use]
    pub fn sent(self) -> Instant {
        self.sent
    }
}
