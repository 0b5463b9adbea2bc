//! Placement of prompts when many VMs decide at once.

use catkin_decisions::{
    AvailabilityZone, Instant, PeerHeartbeat, PeerLoad, PeerLoads, PlacementCandidate,
    PlacementContext, Policy, SHARERS_PER_UPSTREAM, UpstreamEntry, UpstreamLoad, rank_of_vm,
    rendezvous_score, select_copy_holder, select_upstream,
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::{sync::Arc, time::Duration};

const PROMPT: u32 = 8000;
const PROMPT_PREFILL: Duration = Duration::from_secs(1);

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
        load_is_complete: false,
        cached: 0,
        peer_prefill: Duration::ZERO,
    }
}

/// A VM that places prompts from its own state and the heartbeats of others.
struct PlacingVm {
    vm: Arc<str>,
    zone: AvailabilityZone,
    loads: Vec<UpstreamLoad>,
    peers: PeerLoads,
    heartbeats: u64,
}

impl PlacingVm {
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
                load_is_complete: true,
                peer_prefill: peers.prefill_left(&entry.id),
                ..candidate(entry, load)
            })
            .collect::<Vec<_>>();
        let context = PlacementContext {
            policy: &Policy::default(),
            zone: &self.zone,
            vm: &self.vm,
            zone_vms,
            stream: true,
            random,
            now,
        };
        let chosen = select_upstream(&candidates, &context).unwrap().clone();
        let index = entries.iter().position(|e| e.id == chosen.id).unwrap();
        self.loads[index].call_started(PROMPT, now);
        index
    }

    fn heartbeat(&mut self, entries: &[Arc<UpstreamEntry>], now: Instant) -> PeerHeartbeat {
        self.heartbeats += 1;
        let loads = entries.iter().zip(&self.loads);
        PeerHeartbeat {
            vm: self.vm.clone(),
            zone: self.zone.clone(),
            incarnation: 1,
            number: self.heartbeats,
            loads: loads
                .filter(|(_, load)| load.own_calls() > 0)
                .map(|(entry, load)| PeerLoad {
                    upstream: entry.id.clone(),
                    calls: load.own_calls(),
                    reading_ms: u32::try_from(load.prefill_left(now).as_millis()).unwrap(),
                    hundred_tokens: None,
                })
                .collect(),
            suspects: Vec::new(),
            crashes: Vec::new(),
            members: Vec::new(),
            wants_members: false,
            rollouts: Vec::new(),
            demands: Vec::new(),
            limits: Vec::new(),
            doubtful: Vec::new(),
            link: None,
        }
    }
}

/// Places two prompts per VM, a few milliseconds apart, on as many upstreams as there are prompts. Returns
/// the largest number of prompts on one upstream, which is the longest wait for a first event. If
/// `with_heartbeats` is set, each VM receives the others' heartbeats 2 ms after their dispatches.
fn longest_wait(vms: usize, with_heartbeats: bool, least_load: bool, seed: u64) -> u32 {
    let entries = entries(&["a", "b"], vms);
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let names = (0..vms)
        .map(|n| Arc::from(format!("vm-{n}")))
        .collect::<Vec<Arc<str>>>();
    let mut placing_vms = names
        .iter()
        .map(|vm| PlacingVm {
            vm: vm.clone(),
            zone: zone("c"),
            loads: vec![UpstreamLoad::default(); entries.len()],
            peers: PeerLoads::default(),
            heartbeats: 0,
        })
        .collect::<Vec<_>>();
    let mut prompts = vec![0_u32; entries.len()];
    let mut heartbeats: Vec<(u64, usize, PeerHeartbeat)> = Vec::new();
    for step in 0..2 * vms {
        let ms = 1000 + 3 * step as u64;
        let sender = step % vms;
        for (_, from, heartbeat) in heartbeats.extract_if(.., |(due, ..)| *due <= ms) {
            for (index, placing_vm) in placing_vms.iter_mut().enumerate() {
                if index != from {
                    placing_vm.peers.apply_heartbeat(
                        heartbeat.clone(),
                        ([127, 0, 0, 1], 80).into(),
                        at(ms),
                    );
                }
            }
        }
        let random = if least_load { 0.0 } else { rng.random() };
        // With plain least load a VM knows no other VM, so all upstreams are in its partition.
        let partition_vms = if least_load {
            &names[sender..=sender]
        } else {
            &names
        };
        let index = placing_vms[sender].place(&entries, partition_vms, random, at(ms));
        prompts[index] += 1;
        if with_heartbeats {
            let heartbeat = placing_vms[sender].heartbeat(&entries, at(ms));
            heartbeats.push((ms + 2, sender, heartbeat));
        }
    }
    prompts.into_iter().max().unwrap()
}

fn mean_longest_wait(vms: usize, with_heartbeats: bool, least_load: bool) -> f64 {
    let seeds = 5_u32;
    let sum = (0..seeds)
        .map(|seed| longest_wait(vms, with_heartbeats, least_load, seed.into()))
        .sum::<u32>();
    f64::from(sum) / f64::from(seeds)
}

/// The upstreams of a zone crash, and its VMs send the lost prompts to other zones within milliseconds. If
/// each VM knows only its own dispatches, prompts queue on one upstream while others are idle. Mean number
/// of prompts on the fullest upstream with 8 and with 64 VMs: 8 and 64 with plain least load, 2.6 and 3.2
/// with partitions, 1.0 with heartbeats.
#[gtest]
fn vms_with_heartbeats_do_not_overload_one_upstream() {
    for vms in [8, 64] {
        let least_load = mean_longest_wait(vms, false, true);
        let with_partitions = mean_longest_wait(vms, false, false);
        let with_heartbeats = mean_longest_wait(vms, true, false);

        println!(
            "{vms} VMs: {least_load} with least load, {with_partitions} with partitions, {with_heartbeats} with heartbeats"
        );
        expect_that!(least_load, ge(f64::from(u32::try_from(vms).unwrap())));
        expect_that!(with_partitions, ge(2.5));
        expect_that!(with_heartbeats, le(1.05));
    }
}

/// The only upstream of the own zone is reading a prompt while another zone has an idle one. A second prompt
/// would wait for one second, so it goes to the other zone.
#[gtest]
fn prompt_goes_to_another_zone_rather_than_wait_for_one() {
    let entries = entries(&["a", "b"], 1);
    let mut busy = UpstreamLoad::default();
    busy.call_started(PROMPT, at(1000));
    let idle = UpstreamLoad::default();
    let candidates = [candidate(&entries[0], &busy), candidate(&entries[1], &idle)];
    let vms = ["vm-1".into()];
    let own_zone = zone("a");
    let context = PlacementContext {
        policy: &Policy::default(),
        zone: &own_zone,
        vm: "vm-1",
        zone_vms: &vms,
        stream: true,
        random: 0.5,
        now: at(1000),
    };

    let at_once = select_upstream(&candidates, &context).unwrap();
    let later = PlacementContext {
        policy: &Policy::default(),
        now: at(1000).after(PROMPT_PREFILL),
        ..context
    };
    let after_prefill = select_upstream(&candidates, &later).unwrap();
    let (ended, idle) = (UpstreamLoad::default(), UpstreamLoad::default());
    let candidates = [
        candidate(&entries[0], &ended),
        candidate(&entries[1], &idle),
    ];
    let after_end = select_upstream(&candidates, &later).unwrap();

    expect_that!(at_once.id.as_str(), eq("b0"));
    expect_that!(after_prefill.id.as_str(), eq("b0"));
    expect_that!(after_end.id.as_str(), eq("a0"));
}

/// A stream runs on an engine of this VM's partition, and an engine of another VM's partition is idle.
/// Reading a prompt beside the stream would delay the stream by one second, so the prompt goes to the idle
/// engine. If two streams run on the only engine of the own zone, it goes to another zone.
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
    running.call_started(0, at(1000));
    let idle = UpstreamLoad::default();
    let vm = owner(&entries[0]);
    let context = PlacementContext {
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
    let mut two_streams = running.clone();
    two_streams.call_started(0, at(1000));
    let all_busy = [
        candidate(&entries[0], &two_streams),
        candidate(&entries[2], &idle),
    ];

    let in_zone = select_upstream(&one_busy, &context).unwrap();
    let elsewhere = select_upstream(&all_busy, &context).unwrap();

    expect_that!(in_zone.id.as_str(), eq("a1"));
    expect_that!(elsewhere.id.as_str(), eq("b0"));
}

/// Another VM has just sent a long prompt to one of two upstreams. The prompt that it advertises counts like
/// one that this VM has sent itself.
#[gtest]
fn advertised_prompts_of_other_vms_count() {
    let entries = entries(&["a"], 2);
    let load = UpstreamLoad::default();
    let vms = ["vm-1".into()];
    let own_zone = zone("a");
    let context = PlacementContext {
        policy: &Policy::default(),
        zone: &own_zone,
        vm: "vm-1",
        zone_vms: &vms,
        stream: true,
        random: 0.0,
        now: at(1000),
    };
    let prefilling = PlacementCandidate {
        peer_prefill: PROMPT_PREFILL,
        ..candidate(&entries[0], &load)
    };

    let chosen = select_upstream(&[prefilling, candidate(&entries[1], &load)], &context).unwrap();

    expect_that!(chosen.id.as_str(), eq("a1"));
}

/// A VM of a large zone shares a few engines, which run two streams each, and has no load reports of the
/// others. These are as busy, since other VMs send their prompts there, and must not be taken for idle.
#[gtest]
fn an_engine_with_unknown_load_is_not_treated_as_idle() {
    let entries = entries(&["a", "b"], 40);
    let vms = (0..20)
        .map(|n| Arc::from(format!("vm-{n}")))
        .collect::<Vec<Arc<str>>>();
    let own_zone = zone("a");
    let (mut busy, unknown) = (UpstreamLoad::default(), UpstreamLoad::default());
    busy.call_started(0, at(1000));
    busy.call_started(0, at(1000));
    let context = PlacementContext {
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
            load_is_complete: shared(entry),
            ..candidate(entry, if shared(entry) { &busy } else { &unknown })
        })
        .collect::<Vec<_>>();

    let chosen = select_upstream(&candidates, &context).unwrap();

    expect_that!(shared(chosen), eq(true), "{}", chosen.id);
}

/// An upstream is suspected to have failed. All others are preferred, but if it is the only one left, using
/// it is better than refusing the call.
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
    let context = PlacementContext {
        policy: &Policy::default(),
        zone: &own_zone,
        vm: "vm-1",
        zone_vms: &vms,
        stream: true,
        random: 0.0,
        now: at(1000),
    };

    let first = select_upstream(&[suspect.clone(), healthy], &context).unwrap();
    let only = select_upstream(&[suspect], &context).unwrap();

    expect_that!(first.id.as_str(), eq("a1"));
    expect_that!(only.id.as_str(), eq("a0"));
}

/// A complete zone is lost, and with it any KV copy kept in the zone of its run. Copies go to another zone,
/// and are spread there so that the resumes do not all go to one upstream.
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
        let context = PlacementContext {
            policy: &Policy::default(),
            zone: &own_zone,
            vm: "vm-1",
            zone_vms: &[],
            stream: true,
            random: f64::from(step) / 8.0,
            now: at(1000),
        };
        let holder = select_copy_holder(&candidates, &entries[0], &context)
            .unwrap()
            .id
            .clone();
        let index = entries.iter().position(|e| e.id == holder).unwrap();
        loads[index].copy_added();
        held.push(holder.to_string());
    }
    held.sort();

    expect_that!(held, eq(&["b0", "b0", "b1", "b1", "b2", "b2", "b3", "b3"]));
}

/// A stream runs in another zone, because the own zone was full or lost, and then the own zone is cut off
/// from all others. The caller is still connected here, so the KV copy must be in the own zone.
#[gtest]
fn copy_of_a_run_in_another_zone_is_in_the_own_zone() {
    let entries = entries(&["a", "b", "c"], 2);
    let mut loads = vec![UpstreamLoad::default(); entries.len()];
    for load in &mut loads[..2] {
        load.call_started(PROMPT, at(1000));
        load.copy_added();
    }
    let candidates = entries
        .iter()
        .zip(&loads)
        .map(|(entry, load)| candidate(entry, load))
        .collect::<Vec<_>>();
    let own_zone = zone("a");
    let context = PlacementContext {
        policy: &Policy::default(),
        zone: &own_zone,
        vm: "vm-1",
        zone_vms: &[],
        stream: true,
        random: 0.5,
        now: at(1000),
    };

    let holder = select_copy_holder(&candidates, &entries[2], &context).unwrap();

    expect_that!(holder.zone, eq(&own_zone));
}

/// Without any load each VM of a zone uses the upstreams of its own partition, so that VMs that have not yet
/// received each other's dispatches rarely choose the same upstream.
#[gtest]
fn each_vm_of_a_zone_prefers_its_own_partition() {
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
            let context = PlacementContext {
                policy: &Policy::default(),
                zone: &own_zone,
                vm,
                zone_vms: &vms,
                stream: true,
                random: f64::from(step) / 50.0,
                now: at(1000),
            };

            let chosen = select_upstream(&candidates, &context).unwrap();

            let owner = vms
                .iter()
                .max_by_key(|v| rendezvous_score(chosen.id.as_str(), v));
            expect_that!(owner, some(eq(vm)));
        }
    }
}
