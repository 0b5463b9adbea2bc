//! Placement of calls on upstreams, by the expected wait at each upstream.
//!
//! Load pattern: long prompts are prefilled one after the other and delay the calls beside them, so
//! the number of calls is a poor estimate of the wait; a prompt of 8,000 tokens counts as one second.
//! Several VMs decide from late reports and know only their own dispatches. If each chose the upstream that
//! seems best, all would choose the same one. So the upstreams of an availability zone are partitioned
//! among its VMs by rendezvous hashing, and a VM uses an upstream of another VM's partition only if it is
//! clearly better.
//!
//! Among equally good upstreams those of the own zone are preferred: a call within the zone survives a
//! network partition between zones, and its traffic costs less. Suspects, and zones that lost several
//! upstreams together, come last but are not ruled out: if nothing else is left, they are better than a
//! refusal.
//!
//! Costs are milliseconds of expected wait, so they can be added.

use super::*;

/// Cost of placing a prompt beside one running stream on an engine. The prefill of 8,000 tokens makes
/// each of the 40 steps during that time about 25 ms longer, so the running stream takes one second more
/// and is exposed to losses for that much longer. Larger than the cost of another VM's partition, so that
/// an idle engine there is used first.
pub const STREAM_COST: f64 = 300.0;

/// Cost of each call in flight at a plain service: the typical duration of such a call.
const CALL_COST: f64 = 30.0;

/// Additional cost of a stream's upstream in another zone. Less than [`STREAM_COST`], so that an idle
/// engine elsewhere is preferred to a prefill that delays a running stream in this VM's zone. Zones
/// crash one after the other, and callers are unevenly distributed over them; a larger cost would overload
/// the remaining engines of a zone that has lost some.
pub const OTHER_ZONE_STREAM_COST: f64 = 100.0;

/// Cost of another zone for plain calls: that of two more calls waiting in the own zone.
const OTHER_ZONE_CALL_COST: f64 = 60.0;

/// Cost of an upstream in another VM's partition of the zone. Smaller than the prefill time of a long
/// prompt, so that such an upstream is preferred to one with a pending prefill.
pub const OTHER_PARTITION_COST: f64 = 180.0;

/// Cost of an upstream of the own zone that this VM does not share, so that it is not notified of the
/// dispatches there. It equals half the prefill time of a prompt of 8,000 tokens, since another VM may be
/// about to send a prompt there.
pub const UNSHARED_COST: f64 = 500.0;

/// Additional cost of an upstream of another zone that is not in this VM's partition. The VMs of a zone
/// that lost its upstreams fail over to those of other zones and are not notified of each other's
/// dispatches in time; this cost spreads them. Smaller than the cost of any load.
const OTHER_ZONE_PARTITION_COST: f64 = 50.0;

/// Cost of a suspect zone; higher than that of any load that is still served in time.
pub(crate) const SUSPECT_ZONE_COST: f64 = 20_000.0;

/// Cost of a suspect upstream; higher than that of a suspect zone, since the upstream itself has failed.
pub(crate) const SUSPECT_COST: f64 = 40_000.0;

/// Cost of an upstream whose latest plain calls all failed, in milliseconds of wait like the other costs:
/// a call that fails there is retried at another upstream, which takes the time of a further call.
const FAILURE_COST: f64 = 200.0;

/// Cost of another zone for KV copies, in calls: a copy holder in the own zone may have this many more
/// calls. If a run is in another zone and its KV copy in a third one, both are lost when the own zone is
/// partitioned, although the caller is still connected here.
const OTHER_ZONE_COPY_COST: u32 = 6;

/// An upstream that a call can be placed on, with its observed state.
#[derive(Clone, Debug)]
pub struct PlacementCandidate<'a> {
    /// The upstream's entry in the directory.
    pub entry: &'a Arc<UpstreamEntry>,
    /// The upstream's load as known to this VM.
    pub load: &'a UpstreamLoad,
    /// Whether the upstream is suspected to have failed.
    pub suspect: bool,
    /// Whether its zone has lost several upstreams together.
    pub suspect_zone: bool,
    /// Streams of other VMs on the upstream, as those VMs advertise them.
    pub peer_calls: u32,
    /// Whether all VMs that have streams on the upstream advertise them to this VM; otherwise the
    /// upstream's own report, which comes late, is used as well.
    pub load_is_complete: bool,
    /// Number of prompt tokens in the upstream's prefix cache.
    pub cached: u32,
    /// Time until the upstream has completed the prefill of other VMs' prompts.
    pub peer_prefill: Duration,
}

impl PlacementCandidate<'_> {
    fn streams(&self, now: Instant) -> u32 {
        let known = self.load.own_calls() + self.peer_calls;
        if self.load_is_complete {
            known
        } else {
            known.max(self.load.calls(now))
        }
    }
}

/// The VM and the call for which an upstream is selected.
#[derive(Clone, Copy, Debug)]
pub struct PlacementContext<'a> {
    /// Availability zone of this VM.
    pub zone: &'a AvailabilityZone,
    /// Name of this VM.
    pub vm: &'a str,
    /// Names of the live VMs of this zone, including this VM.
    pub zone_vms: &'a [Arc<str>],
    /// Whether the call is a stream with a prompt; otherwise it is a plain call.
    pub stream: bool,
    /// Random number from 0 to 1 that breaks ties.
    pub random: f64,
    /// Time of the decision.
    pub now: Instant,
    /// The mechanisms and costs to use.
    pub policy: &'a Policy,
}

/// The candidate with the lowest cost; `None` if there are no candidates.
#[must_use]
pub fn select_upstream<'a>(
    candidates: &[PlacementCandidate<'a>],
    context: &PlacementContext,
) -> Option<&'a Arc<UpstreamEntry>> {
    let start = random_start(candidates.len(), context.random);
    let (before, after) = candidates.split_at(start);
    let baseline = baseline_load(candidates, context);
    after
        .iter()
        .chain(before)
        .map(|candidate| (cost(candidate, baseline, context), candidate.entry))
        .min_by(|(a, _), (b, _)| a.total_cmp(b))
        .map(|(_, entry)| entry)
}

/// Chooses the holder of a run's KV copy. It is in another zone than the run, so that the loss of one zone
/// does not destroy both, and has few copies, so that the resumes after the loss of an upstream are spread
/// over several others.
#[must_use]
pub fn select_copy_holder<'a>(
    candidates: &[PlacementCandidate<'a>],
    run: &UpstreamEntry,
    context: &PlacementContext,
) -> Option<&'a Arc<UpstreamEntry>> {
    let eligible = candidates
        .iter()
        .filter(|c| c.entry.zone != run.zone && !c.suspect && !c.suspect_zone)
        .collect::<Vec<_>>();
    let start = random_start(eligible.len(), context.random);
    let (before, after) = eligible.split_at(start);
    after
        .iter()
        .chain(before)
        .min_by_key(|c| {
            let other_zone = c.entry.zone != *context.zone;
            let load = 2 * c.load.copies() + c.streams(context.now);
            load + if other_zone { OTHER_ZONE_COPY_COST } else { 0 }
        })
        .map(|c| c.entry)
}

pub(crate) fn random_start(len: usize, random: f64) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    let start = (random.clamp(0.0, 1.0) * len as f64) as usize;
    start.min(len)
}

fn cost(candidate: &PlacementCandidate, baseline: f64, context: &PlacementContext) -> f64 {
    let other_zone = context.policy.own_zone && candidate.entry.zone != *context.zone;
    let mut cost = if context.stream {
        stream_cost(candidate, baseline, context, other_zone)
    } else {
        call_cost(candidate, context, other_zone)
    };
    if candidate.suspect_zone {
        cost += SUSPECT_ZONE_COST;
    }
    if candidate.suspect {
        cost += SUSPECT_COST;
    }
    cost
}

/// Cost of the streams, the KV copies and the pending prefill on an engine for the next prompt.
fn load_cost(candidate: &PlacementCandidate, context: &PlacementContext) -> f64 {
    let (load, now) = (candidate.load, context.now);
    let stream_cost = context.policy.stream_cost;
    let prefill = load.prefill_left(now) + candidate.peer_prefill;
    prefill.as_secs_f64() * 1000.0
        + stream_cost * f64::from(candidate.streams(now))
        + 0.5 * stream_cost * f64::from(load.copies())
}

/// Maximum number of streams assumed on an engine whose load is unknown.
pub(crate) const MAX_BASELINE_STREAMS: f64 = 2.0;

/// Mean cost of the streams on the engines whose load this VM knows completely, assumed as a minimum for
/// the others. Where many VMs share the engines, a VM that took unknown engines for idle would add its
/// prompts to those of the VMs that use them. Prompts that wait on the known engines are not counted: after
/// the loss of a zone they are this VM's own, on the few engines left to it, and the others are better.
fn baseline_load(candidates: &[PlacementCandidate], context: &PlacementContext) -> f64 {
    let known = candidates
        .iter()
        .filter(|c| c.load_is_complete && !c.suspect);
    let (sum, count) = known.fold((0.0, 0.0), |(sum, count), candidate| {
        (sum + f64::from(candidate.streams(context.now)), count + 1.0)
    });
    let mean = if count > 0.0 { sum / count } else { 0.0 };
    context.policy.stream_cost * mean.min(MAX_BASELINE_STREAMS)
}

fn stream_cost(
    candidate: &PlacementCandidate,
    baseline: f64,
    context: &PlacementContext,
    other_zone: bool,
) -> f64 {
    let mut cost = load_cost(candidate, context);
    if !candidate.load_is_complete {
        cost = cost.max(baseline);
    }
    cost -= prefill_time(candidate.cached).as_secs_f64() * 1000.0;
    cost + partition_cost(candidate, context, other_zone)
}

/// Cost of an upstream's zone and partition for a stream.
pub(crate) fn partition_cost(
    candidate: &PlacementCandidate,
    context: &PlacementContext,
    other_zone: bool,
) -> f64 {
    let policy = context.policy;
    // Among thousands of candidates the ranks are most of the cost of a selection.
    let limit = if other_zone { 1 } else { SHARERS_PER_UPSTREAM };
    let upstream = candidate.entry.id.as_str();
    let rank = rank_below(limit, upstream, context.vm, context.zone_vms);
    match (other_zone, rank) {
        (true, 0) => policy.other_zone_stream,
        (true, _) => policy.other_zone_stream + OTHER_ZONE_PARTITION_COST,
        (false, 0) => 0.0,
        (false, _) if !policy.parts => 0.0,
        (false, rank) if rank < SHARERS_PER_UPSTREAM => policy.other_part,
        (false, _) => policy.not_shared,
    }
}

fn call_cost(candidate: &PlacementCandidate, context: &PlacementContext, other_zone: bool) -> f64 {
    let load = candidate.load;
    let excess_calls = load
        .calls(context.now)
        .saturating_sub(candidate.entry.slots);
    let mut cost =
        CALL_COST * f64::from(load.calls(context.now)) / f64::from(candidate.entry.slots.max(1));
    cost += CALL_COST * f64::from(excess_calls);
    cost += FAILURE_COST * load.failure_rate();
    if other_zone {
        cost += OTHER_ZONE_CALL_COST;
    }
    cost
}

/// Rank of a VM for an upstream among the VMs of its zone; [`SHARERS_PER_UPSTREAM`] if the VM does not share
/// it. The upstream belongs to the partition of the VM of rank 0.
#[must_use]
pub fn rank_of_vm(upstream: &UpstreamIncarnation, vm: &str, zone_vms: &[Arc<str>]) -> usize {
    rank_below(SHARERS_PER_UPSTREAM, upstream.as_str(), vm, zone_vms)
}
