//! This VM's share of the capacity of an upstream that several VMs use.
//!
//! If each of 8 VMs sends an upstream as many requests as it runs at once, eight times its capacity
//! is sent and the excess waits inside the upstream, where neither deadlines nor fairness apply. Each
//! VM therefore keeps to its share of the capacity.
//!
//! A share is seldom a whole number: 4 slots among 3 VMs are 1.33 each. If all VMs rounded down, a
//! quarter of the upstream would stay idle; if all rounded up, it would receive half as much again as
//! it can run. Each VM therefore rounds by a pseudo-random number that depends on the VM and the
//! upstream, so that the sum over all VMs is correct on average.
//!
//! For quick calls the shares add up to more than the capacity, because a slot is idle while its response
//! and the next request are on the network: with 1 ms one way and calls of 20 ms, a tenth of the time.
//! In the row `overload 2x` of `docs/LOAD.md`, shares that add up to 100 percent use 0.91 of the
//! capacity, 110 percent use 0.95, 115 percent use 0.96 and 120 percent use 0.99.

use super::*;

/// Sum of the shares of all VMs for quick calls, in percent of the capacity.
const QUICK_CAPACITY_PERCENT: u64 = 120;

/// Sum of the shares of all VMs for generations, in percent of the capacity. It leaves no excess,
/// because a generation would wait inside the upstream for minutes.
const LONG_CAPACITY_PERCENT: u64 = 100;

/// The inputs from which a VM computes its share of the capacity of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CapacityShare {
    /// Number of VMs that use the upstream, including this one.
    pub sharers: u32,
    /// Pseudo-random number of this VM for this upstream, from 0 to 999, which decides the rounding.
    pub rounding_threshold: u32,
}

impl CapacityShare {
    /// Creates the share of a VM at an upstream that `sharers` VMs use.
    #[must_use]
    pub fn of(vm: &VmId, upstream: &UpstreamId, sharers: u32) -> Self {
        let score = rendezvous_score(vm.as_str(), upstream.as_str());
        let rounding_threshold = u32::try_from(score % 1000).unwrap_or_default();
        Self {
            sharers,
            rounding_threshold,
        }
    }

    /// Number of slots that this VM may use for a lane, at least one.
    #[must_use]
    pub fn slots(self, capacity: u32, lane: Lane) -> u32 {
        let percent = match lane {
            Lane::Quick => QUICK_CAPACITY_PERCENT,
            Lane::Long => LONG_CAPACITY_PERCENT,
        };
        let sharers = u64::from(self.sharers.max(1));
        let thousandths = u64::from(capacity) * percent * 10 / sharers;
        let rounded_up = thousandths % 1000 > u64::from(self.rounding_threshold);
        let share = thousandths / 1000 + u64::from(rounded_up);
        u32::try_from(share).unwrap_or(u32::MAX).max(1)
    }
}
