//! Which upstream a call goes to, by the wait that it would meet there.
//!
//! Load pattern: long prompts are read one after the other and delay everything beside them, so the
//! number of calls says little; a prompt of 8,000 tokens counts as a second. Several VMs decide on
//! late reports and know only their own dispatches. If each took the upstream that looks best, all
//! would take the same one. So the upstreams of an availability zone are divided among its VMs by
//! rendezvous hashing: a VM leaves its own part only where another is clearly better.
//!
//! Between equals the own zone goes first: a call within it survives a cut between zones, and its bytes cost
//! less.
//! Suspects, and zones that lost several upstreams together, come last but are not ruled out: with
//! nothing else left they are still better than a refusal.
//!
//! Costs are milliseconds of expected wait, so that they can be added.

use super::*;

/// What a stream that already runs on an engine costs the next prompt there. Reading a prompt of 8,000
/// tokens makes each of the 40 steps beside it some 25 ms longer, so the running stream takes a second
/// more, and is that much longer exposed to the next loss. Above the cost of another VM's part of the
/// zone, so that an idle engine there is used first.
pub const STREAM_COST: f64 = 300.0;

/// What one call in flight costs the next one on a plain service, whose calls take about this long.
const CALL_COST: f64 = 30.0;

/// Advantage of the own zone for streams: less than one running stream costs, so that an idle engine elsewhere
/// is used before a prompt is read beside a stream here. Zones crash in turn and callers are uneven over them; with a
/// larger advantage the streams of a zone meet on the engines that are left in it.
pub const OTHER_ZONE_STREAM_COST: f64 = 100.0;

/// Advantage of the own zone for plain calls: two more calls waiting there.
const OTHER_ZONE_CALL: f64 = 60.0;

/// Cost of an upstream in another VM's part of the zone: above a running stream or two, below a
/// prompt still to be read.
pub const OTHER_PARTITION_COST: f64 = 180.0;

/// Cost of one that this VM does not share, so that its dispatches are not heard of: half a prompt's
/// reading more, since another VM may be about to send one there.
pub const UNSHARED_COST: f64 = 500.0;

/// Cost of an upstream of another zone that is not in this VM's part of it: the VMs of a zone that lost
/// its upstreams spread over those of the others, and do not hear of each other in time. Below the cost
/// of any load.
const OTHER_PART_ELSEWHERE: f64 = 50.0;

/// Cost of a suspect zone; above any load that is still served in time.
const SUSPECT_ZONE: f64 = 20_000.0;

/// Cost of a suspect upstream; above a suspect zone, since it has itself shown a fault.
const SUSPECT: f64 = 40_000.0;

/// Cost of an upstream that failed all its latest calls, for plain calls: a repeat costs a call's
/// time elsewhere.
const FAILING: f64 = 200.0;

/// How many calls or copies more the holder of a copy in the own zone may have. A run in another zone
/// whose copy lies in a third is lost in whole when the own zone is cut off: its caller is still
/// here, and neither can be reached.
const COPY_IN_OTHER_ZONE: u32 = 6;

/// An upstream to choose from.
#[derive(Clone, Debug)]
pub struct PlacementCandidate<'a> {
    /// Its entry.
    pub entry: &'a Arc<UpstreamEntry>,
    /// Its load.
    pub load: &'a UpstreamLoad,
    /// Whether it is a suspect.
    pub suspect: bool,
    /// Whether its zone is a suspect.
    pub suspect_zone: bool,
    /// Streams of other VMs there, as far as they tell.
    pub peer_calls: u32,
    /// Whether all who have streams there tell this VM; else the upstream's late word counts as well.
    pub all_tell: bool,
    /// Tokens of the prompt that it holds already.
    pub cached: u32,
    /// Time until the prompts of other VMs there are read.
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

/// For whom an upstream is chosen.
#[derive(Clone, Copy, Debug)]
pub struct PlacementContext<'a> {
    /// This VM's zone.
    pub zone: &'a AvailabilityZone,
    /// This VM.
    pub vm: &'a str,
    /// Live VMs of this zone, this one among them.
    pub zone_vms: &'a [Arc<str>],
    /// Whether it is a stream with a prompt, else a plain call.
    pub stream: bool,
    /// Decides between equals, from 0 to 1.
    pub random: f64,
    /// The time.
    pub now: Instant,
    /// Which mechanisms decide.
    pub policy: &'a Policy,
}

/// The best candidate, if there is one.
#[must_use]
pub fn place<'a>(
    candidates: &[PlacementCandidate<'a>],
    who: &PlacementContext,
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

/// Where the copy of a run's memory goes: to another zone than the run's, so that the loss of one
/// zone does not take both; where few copies are, so that the resumes of a lost upstream spread.
#[must_use]
pub fn place_copy<'a>(
    candidates: &[PlacementCandidate<'a>],
    run: &UpstreamEntry,
    who: &PlacementContext,
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

fn cost(candidate: &PlacementCandidate, usual: f64, who: &PlacementContext) -> f64 {
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

/// What the streams and copies on an engine cost the next prompt there, and what prompts still to be read.
fn load_cost(candidate: &PlacementCandidate, who: &PlacementContext) -> f64 {
    let (load, now) = (candidate.load, who.now);
    let stream_cost = who.policy.stream_cost;
    let reading = load.reading_left(now) + candidate.peer_reading;
    reading.as_secs_f64() * 1000.0
        + stream_cost * f64::from(candidate.streams(now))
        + 0.5 * stream_cost * f64::from(load.copies())
}

/// Most streams that an engine of which nothing is known is taken to run.
const MOST_USUAL: f64 = 2.0;

/// Mean cost of the streams on engines of which this VM knows all. Where many VMs share the engines, it
/// knows little of the others; taken for idle, these would get its prompts on top of those of VMs that know
/// them. Prompts that wait on the known ones are left out: after the loss of a zone they are those of this
/// VM itself, on the few engines left to it, and the others are better.
fn usual_load(candidates: &[PlacementCandidate], who: &PlacementContext) -> f64 {
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
    who: &PlacementContext,
    other_zone: bool,
) -> f64 {
    let policy = who.policy;
    let mut cost = load_cost(candidate, who);
    if !candidate.all_tell {
        cost = cost.max(usual);
    }
    cost -= prefill_time(candidate.cached).as_secs_f64() * 1000.0;
    cost += match (
        other_zone,
        rank_of_vm(&candidate.entry.id, who.vm, who.zone_vms),
    ) {
        (true, 0) => policy.other_zone_stream,
        (true, _) => policy.other_zone_stream + OTHER_PART_ELSEWHERE,
        (false, 0) => 0.0,
        (false, _) if !policy.parts => 0.0,
        (false, rank) if rank < SHARERS_PER_UPSTREAM => policy.other_part,
        (false, _) => policy.not_shared,
    };
    cost
}

fn call_cost(candidate: &PlacementCandidate, who: &PlacementContext, other_zone: bool) -> f64 {
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

/// Rank of a VM among those of its zone for an upstream: that of rank 0 has it in its part.
#[must_use]
pub fn rank_of_vm(upstream: &UpstreamIncarnation, vm: &str, zone_vms: &[Arc<str>]) -> usize {
    rank_among(upstream.as_str(), vm, zone_vms)
}
