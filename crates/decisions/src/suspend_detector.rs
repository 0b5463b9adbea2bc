//! Detects that this process did not run for a while, because its VM was suspended or the process was
//! stopped.
//!
//! Such a process continues as if no time had passed: its view of configurations, upstreams and other VMs
//! is as old as the gap, but appears fresh. The steady clock stands still while the VM is suspended, whereas
//! the clock that counts from boot goes on. While a process is stopped, its steady clock goes on, but
//! nothing reads it.

use super::*;

/// Minimum gap that is reported. Readings are taken every 50 ms, and some 100 ms late on a VM that is five
/// times slower than typical; a view that is older by less does no harm.
const MIN_GAP: Duration = Duration::from_millis(400);

/// Compares successive readings of the steady clock and of the clock that counts from boot.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuspendDetector {
    last: Option<(Instant, Duration)>,
}

impl SuspendDetector {
    /// Takes a reading of the steady clock and of the time since boot, which includes suspensions; returns
    /// how long the process did not run, if that is at least the minimum gap.
    pub fn check(&mut self, steady: Instant, since_boot: Duration) -> Option<Duration> {
        let (last, last_boot) = self.last.replace((steady, since_boot))?;
        let stopped = steady.since(last);
        let passed = since_boot.saturating_sub(last_boot);
        let gap = stopped.max(passed);
        (gap >= MIN_GAP).then_some(gap)
    }
}
