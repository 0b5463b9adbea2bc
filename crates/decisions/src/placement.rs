//! Placement of calls on upstreams, by the expected wait at each upstream.
//!
//! Load pattern: long prompts are read one after the other and delay the calls beside them, so the
//! number of calls is a poor estimate of the wait; a prompt of 8,000 tokens counts as one second. Several
//! VMs decide from late reports and know only their own dispatches. If each chose the upstream that looks
//! best, all would choose the same one. So the upstreams of an availability zone are partitioned among its
//! VMs by rendezvous hashing, and a VM uses an upstream of another VM's partition only if it is clearly
//! better.
//!
//! Among equally good upstreams those of the own zone are preferred: a call within the zone survives a
//! network partition between zones, and its traffic costs less. Suspects, and zones that lost several
//! upstreams together, come last but are not ruled out: if nothing else is left, they are better than a
//! refusal.
//!
//! Costs are milliseconds of expected wait, so they can be added.

use super::*;

/// Cost of placing a prompt beside one running stream on an engine. Reading a prompt of 8,000 tokens makes
/// each of the 40 steps during that time about 25 ms longer, so the running stream takes one second more
/// and is exposed to losses for that much longer. Larger than the cost of another VM's partition, so that
/// an idle engine there is used first.
pub const STREAM_COST: f64 = 300.0;

/// Cost of each call in flight at a plain service: the usual duration of such a call.
const CALL_COST: f64 = 30.0;

/// Cost of another zone for streams. Smaller than [`STREAM_COST`], so that an idle engine in another zone
/// is used before a prompt is read beside a running stream in the own zone. Zones crash in turn and
/// callers are unevenly distributed over them; with a larger cost, the streams of a zone pile up on the
/// engines that are left in it.
pub const OTHER_ZONE_STREAM: f64 = 100.0;

/// Cost of another zone for plain calls: that of two more calls waiting in the own zone.
const OTHER_ZONE_CALL: f64 = 60.0;

/// Cost of an upstream in another VM's partition of the zone. Smaller than the reading time of a long
/// prompt, so that such an upstream is preferred to one with a prompt still to be read.
pub const OTHER_PART: f64 = 180.0;

/// Cost of an upstream of the own zone that this VM does not share, so that it is not notified of the
/// dispatches there. It equals half the reading time of a prompt of 8,000 tokens, since another VM may be
/// about to send a prompt there.
pub const NOT_SHARED: f64 = 500.0;

/// Additional cost of an upstream of another zone that is not in this VM's partition. The VMs of a zone
/// that lost its upstreams fail over to those of other zones and are not notified of each other's
/// dispatches in time; this cost spreads them. Smaller than the cost of any load.
const OTHER_PART_ELSEWHERE: f64 = 50.0;

/// Cost of a suspect zone; higher than that of any load that is still served in time.
const SUSPECT_ZONE: f64 = 20_000.0;

/// Cost of a suspect upstream; higher than that of a suspect zone, since the upstream itself had a fault.
const SUSPECT: f64 = 40_000.0;

/// Cost, for plain calls, of an upstream whose latest calls all failed: a retry takes the time of one call
/// at another upstream.
const FAILING: f64 = 200.0;

/// Cost of another zone for KV copies, in calls: a copy holder in the own zone may have this many more
/// calls. If a run is in another zone and its KV copy in a third one, both are lost when the own zone is
/// cut off, although the caller is still connected here.
const COPY_IN_OTHER_ZONE: u32 = 6;

/// An upstream that a call can be placed on, with what is known of it.
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
    pub all_tell: bool,
    /// Number of prompt tokens in the upstream's prefix cache.
    pub cached: u32,
    /// Time until the upstream has read the prompts of other VMs.
    pub peer_reading: Duration,
}

impl PlacementCandidate<'_> {
    fn streams(&self, now: Instant) -> u32 {
        let known = self.load.own() + self.peer_calls;
        if self.all_tell {
            known
        } else {
            known.max(self.load.calls(now))
        }
    }
}

/// The VM and the call for which an upstream is chosen.
#[derive(Clone, Copy, Debug)]
pub struct PlacementFor<'a> {
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
pub fn place<'a>(
    candidates: &[PlacementCandidate<'a>],
    who: &PlacementFor,
) -> Option<&'a Arc<UpstreamEntry>> {
    let start = random_start(candidates.len(), who.random);
    let (before, after) = candidates.split_at(start);
    let usual = usual_load(candidates, who);
    after
        .iter()
        .chain(before)
        .map(|candidate| (cost(candidate, usual, who), candidate.entry))
        .min_by(|(a, _), (b, _)| a.total_cmp(b))
        .map(|(_, entry)| entry)
}

/// Chooses the holder of a run's KV copy. It is in another zone than the run, so that the loss of one zone
/// does not destroy both, and has few copies, so that the resumes after the loss of an upstream are spread
/// over several others.
#[must_use]
pub fn place_copy<'a>(
    candidates: &[PlacementCandidate<'a>],
    run: &UpstreamEntry,
    who: &PlacementFor,
) -> Option<&'a Arc<UpstreamEntry>> {
    let fitting = candidates
        .iter()
        .filter(|c| c.entry.zone != run.zone && !c.suspect && !c.suspect_zone)
        .collect::<Vec<_>>();
    let start = random_start(fitting.len(), who.random);
    let (before, after) = fitting.split_at(start);
    after
        .iter()
        .chain(before)
        .min_by_key(|c| {
            let other_zone = c.entry.zone != *who.zone;
            let load = 2 * c.load.copies() + c.streams(who.now);
            load + if other_zone { COPY_IN_OTHER_ZONE } else { 0 }
        })
        .map(|c| c.entry)
}

fn random_start(len: usize, random: f64) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    let start = (random.clamp(0.0, 1.0) * len as f64) as usize;
    start.min(len)
}

fn cost(candidate: &PlacementCandidate, usual: f64, who: &PlacementFor) -> f64 {
    let other_zone = who.policy.own_zone && candidate.entry.zone != *who.zone;
    let mut cost = if who.stream {
        stream_cost(candidate, usual, who, other_zone)
    } else {
        call_cost(candidate, who, other_zone)
    };
    if candidate.suspect_zone {
        cost += SUSPECT_ZONE;
    }
    if candidate.suspect {
        cost += SUSPECT;
    }
    cost
}

/// Cost of the streams, the KV copies and the unread prompts on an engine for the next prompt.
fn load_cost(candidate: &PlacementCandidate, who: &PlacementFor) -> f64 {
    let (load, now) = (candidate.load, who.now);
    let stream_cost = who.policy.stream_cost;
    let reading = load.reading_left(now) + candidate.peer_reading;
    reading.as_secs_f64() * 1000.0
        + stream_cost * f64::from(candidate.streams(now))
        + 0.5 * stream_cost * f64::from(load.copies())
}

/// Maximum number of streams assumed on an engine whose load is unknown.
const MOST_USUAL: f64 = 2.0;

/// Mean cost of the streams on the engines whose load this VM knows completely, assumed as a minimum for
/// the others. Where many VMs share the engines, a VM that took unknown engines for idle would add its
/// prompts to those of the VMs that use them. Prompts that wait on the known engines are not counted: after
/// the loss of a zone they are this VM's own, on the few engines left to it, and the others are better.
fn usual_load(candidates: &[PlacementCandidate], who: &PlacementFor) -> f64 {
    let known = candidates.iter().filter(|c| c.all_tell && !c.suspect);
    let (sum, count) = known.fold((0.0, 0.0), |(sum, count), candidate| {
        (sum + f64::from(candidate.streams(who.now)), count + 1.0)
    });
    let mean = if count > 0.0 { sum / count } else { 0.0 };
    who.policy.stream_cost * mean.min(MOST_USUAL)
}

fn stream_cost(
    candidate: &PlacementCandidate,
    usual: f64,
    who: &PlacementFor,
    other_zone: bool,
) -> f64 {
    let policy = who.policy;
    let mut cost = load_cost(candidate, who);
    if !candidate.all_tell {
        cost = cost.max(usual);
    }
    cost -= reading_time(candidate.cached).as_secs_f64() * 1000.0;
    cost += match (
        other_zone,
        rank_of_vm(&candidate.entry.id, who.vm, who.zone_vms),
    ) {
        (true, 0) => policy.other_zone_stream,
        (true, _) => policy.other_zone_stream + OTHER_PART_ELSEWHERE,
        (false, 0) => 0.0,
        (false, _) if !policy.parts => 0.0,
        (false, rank) if rank < SHARERS => policy.other_part,
        (false, _) => policy.not_shared,
    };
    cost
}

fn call_cost(candidate: &PlacementCandidate, who: &PlacementFor, other_zone: bool) -> f64 {
    let load = candidate.load;
    let beyond_slots = load.calls(who.now).saturating_sub(candidate.entry.slots);
    let mut cost =
        CALL_COST * f64::from(load.calls(who.now)) / f64::from(candidate.entry.slots.max(1));
    cost += CALL_COST * f64::from(beyond_slots);
    cost += FAILING * load.failures();
    if other_zone {
        cost += OTHER_ZONE_CALL;
    }
    cost
}

/// Rank of a VM for an upstream among the VMs of its zone. The upstream belongs to the partition of the VM
/// of rank 0.
#[must_use]
pub fn rank_of_vm(upstream: &UpstreamIncarnation, vm: &str, zone_vms: &[Arc<str>]) -> usize {
    rank_among(upstream.as_str(), vm, zone_vms)
}
