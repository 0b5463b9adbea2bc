//! Limits that upstreams name, kept by fleets of VMs that exchange late, lost and reordered heartbeats.

use catkin_decisions::{
    FleetView, Instant, LimitChange, LimitPart, LimitQueue, LimitStatement, LimitedRequest,
    RequestRate, RequestRateError, ServiceDemand, UpstreamLimit, VmDemand, limit_part,
};
use googletest::prelude::*;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::{sync::Arc, time::Duration};

const STEP: Duration = Duration::from_millis(50);
const HEARTBEAT_STEPS: u64 = 8;
const WINDOW_STEPS: usize = 80;

/// Time after which a limit binds, and a fleet is in steady state.
const BINDING_STEPS: usize = 60;

const UPSTREAM: &str = "plain-1";

/// Largest number of VMs whose heartbeats reach all others.
const FULL_MESH: usize = 25;

#[derive(Clone, Copy, Debug)]
enum Callers {
    /// All VMs get the same number of calls.
    Everywhere,
    /// Only one VM gets calls.
    OneVm,
    /// Only a fifth of the VMs get calls, those of one availability zone.
    OneZone,
    /// Calls begin at all VMs at once, after half of the time.
    Burst,
    /// Each second another VM gets all calls.
    Moving,
}

#[derive(Clone, Copy, Debug)]
struct Fleet {
    vms: usize,
    zones: usize,
    limit: f64,
    callers: Callers,
    /// Calls a second at all VMs together.
    demand: f64,
    /// Share of heartbeats that are lost; the others are up to 0.4 s late.
    lost: f64,
    /// Share of the VMs of its zone that a VM does not know.
    unknown: f64,
    seed: u64,
}

struct Vm {
    name: Arc<str>,
    limit: UpstreamLimit,
    demand: ServiceDemand,
    /// Names of the VMs of its zone that it knows.
    zone_vms: Vec<Arc<str>>,
    /// Demand and number of the latest heartbeat of each other VM.
    others: Vec<(u64, VmDemand)>,
}

fn rate(limit: f64) -> RequestRate {
    limit.try_into().expect("a valid rate")
}

fn stated(limit: Option<f64>, at: Instant) -> LimitStatement {
    LimitStatement {
        limit: limit.map(rate),
        at,
    }
}

impl Fleet {
    fn start(&self, rng: &mut Xoshiro256PlusPlus) -> Vec<Vm> {
        let names = (0..self.vms).map(|n| Arc::from(format!("vm-{n}")));
        let names = names.collect::<Vec<Arc<str>>>();
        let vm = |n: usize| {
            let others = names.iter().enumerate().filter(|(m, _)| *m != n);
            let zone_vms = names.iter().enumerate().filter(|(m, _)| {
                *m == n || m % self.zones == n % self.zones && !rng.random_bool(self.unknown)
            });
            let mut limit = UpstreamLimit::default();
            limit.apply(stated(Some(self.limit), Instant::default()));
            Vm {
                name: names[n].clone(),
                limit,
                demand: ServiceDemand::default(),
                zone_vms: zone_vms.map(|(_, name)| name.clone()).collect(),
                others: others
                    .map(|(_, name)| {
                        let vm = name.clone();
                        (0, VmDemand { vm, rate: 0.0 })
                    })
                    .collect(),
            }
        };
        (0..self.vms).map(vm).collect()
    }

    /// Calls a second at a VM.
    fn demand_at(&self, n: usize, step: u64, steps: u64) -> f64 {
        let vms = f64::from(u32::try_from(self.vms).expect("a small fleet"));
        let zones = f64::from(u32::try_from(self.zones).expect("few zones"));
        let second = usize::try_from(step / 20).expect("a short run");
        let (active, sharing) = match self.callers {
            Callers::Everywhere => (true, vms),
            Callers::OneVm => (n == 0, 1.0),
            Callers::OneZone => (n.is_multiple_of(self.zones), vms / zones),
            Callers::Burst => (step >= steps / 2, vms),
            Callers::Moving => (n == second % self.vms, 1.0),
        };
        if active { self.demand / sharing } else { 0.0 }
    }

    /// Runs the fleet; returns the number of requests sent in each step.
    fn run(&self, steps: u64) -> Vec<usize> {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(self.seed);
        let mut vms = self.start(&mut rng);
        let mut heartbeats = Vec::new();
        let mut sent = Vec::new();
        for step in 0..steps {
            let now = Instant(STEP * u32::try_from(step).expect("a short run"));
            if self.vms <= FULL_MESH {
                self.exchange(&mut vms, &mut heartbeats, step, now, &mut rng);
            }
            let mut count = 0;
            for (n, vm) in vms.iter_mut().enumerate() {
                let expected = self.demand_at(n, step, steps) * STEP.as_secs_f64();
                let mut calls = expected.floor();
                if rng.random_bool(expected.fract()) {
                    calls += 1.0;
                }
                while calls >= 1.0 {
                    calls -= 1.0;
                    vm.demand.record_call(now);
                    count += usize::from(self.send(vm, now, rng.random()));
                }
            }
            sent.push(count);
        }
        sent
    }

    /// Sends each VM's heartbeat in its own step, and delivers those that are due.
    fn exchange(
        &self,
        vms: &mut [Vm],
        heartbeats: &mut Vec<(u64, u64, usize, usize, f64)>,
        step: u64,
        now: Instant,
        rng: &mut Xoshiro256PlusPlus,
    ) {
        for from in 0..vms.len() {
            if !(step + from as u64).is_multiple_of(HEARTBEAT_STEPS) {
                continue;
            }
            let rate = vms[from].demand.advertise(now);
            for to in (0..vms.len()).filter(|to| *to != from) {
                if !rng.random_bool(self.lost) {
                    let due = step + rng.random_range(0..HEARTBEAT_STEPS);
                    heartbeats.push((due, step, from, to, rate));
                }
            }
        }
        heartbeats.retain(|(due, number, from, to, rate)| {
            if *due > step {
                return true;
            }
            let name = vms[*from].name.clone();
            let known = vms[*to].others.iter_mut().find(|(_, o)| o.vm == name);
            let known = known.expect("every other VM is known");
            if known.0 <= *number {
                *known = (
                    *number,
                    VmDemand {
                        vm: name,
                        rate: *rate,
                    },
                );
            }
            false
        });
    }

    fn send(&self, vm: &mut Vm, now: Instant, random: f64) -> bool {
        let others = vm.others.iter().map(|(_, demand)| demand.clone());
        let others = others.collect::<Vec<_>>();
        let view = if self.vms <= FULL_MESH {
            FleetView::Complete {
                own: VmDemand {
                    vm: vm.name.clone(),
                    rate: vm.demand.known_to_others(now),
                },
                others: &others,
            }
        } else {
            FleetView::Zone {
                own: &vm.name,
                zone_vms: &vm.zone_vms,
                zones: u32::try_from(self.zones).expect("few zones"),
            }
        };
        let part = limit_part(UPSTREAM, rate(self.limit), &view);
        let request = LimitedRequest {
            priority: 1,
            random,
            now,
        };
        let has_room = vm.limit.has_room(&part, &request);
        if has_room {
            vm.limit.record_sent();
        }
        has_room
    }

    fn allowed(&self) -> usize {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let allowed = (6.0 * self.limit + 5.0) as usize;
        allowed
    }
}

fn most_in_a_window(sent: &[usize]) -> usize {
    let windows = sent[BINDING_STEPS..].windows(WINDOW_STEPS);
    windows.map(|steps| steps.iter().sum()).max().unwrap_or(0)
}

/// Requests a second in the second half of a run.
fn steady_rate(sent: &[usize]) -> f64 {
    let half = &sent[sent.len() / 2..];
    let count = u32::try_from(half.iter().sum::<usize>()).expect("a short run");
    let steps = u32::try_from(half.len()).expect("a short run");
    f64::from(count) / (f64::from(steps) * STEP.as_secs_f64())
}

fn any_callers() -> impl Strategy<Value = Callers> {
    prop_oneof![
        Just(Callers::Everywhere),
        Just(Callers::OneVm),
        Just(Callers::OneZone),
        Just(Callers::Burst),
        Just(Callers::Moving),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    /// Guards against a sum of parts above the limit while heartbeats are lost, late and reordered.
    #[test]
    fn small_fleet_keeps_a_limit(
        vms in 2_usize..=25, limit in 0.1_f64..40.0, callers in any_callers(),
        pressure in 0.5_f64..8.0, lost in 0.0_f64..0.2, seed: u64,
    ) {
        let fleet = Fleet {
            vms, zones: 3, limit, callers, demand: pressure * limit + 2.0, lost, unknown: 0.0, seed,
        };

        let sent = fleet.run(480);

        prop_assert!(most_in_a_window(&sent) <= fleet.allowed(), "{fleet:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(16))]

    /// Guards against too many sharers, and against VMs that do not know some of their zone.
    #[test]
    fn large_fleet_keeps_a_limit(
        vms in prop_oneof![Just(64_usize), Just(400), Just(1000)], zones in 3_usize..=5,
        limit in 0.1_f64..100.0, callers in any_callers(), pressure in 0.5_f64..4.0,
        unknown in 0.0_f64..0.05, seed: u64,
    ) {
        let fleet = Fleet {
            vms, zones, limit, callers, demand: pressure * limit + 2.0, lost: 0.0, unknown, seed,
        };

        let sent = fleet.run(320);

        prop_assert!(most_in_a_window(&sent) <= fleet.allowed(), "{fleet:?}");
    }
}

/// Guards against a limit that is kept by serving next to nothing. More than half of what the upstream asks for
/// is used wherever the callers are.
#[gtest]
fn most_of_a_limit_is_used_by_eight_vms() {
    for callers in [Callers::Everywhere, Callers::OneVm, Callers::OneZone] {
        for limit in [0.5, 4.5, 30.0] {
            let fleet = Fleet {
                vms: 8,
                zones: 3,
                limit,
                callers,
                demand: 4.0 * limit,
                lost: 0.05,
                unknown: 0.0,
                seed: 1,
            };

            let used = steady_rate(&fleet.run(2400)) / limit;

            expect_that!(used, ge(0.5), "{fleet:?}");
        }
    }
}

/// Guards against a limit of a large fleet that is kept by serving next to nothing. The demand is that of a fleet
/// whose upstreams all name limits, so that each VM has some of the sharers' calls.
#[gtest]
fn most_of_a_limit_is_used_by_large_fleets() {
    for (vms, limit) in [(64, 4.5), (64, 50.0), (400, 50.0), (1000, 100.0)] {
        let fleet = Fleet {
            vms,
            zones: 5,
            limit,
            callers: Callers::Everywhere,
            demand: 30.0 * limit + 2.0 * f64::from(u32::try_from(vms).expect("a small fleet")),
            lost: 0.0,
            unknown: 0.02,
            seed: 1,
        };

        let used = steady_rate(&fleet.run(600)) / limit;

        expect_that!(used, ge(0.5), "{fleet:?}");
    }
}

/// Guards against taking the whole limit after a start, when no other VM is known yet.
#[gtest]
fn vm_without_a_view_of_the_others_has_no_part() {
    let part = limit_part(UPSTREAM, rate(5.0), &FleetView::Unknown);

    expect_that!(part, eq(LimitPart::default()));
}

/// Guards against an older statement, relayed by another VM, that replaces a newer one.
#[gtest]
fn latest_statement_is_in_force() {
    let at = |seconds| Instant(Duration::from_secs(seconds));
    let mut limit = UpstreamLimit::default();

    let changes = [
        limit.apply(stated(None, at(1))),
        limit.apply(stated(Some(5.0), at(3))),
        limit.apply(stated(Some(9.0), at(2))),
        limit.apply(stated(Some(4.0), at(4))),
        limit.apply(stated(None, at(5))),
        limit.apply(stated(Some(4.0), at(4))),
    ];

    let expected = [
        None,
        Some(LimitChange::Learned),
        None,
        Some(LimitChange::Changed),
        Some(LimitChange::Ended),
        None,
    ];
    expect_that!(changes, eq(expected));
    expect_that!(limit.limit(), none());
}

/// Guards against values that would stop all calls or none: each is a typed error.
#[gtest]
fn unusable_limits_are_errors() {
    use RequestRateError::{Malformed, NotFinite, NotPositive, TooLarge};
    let cases = [
        ("", Malformed),
        ("five", Malformed),
        ("5,5", Malformed),
        ("NaN", NotFinite),
        ("inf", NotFinite),
        ("0", NotPositive),
        ("-3", NotPositive),
        ("1e9", TooLarge),
    ];
    for (text, error) in cases {
        expect_that!(text.parse::<RequestRate>(), err(eq(error)), "{text}");
    }
    expect_that!(" 4.5 ".parse::<RequestRate>(), ok(eq(rate(4.5))));
}

/// Guards against less urgent calls that take the last token before an urgent one.
#[gtest]
fn urgent_calls_go_first() {
    let part = LimitPart {
        rate: 1.0,
        burst: 2.0,
        ..LimitPart::default()
    };
    let request = |priority, millis| LimitedRequest {
        priority,
        random: 0.5,
        now: Instant(Duration::from_millis(millis)),
    };
    let mut limit = UpstreamLimit::default();
    limit.apply(stated(Some(1.0), Instant::default()));
    limit.has_room(&part, &request(0, 100));
    let alone = limit.clone().has_room(&part, &request(3, 1900));
    limit.has_room(&part, &request(0, 1200));

    let beside_urgent = limit.has_room(&part, &request(3, 1300));
    let urgent = limit.has_room(&part, &request(0, 1300));

    expect_that!((alone, beside_urgent, urgent), eq((true, false, true)));
}

/// Guards against telling all refused callers to return at the same time.
#[gtest]
fn refused_callers_return_one_after_the_other() {
    let mut queue = LimitQueue::default();
    let now = Instant(Duration::from_secs(1));

    let delays = [0; 3].map(|_| queue.retry_after(2.0, now).as_millis());
    let later = queue.retry_after(2.0, now.after(Duration::from_secs(9)));

    expect_that!(delays, eq([500, 1000, 1500]));
    expect_that!(later.as_millis(), eq(500));
}

/// Guards against a token saved by every VM of a large fleet during a quiet hour, and then sent at once.
#[gtest]
fn burst_after_a_quiet_hour_stays_within_that_of_all_vms_together() {
    for (vms, zones, limit) in [
        (8, 3, 0.5),
        (25, 3, 4.5),
        (64, 3, 0.5),
        (400, 4, 4.5),
        (1000, 5, 4.5),
    ] {
        let fleet = Fleet {
            vms,
            zones,
            limit,
            callers: Callers::Everywhere,
            demand: 0.0,
            lost: 0.0,
            unknown: 0.0,
            seed: 1,
        };
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(fleet.seed);
        let mut members = fleet.start(&mut rng);
        let quiet = [0, 3600].map(|seconds| Instant(Duration::from_secs(seconds)));

        let [_, sent] = quiet.map(|now| {
            let sent = members.iter_mut().map(|vm| {
                let calls = (0..50).filter(|_| fleet.send(vm, now, rng.random()));
                calls.count()
            });
            sent.sum::<usize>()
        });

        expect_that!(sent, le(fleet.allowed()), "{fleet:?}");
        expect_that!(sent, ge(1), "{fleet:?}");
    }
}

/// Guards against a VM whose part grows and that then sends what another VM has sent before.
#[gtest]
fn part_that_grows_fills_the_bucket_from_then_on() {
    let part = |rate, burst| LimitPart {
        rate,
        burst,
        ..LimitPart::default()
    };
    let request = |millis| LimitedRequest {
        priority: 1,
        random: 0.5,
        now: Instant(Duration::from_millis(millis)),
    };
    let mut limit = UpstreamLimit::default();
    limit.apply(stated(Some(9.0), Instant::default()));
    limit.has_room(&part(0.01, 1.0), &request(0));

    let at_once = limit.has_room(&part(8.0, 16.0), &request(60_000));
    let later = limit.has_room(&part(8.0, 16.0), &request(60_100));

    expect_that!((at_once, later), eq((false, true)));
}

/// Guards against VMs whose calls begin at the same time and that each take the whole limit, because none knows of the
/// others yet.
#[gtest]
fn demand_counts_once_the_others_know_of_it() {
    let at = |millis| Instant(Duration::from_millis(millis));
    let mut demand = ServiceDemand::default();
    let mut known = Vec::new();
    for n in 0..40 {
        let now = at(10_000 + 100 * n);
        demand.record_call(now);
        if n % 4 == 0 {
            demand.advertise(now);
        }
        known.push(demand.known_to_others(now) > 0.0);
    }
    let after_the_calls = demand.known_to_others(at(20_000));

    let first = known.iter().position(|known| *known);
    expect_that!(first, some(all!(ge(7), le(12))));
    expect_that!(after_the_calls, eq(0.0));
}

/// Guards against a limit that a large fleet cannot use where the callers are: all in one availability zone.
#[gtest]
fn most_of_a_limit_is_used_by_one_zone_of_a_large_fleet() {
    let fleet = Fleet {
        vms: 400,
        zones: 5,
        limit: 50.0,
        callers: Callers::OneZone,
        demand: 2000.0,
        lost: 0.0,
        unknown: 0.0,
        seed: 1,
    };

    let used = steady_rate(&fleet.run(600)) / fleet.limit;

    expect_that!(used, ge(0.5), "{fleet:?}");
}
