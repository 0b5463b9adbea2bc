//! Choice of the upstream for a request.
//!
//! Load pattern: many VMs decide at the same time from the same load reports, which are up to half a
//! second old. If each chose the least loaded upstream, all would choose the same one and overload it
//! until the next report (herding). The power of two choices, the better of two random candidates,
//! spreads the requests, since few VMs draw the same pair. Prompts with the same prefix go to the
//! upstream whose cache holds it, unless its load exceeds the average by more than a bound: cache
//! contents are known late and incompletely, so affinity is a hint and never outweighs load.
//!
//! Only the VM's own availability zone is used until its load reaches its capacity; then the less
//! loaded upstreams of other zones become candidates too.
//!
//! `cargo run --release -p catkin-decisions --example choice` prints the largest load after one stale
//! report for 8 and 64 VMs, compared with choosing the least loaded upstream, and the time of a
//! decision; `docs/LOAD.md` shows its output. The affinity bound of 1.25 is the usual value for
//! consistent hashing with bounded loads.

use super::*;

/// Maximum load of an upstream selected by prefix, as a multiple of the average load.
const AFFINITY_BOUND: f64 = 1.25;

/// Number of upstreams with the highest affinity that are considered before load alone decides.
const MAX_AFFINITY_CANDIDATES: usize = 3;

/// Latencies up to this multiple of the best one are treated as equal, since such differences may be
/// random.
const LATENCY_TOLERANCE: f64 = 3.0;

/// Input of the choice besides the candidates.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChoiceInput {
    /// Random numbers that draw the two candidates to compare.
    pub random: [u32; 2],
    /// Whether candidates with a high prefix affinity are preferred.
    pub by_prefix: bool,
}

/// A candidate with the values that are compared.
#[derive(Clone, Copy)]
struct WeightedCandidate {
    index: usize,
    load: f64,
    weighted_capacity: f64,
    affinity: u64,
}

impl WeightedCandidate {
    /// Share of the weighted capacity in use after one more request.
    fn cost(&self) -> f64 {
        (self.load + 1.0) / self.weighted_capacity
    }
}

/// Chooses a candidate and returns its index; `None` if there are no candidates.
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

/// The candidates to choose from. Those of weight 0 are left out unless there are no others, and those
/// of other zones unless the own zone is full and they are less loaded.
fn pool(candidates: &[Candidate]) -> Vec<WeightedCandidate> {
    let any_trusted = candidates.iter().any(|c| c.weight > 0.0);
    let usable = |c: &Candidate| !any_trusted || c.weight > 0.0;
    let own_utilization = utilization_of(candidates.iter().filter(|c| usable(c) && c.own_zone));
    let best_latency = candidates
        .iter()
        .filter_map(|c| c.latency)
        .fold(f64::INFINITY, f64::min);
    candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| usable(c))
        .filter(|(_, c)| {
            c.own_zone || own_utilization.is_none_or(|own| own >= 1.0 && utilization(c) < own)
        })
        .map(|(index, c)| WeightedCandidate {
            index,
            load: f64::from(c.load),
            weighted_capacity: f64::from(c.capacity)
                * c.weight.max(0.01)
                * latency_factor(c.latency, best_latency),
            affinity: c.affinity,
        })
        .collect()
}

/// Total load divided by total capacity; `None` if there are no candidates.
fn utilization_of<'a>(candidates: impl Iterator<Item = &'a Candidate>) -> Option<f64> {
    let (load, capacity) = candidates.fold((0.0, 0.0), |(load, capacity), c| {
        (load + f64::from(c.load), capacity + f64::from(c.capacity))
    });
    (capacity > 0.0).then(|| load / capacity)
}

fn utilization(candidate: &Candidate) -> f64 {
    f64::from(candidate.load) / f64::from(candidate.capacity)
}

/// Factor on the capacity of an upstream, below 1 if its latency is much higher than the best one.
fn latency_factor(latency: Option<f64>, best: f64) -> f64 {
    let Some(latency) = latency.filter(|latency| *latency > 0.0) else {
        return 1.0;
    };
    (LATENCY_TOLERANCE * best / latency)
        .min(1.0)
        .powi(2)
        .max(0.01)
}

fn by_prefix(pool: &[WeightedCandidate]) -> Option<usize> {
    let load = pool.iter().map(|w| w.load).sum::<f64>();
    let capacity = pool.iter().map(|w| w.weighted_capacity).sum::<f64>();
    let bound = AFFINITY_BOUND * (load + 1.0) / capacity;
    let mut last_affinity = u64::MAX;
    for _ in 0..MAX_AFFINITY_CANDIDATES {
        let best = pool
            .iter()
            .filter(|w| w.affinity < last_affinity)
            .max_by_key(|w| w.affinity)?;
        // An idle upstream is always accepted. Otherwise, at low total load, the bound would rule out
        // the upstream that holds the prefix.
        if best.load < 1.0 || best.load < bound * best.weighted_capacity {
            return Some(best.index);
        }
        last_affinity = best.affinity;
    }
    None
}

fn better_of_two(pool: &[WeightedCandidate], random: [u32; 2]) -> Option<usize> {
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
