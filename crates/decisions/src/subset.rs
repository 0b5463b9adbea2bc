//! The subset of upstreams that one VM connects to.
//!
//! Load pattern: 400 VMs and 900 upstreams would make 360,000 connections and twice as many load
//! reports a second. Without subsets an upstream serves 800 report requests a second, and a VM exceeds
//! its control traffic limit of 3 KB a second. Each VM takes the upstreams with the highest rendezvous
//! scores for its own name, so that adding or removing a VM changes no other VM's subset, and adding or
//! removing an upstream changes at most one member of any subset.
//!
//! 32 of the 150 upstreams of an availability zone are enough for the choice of the better of two random
//! ones, and 8 in other zones are enough for the overflow. The test `every_upstream_has_enough_vms`
//! checks the distribution at the target size.

use super::*;

/// Maximum number of upstreams of the own availability zone in a subset.
pub const OWN_ZONE_SUBSET: usize = 32;

/// Maximum number of upstreams of all other availability zones together in a subset.
pub const OTHER_ZONES_SUBSET: usize = 8;

/// Chooses the upstreams that a VM connects to. All `upstreams` serve the same service.
#[must_use]
pub fn subset<'a>(
    vm: &VmId,
    zone: &AvailabilityZone,
    upstreams: impl IntoIterator<Item = &'a Upstream>,
) -> Vec<&'a Upstream> {
    let (own, other): (Vec<_>, Vec<_>) = upstreams.into_iter().partition(|u| u.zone == *zone);
    let best = |upstreams, count| {
        rendezvous_rank(vm.as_str(), upstreams, |u: &&'a Upstream| u.id.as_str())
            .into_iter()
            .take(count)
    };
    best(own, OWN_ZONE_SUBSET)
        .chain(best(other, OTHER_ZONES_SUBSET))
        .collect()
}
