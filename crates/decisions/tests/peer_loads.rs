//! Membership and load exchange among few and among many VMs.

use catkin_decisions::{
    ConfigVersion, HEARTBEAT_INTERVAL, Instant, LinkRate, MemberStatus, PEER_TIMEOUT, PeerDatagram,
    PeerHeartbeat, PeerLoad, PeerLoads, SHARERS_PER_UPSTREAM, StoreEra, StorePosition,
    UpstreamEntry, ZoneGossip,
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

fn heartbeat(n: usize, zones: usize, number: u64, members: Vec<MemberStatus>) -> PeerHeartbeat {
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
        demands: Vec::new(),
        limits: Vec::new(),
        doubtful: Vec::new(),
        link: None,
    }
}

/// VMs that exchange heartbeats, interval by interval.
struct Fleet {
    vms: Vec<PeerLoads>,
    zones: usize,
    period: u64,
    rng: Xoshiro256PlusPlus,
    /// Maximum number of datagrams that one VM sent in an interval.
    max_sent: usize,
    /// VM that reads for the zone of a fleet with a single zone.
    relay: Option<usize>,
}

impl Fleet {
    fn new(vms: usize, zones: usize) -> Self {
        Self {
            vms: (0..vms).map(|n| PeerLoads::new(name(n))).collect(),
            zones,
            period: 0,
            rng: Xoshiro256PlusPlus::seed_from_u64(1),
            max_sent: 0,
            relay: None,
        }
    }

    fn now(&self) -> Instant {
        Instant(HEARTBEAT_INTERVAL * u32::try_from(self.period).unwrap())
    }

    /// Runs a number of intervals in which the VMs in `silent` send nothing. All VMs know the first one from
    /// their settings.
    fn run(&mut self, periods: u64, silent: &[usize]) {
        for _ in 0..periods {
            self.period += 1;
            let now = self.now();
            for n in (0..self.vms.len()).filter(|n| !silent.contains(n)) {
                let zone = zone_of(n, self.zones).parse().unwrap();
                let random = self.rng.random::<u64>();
                let members = self.vms[n].members(&zone, self.rng.random(), now);
                let heartbeat = PeerHeartbeat {
                    wants_members: self.vms[n].wants_members(&zone, now),
                    rollouts: Vec::new(),
                    demands: Vec::new(),
                    limits: Vec::new(),
                    doubtful: Vec::new(),
                    ..heartbeat(n, self.zones, self.period, members)
                };
                let mut receivers = self.vms[n].heartbeat_receivers(&zone, random, now);
                receivers.push(address(0));
                receivers.extend(self.relay.filter(|relay| *relay != n).map(address));
                self.max_sent = self.max_sent.max(receivers.len());
                for m in 0..self.vms.len() {
                    if m != n && receivers.contains(&address(m)) {
                        let requested = self.vms[m].requested_members(&heartbeat, random, now);
                        self.vms[n].apply_members(&requested, &zone, now);
                        self.vms[m].apply_heartbeat(heartbeat.clone(), address(n), now);
                    }
                }
            }
            self.relay_members();
        }
    }

    /// The VM that reads for the zone sends the members that are due to all that it knows.
    fn relay_members(&mut self) {
        let Some(relay) = self.relay else {
            return;
        };
        let (now, zone) = (self.now(), zone_of(relay, self.zones).parse().unwrap());
        let relayed = self.vms[relay].relayed_members(&zone, self.period, now);
        let known = self.vms[relay].addresses_in(&zone, now);
        for (n, vm) in self.vms.iter_mut().enumerate() {
            if known.contains(&address(n)) {
                for members in &relayed {
                    vm.apply_members(members, &zone, now);
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

/// A zone has too many VMs for each to send every dispatch to all others. Every VM must still know the
/// members of its zone, and send no more than in a small system. Guards against a fixed set of receivers,
/// with which the 17th VM of a zone received no heartbeat and took itself for the only one.
#[gtest]
fn many_vms_know_their_zone_and_send_little() {
    let mut fleet = Fleet::new(120, 4);
    fleet.run(30, &[]);
    fleet.max_sent = 0;

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
    expect_that!(fleet.max_sent, le(6));
}

/// A VM of a large zone crashes. All others must remove it, although most of them never received a heartbeat of
/// it.
#[gtest]
fn a_crashed_vm_is_removed_in_a_large_zone() {
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

/// Guards against views of a large zone that miss a part of it: with 200 VMs, heartbeats alone bring the status of a VM after
/// more than ten seconds, so it counted as lost again and again, VMs disagreed on who reads for the zone, and a reader
/// did not send what it read to VMs that it took for lost.
#[gtest]
fn vms_of_a_large_zone_know_each_other_by_relayed_members() {
    for size in [65, 200, 400] {
        let mut fleet = Fleet::new(size, 1);
        fleet.relay = Some(7);
        fleet.run(40, &[]);

        for _ in 0..5 {
            fleet.run(1, &[]);
            let known = (0..size).map(|n| fleet.known_in_zone(n)).min();
            expect_that!(known, some(ge(size - 1 - size / 50)), "of {size}");
        }
    }
}

/// Guards against VMs that count as alive long after they have crashed because a reader relays them.
#[gtest]
fn half_of_a_large_zone_is_removed_after_its_loss() {
    let mut fleet = Fleet::new(200, 1);
    fleet.relay = Some(7);
    fleet.run(40, &[]);
    let lost = (100..200).collect::<Vec<_>>();

    fleet.run(20, &lost);

    let known = (0..100).map(|n| fleet.known_in_zone(n)).max();
    expect_that!(known, some(eq(99)));
}

/// A relayed status of a VM with a long name fits into a datagram with the others.
#[gtest]
fn relayed_members_fit_into_a_datagram() {
    let mut peers = PeerLoads::new(name(0));
    let zone = zone_of(0, 1).parse().unwrap();
    for n in 1..=400 {
        let heartbeat = PeerHeartbeat {
            vm: format!("edge-stirling-depot-long-{n:04}").as_str().into(),
            link: Some(LinkRate(u64::from(u32::MAX))),
            ..heartbeat(n, 1, 1, Vec::new())
        };
        let address = ([10, 255, 255, 255], 65_535).into();
        peers.apply_heartbeat(heartbeat, address, at(1000));
    }

    let relayed = peers.relayed_members(&zone, 0, at(6900));

    for members in &relayed {
        let gossip = ZoneGossip {
            vm: "edge-stirling-depot-long-400".into(),
            config: Some(ConfigVersion(u64::from(u32::MAX))),
            config_from_store: true,
            config_age_ms: Some(2400),
            position: StorePosition::new(StoreEra(u64::from(u32::MAX)), u64::from(u32::MAX)),
            digest: u64::MAX,
            age_ms: 1600,
            changes: Vec::new(),
            link: Some(LinkRate(u64::from(u32::MAX))),
            members: members.clone(),
        };
        let mut buf = Vec::new();
        ciborium::into_writer(&PeerDatagram::Gossip(gossip), &mut buf).unwrap();
        expect_that!(buf.len(), le(1400));
    }
    expect_that!(relayed.iter().map(Vec::len).sum::<usize>(), eq(40));
}

/// The retry budget is divided by the number of VMs. A VM that knew only some of the others would take too
/// large a share, and all VMs together would retry more than allowed.
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

/// In a large zone a dispatch is sent to the VMs that share the upstream, and to no others. Dispatches from
/// another zone are sent to them as well; otherwise they would add their own prompts on the upstream.
#[gtest]
fn a_dispatch_is_sent_to_the_vms_that_share_the_upstream() {
    let mut fleet = Fleet::new(120, 4);
    fleet.run(30, &[]);
    let upstream = upstream("engine-1", "zone-0");
    let receivers_for = |n: usize| {
        let zone = zone_of(n, 4).parse().unwrap();
        fleet.vms[n].dispatch_receivers(&upstream, &zone, fleet.now())
    };

    let (receivers, by_another, from_elsewhere) =
        (receivers_for(0), receivers_for(4), receivers_for(1));

    expect_that!(receivers.len(), eq(SHARERS_PER_UPSTREAM));
    let common = |other: &[SocketAddr]| receivers.iter().filter(|a| other.contains(a)).count();
    expect_that!(common(&by_another), ge(SHARERS_PER_UPSTREAM - 1));
    expect_that!(common(&from_elsewhere), ge(SHARERS_PER_UPSTREAM - 1));
    expect_that!(from_elsewhere.len(), eq(2 * SHARERS_PER_UPSTREAM));
}

/// A peer's old advertisement of a VM arrives after a heartbeat of the VM itself. It must not make the VM
/// count as lost, or restore a former address.
#[gtest]
fn an_old_advertisement_of_a_vm_is_ignored() {
    let mut peers = PeerLoads::new(name(0));
    let old = MemberStatus {
        vm: name(1),
        zone: None,
        address: address(99),
        age_ms: 1400,
        link: None,
    };
    peers.apply_heartbeat(heartbeat(1, 1, 1, Vec::new()), address(1), at(5000));

    peers.apply_heartbeat(heartbeat(2, 1, 1, vec![old]), address(2), at(5100));

    let mut receivers = peers.sample_addresses(9, 0, at(5100));
    receivers.sort_unstable();
    expect_that!(receivers, eq(&vec![address(1), address(2)]));
    expect_that!(peers.live_count(at(5050).after(PEER_TIMEOUT)), eq(1));
}

/// Two VMs have streams and pending prefill on one engine, and a third one sends its own prompt. Prompts are
/// processed one after the other, so their prefill times add up, less the age of each heartbeat.
#[gtest]
fn loads_of_several_vms_on_an_engine_add_up() {
    let (shared, other) = (
        upstream("engine-2", "zone-0"),
        upstream("engine-1", "zone-0"),
    );
    let load = |upstream: &UpstreamEntry, calls| PeerLoad {
        upstream: upstream.id.clone(),
        calls,
        reading_ms: 500,
        hundred_tokens: None,
    };
    let mut peers = PeerLoads::new(name(0));
    for (n, loads) in [
        (1, vec![load(&shared, 2), load(&other, 1)]),
        (2, vec![load(&shared, 3)]),
    ] {
        let heartbeat = PeerHeartbeat {
            loads,
            suspects: vec![other.id.clone()],
            ..heartbeat(n, 1, 1, Vec::new())
        };
        peers.apply_heartbeat(heartbeat, address(n), at(1000));
    }

    let view = peers.view(at(1100));

    expect_that!(view.calls(&shared.id), eq(5));
    expect_that!(view.calls(&other.id), eq(1));
    expect_that!(
        view.prefill_left(&shared.id),
        eq(Duration::from_millis(800))
    );
    expect_that!(view.is_suspect(&other.id), eq(true));
    expect_that!(view.is_suspect(&shared.id), eq(false));
    let old = peers.view(at(1000).after(PEER_TIMEOUT));
    expect_that!(old.calls(&shared.id), eq(0));
}

/// Guards against a line for each heartbeat that names a suspect upstream.
#[gtest]
fn suspect_is_new_once_until_it_is_not_reported_any_more() {
    let at = |seconds| Instant(Duration::from_secs(seconds));
    let mut suspicions = catkin_decisions::PeerSuspicions::default();
    let (one, other) = ("u1".parse().unwrap(), "u2".parse().unwrap());

    let reports = [0, 5, 14, 24].map(|seconds| suspicions.record(&one, at(seconds)));
    suspicions.remove_old(at(34));

    expect_that!(reports, eq([true, false, false, true]));
    expect_that!(suspicions.record(&other, at(34)), eq(true));
    expect_that!(suspicions.record(&one, at(34)), eq(true));
}
