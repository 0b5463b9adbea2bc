//! Deterministic discrete-event simulation of admission control in virtual time, with a baseline to
//! compare it with: one FIFO, a fixed number of slots, round-robin over upstreams, no lanes and no
//! refusals.
//!
//! An upstream has a number of servers and a FIFO in front of them. Callers time out at their deadline,
//! and the work of an upstream for a caller that has timed out is wasted.

mod verdict;

pub use verdict::Verdict;

use catkin_decisions::{
    AdmissionConfig, AdmissionQueue, Arrival, CallKey, CapacityReport, CapacityShare, HotKeys,
    Instant, Lane, NotRun, QueueTeam, Queued, ReadCoalescer, UpstreamId,
};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

/// Number of router VMs in front of the upstreams.
pub const NODES: usize = 8;

/// One request of a scenario.
#[derive(Clone, Debug)]
pub struct Job {
    pub arrival: Duration,
    pub team: usize,
    pub lane: Lane,
    pub service: Duration,
    /// Relative to the arrival.
    pub deadline: Duration,
    /// Call key, and whether the request is a read that may be coalesced.
    pub key: Option<(u32, bool)>,
}

/// The upstreams of a service.
#[derive(Clone, Debug)]
pub struct Site {
    pub upstreams: usize,
    /// Number of requests that an upstream runs at once.
    pub servers: usize,
    /// Index of a slow upstream and the factor by which its service times are longer.
    pub slow: Option<(usize, u32)>,
    /// Whether the upstreams are engines, which send a first token before the response is complete.
    pub engines: bool,
    /// Whether the upstreams report their capacity.
    pub report: bool,
    pub teams: usize,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    Baseline,
    Admission,
}

/// What a caller received, and the time of the response or refusal.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Received {
    #[default]
    Nothing,
    Response(Duration),
    Refusal(Duration),
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    Reach { job: usize, upstream: usize },
    Finish { job: usize, upstream: usize },
    Return { job: usize, upstream: usize },
    Expire(usize),
}

struct Node {
    admission: AdmissionQueue<usize>,
    coalescer: ReadCoalescer<usize>,
    hot_keys: HotKeys,
    fifo: VecDeque<usize>,
    in_flight: Vec<u32>,
    latency: Vec<Duration>,
    next_upstream: usize,
}

#[derive(Default)]
struct SimulatedUpstream {
    running: usize,
    queue: VecDeque<usize>,
}

struct Run<'a> {
    site: &'a Site,
    policy: Policy,
    jobs: &'a [Job],
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    nodes: Vec<Node>,
    upstreams: Vec<SimulatedUpstream>,
    ids: Vec<UpstreamId>,
    teams: Vec<QueueTeam>,
    sent: Vec<Duration>,
    started: Vec<Duration>,
    received: Vec<Received>,
    /// Service time that upstreams spent on each job.
    work: Vec<Duration>,
    rng: Xoshiro256PlusPlus,
}

/// One-way network delay of a request or a response.
const ONE_WAY: Duration = Duration::from_millis(1);

/// Latency of an engine's first token without queueing.
const FIRST_TOKEN: Duration = Duration::from_millis(50);

/// Simulates all jobs under a policy.
pub fn run(site: &Site, policy: Policy, jobs: &[Job]) -> Verdict {
    let mut run = Run::new(site, policy, jobs);
    for (job, Job { arrival, .. }) in jobs.iter().enumerate() {
        run.schedule(*arrival, Event::Arrive(job));
    }
    while let Some(Reverse((at, _, event))) = run.events.pop() {
        run.now = at;
        run.handle(event);
    }
    Verdict::new(site, jobs, &run.received, &run.work)
}

/// Index of the node at which a job arrives.
fn node_of(job: usize) -> usize {
    job % NODES
}

impl<'a> Run<'a> {
    fn new(site: &'a Site, policy: Policy, jobs: &'a [Job]) -> Self {
        let ids = (0..site.upstreams)
            .map(|i| format!("upstream-{i:03}").parse().expect("a valid id"))
            .collect::<Vec<UpstreamId>>();
        Self {
            site,
            policy,
            jobs,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            nodes: (0..NODES).map(|i| Node::new(i, site, &ids)).collect(),
            upstreams: (0..site.upstreams)
                .map(|_| SimulatedUpstream::default())
                .collect(),
            teams: (0..site.teams).map(team).collect(),
            ids,
            sent: vec![Duration::ZERO; jobs.len()],
            started: vec![Duration::ZERO; jobs.len()],
            received: vec![Received::default(); jobs.len()],
            work: vec![Duration::ZERO; jobs.len()],
            rng: Xoshiro256PlusPlus::seed_from_u64(1),
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        let node = match event {
            Event::Arrive(job) => {
                self.arrive(job);
                node_of(job)
            }
            Event::Reach { job, upstream } => {
                self.upstreams[upstream].queue.push_back(job);
                return self.start_queued(upstream);
            }
            Event::Finish { job, upstream } => {
                self.upstreams[upstream].running -= 1;
                self.schedule(self.now + ONE_WAY, Event::Return { job, upstream });
                return self.start_queued(upstream);
            }
            Event::Return { job, upstream } => {
                self.returned(job, upstream);
                node_of(job)
            }
            Event::Expire(node) => node,
        };
        match self.policy {
            Policy::Baseline => self.dispatch_baseline(node),
            Policy::Admission => self.dispatch_queued(node),
        }
    }

    fn arrive(&mut self, job: usize) {
        if self.policy == Policy::Baseline {
            return self.nodes[node_of(job)].fifo.push_back(job);
        }
        let key = self.key(job);
        let node = &mut self.nodes[node_of(job)];
        match (&key, self.jobs[job].key) {
            (Some(key), Some((_, true))) => {
                if node.coalescer.join(key, job).is_some() {
                    self.offer(job);
                }
            }
            (Some(key), _) if !node.hot_keys.try_acquire(key) => self.refused(job),
            _ => self.offer(job),
        }
    }

    fn offer(&mut self, job: usize) {
        let Job {
            team,
            lane,
            arrival,
            deadline,
            ..
        } = self.jobs[job];
        let arrival = Arrival {
            team: self.teams[team].clone(),
            lane,
            cost: 1,
            deadline: Instant(arrival + deadline),
        };
        let (now, node) = (Instant(self.now), node_of(job));
        let offered = self.nodes[node]
            .admission
            .offer(now, &arrival, Queued::new(job));
        match offered {
            Ok(_) => {
                if let Some(Instant(at)) = self.nodes[node].admission.next_expiry() {
                    self.schedule(at.max(self.now), Event::Expire(node));
                }
            }
            Err(not_run) => self.not_run(&not_run),
        }
    }

    fn not_run(&mut self, not_run: &NotRun<usize>) {
        let job = *not_run.request();
        self.refused(job);
        let Some(key) = self.key(job) else { return };
        let node = &mut self.nodes[node_of(job)];
        if !self.jobs[job].key.is_some_and(|(_, read)| read) {
            return node.hot_keys.release(&key);
        }
        if let Some(next) = node.coalescer.fail_leader(&key) {
            self.offer(next);
        }
    }

    fn refused(&mut self, job: usize) {
        self.received[job] = Received::Refusal(self.now);
    }

    fn dispatch_queued(&mut self, node: usize) {
        let now = Instant(self.now);
        for not_run in self.nodes[node].admission.expire(now) {
            self.not_run(&not_run);
        }
        for lane in [Lane::Quick, Lane::Long] {
            while self.nodes[node].admission.queue_len(lane) > 0 {
                let random = [self.rng.random(), self.rng.random()];
                let Node {
                    admission,
                    latency,
                    in_flight,
                    ..
                } = &mut self.nodes[node];
                let ids = &self.ids;
                let next = admission.dispatch_where(now, lane, |_, full| {
                    let upstream = choose(ids, full, latency, in_flight, random)?;
                    Some((ids[upstream].clone(), upstream))
                });
                let Some((request, upstream)) = next else {
                    break;
                };
                self.send(request.unknown().into_request(), upstream);
            }
        }
    }

    fn dispatch_baseline(&mut self, node: usize) {
        let slots = u32::try_from(self.site.servers.div_ceil(NODES)).expect("a small number");
        while !self.nodes[node].fifo.is_empty() {
            let state = &mut self.nodes[node];
            let n = self.site.upstreams;
            let Some(upstream) = (0..n)
                .map(|i| (state.next_upstream + i) % n)
                .find(|i| state.in_flight[*i] < slots)
            else {
                return;
            };
            state.next_upstream = upstream + 1;
            if let Some(job) = state.fifo.pop_front() {
                self.send(job, upstream);
            }
        }
    }

    fn send(&mut self, job: usize, upstream: usize) {
        self.nodes[node_of(job)].in_flight[upstream] += 1;
        self.sent[job] = self.now;
        self.schedule(self.now + ONE_WAY, Event::Reach { job, upstream });
    }

    fn start_queued(&mut self, upstream: usize) {
        while self.upstreams[upstream].running < self.site.servers {
            let Some(job) = self.upstreams[upstream].queue.pop_front() else {
                return;
            };
            self.upstreams[upstream].running += 1;
            self.started[job] = self.now;
            let factor = match self.site.slow {
                Some((slow, factor)) if slow == upstream => factor,
                _ => 1,
            };
            let service = self.jobs[job].service * factor;
            self.work[job] = service;
            self.schedule(self.now + service, Event::Finish { job, upstream });
        }
    }

    fn returned(&mut self, job: usize, upstream: usize) {
        self.deliver_response(job);
        let held = self.now.saturating_sub(self.sent[job]);
        let first_part = if self.site.engines {
            self.started[job].saturating_sub(self.sent[job]) + FIRST_TOKEN + ONE_WAY
        } else {
            held
        };
        let lane = self.jobs[job].lane;
        let node = &mut self.nodes[node_of(job)];
        node.in_flight[upstream] -= 1;
        if lane == Lane::Quick {
            node.latency[upstream] = node.latency[upstream] / 8 * 7 + held / 8;
        }
        let id = &self.ids[upstream];
        node.admission.record_latency(id, first_part);
        node.admission.release_slot(lane, id, Some(held));
        if self.policy == Policy::Baseline {
            return;
        }
        let Some(key) = self.key(job) else { return };
        let node = &mut self.nodes[node_of(job)];
        if !self.jobs[job].key.is_some_and(|(_, read)| read) {
            return node.hot_keys.release(&key);
        }
        for follower in node.coalescer.complete(&key) {
            self.deliver_response(follower);
        }
    }

    /// Delivers the response unless the caller has timed out.
    fn deliver_response(&mut self, job: usize) {
        let Job {
            arrival, deadline, ..
        } = self.jobs[job];
        if self.now <= arrival + deadline {
            self.received[job] = Received::Response(self.now);
        }
    }

    fn key(&self, job: usize) -> Option<CallKey> {
        let Job { team, key, .. } = &self.jobs[job];
        let (key, _) = (*key)?;
        let team = self.teams[*team].id.clone();
        Some(CallKey::new(team, [key.to_le_bytes().as_slice()]))
    }
}

/// Selects the better of two random upstreams that are not full, by latency and requests in flight.
fn choose(
    ids: &[UpstreamId],
    full: &[UpstreamId],
    latency: &[Duration],
    in_flight: &[u32],
    random: [u32; 2],
) -> Option<usize> {
    let available = (0..ids.len())
        .filter(|i| full.binary_search(&ids[*i]).is_err())
        .collect::<Vec<_>>();
    let [first, second] =
        random.map(|n| available.get(n as usize % available.len().max(1)).copied());
    [first?, second?]
        .into_iter()
        .min_by_key(|i| latency[*i] * (in_flight[*i] + 1))
}

impl Node {
    fn new(number: usize, site: &Site, ids: &[UpstreamId]) -> Self {
        let vm = format!("vm-{number}").parse().expect("a valid name");
        let mut admission = AdmissionQueue::new(AdmissionConfig::default());
        admission.set_upstreams(ids.iter().cloned());
        let capacity = u32::try_from(site.servers).expect("a small number");
        let sharers = u32::try_from(NODES).expect("a small number");
        for id in ids.iter().filter(|_| site.report) {
            let report = CapacityReport {
                capacity,
                waiting: 0,
            };
            admission.record_report(id, report, CapacityShare::of(&vm, id, sharers));
        }
        Self {
            admission,
            coalescer: ReadCoalescer::default(),
            hot_keys: HotKeys::default(),
            fifo: VecDeque::new(),
            in_flight: vec![0; ids.len()],
            latency: vec![Duration::from_millis(20); ids.len()],
            next_upstream: 0,
        }
    }
}

fn team(i: usize) -> QueueTeam {
    QueueTeam {
        id: format!("team-{i:04}").parse().expect("a valid name"),
        weight: 1,
    }
}

/// Poisson arrivals of `rate` requests per second within `span`, given in seconds. Service times are
/// half fixed and half exponential around their mean.
pub fn arrivals(seed: u64, rate: f64, span: (f64, f64), job: &Job) -> Vec<Job> {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut exponential = move || -(1.0 - rng.random_range(0.0..1.0_f64)).ln();
    let mut at = span.0;
    let mut jobs = Vec::new();
    loop {
        at += exponential() / rate;
        if at >= span.1 {
            return jobs;
        }
        jobs.push(Job {
            arrival: Duration::from_secs_f64(at),
            service: job.service.mul_f64(0.5 + 0.5 * exponential()),
            ..job.clone()
        });
    }
}

/// Merges the jobs of several sources in order of arrival.
pub fn merge(sources: impl IntoIterator<Item = Vec<Job>>) -> Vec<Job> {
    let mut jobs = sources.into_iter().flatten().collect::<Vec<_>>();
    jobs.sort_by_key(|job| job.arrival);
    jobs
}
