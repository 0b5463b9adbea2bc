//! Upstreams that say how many rejections a second they bear.
//!
//! Load pattern: an upstream in need lets few requests wait, and falls over if it has to reject more than it
//! bears, with all that runs there. Several VMs send to it and each knows its load a little late. So while an upstream
//! says that it is brittle, each VM has a part of its slots, uses others only while half of them are free, and
//! has a part of the rejections.

use super::*;

/// Share of the rejections that all VMs together may cause; the rest is for those that know nothing yet.
const USED_SHARE: f64 = 0.5;

/// How long a report of the upstream's load counts.
const REPORT_MAX_AGE: Duration = Duration::from_millis(300);

/// Longest pause after a rejection, in a fleet whose VMs each have a small part.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// What one upstream process said of the rejections that it bears.
#[derive(Clone, Copy, Debug, Default)]
pub struct Brittleness {
    /// Rejections a second that it bears; `None` if it is not brittle.
    bearable: Option<u32>,
    /// When it last rejected a request of this VM.
    rejected: Option<Instant>,
}

impl Brittleness {
    /// Applies what a response says; returns whether it is brittle now and was not, or the reverse.
    pub fn apply(&mut self, bearable: Option<u32>) -> bool {
        let changed = self.bearable.is_some() != bearable.is_some();
        self.bearable = bearable;
        changed
    }

    /// Rejections a second that the upstream bears, if it is brittle.
    #[must_use]
    pub fn bearable(&self) -> Option<u32> {
        self.bearable
    }

    /// Records that the upstream rejected a request of this VM for want of room.
    pub fn record_rejection(&mut self, now: Instant) {
        self.rejected = Some(now);
    }

    /// Whether a request may be sent to the upstream, which has this many slots, as one of `vms` VMs: if it takes a
    /// slot of this VM's part, or half of the slots were free lately.
    #[must_use]
    pub fn has_room(&self, slots: u32, load: &UpstreamLoad, vms: u32, now: Instant) -> bool {
        let Some(bearable) = self.bearable else {
            return true;
        };
        let pause = pause(bearable, vms);
        if self.rejected.is_some_and(|at| now.since(at) < pause) {
            return false;
        }
        if load.own_calls() < slots / vms.max(1) {
            return true;
        }
        match load.calls_reported_within(REPORT_MAX_AGE, now) {
            Some(calls) => 2 * calls < slots,
            // In a fleet of more VMs than slots none has a part, and somebody must ask.
            None => load.own_calls() == 0,
        }
    }
}

/// Time between two rejections of a VM with which all VMs together stay below what the upstream bears.
fn pause(bearable: u32, vms: u32) -> Duration {
    let rate = USED_SHARE * f64::from(bearable) / f64::from(vms.max(1));
    if rate <= 0.0 {
        return MAX_PAUSE;
    }
    Duration::from_secs_f64(1.0 / rate).min(MAX_PAUSE)
}
