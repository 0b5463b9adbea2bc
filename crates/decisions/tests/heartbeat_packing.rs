//! Heartbeats that do not fit into a datagram: what is sent of them, and what their receivers know.

use catkin_decisions::{
    AvailabilityZone, BodyCrash, CrashPhase, HEARTBEAT_INTERVAL, HeartbeatRotation,
    HeartbeatTrigger, Instant, MemberStatus, PEER_TIMEOUT, PackedHeartbeat, PeerDatagram,
    PeerDemand, PeerHeartbeat, PeerLimit, PeerLoad, PeerLoads, ProcessStart, RequestRate,
    RolloutNotice, RolloutOrder, RolloutPhase, RolloutProgress, StoreEra, StorePosition,
    UpstreamEntry, UpstreamIncarnation, pack,
};
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, Strategy, any, prop_assert, prop_assert_eq, proptest};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

const MAX_BYTES: usize = 1400;

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

fn vm(n: usize) -> Arc<str> {
    format!("edge-hall-{n}").into()
}

fn address(n: usize) -> SocketAddr {
    let [high, low] = u16::try_from(n).unwrap().to_be_bytes();
    ([127, 0, high, low], 7201).into()
}

/// An id of at least `len` characters.
fn id(prefix: &str, n: usize, len: usize) -> String {
    format!(
        "{prefix}{n:0>width$}",
        width = len.saturating_sub(prefix.len())
    )
}

fn upstream(n: usize, len: usize) -> UpstreamIncarnation {
    UpstreamIncarnation {
        id: id("i-", n, len).parse().unwrap(),
        born: Some(ProcessStart(1_790_000_000_000)),
    }
}

fn load(n: usize, calls: u32, reading_ms: u32) -> PeerLoad {
    PeerLoad {
        upstream: upstream(n, 14),
        calls,
        reading_ms,
        hundred_tokens: None,
    }
}

fn empty(n: usize, number: u64) -> PeerHeartbeat {
    PeerHeartbeat {
        vm: vm(n),
        zone: "zone-0".parse().unwrap(),
        incarnation: u64::MAX,
        number,
        loads: Vec::new(),
        suspects: Vec::new(),
        crashes: Vec::new(),
        members: Vec::new(),
        wants_members: false,
        rollouts: Vec::new(),
        link: None,
        demands: Vec::new(),
        limits: Vec::new(),
        doubtful: Vec::new(),
    }
}

/// Numbers of items of each list.
#[derive(Clone, Copy, Debug)]
struct Sizes {
    id_len: usize,
    loads: usize,
    suspects: usize,
    crashes: usize,
    members: usize,
    rollouts: usize,
    demands: usize,
    limits: usize,
    doubtful: usize,
}

/// Much of everything at once, as after the loss of a zone.
const LOST_ZONE: Sizes = Sizes {
    id_len: 14,
    loads: 60,
    suspects: 100,
    crashes: 12,
    members: 10,
    rollouts: 1,
    demands: 3,
    limits: 8,
    doubtful: 1,
};

impl Sizes {
    fn heartbeat(&self, n: usize, number: u64) -> PeerHeartbeat {
        let len = self.id_len;
        let service = |n| id("service-", n, len).parse().unwrap();
        PeerHeartbeat {
            vm: if len > 100 {
                id("vm-", n, len).into()
            } else {
                vm(n)
            },
            zone: id("zone-", 0, len.min(200)).parse().unwrap(),
            loads: (0..self.loads)
                .map(|n| PeerLoad {
                    upstream: upstream(n, len),
                    calls: 1 + u32::try_from(n).unwrap() % 9,
                    reading_ms: 3000,
                    hundred_tokens: None,
                })
                .collect(),
            suspects: (0..self.suspects)
                .map(|n| upstream(1000 + n, len))
                .collect(),
            crashes: (0..self.crashes)
                .map(|n| BodyCrash {
                    digest: u64::MAX - u64::try_from(n).unwrap(),
                    upstream: upstream(2000 + n, len),
                    cleared: true,
                    phase: CrashPhase::AfterEvent,
                    age_ms: 0,
                })
                .collect(),
            members: (0..self.members)
                .map(|n| MemberStatus {
                    vm: id("vm-", n, len).into(),
                    zone: Some(id("zone-", n, len).parse().unwrap()),
                    address: "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535"
                        .parse()
                        .unwrap(),
                    age_ms: u32::MAX,
                    link: None,
                })
                .collect(),
            rollouts: (0..self.rollouts)
                .map(|n| RolloutNotice {
                    order: RolloutOrder {
                        service: service(n),
                        to: id("v", n, len).parse().unwrap(),
                        duration: Duration::from_secs(u64::from(u32::MAX)),
                        written: StorePosition::new(StoreEra(u64::MAX), u64::MAX),
                    },
                    left_ms: u32::MAX,
                    progress: RolloutProgress {
                        term: u64::MAX,
                        number: u32::MAX,
                        phase: RolloutPhase::Completing,
                        stored: true,
                    },
                    owner: Some(address(n)),
                    owner_age_ms: u32::MAX,
                })
                .collect(),
            demands: (0..self.demands)
                .map(|n| PeerDemand {
                    service: service(n),
                    calls_per_100_s: 5100,
                })
                .collect(),
            limits: (0..self.limits)
                .map(|n| PeerLimit {
                    upstream: upstream(3000 + n, len),
                    limit: Some(RequestRate::try_from(0.1).unwrap()),
                    age_ms: u32::MAX,
                })
                .collect(),
            doubtful: (0..self.doubtful).map(service).collect(),
            ..empty(n, number)
        }
    }
}

fn encoded(datagram: &PeerDatagram) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(datagram, &mut bytes).unwrap();
    bytes
}

fn count(heartbeat: &PeerHeartbeat) -> usize {
    heartbeat.loads.len()
        + heartbeat.suspects.len()
        + heartbeat.crashes.len()
        + heartbeat.members.len()
        + heartbeat.rollouts.len()
        + heartbeat.demands.len()
        + heartbeat.limits.len()
        + heartbeat.doubtful.len()
}

fn left_out(packed: &PackedHeartbeat) -> usize {
    packed.left_out.iter().map(|(_, count)| count).sum()
}

fn sizes() -> impl Strategy<Value = Sizes> {
    let id_len = (any::<bool>(), 6..=200_usize);
    let lists = (0..120_usize, 0..120_usize, 0..40_usize, 0..20_usize);
    let more = (0..6_usize, 0..8_usize, 0..20_usize, 0..8_usize);
    (id_len, lists, more).prop_map(|((longest, id_len), lists, more)| Sizes {
        id_len: if longest { 200 } else { id_len },
        loads: lists.0,
        suspects: lists.1,
        crashes: lists.2,
        members: lists.3,
        rollouts: more.0,
        demands: more.1,
        limits: more.2,
        doubtful: more.3,
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Guards against heartbeats that are too large, lose items without counting them, or change although they fit.
    #[test]
    fn heartbeats_of_all_sizes_fit(sizes in sizes(), is_event in any::<bool>()) {
        let trigger = if is_event { HeartbeatTrigger::Event } else { HeartbeatTrigger::Interval };
        let mut rotation = HeartbeatRotation::default();
        for round in 0..3 {
            let heartbeat = sizes.heartbeat(1, u64::MAX - 100 + 2 * round);
            let complete = encoded(&PeerDatagram::Note(heartbeat.clone()));
            let now = at(400 * round);
            let packed = pack(heartbeat.clone(), &mut rotation, trigger, MAX_BYTES, now);
            prop_assert_eq!(packed.is_partial, complete.len() > MAX_BYTES);
            if !packed.is_partial {
                prop_assert_eq!(&packed.datagrams, &[complete]);
                continue;
            }
            prop_assert!(!packed.datagrams.is_empty());
            let max_datagrams = if is_event { 1 } else { 2 };
            prop_assert!(packed.datagrams.len() <= max_datagrams);
            prop_assert!(packed.datagrams.iter().all(|bytes| bytes.len() <= MAX_BYTES));
            let sent = packed.heartbeats.iter().map(count).sum::<usize>();
            prop_assert!(sent > 0);
            let items = sent + left_out(&packed);
            // Crashes that were left out before may be added, but none twice.
            prop_assert_eq!(items, count(&heartbeat));
            for (partial, bytes) in packed.heartbeats.iter().zip(&packed.datagrams) {
                let decoded = ciborium::from_reader::<PeerDatagram, _>(&bytes[..]).unwrap();
                prop_assert_eq!(decoded, PeerDatagram::Partial(partial.clone()));
            }
        }
    }
}

/// Guards against lists that keep items of other lists, or their own last items, out for ever. The 100 suspects take
/// longest: 5 in 100 bytes are theirs.
#[gtest]
fn each_item_is_sent_in_turn() {
    let longest = Sizes {
        id_len: 200,
        rollouts: 3,
        ..LOST_ZONE
    };
    for (sizes, max_rounds) in [(LOST_ZONE, 25), (longest, 250)] {
        for trigger in [HeartbeatTrigger::Interval, HeartbeatTrigger::Event] {
            let mut rotation = HeartbeatRotation::default();
            let (mut sent, mut rounds) = (HashSet::new(), 0);
            let all = count(&sizes.heartbeat(1, 1)) - sizes.members;
            while sent.len() < all && rounds < 3000 {
                rounds += 1;
                let heartbeat = PeerHeartbeat {
                    // Calls change all the time at a third of the upstreams.
                    loads: sizes
                        .heartbeat(1, rounds)
                        .loads
                        .into_iter()
                        .enumerate()
                        .map(|(n, load)| PeerLoad {
                            calls: load.calls + u32::from(n % 3 == 0 && rounds % 2 == 0),
                            reading_ms: 0,
                            ..load
                        })
                        .collect(),
                    ..sizes.heartbeat(1, rounds)
                };
                let packed = pack(
                    heartbeat,
                    &mut rotation,
                    trigger,
                    MAX_BYTES,
                    at(20 * rounds),
                );
                for part in packed.heartbeats {
                    sent.extend(part.loads.iter().map(|i| format!("l{}", i.upstream)));
                    sent.extend(part.suspects.iter().map(|i| format!("s{i}")));
                    sent.extend(part.crashes.iter().map(|i| format!("c{}", i.upstream)));
                    sent.extend(
                        part.rollouts
                            .iter()
                            .map(|i| format!("r{}", i.order.service)),
                    );
                    sent.extend(part.demands.iter().map(|i| format!("d{}", i.service)));
                    sent.extend(part.limits.iter().map(|i| format!("q{}", i.upstream)));
                    sent.extend(part.doubtful.iter().map(|i| format!("x{i}")));
                }
            }
            let max_rounds = match trigger {
                HeartbeatTrigger::Interval => max_rounds,
                HeartbeatTrigger::Event => 3 * max_rounds,
            };
            println!("{} characters, {trigger:?}: {rounds} rounds", sizes.id_len);
            expect_that!(sent.len(), eq(all), "{trigger:?} {}", sizes.id_len);
            expect_that!(rounds, le(max_rounds), "{trigger:?} {}", sizes.id_len);
        }
    }
}

/// Guards against unlisted loads that read as zero, get the age of a newer heartbeat, or stay for ever.
#[gtest]
fn unlisted_items_keep_their_value_and_age() {
    let service = "chat".parse().unwrap();
    let mut peers = PeerLoads::new(vm(0));
    let suspect = upstream(7, 14);
    let first = PeerHeartbeat {
        loads: vec![load(1, 4, 3000), load(2, 1, 0)],
        suspects: vec![suspect.clone()],
        demands: vec![PeerDemand {
            service,
            calls_per_100_s: 300,
        }],
        doubtful: vec!["engines".parse().unwrap()],
        ..empty(1, 1)
    };
    let service = first.demands[0].service.clone();
    peers.apply_heartbeat(first, address(1), at(0));
    let second = PeerHeartbeat {
        loads: vec![load(2, 0, 0), load(3, 2, 1000)],
        ..empty(1, 2)
    };
    peers.apply_partial_heartbeat(second, address(1), at(400));
    let late = PeerHeartbeat {
        loads: vec![load(1, 9, 9000)],
        ..empty(1, 2)
    };
    expect_false!(peers.apply_partial_heartbeat(late, address(1), at(500)));

    let (view, doubted) = (peers.view(at(1000)), "engines".parse().unwrap());
    let zone = "zone-0".parse().unwrap();
    expect_that!(view.calls(&upstream(1, 14)), eq(4));
    expect_that!(
        view.prefill_left(&upstream(1, 14)),
        eq(Duration::from_secs(2))
    );
    expect_that!(view.calls(&upstream(2, 14)), eq(0));
    expect_that!(view.calls(&upstream(3, 14)), eq(2));
    expect_that!(
        view.prefill_left(&upstream(3, 14)),
        eq(Duration::from_millis(400))
    );
    expect_true!(view.is_suspect(&suspect));
    expect_true!(peers.is_suspect(&suspect, at(1000)));
    expect_that!(peers.paths_to(&doubted, &zone, 0, at(1000)), is_empty());
    expect_that!(peers.demands(&service, at(1000)).unwrap()[0].rate, eq(3.0));

    peers.apply_partial_heartbeat(empty(1, 3), address(1), at(1450));
    let after = Instant(PEER_TIMEOUT);
    let view = peers.view(after);
    expect_that!(view.calls(&upstream(1, 14)), eq(0));
    expect_that!(view.calls(&upstream(3, 14)), eq(2));
    expect_false!(view.is_suspect(&suspect));
    expect_that!(peers.paths_to(&doubted, &zone, 0, after), len(eq(1)));
    expect_that!(peers.demands(&service, after).unwrap()[0].rate, eq(3.0));

    // A complete heartbeat replaces everything, and so does a restarted sender.
    let mut restarted = peers.clone();
    peers.apply_heartbeat(empty(1, 4), address(1), after);
    expect_that!(peers.view(after).calls(&upstream(3, 14)), eq(0));
    let heartbeat = PeerHeartbeat {
        incarnation: 1,
        ..empty(1, 1)
    };
    expect_true!(restarted.apply_partial_heartbeat(heartbeat, address(1), after));
    expect_that!(restarted.view(after).calls(&upstream(3, 14)), eq(0));
}

/// Guards against loads that have ended but stay at receivers, and against crashes that are left out and then lost.
#[gtest]
fn ends_of_loads_and_kept_crashes_are_sent() {
    let mut rotation = HeartbeatRotation::default();
    let mut peers = PeerLoads::new(vm(0));
    let (mut crashes, mut zero_left) = (HashSet::new(), Vec::new());
    for round in 0..9 {
        let mut heartbeat = LOST_ZONE.heartbeat(1, 1 + 2 * round);
        for load in &mut heartbeat.loads {
            load.reading_ms = 0;
        }
        if round > 0 {
            heartbeat.crashes.clear();
        } else {
            heartbeat.crashes = Sizes {
                crashes: 40,
                ..LOST_ZONE
            }
            .heartbeat(1, 1)
            .crashes;
        }
        if round >= 3 {
            heartbeat.loads.truncate(30);
        }
        let now = at(400 * round);
        let interval = HeartbeatTrigger::Interval;
        for part in pack(heartbeat, &mut rotation, interval, MAX_BYTES, now).heartbeats {
            crashes.extend(part.crashes.iter().map(|crash| crash.digest));
            peers.apply_partial_heartbeat(part, address(1), now);
        }
        let view = peers.view(now);
        zero_left.push(
            (0..60)
                .filter(|n| view.calls(&upstream(*n, 14)) > 0)
                .count(),
        );
    }
    expect_that!(crashes.len(), eq(40));
    // All ends are told in the first heartbeat, or in the second one.
    expect_that!(
        zero_left[2..6],
        elements_are![eq(&60), le(&45), eq(&30), eq(&30)]
    );
}

/// Fractions of the loads and demands of a sender that a receiver knows after 1 s and after 2 s.
struct Known {
    loads: Vec<f64>,
    demands: Vec<f64>,
    max_bytes_per_s: usize,
}

/// VMs of one zone, some of which send much. Each VM is a possible receiver.
struct Fleet {
    vms: Vec<PeerLoads>,
    zone: AvailabilityZone,
    /// For each sender, the VMs to notify of each load.
    sharers: Vec<Vec<Vec<SocketAddr>>>,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let zone = "zone-0".parse::<AvailabilityZone>().unwrap();
        let statuses = (0..count).map(|n| MemberStatus {
            vm: vm(n),
            zone: None,
            address: address(n),
            age_ms: 0,
            link: None,
        });
        let statuses = statuses.collect::<Vec<_>>();
        let vms = (0..count).map(|n| {
            let mut peers = PeerLoads::new(vm(n));
            peers.apply_members(&statuses, &zone, at(0));
            peers
        });
        let vms = vms.collect::<Vec<_>>();
        let entries = (0..LOST_ZONE.loads).map(|n| UpstreamEntry {
            id: upstream(n, 14),
            service: "engines".parse().unwrap(),
            address: ([127, 0, 0, 1], 80).into(),
            zone: zone.clone(),
            slots: 32,
            leaving: false,
            version: None,
        });
        let entries = entries.collect::<Vec<_>>();
        // Twelve senders keep the test short.
        let sharers = vms.iter().take(12).map(|peers| {
            let of = |entry| peers.dispatch_receivers(entry, &zone, at(0));
            entries.iter().map(of).collect()
        });
        let sharers = sharers.collect();
        Self { vms, zone, sharers }
    }

    /// Fraction of the loads that are known to the VMs which share their upstreams.
    fn known_loads(&self, now: Instant) -> f64 {
        let (mut found, mut all) = (0, 0);
        for (m, receiver) in self.vms.iter().enumerate() {
            let view = receiver.view(now);
            let loads = LOST_ZONE.heartbeat(0, 1).loads;
            for (index, load) in loads.iter().enumerate() {
                let senders = self.sharers.iter().enumerate();
                let addressed =
                    senders.filter(|(n, of)| *n != m && of[index].contains(&address(m)));
                let addressed = u32::try_from(addressed.count()).unwrap();
                // VMs that are not addressed for the upstream may know the load too.
                found += (view.calls(&load.upstream) / load.calls).min(addressed);
                all += addressed;
            }
        }
        f64::from(found) / f64::from(all)
    }

    /// Fraction of the demands that are known; 1 in a fleet too large to exchange them.
    fn known_demands(&self, now: Instant) -> f64 {
        let (mut found, mut all) = (0, 0);
        for receiver in &self.vms {
            for demand in LOST_ZONE.heartbeat(0, 1).demands {
                if let Some(list) = receiver.demands(&demand.service, now) {
                    found += list.iter().filter(|demand| demand.rate > 0.0).count();
                    all += self.sharers.len() - 1;
                }
            }
        }
        if all == 0 {
            return 1.0;
        }
        f64::from(u32::try_from(found).unwrap()) / f64::from(u32::try_from(all).unwrap())
    }

    /// Sends a packed heartbeat; a third of the datagrams is lost. Returns the number of bytes sent.
    fn deliver(
        &mut self,
        n: usize,
        packed: &PackedHeartbeat,
        receivers: &HashSet<SocketAddr>,
        rng: &mut Xoshiro256PlusPlus,
        now: Instant,
    ) -> usize {
        let mut bytes = 0;
        for (part, datagram) in packed.heartbeats.iter().zip(&packed.datagrams) {
            assert!(datagram.len() <= MAX_BYTES);
            bytes += datagram.len() * receivers.len();
            for (m, receiver) in self.vms.iter_mut().enumerate() {
                if m != n && receivers.contains(&address(m)) && rng.random_bool(2.0 / 3.0) {
                    receiver.apply_partial_heartbeat(part.clone(), address(n), now);
                }
            }
        }
        bytes
    }
}

/// Runs VMs that begin with much to advertise while a third of the datagrams is lost. With `events`, each load is told at
/// its dispatch too, to the VMs that share the upstream.
fn run_fleet(vms: usize, events: bool, seed: u64) -> Known {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut fleet = Fleet::new(vms);
    let senders = fleet.sharers.len();
    let mut rotations = vec![HeartbeatRotation::default(); senders];
    let mut numbers = vec![1; senders];
    let mut bytes = vec![0; senders];
    let (mut loads, mut demands) = (Vec::new(), Vec::new());
    let interval = u64::try_from(HEARTBEAT_INTERVAL.as_millis()).unwrap();
    let phases = (0..senders).map(|_| rng.random_range(0..interval));
    let phases = phases.collect::<Vec<_>>();
    for ms in 1..=2000 {
        let now = at(ms);
        for n in 0..senders {
            // Dispatches in the first 300 ms, 5 ms apart.
            let dispatch = usize::try_from(ms / 5).unwrap().wrapping_sub(1);
            let is_event = events && ms % 5 == 0 && dispatch < LOST_ZONE.loads;
            let due = [
                (ms % interval == phases[n]).then_some(HeartbeatTrigger::Interval),
                is_event.then_some(HeartbeatTrigger::Event),
            ];
            for trigger in due.into_iter().flatten() {
                let mut heartbeat = LOST_ZONE.heartbeat(n, numbers[n]);
                heartbeat.zone = fleet.zone.clone();
                for load in &mut heartbeat.loads {
                    load.reading_ms -= u32::try_from(ms).unwrap();
                }
                if events {
                    heartbeat.loads.truncate(dispatch.saturating_add(1));
                }
                let receivers = if trigger == HeartbeatTrigger::Interval {
                    let peers = &fleet.vms[n];
                    let mut receivers = peers.heartbeat_receivers(&fleet.zone, rng.random(), now);
                    receivers.extend(fleet.sharers[n].iter().flatten());
                    receivers
                } else {
                    heartbeat.members.clear();
                    fleet.sharers[n][dispatch].clone()
                };
                let receivers = receivers.into_iter().collect();
                let packed = pack(heartbeat, &mut rotations[n], trigger, MAX_BYTES, now);
                numbers[n] += u64::try_from(packed.heartbeats.len()).unwrap();
                bytes[n] += fleet.deliver(n, &packed, &receivers, &mut rng, now);
            }
        }
        if ms % 1000 == 0 {
            loads.push(fleet.known_loads(now));
            demands.push(fleet.known_demands(now));
        }
    }
    Known {
        loads,
        demands,
        max_bytes_per_s: bytes.into_iter().max().unwrap() / 2,
    }
}

/// Guards against VMs that no longer know each other's loads when much is advertised at once and a third of the
/// datagrams is lost. Demands are exchanged in fleets of up to 25 VMs only.
#[gtest]
fn loads_are_known_within_a_second() {
    for vms in [8, 58, 400] {
        let dispatched = run_fleet(vms, true, 1);
        let at_once = run_fleet(vms, false, 1);
        for (name, known) in [("dispatched", &dispatched), ("at once", &at_once)] {
            println!(
                "{vms} VMs, {name}: loads {:.3} after 1 s, {:.3} after 2 s; demands {:.3}, {:.3}; {} bytes/s",
                known.loads[0],
                known.loads[1],
                known.demands[0],
                known.demands[1],
                known.max_bytes_per_s,
            );
        }
        expect_that!(dispatched.loads, each(ge(&0.9)), "{vms} VMs");
        expect_that!(dispatched.demands, each(ge(&0.9)), "{vms} VMs");
        expect_that!(at_once.loads, each(ge(&0.75)), "{vms} VMs");
        expect_that!(at_once.demands, each(ge(&0.9)), "{vms} VMs");
    }
}

/// Guards against long lists in other datagrams that are too large to be sent.
#[gtest]
fn long_lists_of_other_datagrams_are_divided() {
    let longest = Sizes {
        id_len: 200,
        ..LOST_ZONE
    };
    let members = longest.heartbeat(1, 1).members;
    let encoded = PeerDatagram::Members(members.clone()).encode(MAX_BYTES);
    let mut received = Vec::new();
    for bytes in &encoded.datagrams {
        expect_that!(bytes.len(), le(MAX_BYTES));
        if let Ok(PeerDatagram::Members(part)) = ciborium::from_reader(&bytes[..]) {
            received.extend(part);
        }
    }
    expect_that!(encoded.too_large, eq(0));
    expect_that!(received, eq(&members));
}
