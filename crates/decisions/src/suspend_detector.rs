//! Notices that this process did not run for a while.
//!
//! A VM is suspended, or its process is stopped, and both go on as if no time had passed: what the process
//! believes of configurations, upstreams and other VMs is as old as the gap, and looks fresh. Its steady
//! clock stands still in a suspension, but not the clock that counts from the boot; and while a process is
//! stopped its steady clock runs on, but nothing looks at it.

use super::*;

/// Gap that counts. Looks come every 50 ms, and some 100 ms late on a VM that is five times slower than
/// usual; beliefs that are older by less do no harm.
const GAP: Duration = Duration::from_millis(400);

/// Looks at two clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuspendDetector {
    last: Option<(Instant, Duration)>,
}

impl SuspendDetector {
    /// Looks at the steady clock and at the time since the boot, suspensions counted in; tells how long
    /// the process did not run, if that is long.
    pub fn look(&mut self, steady: Instant, since_boot: Duration) -> Option<Duration> {
        let (last, last_boot) = self.last.replace((steady, since_boot))?;
        let stopped = steady.since(last);
        let passed = since_boot.saturating_sub(last_boot);
        let gap = stopped.max(passed);
        (gap >= GAP).then_some(gap)
    }
}
