//! Plays a fleet whose engines crash under parts of prompts, and counts as the rules do. Each VM decides with its own
//! tracker; reports between VMs are late and get lost.
#![allow(dead_code, reason = "each user of the module uses its part of it")]

use catkin_decisions::{
    CallAttributes, Crash, CrashReport, CrashTracker, CrashVerdict, Instant, PartCrash, PartId,
    ServiceId, UpstreamIncarnation,
};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::{sync::Arc, time::Duration};

const STEP_MS: u64 = 20;
const DAY_MS: u64 = 60_000;

/// Crashes after which requests with a part are counted.
const COUNTED_CRASHES: usize = 5;

/// Time between two heartbeats of a VM.
const HEARTBEAT_MS: u64 = 400;

/// Time after which a crashed engine is back.
const RESTART_MS: u64 = 3_300;

/// Time between the beginning of a run and its crash.
const CRASH_AFTER_MS: u64 = 80;

/// When the path of a VM is broken.
const BROKEN_PATH_MS: std::ops::Range<u64> = 10_000..20_000;

/// Mean time between two requests of a caller that makes up parts.
const INVENTED_GAP_MS: u64 = 500;

/// Time after its beginning at which a sound run counts as clean, and at which it ends.
const CLEAN_AFTER_MS: u64 = 1_000;
const RUN_MS: u64 = 6_000;

/// Most sends of one call.
const MAX_SENDS: u32 = 5;

/// What happens beside the requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trouble {
    /// VMs restart at random.
    Restarts,
    /// The crashing parts are sound until half of the day.
    SoundBefore,
    /// All engines of a zone, and once all engines, crash at random.
    Outages,
    /// One VM loses all its runs for some seconds and takes their engines for crashed, which the others use.
    BrokenPath,
    /// A caller sends requests that crash engines for other reasons, each with made-up parts and a shared one.
    InventedParts,
}

/// A day of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub vms: usize,
    /// Number of parts that crash engines.
    pub crashing: usize,
    /// Mean time between two requests with each of these.
    pub crashing_gap_ms: u64,
    /// Share of reports between VMs that are lost.
    pub loss: f64,
    pub troubles: &'static [Trouble],
    /// Number of parts from which the first part of a sound prompt is drawn, and the second one.
    pub shared: (usize, usize),
    /// Mean time between two sound requests.
    pub sound_gap_ms: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            vms: 8,
            crashing: 1,
            crashing_gap_ms: 400,
            loss: 0.05,
            troubles: &[],
            shared: (4, 200),
            sound_gap_ms: 250,
        }
    }
}

/// What the rules count.
#[derive(Debug, Default)]
pub struct Day {
    /// For each crashing part, the sends later than the stable window after its fifth crash.
    pub late_sends: Vec<usize>,
    /// Crashes under each of these.
    pub crashes: Vec<usize>,
    /// First attempts with sound prompts from two stable windows after the fifth crash on, and those that began.
    pub sound: usize,
    pub sound_begun: usize,
    /// Sound first attempts of the whole day, and those refused for a part.
    pub all_sound: usize,
    pub sound_refused: usize,
    /// Bytes of crash reports that a VM sent on average.
    pub report_bytes: usize,
}

impl Scenario {
    /// Time in which all VMs must know of a crash: longer in a large fleet, as the deployments have it.
    pub fn stable_window_ms(&self) -> u64 {
        match self.vms {
            0..=24 => 3_000,
            25..=100 => 4_000,
            _ => 5_000,
        }
    }

    fn has(&self, trouble: Trouble) -> bool {
        self.troubles.contains(&trouble)
    }

    /// From when on runs with the crashing parts crash their engines.
    fn onset_ms(&self) -> u64 {
        if self.has(Trouble::SoundBefore) {
            DAY_MS / 2
        } else {
            0
        }
    }

    fn engines(&self) -> usize {
        self.vms.max(6) * 9 / 4
    }
}

#[derive(Clone)]
struct Call {
    attributes: Arc<CallAttributes>,
    /// Index of the crashing part, if it has one.
    crashing: Option<usize>,
    sound_index: Option<usize>,
    vm: usize,
    process: u64,
    sends: u32,
    avoid: Vec<usize>,
}

struct Run {
    call: Call,
    begins_ms: u64,
    clean: bool,
}

struct Vm {
    tracker: CrashTracker,
    process: u64,
    heartbeat_ms: u64,
    /// Whether crashes are to be reported at once.
    notified: bool,
    heartbeats: u64,
}

struct Engine {
    incarnation: u64,
    down_until_ms: u64,
    runs: Vec<Run>,
}

struct Report {
    arrives_ms: u64,
    to: usize,
    crashes: Vec<PartCrash>,
}

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms + 100_000))
}

/// The VMs that collect the crashes under a part.
fn collectors(part: &PartId, vms: &[usize]) -> Vec<usize> {
    let mut ranked = vms.to_vec();
    ranked.sort_by_key(|vm| xxhash_rust::xxh3::xxh3_64(format!("{part}/{vm}").as_bytes()));
    ranked.truncate(3);
    ranked
}

fn service() -> ServiceId {
    "engines".parse().unwrap()
}

fn engine_id(engine: usize, incarnation: u64) -> UpstreamIncarnation {
    format!("e-{engine}-{incarnation}").parse().unwrap()
}

/// Whether something that happens every `gap_ms` on average does in this step.
fn happens(rng: &mut Xoshiro256PlusPlus, gap_ms: u64) -> bool {
    rng.random_range(0..gap_ms) < STEP_MS
}

/// Plays the day.
pub fn play(scenario: Scenario, seed: u64) -> Day {
    Fleet::new(scenario, seed).play()
}

struct Fleet {
    scenario: Scenario,
    rng: Xoshiro256PlusPlus,
    vms: Vec<Vm>,
    engines: Vec<Engine>,
    under_way: Vec<Report>,
    /// Times of crashes under each crashing part, and of sends by VMs in touch; the last ones are of made-up parts.
    crashes: Vec<Vec<u64>>,
    sends: Vec<Vec<u64>>,
    /// Sound first attempts: their arrival, and whether they began.
    sound: Vec<(u64, bool)>,
    next_body: u64,
    report_bytes: usize,
    sound_refused: usize,
}

impl Fleet {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let vms = (0..scenario.vms).map(|_| Vm {
            tracker: CrashTracker::default(),
            process: 0,
            heartbeat_ms: rng.random_range(0..HEARTBEAT_MS),
            notified: false,
            heartbeats: 0,
        });
        let vms = vms.collect();
        let engines = (0..scenario.engines()).map(|_| Engine {
            incarnation: 0,
            down_until_ms: 0,
            runs: Vec::new(),
        });
        Self {
            scenario,
            vms,
            engines: engines.collect(),
            rng,
            under_way: Vec::new(),
            crashes: vec![Vec::new(); scenario.crashing + 1],
            sends: vec![Vec::new(); scenario.crashing + 1],
            sound: Vec::new(),
            next_body: 0,
            report_bytes: 0,
            sound_refused: 0,
        }
    }

    fn play(mut self) -> Day {
        for ms in (0..DAY_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
            self.restart_vms(ms);
            self.deliver_reports(ms);
            self.crash_by_outage(ms);
            self.run_engines(ms);
            self.send_new_calls(ms);
            self.send_reports(ms);
        }
        self.count()
    }

    fn restart_vms(&mut self, ms: u64) {
        if !self.scenario.has(Trouble::Restarts) {
            return;
        }
        for vm in &mut self.vms {
            // Each VM restarts twice in a day.
            if happens(&mut self.rng, DAY_MS / 2) {
                vm.tracker = CrashTracker::default();
                vm.process = ms + 1;
            }
        }
    }

    fn deliver_reports(&mut self, ms: u64) {
        let (arrived, under_way) = std::mem::take(&mut self.under_way)
            .into_iter()
            .partition(|report| report.arrives_ms <= ms);
        self.under_way = under_way;
        let arrived: Vec<Report> = arrived;
        for report in arrived {
            let vm = &mut self.vms[report.to];
            for crash in report.crashes {
                vm.tracker.record_reported(crash.received(at(ms)), at(ms));
            }
            vm.tracker.update_blame(at(ms));
        }
    }

    fn crash_by_outage(&mut self, ms: u64) {
        if !self.scenario.has(Trouble::Outages) {
            return;
        }
        let zone = (ms > 0 && ms.is_multiple_of(9_000)).then(|| self.rng.random_range(0..3));
        let all = ms == 20_000;
        for engine in 0..self.engines.len() {
            if all || zone == Some(engine % 3) {
                self.crash(engine, ms);
            }
        }
    }

    fn run_engines(&mut self, ms: u64) {
        let onset_ms = self.scenario.onset_ms();
        for engine in 0..self.engines.len() {
            let mut cause = None;
            let mut clean = Vec::new();
            for run in &mut self.engines[engine].runs {
                let crashing = run.call.crashing.filter(|_| run.begins_ms >= onset_ms);
                if crashing.is_some() && ms >= run.begins_ms + CRASH_AFTER_MS {
                    cause = crashing;
                    break;
                }
                if !run.clean && crashing.is_none() && ms >= run.begins_ms + CLEAN_AFTER_MS {
                    run.clean = true;
                    clean.push((run.call.clone(), run.begins_ms));
                }
            }
            for (call, begins_ms) in clean {
                if let Some(index) = call.sound_index {
                    self.sound[index].1 = true;
                }
                let vm = &mut self.vms[call.vm];
                if vm.process == call.process {
                    vm.tracker.record_clean_run(&call.attributes, at(begins_ms));
                    vm.tracker.update_blame(at(ms));
                }
            }
            self.engines[engine]
                .runs
                .retain(|run| ms < run.begins_ms + RUN_MS);
            if let Some(part) = cause {
                self.crashes[part].push(ms);
                self.crash(engine, ms);
            }
        }
        self.withdraw(ms);
    }

    /// Withdraws calls that wait in an engine and must not be sent again.
    fn withdraw(&mut self, ms: u64) {
        for engine in &mut self.engines {
            engine.runs.retain(|run| {
                let vm = &self.vms[run.call.vm];
                ms >= run.begins_ms
                    || vm.process != run.call.process
                    || vm
                        .tracker
                        .blocked_part(&run.call.attributes, at(ms))
                        .is_none()
            });
        }
    }

    fn crash(&mut self, engine: usize, ms: u64) {
        let crashed = &mut self.engines[engine];
        if ms < crashed.down_until_ms {
            return;
        }
        let id = engine_id(engine, crashed.incarnation);
        crashed.incarnation += 1;
        crashed.down_until_ms = ms + RESTART_MS;
        let runs = std::mem::take(&mut crashed.runs);
        let mut lost = Vec::new();
        for run in runs {
            let vm = &mut self.vms[run.call.vm];
            if vm.process != run.call.process {
                continue;
            }
            if ms < run.begins_ms + CLEAN_AFTER_MS {
                for crash in Crash::of_parts(&run.call.attributes, &id, at(ms)) {
                    vm.tracker.record_crash(crash);
                }
                vm.tracker.update_blame(at(ms));
                vm.notified = true;
            }
            lost.push(run.call);
        }
        for mut call in lost {
            call.avoid.push(engine);
            self.send(call, ms, false);
        }
    }

    fn send_new_calls(&mut self, ms: u64) {
        for part in 0..self.scenario.crashing {
            if happens(&mut self.rng, self.scenario.crashing_gap_ms) {
                let shared = self.rng.random_range(0..self.scenario.shared.0);
                let parts = [format!("s{shared}"), format!("crashing-{part}")];
                self.new_call(&parts, Some(part), None, ms);
            }
        }
        if self.scenario.has(Trouble::InventedParts) && happens(&mut self.rng, INVENTED_GAP_MS) {
            let shared = self.rng.random_range(0..self.scenario.shared.0);
            let parts = [format!("s{shared}"), format!("invented-{}", self.next_body)];
            self.new_call(&parts, Some(self.scenario.crashing), None, ms);
        }
        if happens(&mut self.rng, self.scenario.sound_gap_ms) {
            let shared = self.rng.random_range(0..self.scenario.shared.0);
            let second = self.rng.random_range(0..self.scenario.shared.1);
            let parts = [format!("s{shared}"), format!("t{second}")];
            self.sound.push((ms, false));
            let index = self.sound.len() - 1;
            self.new_call(&parts, None, Some(index), ms);
        }
    }

    fn new_call(
        &mut self,
        parts: &[String; 2],
        crashing: Option<usize>,
        sound_index: Option<usize>,
        ms: u64,
    ) {
        let vm = self.rng.random_range(0..self.vms.len());
        self.next_body += 1;
        let body = self.next_body.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 8;
        let attributes =
            CallAttributes::new(body, parts.iter().map(|part| PartId::new(&service(), part)));
        let call = Call {
            attributes: Arc::new(attributes),
            crashing,
            sound_index,
            vm,
            process: self.vms[vm].process,
            sends: 0,
            avoid: Vec::new(),
        };
        self.send(call, ms, true);
    }

    fn send(&mut self, mut call: Call, ms: u64, is_new: bool) {
        let vm = &mut self.vms[call.vm];
        let is_refused = if is_new {
            match vm.tracker.verdict(&call.attributes, at(ms)) {
                CrashVerdict::Admitted => false,
                CrashVerdict::Refused(_) => true,
                CrashVerdict::Trial { part, slot } => {
                    let names = |n: usize| Arc::from(format!("vm-{n}"));
                    let others = (0..self.scenario.vms)
                        .filter(|n| *n != call.vm)
                        .map(names)
                        .collect::<Vec<_>>();
                    let is_own = slot.is_of(&part, &format!("vm-{}", call.vm), &others);
                    if is_own {
                        vm.tracker.record_trial(part, at(ms));
                    }
                    !is_own
                }
            }
        } else {
            let blocked = vm.tracker.blocked_part(&call.attributes, at(ms));
            blocked.is_some() || call.sends >= MAX_SENDS
        };
        if is_refused {
            self.sound_refused += usize::from(is_new && call.sound_index.is_some());
            return;
        }
        let up = (0..self.engines.len())
            .filter(|n| ms >= self.engines[*n].down_until_ms && !call.avoid.contains(n))
            .collect::<Vec<_>>();
        if up.is_empty() {
            return;
        }
        let engine = up[self.rng.random_range(0..up.len())];
        call.sends += 1;
        if self.scenario.has(Trouble::BrokenPath) && call.vm == 0 && BROKEN_PATH_MS.contains(&ms) {
            let id = engine_id(engine, self.engines[engine].incarnation);
            let vm = &mut self.vms[0];
            for crash in Crash::of_parts(&call.attributes, &id, at(ms)) {
                vm.tracker.record_crash(crash);
            }
            vm.tracker.update_blame(at(ms));
            vm.notified = true;
            return;
        }
        // A VM is not in touch for a stable window after its process has started.
        let in_touch = call.process == 0 || ms > call.process + self.scenario.stable_window_ms();
        if let (Some(part), true) = (call.crashing, in_touch) {
            self.sends[part].push(ms);
        }
        let prefill = self.rng.random_range(700..2_300);
        self.engines[engine].runs.push(Run {
            call,
            begins_ms: ms + prefill,
            clean: false,
        });
    }

    fn send_reports(&mut self, ms: u64) {
        for from in 0..self.vms.len() {
            let vms = self.vms.len();
            let vm = &mut self.vms[from];
            let is_heartbeat = ms % HEARTBEAT_MS / STEP_MS == vm.heartbeat_ms / STEP_MS;
            // Only a small fleet reports crashes at once.
            let is_notified = std::mem::take(&mut vm.notified) && vms <= 25;
            if !is_heartbeat && !is_notified {
                continue;
            }
            let own = vm.tracker.next_own_to_send(10, at(ms));
            let mut crashes = vm.tracker.next_suspects_to_send(10, at(ms));
            if is_heartbeat {
                vm.heartbeats += 1;
                if vm.heartbeats.is_multiple_of(5) {
                    crashes.extend(vm.tracker.next_evidence(at(ms)));
                }
            }
            let all = (0..vms).filter(|to| *to != from).collect::<Vec<_>>();
            if vms <= 25 {
                crashes.extend(own);
                self.report(from, crashes, &all, ms);
                continue;
            }
            for crash in own {
                let collectors = collectors(&crash.part, &all);
                self.report(from, vec![crash], &collectors, ms);
            }
            let few = (0..5)
                .map(|_| self.rng.random_range(0..vms))
                .collect::<Vec<_>>();
            self.report(from, crashes, &few, ms);
        }
    }

    fn report(&mut self, from: usize, parts: Vec<PartCrash>, receivers: &[usize], ms: u64) {
        if parts.is_empty() {
            return;
        }
        let vm = format!("vm-{from}").into();
        let report = CrashReport { vm, parts };
        let mut buf = Vec::new();
        ciborium::into_writer(&report, &mut buf).unwrap();
        self.report_bytes += buf.len() * receivers.len();
        for to in receivers {
            if self.rng.random_bool(self.scenario.loss) {
                continue;
            }
            self.under_way.push(Report {
                arrives_ms: ms + self.rng.random_range(2..60),
                to: *to,
                crashes: report.parts.clone(),
            });
        }
    }

    fn count(self) -> Day {
        let window = self.scenario.stable_window_ms();
        let fifth = |part: usize| self.crashes[part].get(COUNTED_CRASHES - 1).copied();
        let late_sends = (0..self.scenario.crashing).map(|part| {
            let late = |fifth: u64| {
                let sends = self.sends[part].iter();
                sends.filter(|at| **at > fifth + window).count()
            };
            fifth(part).map_or(0, late)
        });
        // From the last crash on if there are fewer than five, and all day long if there is none.
        let known = |part: usize| fifth(part).or_else(|| self.crashes[part].last().copied());
        let from = (0..self.scenario.crashing).filter_map(known).max();
        let from = from.map_or(0, |from| from + 2 * window);
        let late_sound = self.sound.iter().filter(|(at, _)| {
            // Runs of the last seconds have not got past their beginning.
            *at > from && *at < DAY_MS - 6_000
        });
        let late_sound = late_sound.collect::<Vec<_>>();
        Day {
            late_sends: late_sends.collect(),
            crashes: self.crashes[..self.scenario.crashing]
                .iter()
                .map(Vec::len)
                .collect(),
            sound: late_sound.len(),
            sound_begun: late_sound.iter().filter(|(_, begun)| *begun).count(),
            all_sound: self.sound.len(),
            sound_refused: self.sound_refused,
            report_bytes: self.report_bytes / self.vms.len(),
        }
    }
}
