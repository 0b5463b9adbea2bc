//! Delay before a VM retries the platform's store after it did not respond.
//!
//! If every VM of a large deployment calls an unreachable or refusing store three times per second,
//! these calls are most of the calls of a day, and all VMs call at once when the store returns. To
//! notice the return soon, it is enough that a few VMs of each zone keep retrying and notify the rest.

use super::*;

/// Delay of the VMs that call the store on behalf of their zone.
const BASE_DELAY: Duration = Duration::from_millis(300);

/// Maximum delay of the VMs that are notified by others. Another VM of the zone has called the store by
/// then, and the delay is short compared with the seconds after which outdated state counts against a
/// VM.
const MAX_DELAY: Duration = Duration::from_millis(2400);

/// Returns the delay of a VM before its next call of the store after `failures` consecutive failures. In
/// a large zone it doubles with each failure for all VMs but the readers, and `random`, from 0 to 1,
/// adds jitter.
#[must_use]
pub fn store_backoff(role: ZoneRole, zone_vms: usize, failures: u32, random: f64) -> Duration {
    if role.polls_store() || !is_large_zone(zone_vms) {
        return BASE_DELAY;
    }
    let doublings = failures.saturating_sub(1).min(8);
    let delay = BASE_DELAY.saturating_mul(1 << doublings).min(MAX_DELAY);
    delay.mul_f64(0.5 + 0.5 * random.clamp(0.0, 1.0))
}
