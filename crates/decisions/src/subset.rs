//! The upstreams that one VM keeps in touch with.
//!
//! Load pattern: 400 VMs before 900 upstreams would make 360,000 connections and twice as many
//! load reports a second. Without a subset an upstream answers 800 reports a second, and a VM
//! cannot keep within its 3 KB a second for control. Each VM takes the upstreams with the best
//! rendezvous scores for its own name, so that a VM that comes or goes changes nobody else's
//! subset, and an upstream that comes or goes changes at most one place in any.
//!
//! Grounds for the figures: 32 of an availability zone's 150 upstreams leave the better of two
//! random ones enough choice, and 8 elsewhere are enough to spill to. The test
//! `every_upstream_has_enough_vms` holds the spread at the target size.

use super::*;

/// Upstreams of the own availability zone in a subset.
pub const OWN_ZONE_SUBSET: usize = 32;

/// Upstreams of all other availability zones in a subset.
pub const OTHER_ZONES_SUBSET: usize = 8;

/// The part of `upstreams`, which all serve one service, that a VM keeps in touch with.
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
