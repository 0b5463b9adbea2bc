//! Allocator that leases slices of a team's rate limit to the VMs that use it.
//!
//! A team calls through many VMs, unevenly and with a distribution that changes from second to second.
//! With a fixed share for each VM, most of the limit is unused where the team does not call; with a
//! write to the table service per request, the writes exceed the capacity of the platform. Here one
//! VM, the allocator, grants each VM a slice by its demand for a few seconds. The allocator of an
//! availability zone holds a slice from the allocator of the whole limit in the same way.
//!
//! The slices in force never add up to more than the limit, whichever messages are lost. A slice counts
//! as granted until it has expired by the allocator's clock, which is later than by its holder's, and
//! each holder has a minimum quota, the floor, that is never granted to another. A holder that cannot
//! reach the allocator continues with its slice and then with its floor. A new allocator, which does
//! not know the slices of its predecessor, grants only floors until those have expired.
//!
//! `cargo run --release -p catkin-decisions --example slices` compares slices with fixed shares, a
//! write per request and batched writes; `docs/LOAD.md` has the results.

use super::*;

/// Duration of the lease of a slice.
pub const SLICE_LEASE: Duration = Duration::from_secs(3);

/// Interval at which a holder renews its slice.
pub const SLICE_RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum quota of a holder, as a fraction of an equal share of the limit.
const FLOOR_SHARE: f64 = 0.25;

/// Allocator of one limit.
#[derive(Clone, Debug)]
pub struct SliceAllocator {
    limit: f64,
    granting_from: Instant,
    /// Sorted by VM.
    holders: Vec<Holder>,
}

#[derive(Clone, Debug)]
struct Holder {
    vm: VmId,
    demand: f64,
    /// Rate and expiry of each slice that may still be in force.
    slices: Vec<(f64, Instant)>,
}

impl SliceAllocator {
    /// Creates the allocator of a limit, in units per second, that these VMs share.
    #[must_use]
    pub fn new(limit: f64, mut vms: Vec<VmId>, now: Instant) -> Self {
        vms.sort();
        vms.dedup();
        Self {
            limit,
            granting_from: now.after(SLICE_LEASE),
            holders: vms
                .into_iter()
                .map(|vm| Holder {
                    vm,
                    demand: 0.0,
                    slices: Vec::new(),
                })
                .collect(),
        }
    }

    /// Grants a slice to the requesting VM; `None` if it is not one of the VMs that share this limit.
    pub fn grant(&mut self, request: &SliceRequest, now: Instant) -> Option<SliceGrant> {
        let floor = self.floor();
        let i = self
            .holders
            .binary_search_by(|holder| holder.vm.cmp(&request.vm))
            .ok()?;
        for holder in &mut self.holders {
            holder.slices.retain(|(_, end)| *end > now);
        }
        self.holders[i].demand = request.demand.max(0.0);
        let others = (0..self.holders.len())
            .filter(|other| *other != i)
            .map(|other| self.holders[other].reserved(floor))
            .sum::<f64>();
        let rate = if now < self.granting_from {
            floor
        } else {
            self.fair_share(i).min(self.limit - others).max(floor)
        };
        self.holders[i].slices.push((rate, now.after(SLICE_LEASE)));
        Some(SliceGrant {
            team: request.team.clone(),
            kind: request.kind,
            rate,
            floor,
            lease_ms: u32::try_from(SLICE_LEASE.as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Minimum quota of each holder, per second.
    #[must_use]
    pub fn floor(&self) -> f64 {
        FLOOR_SHARE * self.limit / as_f64(self.holders.len())
    }

    /// Max-min fair share of holder `i`, plus an equal part of the rate that no holder demands.
    fn fair_share(&self, i: usize) -> f64 {
        let floor = self.floor();
        let mut demands = self
            .holders
            .iter()
            .map(|holder| holder.demand.max(floor))
            .collect::<Vec<_>>();
        let own = demands[i];
        demands.sort_by(f64::total_cmp);
        let (mut left, mut holders) = (self.limit, demands.len());
        for demand in demands {
            let even = left / as_f64(holders);
            if demand > even {
                return own.min(even);
            }
            left -= demand;
            holders -= 1;
        }
        own + left / as_f64(self.holders.len())
    }
}

impl Holder {
    fn reserved(&self, floor: f64) -> f64 {
        self.slices
            .iter()
            .map(|(rate, _)| *rate)
            .fold(floor, f64::max)
    }
}

fn as_f64(n: usize) -> f64 {
    u32::try_from(n.max(1)).map_or(f64::MAX, f64::from)
}
