//! Slices of a team's limit, handed out by one VM to the others.
//!
//! Load pattern: a team calls through many VMs, unevenly and changing from second to second. With
//! a fixed share for each VM most of the limit lies idle where the team does not call, and a write
//! to the table service per request takes more writes than the platform has. Here the home of a
//! limit hands each VM a slice by its demand, for a few seconds. The home of an availability zone
//! is a holder at the home of the whole limit in the same way.
//!
//! The slices in force never add up to more than the limit, whatever is lost on the way: a slice
//! counts as handed out until it has expired by the home's clock, which is later than by its
//! holder's, and each holder keeps a floor that is never given to another. A holder that is cut off
//! goes on with its slice and then with its floor. A new home, which does not know its
//! predecessor's slices, hands out floors until those have expired.
//!
//! Grounds for the figures: `cargo run --release -p catkin-decisions --example slices` compares it
//! with fixed shares, a write per request and batched writes; `docs/LOAD.md` has a run.

use super::*;

/// How long a slice lasts.
pub const SLICE_LEASE: Duration = Duration::from_secs(3);

/// How often a holder asks again.
pub const SLICE_RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// Part of an even share that a holder keeps whatever happens.
const FLOOR: f64 = 0.25;

/// Home of one limit.
#[derive(Clone, Debug)]
pub struct SliceAllocator {
    limit: f64,
    warm: Instant,
    /// Sorted by VM.
    holders: Vec<Holder>,
}

#[derive(Clone, Debug)]
struct Holder {
    vm: VmId,
    demand: f64,
    /// Slices that may still be in force, each with its end.
    slices: Vec<(f64, Instant)>,
}

impl SliceAllocator {
    /// The home of a limit, a second, over these VMs.
    #[must_use]
    pub fn new(limit: f64, mut vms: Vec<VmId>, now: Instant) -> Self {
        vms.sort();
        vms.dedup();
        Self {
            limit,
            warm: now.after(SLICE_LEASE),
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

    /// Grants a slice; `None` for a VM that is not among the holders.
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
        let rate = if now < self.warm {
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

    /// What each holder keeps whatever happens.
    #[must_use]
    pub fn floor(&self) -> f64 {
        FLOOR * self.limit / count(self.holders.len())
    }

    /// Max-min fair share of one holder's demand, and an even part of what nobody asks for.
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
            let even = left / count(holders);
            if demand > even {
                return own.min(even);
            }
            left -= demand;
            holders -= 1;
        }
        own + left / count(self.holders.len())
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

fn count(n: usize) -> f64 {
    u32::try_from(n.max(1)).map_or(f64::MAX, f64::from)
}
