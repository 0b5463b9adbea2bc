//! Engines and VMs of a scheduled service in virtual time. Engines prefill prompts one after the other and slow their
//! streams meanwhile; VMs place calls from their own state and the heartbeats of the others.

use catkin_decisions::{
    AvailabilityZone, CallSize, Instant, LoadSample, MemberStatus, PeerHeartbeat, PeerLoad,
    PeerLoads, PlacementCandidate, PlacementContext, Policy, RoomCandidate, RoomContext,
    RoomReport, RoomRun, UpstreamEntry, UpstreamLoad, UpstreamRoom, rank_of_vm, select_with_room,
};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

pub const CALL: CallSize = CallSize {
    prompt: 8200,
    max_generated: 840,
};
pub const CAPACITY: u32 = 88_000;
pub const STEP_MS: u64 = 10;
const STEP: f64 = 10.0;
const SLOTS: u32 = 32;

pub fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

pub fn zone(index: usize) -> AvailabilityZone {
    ["a", "b", "c"][index].parse().unwrap()
}

pub fn entry(id: &str, zone: AvailabilityZone) -> Arc<UpstreamEntry> {
    Arc::new(UpstreamEntry {
        id: id.parse().unwrap(),
        service: "engines".parse().unwrap(),
        address: ([127, 0, 0, 1], 80).into(),
        zone,
        slots: SLOTS,
        leaving: false,
        version: None,
    })
}

/// A run on an engine, of the VM with this index.
type Run = (usize, RoomRun);

pub struct Engine {
    pub entry: Arc<UpstreamEntry>,
    pub speed: f64,
    prompts: VecDeque<(Run, f64, u64)>,
    streams: Vec<(Run, f64)>,
    /// Sum of the calls there over all steps.
    pub call_steps: f64,
    /// Longest wait of a prompt before its prefill began.
    pub longest_wait: u64,
    pub most_tokens: u32,
}

pub enum Event {
    First(Run),
    End(Run),
}

impl Engine {
    pub fn new(entry: Arc<UpstreamEntry>) -> Self {
        Self {
            entry,
            speed: 1.0,
            prompts: VecDeque::new(),
            streams: Vec::new(),
            call_steps: 0.0,
            longest_wait: 0,
            most_tokens: 0,
        }
    }

    pub fn calls(&self) -> u32 {
        u32::try_from(self.prompts.len() + self.streams.len()).unwrap()
    }

    fn waiting(&self) -> u32 {
        u32::try_from(self.prompts.len().saturating_sub(1)).unwrap()
    }

    pub fn send(&mut self, run: Run, now_ms: u64) {
        self.prompts.push_back((run, CALL.prompt.into(), now_ms));
        self.most_tokens = self.most_tokens.max(self.calls() * CALL.tokens());
    }

    pub fn step(&mut self, now_ms: u64) -> Vec<Event> {
        let mut events = Vec::new();
        self.call_steps += f64::from(self.calls());
        let ms = STEP * self.speed;
        let decode = if self.prompts.is_empty() {
            0.2
        } else {
            1.0 / 30.0
        };
        self.streams.retain_mut(|(run, left)| {
            *left -= ms * decode;
            if *left <= 0.0 {
                events.push(Event::End(*run));
            }
            *left > 0.0
        });
        if let Some((run, left, sent)) = self.prompts.front_mut() {
            if *left >= f64::from(CALL.prompt) {
                self.longest_wait = self.longest_wait.max(now_ms - *sent);
            }
            *left -= ms * 8.0;
            if *left <= 0.0 {
                events.push(Event::First(*run));
                self.streams.push((*run, CALL.max_generated.into()));
                self.prompts.pop_front();
            }
        }
        events
    }

    fn load(&self) -> LoadSample {
        LoadSample {
            running: self.calls() - self.waiting(),
            waiting: self.waiting(),
        }
    }
}

pub struct Vm {
    name: Arc<str>,
    zone: AvailabilityZone,
    peers: PeerLoads,
    pub states: Vec<(UpstreamLoad, UpstreamRoom)>,
    number: u64,
    /// Calls that wait for room, by the time of their arrival.
    pub waiting: VecDeque<u64>,
    /// Relative demand.
    pub demand: f64,
}

pub struct Fleet {
    pub vms: Vec<Vm>,
    pub engines: Vec<Engine>,
    /// Whether an engine has failed; its entry is gone.
    pub gone: Vec<bool>,
    pub rng: Xoshiro256PlusPlus,
    pub now_ms: u64,
    /// Whether the calls are less urgent than those of another route.
    pub reserve: bool,
}

impl Fleet {
    pub fn new(vms: usize, engines: usize, seed: u64) -> Self {
        let engines = (0..engines).map(|n| Engine::new(entry(&format!("engine-{n}"), zone(n % 3))));
        let engines = engines.collect::<Vec<_>>();
        let vms = (0..vms).map(|n| {
            let name = Arc::<str>::from(format!("vm-{n}"));
            Vm {
                peers: PeerLoads::new(name.clone()),
                name,
                zone: zone(n % 3),
                states: vec![Default::default(); engines.len()],
                number: 0,
                waiting: VecDeque::new(),
                demand: 1.0,
            }
        });
        Self {
            vms: vms.collect(),
            gone: vec![false; engines.len()],
            engines,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            now_ms: 10_000,
            reserve: false,
        }
    }

    fn now(&self) -> Instant {
        at(self.now_ms)
    }

    /// Runs for `ms` with a number of calls a second.
    pub fn run(&mut self, ms: u64, calls_per_s: f64) {
        let total_demand = self.vms.iter().map(|vm| vm.demand).sum::<f64>();
        let end = self.now_ms + ms;
        while self.now_ms < end {
            let now_ms = self.now_ms;
            if now_ms.is_multiple_of(2000) {
                self.share_members();
            }
            for index in 0..self.vms.len() {
                let share = self.vms[index].demand / total_demand;
                let chance = calls_per_s * share * STEP / 1000.0;
                if self.rng.random::<f64>() < chance {
                    self.vms[index].waiting.push_back(now_ms);
                }
                if (now_ms / STEP_MS + index as u64 * 3).is_multiple_of(40) {
                    self.heartbeat(index, None);
                }
                // A VM with waiting calls tries again every 20 ms.
                let is_turn = (now_ms / STEP_MS + index as u64).is_multiple_of(2);
                while is_turn && !self.vms[index].waiting.is_empty() {
                    let Some(engine) = self.select(index) else {
                        break;
                    };
                    self.vms[index].waiting.pop_front();
                    self.send(index, engine);
                }
            }
            for index in 0..self.engines.len() {
                let events = self.engines[index].step(now_ms);
                let load = self.engines[index].load();
                for event in events {
                    self.apply(index, &event, load);
                }
            }
            self.now_ms += STEP_MS;
        }
    }

    fn apply(&mut self, engine: usize, event: &Event, load: LoadSample) {
        let now = self.now();
        match *event {
            Event::First((vm, run)) => {
                let (own, room) = &mut self.vms[vm].states[engine];
                own.record_report(load, now);
                room.first_event(run, now);
                room.record_report(Some(load), RoomReport::default(), now);
            }
            Event::End((vm, run)) => {
                let (own, room) = &mut self.vms[vm].states[engine];
                own.call_ended();
                room.run_ended(run);
            }
        }
    }

    /// Ends an engine; its runs are lost, and are not sent again.
    pub fn fail(&mut self, engine: usize) {
        self.gone[engine] = true;
        self.engines[engine].prompts.clear();
        self.engines[engine].streams.clear();
    }

    pub fn select(&mut self, vm: usize) -> Option<usize> {
        let now = self.now();
        let random = self.rng.random();
        let Vm {
            name,
            zone,
            peers,
            states,
            ..
        } = &self.vms[vm];
        let mut zone_vms = peers.live_in(zone, now).collect::<Vec<_>>();
        zone_vms.push(name.clone());
        let view = peers.view(now);
        let policy = Policy::default();
        let context = RoomContext {
            placement: PlacementContext {
                zone,
                vm: name,
                zone_vms: &zone_vms,
                stream: true,
                random,
                now,
                policy: &policy,
            },
            size: CALL,
            most_urgent: !self.reserve,
            capacity: Some(CAPACITY),
        };
        let present = self.engines.iter().zip(states).zip(&self.gone);
        let candidates = present
            .filter(|(_, gone)| !**gone)
            .map(|((engine, (load, room)), _)| {
                let entry = &engine.entry;
                let rank = (entry.zone == *zone).then(|| rank_of_vm(&entry.id, name, &zone_vms));
                RoomCandidate {
                    placement: PlacementCandidate {
                        entry,
                        load,
                        suspect: false,
                        suspect_zone: false,
                        peer_calls: view.calls(&entry.id),
                        load_is_complete: view.knows_complete_load(rank),
                        cached: 0,
                        peer_prefill: view.prefill_left(&entry.id),
                    },
                    room,
                    peer_tokens: view.tokens(&entry.id),
                }
            });
        let candidates = candidates.collect::<Vec<_>>();
        let selected = select_with_room(&candidates, &context)?;
        self.engines
            .iter()
            .position(|engine| engine.entry.id == selected.id)
    }

    fn send(&mut self, vm: usize, engine: usize) {
        let now = self.now();
        let entry = self.engines[engine].entry.clone();
        let peer_prefill = self.vms[vm].peers.view(now).prefill_left(&entry.id);
        let (load, room) = &mut self.vms[vm].states[engine];
        load.call_started(CALL.prompt, now);
        let run = room.run_started(CALL, CALL.prompt, peer_prefill, now);
        self.engines[engine].send((vm, run), self.now_ms);
        self.heartbeat(vm, Some(engine));
    }

    /// Sends the heartbeat of a VM to those that share the dispatched engine or all engines in use.
    fn heartbeat(&mut self, vm: usize, dispatched: Option<usize>) {
        let now = self.now();
        let engines = &self.engines;
        let Vm {
            name,
            zone,
            peers,
            states,
            number,
            ..
        } = &mut self.vms[vm];
        *number += 1;
        let used = states.iter().enumerate();
        let used = used.filter(|(_, (load, _))| load.own_calls() > 0);
        let used = used.map(|(index, _)| index).collect::<Vec<_>>();
        let loads = used.iter().map(|index| {
            let (load, room) = &states[*index];
            PeerLoad {
                upstream: engines[*index].entry.id.clone(),
                calls: load.call_and_copy_count(),
                reading_ms: u32::try_from(room.prefill_left(now).as_millis()).unwrap(),
                hundred_tokens: Some(PeerLoad::in_hundreds(room.promised_tokens())),
            }
        });
        let heartbeat = PeerHeartbeat {
            vm: name.clone(),
            zone: zone.clone(),
            incarnation: 1,
            number: *number,
            loads: loads.collect(),
            suspects: Vec::new(),
            crashes: Vec::new(),
            members: Vec::new(),
            wants_members: false,
            rollouts: Vec::new(),
            link: None,
            demands: Vec::new(),
            limits: Vec::new(),
            doubtful: Vec::new(),
        };
        let targets = dispatched.map_or(used, |engine| vec![engine]);
        let receivers = targets
            .iter()
            .flat_map(|index| peers.dispatch_receivers(&engines[*index].entry, zone, now));
        let mut receivers = receivers.collect::<Vec<_>>();
        receivers.sort_unstable();
        receivers.dedup();
        let from = address(vm);
        for receiver in receivers {
            let index = usize::from(receiver.port()) - 1000;
            let peers = &mut self.vms[index].peers;
            peers.apply_heartbeat(heartbeat.clone(), from, now);
        }
    }

    fn share_members(&mut self) {
        let now = self.now();
        let members = self.vms.iter().enumerate().map(|(index, vm)| MemberStatus {
            vm: vm.name.clone(),
            zone: Some(vm.zone.clone()),
            address: address(index),
            age_ms: 0,
            link: None,
        });
        let members = members.collect::<Vec<_>>();
        for vm in &mut self.vms {
            let zone = vm.zone.clone();
            vm.peers.apply_members(&members, &zone, now);
        }
    }

    /// Largest load of an engine over the mean, since the last call.
    pub fn imbalance(&mut self) -> f64 {
        let live = self
            .engines
            .iter_mut()
            .zip(&self.gone)
            .filter(|(_, gone)| !**gone);
        let loads = live.map(|(engine, _)| std::mem::take(&mut engine.call_steps));
        let loads = loads.collect::<Vec<_>>();
        let mean = mean_of(&loads);
        loads.into_iter().fold(0.0, f64::max) / mean
    }
}

pub fn mean_of(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / f64::from(u32::try_from(values.len()).unwrap())
}

fn address(vm: usize) -> SocketAddr {
    ([127, 0, 0, 1], u16::try_from(1000 + vm).unwrap()).into()
}
