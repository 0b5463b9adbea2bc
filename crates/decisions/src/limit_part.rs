//! Division of an upstream's limit among the VMs, without messages beyond heartbeats.
//!
//! In a small system every VM knows how many calls of the service each other VM has, and uses the limit
//! in proportion to its own, with a small equal part for VMs whose calls begin. In a larger one, VMs know the
//! others of their availability zone only, and a few of each zone, by rendezvous hashing, use equal parts.
//!
//! Each VM that has a part may hold one token, so the number of these VMs is bounded: all of them may
//! send at once after a quiet time.

use super::*;

/// Fraction of a limit that the VMs use. The rest covers VMs whose views of the others differ.
const USABLE_FRACTION: f64 = 0.9;

/// Fraction of the usable limit that is divided equally.
const EQUAL_FRACTION: f64 = 0.1;

/// Fraction of a limit that VMs without a part use for trial requests, all together.
const TRIAL_FRACTION: f64 = 0.05;

/// Tokens of all VMs together, beside [`BURST_SECONDS`].
const BURST_REQUESTS: f64 = 4.0;

/// Time of the limit that all VMs together may save as tokens.
const BURST_SECONDS: f64 = 2.0;

/// What a VM knows of those that use the same upstreams.
#[derive(Clone, Debug)]
pub enum FleetView<'a> {
    /// Nothing yet, as after a start.
    Unknown,
    /// The demand for the service at every VM.
    Complete {
        /// This VM.
        own: VmDemand,
        /// All other VMs, also those whose last heartbeat is old.
        others: &'a [VmDemand],
    },
    /// The VMs of this VM's availability zone.
    Zone {
        /// This VM.
        own: &'a str,
        /// Names of the VMs of the zone, including this VM.
        zone_vms: &'a [Arc<str>],
        /// Number of availability zones with VMs.
        zones: u32,
    },
}

/// Demand for a service at one VM.
#[derive(Clone, Debug, PartialEq)]
pub struct VmDemand {
    /// Name of the VM.
    pub vm: Arc<str>,
    /// Calls per second.
    pub rate: f64,
}

/// The part of an upstream's limit that a VM uses.
#[must_use]
pub fn limit_part(upstream: &str, limit: RequestRate, view: &FleetView) -> LimitPart {
    match view {
        FleetView::Unknown => LimitPart::default(),
        FleetView::Complete { own, others } => part_by_demand(upstream, limit, own, others),
        FleetView::Zone {
            own,
            zone_vms,
            zones,
        } => part_in_zone(upstream, limit, own, zone_vms, *zones),
    }
}

/// Tokens that all VMs together may save.
fn total_burst(limit: RequestRate) -> f64 {
    BURST_REQUESTS + BURST_SECONDS * limit.per_second()
}

/// Maximum number of VMs that have a part.
fn max_sharers(limit: RequestRate) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "between 4 and two million"
    )]
    let sharers = total_burst(limit) as usize;
    sharers
}

fn part_by_demand(
    upstream: &str,
    limit: RequestRate,
    own: &VmDemand,
    others: &[VmDemand],
) -> LimitPart {
    let vms = others.len() + 1;
    let count = vms.min(max_sharers(limit));
    // VMs with the most calls, so that the limit can be used wherever the callers are.
    let rank = |demand: &VmDemand| (demand.rate, rendezvous_score(upstream, &demand.vm));
    let mut ranked = others.iter().chain([own]).collect::<Vec<_>>();
    ranked.sort_by(|a, b| {
        let ((a_rate, a_score), (b_rate, b_score)) = (rank(a), rank(b));
        b_rate.total_cmp(&a_rate).then(b_score.cmp(&a_score))
    });
    ranked.truncate(count);
    if !ranked.iter().any(|demand| demand.vm == own.vm) {
        return trial_part(limit, count, vms);
    }
    let sum: f64 = ranked.iter().map(|demand| demand.rate).sum();
    let equal = 1.0 / float(count);
    let share = if sum > 0.0 {
        EQUAL_FRACTION * equal + (1.0 - EQUAL_FRACTION) * own.rate / sum
    } else {
        equal
    };
    shared_part(limit, share, count)
}

fn part_in_zone(
    upstream: &str,
    limit: RequestRate,
    own: &str,
    zone_vms: &[Arc<str>],
    zones: u32,
) -> LimitPart {
    let zones = usize::try_from(zones.max(1)).unwrap_or(usize::MAX);
    let in_zone = zone_vms.len().clamp(1, (max_sharers(limit) / zones).max(1));
    let sharers = zones * in_zone;
    if rank_below(in_zone, upstream, own, zone_vms) >= in_zone {
        return trial_part(limit, sharers, zones * zone_vms.len());
    }
    shared_part(limit, 1.0 / float(sharers), sharers)
}

fn shared_part(limit: RequestRate, share: f64, sharers: usize) -> LimitPart {
    let saved = (total_burst(limit) - float(sharers)).max(0.0);
    LimitPart {
        rate: USABLE_FRACTION * limit.per_second() * share,
        burst: 1.0 + saved * share,
        trial_rate: 0.0,
        sharers: u32::try_from(sharers).unwrap_or(u32::MAX),
    }
}

fn trial_part(limit: RequestRate, sharers: usize, vms: usize) -> LimitPart {
    LimitPart {
        trial_rate: TRIAL_FRACTION * limit.per_second() / float(vms),
        sharers: u32::try_from(sharers).unwrap_or(u32::MAX),
        ..LimitPart::default()
    }
}

fn float(count: usize) -> f64 {
    f64::from(u32::try_from(count.max(1)).unwrap_or(u32::MAX))
}
