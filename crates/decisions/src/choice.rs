//! Choice of the upstream for a request.
//!
//! Load pattern: many VMs decide at once on the same load reports, which are up to half a second
//! old. If each takes the least loaded upstream, all take the same one, and it is flooded until the
//! next report (herding). Two candidates at random and the better of the two spreads them, since
//! hardly any two VMs draw the same pair. Prompts with the same beginning go to the same upstream,
//! whose cache holds it, unless that one is busier than the others by a bound: what caches hold is
//! known late and with gaps, so affinity is a hint and never outweighs load.
//!
//! The own availability zone is used until its load reaches its capacity; then those upstreams of
//! other zones that are less loaded take part.
//!
//! Grounds for the figures: `cargo run --release -p catkin-decisions --example choice` prints the
//! largest load after one stale report for 8 and 64 VMs, beside the least loaded choice, and the
//! time of a decision; `docs/LOAD.md` has a run. The affinity bound of 1.25 is the usual one of
//! consistent hashing with bounded loads.

use super::*;

/// How far above the average load the upstream with the prefix may be.
const AFFINITY_BOUND: f64 = 1.25;

/// How many upstreams of the best affinity are tried before load alone decides.
const AFFINITY_TRIES: usize = 3;

/// Up to this multiple of the best pace, differences of latency are taken for chance.
const PACE_TOLERANCE: f64 = 3.0;

/// What the choice depends on besides the candidates.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChoiceInput {
    /// Two random numbers.
    pub random: [u32; 2],
    /// Whether the candidates' affinity counts.
    pub by_prefix: bool,
}

/// A candidate with what the comparison needs.
#[derive(Clone, Copy)]
struct Weighed {
    index: usize,
    load: f64,
    room: f64,
    affinity: u64,
}

impl Weighed {
    /// Part of its weighted capacity that one more request would use.
    fn cost(&self) -> f64 {
        (self.load + 1.0) / self.room
    }
}

/// Chooses one of the candidates and returns its index; `None` if there is none.
#[must_use]
pub fn choose(candidates: &[Candidate], input: ChoiceInput) -> Option<usize> {
    let pool = pool(candidates);
    if input.by_prefix
        && let Some(index) = by_prefix(&pool)
    {
        return Some(index);
    }
    better_of_two(&pool, input.random)
}

/// The candidates that the choice is among, weighed.
fn pool(candidates: &[Candidate]) -> Vec<Weighed> {
    let trusted = candidates.iter().any(|c| c.weight > 0.0);
    let usable = |c: &Candidate| !trusted || c.weight > 0.0;
    let own = use_of_capacity(candidates.iter().filter(|c| usable(c) && c.own_zone));
    let best_pace = candidates
        .iter()
        .filter_map(|c| c.pace)
        .fold(f64::INFINITY, f64::min);
    candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| usable(c))
        .filter(|(_, c)| c.own_zone || own.is_none_or(|own| own >= 1.0 && part_used(c) < own))
        .map(|(index, c)| Weighed {
            index,
            load: f64::from(c.load),
            room: f64::from(c.capacity) * c.weight.max(0.01) * pace_factor(c.pace, best_pace),
            affinity: c.affinity,
        })
        .collect()
}

/// Load by capacity of all of them; `None` if there are none.
fn use_of_capacity<'a>(candidates: impl Iterator<Item = &'a Candidate>) -> Option<f64> {
    let (load, capacity) = candidates.fold((0.0, 0.0), |(load, capacity), c| {
        (load + f64::from(c.load), capacity + f64::from(c.capacity))
    });
    (capacity > 0.0).then(|| load / capacity)
}

fn part_used(candidate: &Candidate) -> f64 {
    f64::from(candidate.load) / f64::from(candidate.capacity)
}

/// Small for an upstream whose answers take much longer than the best one's.
fn pace_factor(pace: Option<f64>, best: f64) -> f64 {
    let Some(pace) = pace.filter(|pace| *pace > 0.0) else {
        return 1.0;
    };
    (PACE_TOLERANCE * best / pace).min(1.0).powi(2).max(0.01)
}

fn by_prefix(pool: &[Weighed]) -> Option<usize> {
    let load = pool.iter().map(|w| w.load).sum::<f64>();
    let room = pool.iter().map(|w| w.room).sum::<f64>();
    let bound = AFFINITY_BOUND * (load + 1.0) / room;
    let mut below = u64::MAX;
    for _ in 0..AFFINITY_TRIES {
        let best = pool
            .iter()
            .filter(|w| w.affinity < below)
            .max_by_key(|w| w.affinity)?;
        // One request is always allowed, or a small load would never find its prefix.
        if best.load < 1.0 || best.load < bound * best.room {
            return Some(best.index);
        }
        below = best.affinity;
    }
    None
}

fn better_of_two(pool: &[Weighed], random: [u32; 2]) -> Option<usize> {
    let (len, [first, second]) = (pool.len(), random.map(to_usize));
    if len < 2 {
        return pool.first().map(|w| w.index);
    }
    let first = first % len;
    let second = (first + 1 + second % (len - 1)) % len;
    let (first, second) = (pool[first], pool[second]);
    Some(if second.cost() < first.cost() {
        second.index
    } else {
        first.index
    })
}

fn to_usize(n: u32) -> usize {
    usize::try_from(n).unwrap_or(usize::MAX)
}
