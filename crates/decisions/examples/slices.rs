//! Compares strategies that enforce a team's limit over 8 VMs: fixed shares, a table write per request,
//! batched table writes (the net use of 100 ms), and slices from an allocator. Then counts platform
//! writes and slice requests at the target size.

use catkin_decisions::{
    Instant, LimitKind, SLICE_RENEWAL_INTERVAL, SliceAllocator, SliceRequest, TeamSlice, VmId,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Duration;

const VMS: usize = 8;
const LIMIT: f64 = 100.0;
const PHASE: u64 = 20;
const BATCH_MS: u64 = 100;

/// Demand of each VM per second, and the VMs that cannot reach the allocator and the platform.
struct Phase {
    name: &'static str,
    demand: [f64; VMS],
    cut_off: &'static [usize],
}

const PHASES: [Phase; 4] = [
    Phase {
        name: "150/s, 70% at one VM",
        demand: [6.4, 6.4, 6.4, 6.4, 6.4, 105.0, 6.4, 6.4],
        cut_off: &[],
    },
    Phase {
        name: "150/s, moved to another VM",
        demand: [6.4, 6.4, 105.0, 6.4, 6.4, 6.4, 6.4, 6.4],
        cut_off: &[],
    },
    Phase {
        name: "150/s, two VMs cut off",
        demand: [17.5, 17.5, 17.5, 17.5, 17.5, 17.5, 0.0, 45.0],
        cut_off: &[6, 7],
    },
    Phase {
        name: "60/s, all at one VM",
        demand: [0.0, 0.0, 0.0, 0.0, 60.0, 0.0, 0.0, 0.0],
        cut_off: &[],
    },
];

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

fn vm(n: usize) -> VmId {
    format!("vm-{n}").parse().expect("a name")
}

/// A strategy that enforces the limit.
enum Strategy {
    Fixed(Vec<TeamSlice>),
    PerRequest(PerRequest),
    Batched(Batched),
    Slices(Slices),
}

impl Strategy {
    fn tick(&mut self, now: u64, cut_off: &[usize]) {
        match self {
            Self::Fixed(_) | Self::PerRequest(_) => {}
            Self::Batched(strategy) => strategy.tick(now, cut_off),
            Self::Slices(strategy) => strategy.tick(now, cut_off),
        }
    }

    fn admits(&mut self, vm: usize, now: u64, cut_off: bool) -> bool {
        match self {
            Self::Fixed(slices) => slices[vm].try_take(1.0, at(now)).is_ok(),
            Self::PerRequest(strategy) => !cut_off && strategy.admits(now),
            Self::Batched(strategy) => strategy.admits(vm),
            Self::Slices(strategy) => strategy.slices[vm].try_take(1.0, at(now)).is_ok(),
        }
    }

    fn writes(&self) -> u64 {
        match self {
            Self::Fixed(_) | Self::Slices(_) => 0,
            Self::PerRequest(strategy) => strategy.writes,
            Self::Batched(strategy) => strategy.writes,
        }
    }
}

struct PerRequest {
    table: TeamSlice,
    writes: u64,
}

impl PerRequest {
    fn admits(&mut self, now: u64) -> bool {
        self.writes += 1;
        self.table.try_take(1.0, at(now)).is_ok()
    }
}

/// Admits by the total that was last read plus the VM's own net use since then, and periodically writes
/// that use to the table.
#[derive(Default)]
struct Batched {
    second: u64,
    table: f64,
    seen: [f64; VMS],
    own: [f64; VMS],
    writes: u64,
}

impl Batched {
    fn tick(&mut self, now: u64, cut_off: &[usize]) {
        if now / 1000 != self.second {
            *self = Self {
                second: now / 1000,
                writes: self.writes,
                ..Self::default()
            };
        }
        if !now.is_multiple_of(BATCH_MS) {
            return;
        }
        for vm in (0..VMS).filter(|vm| !cut_off.contains(vm)) {
            if self.own[vm] > 0.0 {
                self.table += std::mem::take(&mut self.own[vm]);
                self.writes += 1;
            }
            self.seen[vm] = self.table;
        }
    }

    fn admits(&mut self, vm: usize) -> bool {
        let admits = self.seen[vm] + self.own[vm] < LIMIT;
        self.own[vm] += f64::from(u8::from(admits));
        admits
    }
}

struct Slices {
    allocator: SliceAllocator,
    slices: Vec<TeamSlice>,
}

impl Slices {
    fn tick(&mut self, now: u64, cut_off: &[usize]) {
        let period = u64::try_from(SLICE_RENEWAL_INTERVAL.as_millis()).expect("short");
        for vm_number in (0..VMS).filter(|vm| !cut_off.contains(vm)) {
            // Each VM sends its request at a different time of the period.
            if now % period != u64::try_from(vm_number).expect("few") * 120 {
                continue;
            }
            let request = SliceRequest {
                team: "counter".parse().expect("a name"),
                kind: LimitKind::Requests,
                vm: vm(vm_number),
                demand: self.slices[vm_number].demand(at(now)),
            };
            let grant = self.allocator.grant(&request, at(now)).expect("a holder");
            self.slices[vm_number].apply_grant(&grant, at(now), at(now));
        }
    }
}

fn fixed_slices() -> Vec<TeamSlice> {
    vec![TeamSlice::fixed(LIMIT / 8.0, at(0)); VMS]
}

fn run(name: &str, mut strategy: Strategy) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    let mut now = 0;
    for phase in &PHASES {
        let (mut admitted, mut cut, mut peak, mut wanted) = (0_u32, 0_u32, 0_u32, 0_u32);
        let writes = strategy.writes();
        for second in 0..PHASE {
            // The first seconds of a phase count as well, because the limit also holds while the demand
            // moves.
            let mut in_second = 0;
            for _ in 0..1000 {
                strategy.tick(now, phase.cut_off);
                for vm in 0..VMS {
                    if !rng.random_bool(phase.demand[vm] / 1000.0) {
                        continue;
                    }
                    wanted += 1;
                    let cut_off = phase.cut_off.contains(&vm);
                    if strategy.admits(vm, now, cut_off) {
                        in_second += 1;
                        cut += u32::from(cut_off);
                    }
                }
                now += 1;
            }
            admitted += in_second;
            if second > 0 {
                peak = peak.max(in_second);
            }
        }
        let allowed = f64::from(wanted).min(LIMIT * 20.0);
        println!(
            "| {name} | {} | {:.0}% | {:.0}% | {peak} | {:.1} | {:.1} |",
            phase.name,
            100.0 * (f64::from(admitted) / (LIMIT * 20.0) - 1.0).max(0.0),
            100.0 * (1.0 - f64::from(admitted) / allowed).max(0.0),
            f64::from(u32::try_from(strategy.writes() - writes).expect("few")) / 20.0,
            f64::from(cut) / 20.0,
        );
    }
}

/// Number of distinct pairs of VM and team in windows of `window_ms`, per second, at the target size.
fn pairs_a_second(window_ms: u64) -> usize {
    const REQUESTS: u64 = 5800;
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(2);
    let weights = (1..=2100)
        .map(|rank| 1.0 / f64::from(rank))
        .collect::<Vec<_>>();
    let total = weights.iter().sum::<f64>();
    let mut pairs = Vec::new();
    for n in 0..REQUESTS * 10 {
        let mut pick = rng.random_range(0.0..total);
        let team = weights.iter().position(|weight| {
            pick -= weight;
            pick <= 0.0
        });
        pairs.push((
            n * 1000 / REQUESTS / window_ms,
            rng.random_range(0..400),
            team,
        ));
    }
    pairs.sort_unstable();
    pairs.dedup();
    pairs.len() / 10
}

fn main() {
    println!("| way | phase | over | under | peak second | writes/s | cut off/s |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    run("fixed", Strategy::Fixed(fixed_slices()));
    let table = TeamSlice::fixed(LIMIT, at(0));
    run(
        "per request",
        Strategy::PerRequest(PerRequest { table, writes: 0 }),
    );
    run("batched", Strategy::Batched(Batched::default()));
    let allocator = SliceAllocator::new(LIMIT, (0..VMS).map(vm).collect(), at(0));
    let slices = fixed_slices();
    run("slices", Strategy::Slices(Slices { allocator, slices }));
    println!(
        "target: 5800 writes/s per request, {} batched over 100 ms",
        pairs_a_second(100)
    );
    println!(
        "target: {:.1} slice requests a second and VM, none of them to the platform",
        f64::from(u32::try_from(pairs_a_second(1000)).expect("few")) / 400.0
    );
}
