//! How long a VM waits before it asks the platform's store again that did not answer.
//!
//! Load pattern: the store is away, or turns VMs away, and each VM of a large deployment asks it three times a
//! second. That is most of the calls of a day, and at its return they all come at once. What matters is that the
//! return is noticed soon, and for that a few VMs of each zone are enough: they tell the others.

use super::*;

/// Wait of those who ask for the others.
const FIRST_WAIT: Duration = Duration::from_millis(300);

/// Longest wait of those who hear of the return from others: by then somebody else of the zone has asked, and it is
/// short against the seconds after which what a VM does not know counts against it.
const LONGEST_WAIT: Duration = Duration::from_millis(2400);

/// Wait of a VM before it asks the store again, after so many faults in a row. In a large zone it doubles with each
/// fault for all but the readers, and is spread by `random`, from 0 to 1.
#[must_use]
pub fn store_backoff(role: ZoneRole, zone_vms: usize, faults: u32, random: f64) -> Duration {
    if role.polls_store() || !is_large_zone(zone_vms) {
        return FIRST_WAIT;
    }
    let doublings = faults.saturating_sub(1).min(8);
    let wait = FIRST_WAIT.saturating_mul(1 << doublings).min(LONGEST_WAIT);
    wait.mul_f64(0.5 + 0.5 * random.clamp(0.0, 1.0))
}
