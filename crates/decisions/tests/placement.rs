//! Where prompts go when many VMs decide at once.

use catkin_decisions::{
    AvailabilityZone, Instant, PeerHeartbeat, PeerLoad, PeerLoads, PlacementCandidate,
    PlacementContext, Policy, SHARERS_PER_UPSTREAM, UpstreamEntry, UpstreamLoad, place, place_copy,
    rank_of_vm, rendezvous_score,
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::{sync::Arc, time::Duration};

const PROMPT: u32 = 8000;
const PROMPT_READING: Duration = Duration::from_secs(1);

fn zone(name: &str) -> AvailabilityZone {
    name.parse().unwrap()
}

fn entry(id: &str, zone_name: &str) -> Arc<UpstreamEntry> {
    Arc::new(UpstreamEntry {
        id: id.parse().unwrap(),
        service: "engines".parse().unwrap(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: zone(zone_name),
        slots: 32,
        leaving: false,
        version: None,
    })
}

fn entries(zones: &[&str], in_each: usize) -> Vec<Arc<UpstreamEntry>> {
    zones
        .iter()
        .flat_map(|z| (0..in_each).map(move |n| entry(&format!("{z}{n}"), z)))
        .collect()
}

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

fn candidate<'a>(entry: &'a Arc<UpstreamEntry>, load: &'a UpstreamLoad) -> PlacementCandidate<'a> {
    PlacementCandidate {
        entry,
        load,
        suspect: false,
        suspect_zone: false,
        peer_calls: 0,
        all_tell: false,
        cached: 0,
        peer_reading: Duration::ZERO,
    }
}

/// A VM that places prompts by itself.
struct Decider {
    vm: Arc<str>,
    zone: AvailabilityZone,
    loads: Vec<UpstreamLoad>,
    peers: PeerLoads,
    notes: u64,
}

impl Decider {
    fn place(
        &mut self,
        entries: &[Arc<UpstreamEntry>],
        zone_vms: &[Arc<str>],
        random: f64,
        now: Instant,
    ) -> usize {
        let peers = self.peers.view(now);
        let candidates = entries
            .iter()
            .zip(&self.loads)
            .map(|(entry, load)| PlacementCandidate {
                peer_calls: peers.calls(&entry.id),
                all_tell: true,
                peer_reading: peers.reading_left(&entry.id),
                ..candidate(entry, load)
            })
            .collect::<Vec<_>>();
        let who = PlacementContext {
            policy: &Policy::default(),
            zone: &self.zone,
            vm: &self.vm,
            zone_vms,
            stream: true,
            random,
            now,
        };
        let chosen = place(&candidates, &who).unwrap().clone();
        let index = entries.iter().position(|e| e.id == chosen.id).unwrap();
        self.loads[index].begin(PROMPT, now);
        index
    }

    fn note(&mut self, entries: &[Arc<UpstreamEntry>], now: Instant) -> PeerHeartbeat {
        self.notes += 1;
        let loads = entries.iter().zip(&self.loads);
        PeerHeartbeat {
            vm: self.vm.clone(),
            zone: self.zone.clone(),
            incarnation: 1,
            number: self.notes,
            loads: loads
                .filter(|(_, load)| load.own() > 0)
                .map(|(entry, load)| PeerLoad {
                    upstream: entry.id.clone(),
                    calls: load.own(),
                    reading_ms: u32::try_from(load.reading_left(now).as_millis()).unwrap(),
                })
                .collect(),
            suspects: Vec::new(),
            crashes: Vec::new(),
            members: Vec::new(),
            wants_members: false,
            rollouts: Vec::new(),
        }
    }
}

/// Places two prompts a VM, a few milliseconds apart, on as many upstreams as there are prompts, and
/// returns the longest wait for the first event in prompts. With `told`, each hears of the others'
/// dispatches 2 ms later.
fn longest_wait(vms: usize, told: bool, least_load: bool, seed: u64) -> u32 {
    let entries = entries(&["a", "b"], vms);
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let names = (0..vms)
        .map(|n| Arc::from(format!("vm-{n}")))
        .collect::<Vec<Arc<str>>>();
    let mut deciders = names
        .iter()
        .map(|vm| Decider {
            vm: vm.clone(),
            zone: zone("c"),
            loads: vec![UpstreamLoad::default(); entries.len()],
            peers: PeerLoads::default(),
            notes: 0,
        })
        .collect::<Vec<_>>();
    let mut prompts = vec![0_u32; entries.len()];
    let mut notes: Vec<(u64, usize, PeerHeartbeat)> = Vec::new();
    for step in 0..2 * vms {
        let ms = 1000 + 3 * step as u64;
        let who = step % vms;
        for (_, from, note) in notes.extract_if(.., |(due, ..)| *due <= ms) {
            for (index, decider) in deciders.iter_mut().enumerate() {
                if index != from {
                    decider
                        .peers
                        .take(note.clone(), ([127, 0, 0, 1], 80).into(), at(ms));
                }
            }
        }
        let random = if least_load { 0.0 } else { rng.random() };
        // Plain least load knows of no other VM.
        let known = if least_load {
            &names[who..=who]
        } else {
            &names
        };
        let index = deciders[who].place(&entries, known, random, at(ms));
        prompts[index] += 1;
        if told {
            let note = deciders[who].note(&entries, at(ms));
            notes.push((ms + 2, who, note));
        }
    }
    prompts.into_iter().max().unwrap()
}

fn mean_longest_wait(vms: usize, told: bool, least_load: bool) -> f64 {
    let seeds = 5_u32;
    let sum = (0..seeds)
        .map(|seed| longest_wait(vms, told, least_load, seed.into()))
        .sum::<u32>();
    f64::from(sum) / f64::from(seeds)
}

/// The upstreams of a zone crash, and its VMs send the prompts that were lost to those of the other
/// zones within milliseconds, each knowing its own dispatches only. The last prompt on the fullest
/// upstream waits for all before it, while other upstreams are idle. Prompts on the fullest one, means
/// with 8 and with 64 VMs: 8 and 64 with plain least load, 2.6 and 3.2 where each VM begins with a part
/// of its own, 1.0 where VMs tell each other.
#[gtest]
fn vms_that_tell_each_other_do_not_meet_on_one_upstream() {
    for vms in [8, 64] {
        let least_load = mean_longest_wait(vms, false, true);
        let alone = mean_longest_wait(vms, false, false);
        let told = mean_longest_wait(vms, true, false);

        println!("{vms} VMs: {least_load} with least load, {alone} alone, {told} told");
        expect_that!(least_load, ge(f64::from(u32::try_from(vms).unwrap())));
        expect_that!(alone, ge(2.5));
        expect_that!(told, le(1.05));
    }
}

/// Two prompts meet on an upstream of the own zone while another zone has an idle one. The second
/// would wait for a second; it goes to the other zone.
#[gtest]
fn prompt_goes_to_another_zone_rather_than_wait_for_one() {
    let entries = entries(&["a", "b"], 1);
    let mut busy = UpstreamLoad::default();
    busy.begin(PROMPT, at(1000));
    let idle = UpstreamLoad::default();
    let candidates = [candidate(&entries[0], &busy), candidate(&entries[1], &idle)];
    let vms = ["vm-1".into()];
    let own_zone = zone("a");
    let who = PlacementContext {
        policy: &Policy::default(),
        zone: &own_zone,
        vm: "vm-1",
        zone_vms: &vms,
        stream: true,
        random: 0.5,
        now: at(1000),
    };

    let at_once = place(&candidates, &who).unwrap();
    let later = PlacementContext {
        policy: &Policy::default(),
        now: at(1000).after(PROMPT_READING),
        ..who
    };
    let once_read = place(&candidates, &later).unwrap();
    let (ended, idle) = (UpstreamLoad::default(), UpstreamLoad::default());
    let candidates = [
        candidate(&entries[0], &ended),
        candidate(&entries[1], &idle),
    ];
    let once_ended = place(&candidates, &later).unwrap();

    expect_that!(at_once.id.as_str(), eq("b0"));
    expect_that!(once_read.id.as_str(), eq("b0"));
    expect_that!(once_ended.id.as_str(), eq("a0"));
}

/// A stream runs on an engine of this VM's part of the zone, and an engine of another VM's part is
/// idle. Reading a prompt beside the stream would make it a second longer; the prompt goes to the idle
/// one. Two streams are worth a way to another zone.
#[gtest]
fn prompt_is_not_read_beside_a_stream_while_an_engine_is_idle() {
    let entries = entries(&["a", "b"], 2);
    let vms = ["vm-1", "vm-2"].map(Arc::from);
    let own_zone = zone("a");
    let owner = |entry: &UpstreamEntry| {
        let best = vms
            .iter()
            .max_by_key(|vm| rendezvous_score(entry.id.as_str(), vm));
        Arc::clone(best.unwrap())
    };
    let mut running = UpstreamLoad::default();
    running.begin(0, at(1000));
    let idle = UpstreamLoad::default();
    let vm = owner(&entries[0]);
    let who = PlacementContext {
        policy: &Policy::default(),
        zone: &own_zone,
        vm: &vm,
        zone_vms: &vms,
        stream: true,
        random: 0.0,
        now: at(1000),
    };
    let one_busy = [
        candidate(&entries[0], &running),
        candidate(&entries[1], &idle),
    ];
    let mut twice = running.clone();
    twice.begin(0, at(1000));
    let all_busy = [
        candidate(&entries[0], &twice),
        candidate(&entries[2], &idle),
    ];

    let in_zone = place(&one_busy, &who).unwrap();
    let elsewhere = place(&all_busy, &who).unwrap();

    expect_that!(in_zone.id.as_str(), eq("a1"));
    expect_that!(elsewhere.id.as_str(), eq("b0"));
}

/// Another VM has just sent a long prompt to the one upstream, and none to the other. Its word counts like
/// the own dispatches.
#[gtest]
fn prompts_of_other_vms_count() {
    let entries = entries(&["a"], 2);
    let load = UpstreamLoad::default();
    let vms = ["vm-1".into()];
    let own_zone = zone("a");
    let who = PlacementContext {
        policy: &Policy::default(),
        zone: &own_zone,
        vm: "vm-1",
        zone_vms: &vms,
        stream: true,
        random: 0.0,
        now: at(1000),
    };
    let told_of = PlacementCandidate {
        peer_reading: PROMPT_READING,
        ..candidate(&entries[0], &load)
    };

    let chosen = place(&[told_of, candidate(&entries[1], &load)], &who).unwrap();

    expect_that!(chosen.id.as_str(), eq("a1"));
}

/// A VM of a large zone shares a few engines, which run a stream or two each, and knows nothing of the
/// others. Those are no less busy, and other VMs have just sent their prompts there.
#[gtest]
fn an_engine_of_which_nothing_is_known_is_not_taken_for_idle() {
    let entries = entries(&["a", "b"], 40);
    let vms = (0..20)
        .map(|n| Arc::from(format!("vm-{n}")))
        .collect::<Vec<Arc<str>>>();
    let own_zone = zone("a");
    let (mut busy, unknown) = (UpstreamLoad::default(), UpstreamLoad::default());
    busy.begin(0, at(1000));
    busy.begin(0, at(1000));
    let who = PlacementContext {
        policy: &Policy::default(),
        zone: &own_zone,
        vm: "vm-3",
        zone_vms: &vms,
        stream: true,
        random: 0.5,
        now: at(1000),
    };
    let shared = |entry: &UpstreamEntry| {
        entry.zone == own_zone && rank_of_vm(&entry.id, "vm-3", &vms) < SHARERS_PER_UPSTREAM
    };
    let candidates = entries
        .iter()
        .map(|entry| PlacementCandidate {
            all_tell: shared(entry),
            ..candidate(entry, if shared(entry) { &busy } else { &unknown })
        })
        .collect::<Vec<_>>();

    let chosen = place(&candidates, &who).unwrap();

    expect_that!(shared(chosen), eq(true), "{}", chosen.id);
}

/// An upstream has shown a fault. Calls go anywhere else first, but with nothing else left it is
/// better than a refusal.
#[gtest]
fn suspect_comes_last_but_is_not_ruled_out() {
    let entries = entries(&["a"], 2);
    let loads = [UpstreamLoad::default(), UpstreamLoad::default()];
    let suspect = PlacementCandidate {
        suspect: true,
        ..candidate(&entries[0], &loads[0])
    };
    let healthy = candidate(&entries[1], &loads[1]);
    let vms = ["vm-1".into()];
    let own_zone = zone("a");
    let who = PlacementContext {
        policy: &Policy::default(),
        zone: &own_zone,
        vm: "vm-1",
        zone_vms: &vms,
        stream: true,
        random: 0.0,
        now: at(1000),
    };

    let first = place(&[suspect.clone(), healthy], &who).unwrap();
    let only = place(&[suspect], &who).unwrap();

    expect_that!(first.id.as_str(), eq("a1"));
    expect_that!(only.id.as_str(), eq("a0"));
}

/// A whole zone is lost, and the copies of the runs there with it if they lay in the same zone. Copies
/// go to another one, and spread, so that the resumes do not all go to one upstream.
#[gtest]
fn copies_go_to_another_zone_and_spread() {
    let entries = entries(&["a", "b"], 4);
    let mut loads = vec![UpstreamLoad::default(); entries.len()];
    let own_zone = zone("a");
    let mut held = Vec::new();
    for step in 0..8 {
        let candidates = entries
            .iter()
            .zip(&loads)
            .map(|(entry, load)| candidate(entry, load))
            .collect::<Vec<_>>();
        let who = PlacementContext {
            policy: &Policy::default(),
            zone: &own_zone,
            vm: "vm-1",
            zone_vms: &[],
            stream: true,
            random: f64::from(step) / 8.0,
            now: at(1000),
        };
        let holder = place_copy(&candidates, &entries[0], &who)
            .unwrap()
            .id
            .clone();
        let index = entries.iter().position(|e| e.id == holder).unwrap();
        loads[index].copy_begins();
        held.push(holder.to_string());
    }
    held.sort();

    expect_that!(held, eq(&["b0", "b0", "b1", "b1", "b2", "b2", "b3", "b3"]));
}

/// A stream runs in another zone, since its own is full or was lost, and then the own zone is cut off
/// from all others. The caller is still here: the copy must be within reach, in the own zone.
#[gtest]
fn copy_of_a_run_elsewhere_lies_in_the_own_zone() {
    let entries = entries(&["a", "b", "c"], 2);
    let mut loads = vec![UpstreamLoad::default(); entries.len()];
    for load in &mut loads[..2] {
        load.begin(PROMPT, at(1000));
        load.copy_begins();
    }
    let candidates = entries
        .iter()
        .zip(&loads)
        .map(|(entry, load)| candidate(entry, load))
        .collect::<Vec<_>>();
    let own_zone = zone("a");
    let who = PlacementContext {
        policy: &Policy::default(),
        zone: &own_zone,
        vm: "vm-1",
        zone_vms: &[],
        stream: true,
        random: 0.5,
        now: at(1000),
    };

    let holder = place_copy(&candidates, &entries[2], &who).unwrap();

    expect_that!(holder.zone, eq(&own_zone));
}

/// Without any load each VM of a zone has upstreams of its own, so that two that have not heard of
/// each other's dispatches rarely meet.
#[gtest]
fn each_vm_of_a_zone_begins_with_its_own_part() {
    let entries = entries(&["a"], 12);
    let load = UpstreamLoad::default();
    let vms = ["vm-1", "vm-2", "vm-3"].map(Arc::from);
    let own_zone = zone("a");
    let candidates = entries
        .iter()
        .map(|e| candidate(e, &load))
        .collect::<Vec<_>>();
    for vm in &vms {
        for step in 0..50 {
            let who = PlacementContext {
                policy: &Policy::default(),
                zone: &own_zone,
                vm,
                zone_vms: &vms,
                stream: true,
                random: f64::from(step) / 50.0,
                now: at(1000),
            };

            let chosen = place(&candidates, &who).unwrap();

            let owner = vms
                .iter()
                .max_by_key(|v| rendezvous_score(chosen.id.as_str(), v));
            expect_that!(owner, some(eq(vm)));
        }
    }
}
