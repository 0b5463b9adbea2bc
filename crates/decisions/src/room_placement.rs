//! Placement of the calls of a scheduled service, by the expected time to the first event.
//!
//! Load pattern: more prompts than the engines prefill at once, engines of different and changing speed, and several
//! VMs that decide from late reports. A call goes to an upstream only if its memory, a slot and the prompts ahead of
//! it there allow it; otherwise it waits in the VM, where a more urgent call can still go first.
//!
//! A VM does not know all calls on the upstreams that it does not share. It uses those by their reports. Without a
//! recent report it sends a prompt there only if the upstreams that it knows have no room, and few at once: under
//! overload, each VM would otherwise send one to each of them at the same time. If its latest reports say that most
//! of them were full, it sends none.
//!
//! Costs are milliseconds, as in [`crate::placement`].

use super::*;
use crate::placement::{
    MAX_BASELINE_STREAMS, SUSPECT_COST, SUSPECT_ZONE_COST, partition_cost, random_start,
};

/// Cost of an upstream of the own zone that other VMs share with this one and that is in another VM's partition. It
/// decides only between upstreams that are otherwise equal: this VM is notified of the dispatches there.
const SHARED_COST: f64 = 30.0;

/// Calls for which a holder's memory must have room beside a KV copy.
const CALLS_BESIDE_COPY: u32 = 2;

/// An upstream of a scheduled service.
#[derive(Clone, Debug)]
pub struct RoomCandidate<'a> {
    /// The upstream as for any other placement.
    pub placement: PlacementCandidate<'a>,
    /// What is known of its room.
    pub room: &'a UpstreamRoom,
    /// Tokens promised to calls and KV copies of other VMs, as they advertise them.
    pub peer_tokens: u32,
}

/// The call of a scheduled service that is placed.
#[derive(Clone, Copy, Debug)]
pub struct RoomContext<'a> {
    /// The VM, and the time of the decision.
    pub placement: PlacementContext<'a>,
    /// Size of the call.
    pub size: CallSize,
    /// Whether no route of the service is more urgent than the call.
    pub most_urgent: bool,
    /// Configured memory of each upstream, in tokens.
    pub capacity: Option<u32>,
}

impl RoomContext<'_> {
    /// Memory that the call must leave free: that of one call of the most urgent priority.
    fn reserve(&self) -> u32 {
        if self.most_urgent {
            0
        } else {
            self.size.tokens()
        }
    }
}

impl RoomCandidate<'_> {
    /// What a call can expect of the upstream.
    #[must_use]
    pub fn estimate(&self, context: &RoomContext) -> RoomEstimate {
        let placement = &self.placement;
        let known = KnownLoad {
            own_calls: placement.load.own_calls(),
            peer_calls: placement.peer_calls,
            peer_tokens: self.peer_tokens,
            peer_prefill: placement.peer_prefill,
            is_complete: placement.load_is_complete,
            capacity: context.capacity,
            slots: placement.entry.slots,
        };
        let now = context.placement.now;
        self.room
            .estimate(context.size, placement.cached, &known, now)
    }
}

/// A candidate with its estimate and its cost.
struct Rated<'a, 'b> {
    candidate: &'b RoomCandidate<'a>,
    estimate: RoomEstimate,
}

impl Rated<'_, '_> {
    /// Whether the load is known neither from the other VMs nor from a recent report.
    fn is_blind(&self) -> bool {
        !self.candidate.placement.load_is_complete && self.estimate.age.is_none()
    }
}

/// The upstream with room that costs least; `None` if none has room. A suspect upstream is used only if all are
/// suspect, since a call that waits costs less than one that is lost.
#[must_use]
pub fn select_with_room<'a>(
    candidates: &[RoomCandidate<'a>],
    context: &RoomContext,
) -> Option<&'a Arc<UpstreamEntry>> {
    let now = context.placement.now;
    let (tokens, reserve) = (context.size.tokens(), context.reserve());
    let all_suspect = candidates.iter().all(|c| c.placement.suspect);
    let rated = rate(candidates, context);
    let has_room = |rated: &&Rated| {
        // Other VMs may send a call by the same report.
        let others = if rated.candidate.placement.load_is_complete {
            0
        } else {
            tokens
        };
        rated
            .estimate
            .has_room(tokens, reserve.saturating_add(others))
            && (all_suspect || !rated.candidate.placement.suspect)
    };
    let (blind, known) = rated
        .iter()
        .filter(has_room)
        .partition::<Vec<_>, _>(|rated| rated.is_blind());
    if let Some(entry) = least_cost(&known, baseline(&rated), context) {
        return Some(entry);
    }
    // A known upstream that only prefills has room within a second; one of unknown load may be full.
    let has_room_soon = rated.iter().any(|rated| {
        let placement = &rated.candidate.placement;
        placement.load_is_complete
            && !placement.suspect
            && rated.estimate.free_slots > 0
            && rated.estimate.leaves(tokens, reserve)
    });
    if has_room_soon {
        return None;
    }
    let in_prefill = rated
        .iter()
        .filter(|rated| rated.is_blind() && rated.candidate.room.has_unread(now))
        .count();
    if in_prefill >= max_blind_prompts(&rated, context) {
        return None;
    }
    let mut blind = blind;
    blind.retain(|rated| rated.estimate.ahead.is_zero());
    least_cost(&blind, baseline(&rated), context)
}

/// The upstream for a stream that has lost its run and cannot wait: one with room, or else that of the least expected
/// time.
#[must_use]
pub fn select_for_time<'a>(
    candidates: &[RoomCandidate<'a>],
    context: &RoomContext,
) -> Option<&'a Arc<UpstreamEntry>> {
    // The reserve is for calls that wait, and this one precedes all of them.
    let urgent = RoomContext {
        most_urgent: true,
        ..*context
    };
    select_with_room(candidates, &urgent).or_else(|| {
        let rated = rate(candidates, &urgent);
        least_cost(&rated.iter().collect::<Vec<_>>(), baseline(&rated), context)
    })
}

/// Chooses the holder of a run's KV copy, as [`select_copy_holder`] does, among the upstreams whose memory has room
/// for two calls beside the copy. Those of unknown load are taken to be as full as the known ones on average.
#[must_use]
pub fn select_copy_holder_with_room<'a>(
    candidates: &[RoomCandidate<'a>],
    run: &UpstreamEntry,
    context: &RoomContext,
) -> Option<&'a Arc<UpstreamEntry>> {
    let rated = rate(candidates, context);
    let known = rated
        .iter()
        .filter(|rated| rated.candidate.placement.load_is_complete);
    let (free, count) = known.fold((0_u64, 0), |(free, count), rated| {
        (free + u64::from(rated.estimate.free_tokens), count + 1)
    });
    let tokens = context.size.tokens();
    let needed = tokens.saturating_mul(1 + CALLS_BESIDE_COPY);
    let known_are_full = count > 0 && free / count < u64::from(needed);
    let holders = rated
        .into_iter()
        .filter(|rated| !(known_are_full && rated.is_blind()) && rated.estimate.leaves(needed, 0));
    let holders = holders
        .map(|rated| rated.candidate.placement.clone())
        .collect::<Vec<_>>();
    select_copy_holder(&holders, run, &context.placement)
}

/// Number of prompts that a VM may have in prefill at a time on upstreams of unknown load. It is the VM's share of the
/// upstreams of its zone if the latest reports say that most had room, none if most were full, and one without any.
fn max_blind_prompts(rated: &[Rated], context: &RoomContext) -> usize {
    let PlacementContext { zone, zone_vms, .. } = context.placement;
    let unknown = rated
        .iter()
        .filter(|rated| !rated.candidate.placement.load_is_complete);
    let reports = unknown.filter_map(|rated| rated.estimate.was_full);
    let (full, open) = reports.fold((0, 0), |(full, open), was_full| {
        if was_full {
            (full + 1, open)
        } else {
            (full, open + 1)
        }
    });
    if full > open {
        return 0;
    }
    if open == 0 && zone_vms.len() > 1 {
        return 1;
    }
    let in_zone = rated
        .iter()
        .filter(|rated| rated.candidate.placement.entry.zone == *zone);
    (in_zone.count() / zone_vms.len().max(1)).max(1)
}

fn rate<'a, 'b>(candidates: &'b [RoomCandidate<'a>], context: &RoomContext) -> Vec<Rated<'a, 'b>> {
    let rated = candidates.iter().map(|candidate| Rated {
        estimate: candidate.estimate(context),
        candidate,
    });
    rated.collect()
}

/// Mean number of streams on the upstreams whose load is known, which the blind ones are taken to have at least.
fn baseline(rated: &[Rated]) -> f64 {
    let known = rated
        .iter()
        .filter(|r| r.candidate.placement.load_is_complete && !r.candidate.placement.suspect);
    let (sum, count) = known.fold((0.0, 0.0), |(sum, count), rated| {
        (sum + f64::from(rated.estimate.calls), count + 1.0)
    });
    if count > 0.0 {
        (sum / count).min(MAX_BASELINE_STREAMS)
    } else {
        0.0
    }
}

fn least_cost<'a>(
    rated: &[&Rated<'a, '_>],
    baseline: f64,
    context: &RoomContext,
) -> Option<&'a Arc<UpstreamEntry>> {
    let start = random_start(rated.len(), context.placement.random);
    let (before, after) = rated.split_at(start);
    after
        .iter()
        .chain(before)
        .map(|rated| {
            (
                cost(rated, baseline, context),
                rated.candidate.placement.entry,
            )
        })
        .min_by(|(a, _), (b, _)| a.total_cmp(b))
        .map(|(_, entry)| entry)
}

/// Expected time to the first event, the delay that the prompt causes to the streams there, and the costs of zones,
/// partitions and suspects.
fn cost(rated: &Rated, baseline: f64, context: &RoomContext) -> f64 {
    let (placement, estimate) = (&rated.candidate.placement, &rated.estimate);
    let PlacementContext { policy, now, .. } = context.placement;
    let mut streams = f64::from(estimate.calls) + 0.5 * f64::from(placement.load.copies());
    if rated.is_blind() {
        streams = streams.max(baseline);
    }
    let speed = rated.candidate.room.speed().factor(now);
    let other_zone = policy.own_zone && placement.entry.zone != *context.placement.zone;
    let mut cost = estimate.first_event.as_secs_f64() * 1000.0;
    cost += policy.stream_cost * streams / speed;
    let partition = partition_cost(placement, &context.placement, other_zone);
    cost += if placement.load_is_complete && !other_zone {
        partition.min(SHARED_COST)
    } else {
        partition
    };
    if placement.suspect_zone {
        cost += SUSPECT_ZONE_COST;
    }
    if placement.suspect {
        cost += SUSPECT_COST;
    }
    cost
}
