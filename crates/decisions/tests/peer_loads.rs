//! How VMs know of each other, a few and many.

use catkin_decisions::{
    HEARTBEAT_INTERVAL, Instant, MemberStatus, PEER_TIMEOUT, PeerHeartbeat, PeerLoad, PeerLoads,
    SHARERS_PER_UPSTREAM, UpstreamEntry,
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::{net::SocketAddr, sync::Arc, time::Duration};

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

fn name(n: usize) -> Arc<str> {
    format!("edge-hall-{n}").into()
}

fn address(n: usize) -> SocketAddr {
    (
        [
            127,
            0,
            u8::try_from(n / 250).unwrap(),
            u8::try_from(n % 250).unwrap(),
        ],
        7201,
    )
        .into()
}

fn upstream(id: &str, zone: &str) -> UpstreamEntry {
    UpstreamEntry {
        id: id.parse().unwrap(),
        service: "engines".parse().unwrap(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: zone.parse().unwrap(),
        slots: 32,
        leaving: false,
        version: None,
    }
}

fn zone_of(n: usize, zones: usize) -> String {
    format!("zone-{}", n % zones)
}

fn note(n: usize, zones: usize, number: u64, members: Vec<MemberStatus>) -> PeerHeartbeat {
    PeerHeartbeat {
        vm: name(n),
        zone: zone_of(n, zones).parse().unwrap(),
        incarnation: 1,
        number,
        loads: Vec::new(),
        suspects: Vec::new(),
        crashes: Vec::new(),
        members,
        wants_members: false,
        rollouts: Vec::new(),
    }
}

/// VMs that tell each other period by period.
struct Fleet {
    vms: Vec<PeerLoads>,
    zones: usize,
    period: u64,
    rng: Xoshiro256PlusPlus,
    /// Datagrams sent by the busiest VM in a period, in the later half of the run.
    most_sent: usize,
}

impl Fleet {
    fn new(vms: usize, zones: usize) -> Self {
        Self {
            vms: (0..vms).map(|n| PeerLoads::new(name(n))).collect(),
            zones,
            period: 0,
            rng: Xoshiro256PlusPlus::seed_from_u64(1),
            most_sent: 0,
        }
    }

    fn now(&self) -> Instant {
        Instant(HEARTBEAT_INTERVAL * u32::try_from(self.period).unwrap())
    }

    /// One period, in which the VMs in `silent` say nothing. All know the first one by their settings.
    fn run(&mut self, periods: u64, silent: &[usize]) {
        for _ in 0..periods {
            self.period += 1;
            let now = self.now();
            for n in (0..self.vms.len()).filter(|n| !silent.contains(n)) {
                let zone = zone_of(n, self.zones).parse().unwrap();
                let random = self.rng.random::<u64>();
                let members = self.vms[n].members(&zone, self.rng.random(), now);
                let note = PeerHeartbeat {
                    wants_members: self.vms[n].wants_members(&zone, now),
                    rollouts: Vec::new(),
                    ..note(n, self.zones, self.period, members)
                };
                let mut told = self.vms[n].told(&zone, random, now);
                told.push(address(0));
                self.most_sent = self.most_sent.max(told.len());
                for m in 0..self.vms.len() {
                    if m != n && told.contains(&address(m)) {
                        let wanted = self.vms[m].wanted_members(&note, random, now);
                        self.vms[n].take_members(&wanted, &zone, now);
                        self.vms[m].take(note.clone(), address(n), now);
                    }
                }
            }
        }
    }

    fn known_in_zone(&self, n: usize) -> usize {
        let zone = zone_of(n, self.zones).parse().unwrap();
        self.vms[n].live_in(&zone, self.now()).count()
    }
}

#[gtest]
fn a_few_vms_all_know_each_other() {
    let mut fleet = Fleet::new(8, 3);

    fleet.run(4, &[]);

    for vm in &fleet.vms {
        expect_that!(vm.live_count(fleet.now()), eq(7));
    }
}

/// A zone has more VMs than each could tell of each dispatch. They all know who lives in their zone all
/// the same, and each sends as little as if they were few. Before, the 17th VM of a zone was told by
/// nobody, and took itself for the only one.
#[gtest]
fn many_vms_know_their_zone_and_send_little() {
    let mut fleet = Fleet::new(120, 4);
    fleet.run(30, &[]);
    fleet.most_sent = 0;

    for _ in 0..20 {
        fleet.run(1, &[]);
        for n in 0..120 {
            expect_that!(
                fleet.known_in_zone(n),
                ge(28),
                "by VM {n} in period {}",
                fleet.period
            );
        }
    }
    expect_that!(fleet.most_sent, le(6));
}

/// A VM of a large zone dies. The others learn it although most of them were never told by it.
#[gtest]
fn a_dead_vm_is_forgotten_by_a_large_zone() {
    let mut fleet = Fleet::new(120, 4);
    fleet.run(30, &[]);

    fleet.run(20, &[6]);

    let zone = zone_of(6, 4).parse().unwrap();
    let still = (0..120).filter(|n| *n != 6).filter(|n| {
        fleet.vms[*n]
            .live_in(&zone, fleet.now())
            .any(|vm| vm == name(6))
    });
    expect_that!(still.count(), eq(0));
}

/// The budget of repeats is divided by the number of VMs. One that knew only a part of them would take
/// too large a part, and all together would repeat more than they may.
#[gtest]
fn all_vms_are_counted() {
    let mut fleet = Fleet::new(120, 4);

    fleet.run(60, &[]);

    for vm in &fleet.vms {
        expect_that!(
            vm.count_within(Duration::from_secs(60), fleet.now()),
            ge(110)
        );
    }
}

/// In a large zone a dispatch is told to those who share the upstream, and to no others. One from
/// another zone is told to them as well: they would send their own prompts on top of it.
#[gtest]
fn a_dispatch_is_told_to_those_who_share_the_upstream() {
    let mut fleet = Fleet::new(120, 4);
    fleet.run(30, &[]);
    let upstream = upstream("engine-1", "zone-0");
    let told_by = |n: usize| {
        let zone = zone_of(n, 4).parse().unwrap();
        fleet.vms[n].told_of(&upstream, &zone, fleet.now())
    };

    let (told, by_another, from_elsewhere) = (told_by(0), told_by(4), told_by(1));

    expect_that!(told.len(), eq(SHARERS_PER_UPSTREAM));
    let common = |other: &[SocketAddr]| told.iter().filter(|a| other.contains(a)).count();
    expect_that!(common(&by_another), ge(SHARERS_PER_UPSTREAM - 1));
    expect_that!(common(&from_elsewhere), ge(SHARERS_PER_UPSTREAM - 1));
    expect_that!(from_elsewhere.len(), eq(2 * SHARERS_PER_UPSTREAM));
}

/// Somebody's old word on a VM arrives after the VM's own. It must not make it look dead, or bring back
/// an address that it no longer has.
#[gtest]
fn an_old_word_on_a_vm_does_not_count() {
    let mut peers = PeerLoads::new(name(0));
    let old = MemberStatus {
        vm: name(1),
        zone: None,
        address: address(99),
        age_ms: 1400,
    };
    peers.take(note(1, 1, 1, Vec::new()), address(1), at(5000));

    peers.take(note(2, 1, 1, vec![old]), address(2), at(5100));

    let mut told = peers.some_addresses(9, 0, at(5100));
    told.sort_unstable();
    expect_that!(told, eq(&vec![address(1), address(2)]));
    expect_that!(peers.live_count(at(5050).after(PEER_TIMEOUT)), eq(1));
}

/// Two VMs have streams on one engine and prompts still to be read there, and a third one chooses where to send its
/// own. The prompts are read one after the other, so their times add up; what was told a while ago has gone on since.
#[gtest]
fn what_several_vms_have_on_an_engine_adds_up() {
    let (shared, other) = (
        upstream("engine-2", "zone-0"),
        upstream("engine-1", "zone-0"),
    );
    let load = |upstream: &UpstreamEntry, calls| PeerLoad {
        upstream: upstream.id.clone(),
        calls,
        reading_ms: 500,
    };
    let mut peers = PeerLoads::new(name(0));
    for (n, loads) in [
        (1, vec![load(&shared, 2), load(&other, 1)]),
        (2, vec![load(&shared, 3)]),
    ] {
        let note = PeerHeartbeat {
            loads,
            suspects: vec![other.id.clone()],
            ..note(n, 1, 1, Vec::new())
        };
        peers.take(note, address(n), at(1000));
    }

    let view = peers.view(at(1100));

    expect_that!(view.calls(&shared.id), eq(5));
    expect_that!(view.calls(&other.id), eq(1));
    expect_that!(
        view.reading_left(&shared.id),
        eq(Duration::from_millis(800))
    );
    expect_that!(view.is_suspect(&other.id), eq(true));
    expect_that!(view.is_suspect(&shared.id), eq(false));
    let old = peers.view(at(1000).after(PEER_TIMEOUT));
    expect_that!(old.calls(&shared.id), eq(0));
}
