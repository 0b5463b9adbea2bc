//! Fleets of VMs whose upstreams ask for back-offs. Counted as the rule counts: requests that reach an upstream from one
//! VM between half a second after it asked that VM for a back-off and the end of that time.

use catkin_decisions::{
    BackOffTable, Instant, RequestedBackOff, UpstreamIncarnation, has_spare_slot,
};
use googletest::prelude::*;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// Time from the response of an upstream from which on requests are counted.
const UNDER_WAY_MS: u64 = 500;

/// Requests that may reach an upstream from one VM in a back-off.
const ALLOWED: usize = 2;

/// Duration of a call at an upstream.
const CALL_MS: u64 = 30;

/// Slots of an upstream.
const SLOTS: u32 = 6;

/// Sends of a call.
const MAX_SENDS: u32 = 5;

/// A fleet and what happens to its upstreams.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    seed: u64,
    vms: usize,
    upstreams: usize,
    /// Calls per second of the whole fleet.
    rate: f64,
    /// How many of the upstreams ask for back-offs while they are in need.
    asking: usize,
    /// Longest time to open a connection, in milliseconds.
    max_connect_ms: u64,
    /// Whether upstreams in need are replaced by another incarnation at times.
    restarts: bool,
    /// Whether the gate is asked before a request is written.
    gate: bool,
}

struct Upstream {
    id: UpstreamIncarnation,
    restarts: u32,
    /// In need until this time; it rejects each call and asks for back-offs.
    need_until: u64,
    asks: bool,
    running: u32,
}

#[derive(Clone)]
struct Call {
    vm: usize,
    avoid: Vec<usize>,
    sends: u32,
}

enum Event {
    /// A caller's call arrives at its VM, or is to be sent again.
    Select(Call),
    /// The connection to an upstream of this incarnation is open.
    Write(Call, usize, UpstreamIncarnation),
    /// The request reaches the upstream.
    Arrive(Call, usize, UpstreamIncarnation),
    /// The VM reads the rejection.
    Rejected(Call, UpstreamIncarnation, Option<RequestedBackOff>),
    Ends(usize),
    Restart(usize),
}

#[derive(Default)]
struct Outcome {
    served: usize,
    /// Rejected by the VM.
    rejected: usize,
    /// Calls that were served after each other on different upstreams.
    sends: usize,
    /// Arrivals: time, VM, upstream.
    arrivals: Vec<(u64, usize, UpstreamIncarnation)>,
    /// Times at which an upstream asked a VM for a back-off, with its length.
    asked: Vec<(u64, usize, UpstreamIncarnation, u64)>,
}

impl Outcome {
    fn most_in_a_back_off(&self) -> usize {
        let count = |(at, vm, id, length): &(u64, usize, UpstreamIncarnation, u64)| {
            let counted = at + UNDER_WAY_MS..=at + length;
            let start = self
                .arrivals
                .partition_point(|(time, ..)| *time < at + UNDER_WAY_MS);
            self.arrivals[start..]
                .iter()
                .take_while(|(time, ..)| *time <= at + length)
                .filter(|(time, from, to)| counted.contains(time) && from == vm && to == id)
                .count()
        };
        self.asked.iter().map(count).max().unwrap_or(0)
    }
}

/// Plays `seconds` of a fleet.
fn play(scenario: Scenario, seconds: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(scenario.seed);
    let mut tables = vec![BackOffTable::default(); scenario.vms];
    let mut upstreams = (0..scenario.upstreams)
        .map(|n| Upstream {
            id: format!("u{n}").parse().unwrap(),
            restarts: 0,
            need_until: 0,
            asks: n < scenario.asking,
            running: 0,
        })
        .collect::<Vec<_>>();
    let mut outcome = Outcome::default();
    let mut events = std::collections::BTreeMap::<(u64, u64), Event>::new();
    let mut number = 0;
    let mut push = |events: &mut std::collections::BTreeMap<_, _>, at, event| {
        number += 1;
        events.insert((at, number), event);
    };
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    let calls = (scenario.rate * seconds as f64) as u64;
    for _ in 0..calls {
        let call = Call {
            vm: rng.random_range(0..scenario.vms),
            avoid: Vec::new(),
            sends: 0,
        };
        let at = rng.random_range(0..seconds * 1_000);
        push(&mut events, at, Event::Select(call));
    }
    // Each asking upstream is in need for a while, a few times.
    let mut needs = Vec::new();
    for n in 0..scenario.asking {
        for _ in 0..3 {
            let start = rng.random_range(0..seconds * 1_000);
            needs.push((start, n, start + rng.random_range(500..4_000)));
            if scenario.restarts {
                let at = start + rng.random_range(200..4_000);
                push(&mut events, at, Event::Restart(n));
            }
        }
    }
    needs.sort_unstable();
    let mut needs = needs.into_iter().peekable();
    while let Some(((now, _), event)) = events.pop_first() {
        while let Some((_, n, until)) = needs.next_if(|(start, ..)| *start <= now) {
            upstreams[n].need_until = upstreams[n].need_until.max(until);
        }
        let at = Instant(Duration::from_millis(now));
        match event {
            Event::Select(mut call) => {
                let draw = rng.random();
                let excluded = tables[call.vm]
                    .excluded(draw, at)
                    .cloned()
                    .collect::<Vec<_>>();
                let candidates = (0..upstreams.len())
                    .filter(|n| !call.avoid.contains(n) && !excluded.contains(&upstreams[*n].id))
                    .filter(|n| {
                        excluded.is_empty() || has_spare_slot(SLOTS, upstreams[*n].running, 1)
                    })
                    .collect::<Vec<_>>();
                if candidates.is_empty() || call.sends >= MAX_SENDS {
                    outcome.rejected += 1;
                    continue;
                }
                let n = candidates[rng.random_range(0..candidates.len())];
                call.sends += 1;
                call.avoid.push(n);
                let connected = now + rng.random_range(0..=scenario.max_connect_ms);
                let event = Event::Write(call, n, upstreams[n].id.clone());
                push(&mut events, connected, event);
            }
            Event::Write(call, n, id) => {
                if scenario.gate && tables[call.vm].is_in_force(&id, at) {
                    push(&mut events, now, Event::Select(call));
                } else {
                    let arrives = now + rng.random_range(1..=5);
                    push(&mut events, arrives, Event::Arrive(call, n, id));
                }
            }
            Event::Arrive(call, n, id) => {
                outcome.sends += 1;
                outcome
                    .arrivals
                    .push((now, call.vm, upstreams[n].id.clone()));
                let back = now + rng.random_range(1..=5);
                let upstream = &mut upstreams[n];
                let other = upstream.id != id;
                if other || now < upstream.need_until && upstream.asks {
                    // One rejection in four asks for no back-off, and another incarnation never does.
                    let asks = !other && rng.random_bool(0.75);
                    let length = rng.random_range(100..5_000);
                    if asks {
                        outcome.asked.push((now, call.vm, id.clone(), length));
                    }
                    let asked = asks.then(|| Duration::from_millis(length).into());
                    push(&mut events, back, Event::Rejected(call, id, asked));
                } else {
                    outcome.served += 1;
                    upstream.running += 1;
                    push(&mut events, now + CALL_MS, Event::Ends(n));
                }
            }
            Event::Rejected(call, id, asked) => {
                if let Some(asked) = asked {
                    tables[call.vm].request(&id, asked, at);
                }
                push(&mut events, now, Event::Select(call));
            }
            Event::Ends(n) => upstreams[n].running = upstreams[n].running.saturating_sub(1),
            Event::Restart(n) => {
                let upstream = &mut upstreams[n];
                upstream.restarts += 1;
                upstream.id = format!("u{n}-{}", upstream.restarts).parse().unwrap();
                upstream.need_until = 0;
                upstream.running = 0;
            }
        }
    }
    outcome
}

fn scenario(seed: u64, vms: usize) -> Scenario {
    #[expect(clippy::cast_precision_loss)]
    let rate = 10.0 * vms as f64;
    Scenario {
        seed,
        vms,
        upstreams: 3.max(vms / 8),
        rate,
        asking: 1,
        max_connect_ms: 200,
        restarts: false,
        gate: true,
    }
}

fn sizes() -> impl Strategy<Value = usize> {
    prop_oneof![4 => 8_usize..64, 1 => 64_usize..=400]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Guards against requests in a back-off, at any size, with slow connections, resends, overlapping statements and
    /// restarts of the upstreams.
    #[test]
    fn upstreams_get_no_requests_in_their_back_offs(
        seed in any::<u64>(), vms in sizes(), asking in 1_usize..=3, restarts in any::<bool>(),
    ) {
        let outcome = play(Scenario { asking, restarts, ..scenario(seed, vms) }, 15);

        prop_assert!(!outcome.asked.is_empty());
        prop_assert!(outcome.most_in_a_back_off() <= ALLOWED);
    }

    /// Guards against callers who are rejected although other upstreams have room.
    #[test]
    fn callers_are_served_while_one_of_several_upstreams_backs_off(
        seed in any::<u64>(), vms in 8_usize..64,
    ) {
        let scenario = scenario(seed, vms);
        let outcome = play(Scenario { rate: scenario.rate.min(100.0), ..scenario }, 15);

        prop_assert!(!outcome.asked.is_empty());
        prop_assert_eq!(outcome.rejected, 0);
        // The first send, and one more for each rejection.
        prop_assert!(outcome.sends <= outcome.served + outcome.served / 10 + vms * 24);
    }
}

/// Guards against the choice alone deciding: connections that open slowly, after the upstream has asked for a back-off.
#[gtest]
fn requests_reach_upstreams_in_back_offs_if_the_gate_is_not_asked() {
    let counts = (0..20).map(|seed| {
        let slow = Scenario {
            gate: false,
            rate: 2_000.0,
            max_connect_ms: 1_000,
            ..scenario(seed, 8)
        };
        play(slow, 15).most_in_a_back_off()
    });

    expect_that!(counts.max(), some(gt(ALLOWED)));
}

/// Guards against an upstream that is hit by all VMs at once when their back-offs end together.
#[gtest]
fn upstream_is_not_hit_at_once_when_all_back_offs_end() {
    for vms in [8, 60, 400] {
        let mut rng = SmallRng::seed_from_u64(1);
        let id: UpstreamIncarnation = "u".parse().unwrap();
        let mut tables = vec![BackOffTable::default(); vms];
        for table in &mut tables {
            table.request(&id, Duration::from_secs(3).into(), Instant::default());
        }
        // Each VM has a call every 20 ms that would select the upstream.
        let mut share = |from: u64, to: u64| {
            let (mut all, mut sent) = (0.0, 0.0);
            for now in (from..to).step_by(20) {
                let at = Instant(Duration::from_millis(now));
                for table in &tables {
                    all += 1.0;
                    if table.excluded(rng.random(), at).next().is_none() {
                        sent += 1.0;
                    }
                }
            }
            sent / all
        };

        expect_that!(share(0, 3_000), eq(0.0), "{vms} VMs");
        expect_that!(share(3_000, 3_150), lt(0.15), "{vms} VMs");
        expect_that!(share(3_600, 3_900), lt(0.65), "{vms} VMs");
        expect_that!(share(4_500, 5_000), eq(1.0), "{vms} VMs");
    }
}
