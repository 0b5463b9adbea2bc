//! Tests of the queue of waiting streams, in virtual time.
#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "numbers of calls and slots are small"
)]

use catkin_decisions::{
    DispatchQueue, Instant, OverloadCause, QueueLimits, QueueTeam, StreamArrival, ranked_priority,
};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::{cell::Cell, cmp::Reverse, collections::BinaryHeap, rc::Rc, time::Duration};

const PREFILL: Duration = Duration::from_millis(1025);
const STREAM: Duration = Duration::from_secs(6);
const TIMEOUT: Duration = Duration::from_secs(25);
const LIMITS: QueueLimits = QueueLimits {
    calls: 1000,
    bytes: 16 << 20,
};

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

/// A call that is made at `first` for the first time.
fn call(priority: u8, team: &str, first: Instant) -> StreamArrival {
    let target = if priority == 0 { 4000 } else { 10_000 };
    StreamArrival {
        priority,
        team: QueueTeam {
            id: team.parse().unwrap(),
            weight: 1,
        },
        target: first.after(Duration::from_millis(target)),
        deadline: first.after(TIMEOUT),
        prefill: PREFILL,
        duration: STREAM,
        tokens: 9040,
        bytes: 32_000,
    }
}

fn order(queue: &mut DispatchQueue<&'static str>, now: Instant) -> Vec<&'static str> {
    std::iter::from_fn(|| queue.next(now, |_| Some(())))
        .map(|(item, ())| item)
        .collect()
}

/// Guards against an accepted urgent call that is passed by others, against a late call that takes the room of one of its
/// priority that can be on time, and against a returning caller that loses its place.
#[gtest]
fn calls_start_in_order_of_what_they_are_worth() {
    let mut queue = DispatchQueue::new(LIMITS);
    let now = at(20_000);
    for (priority, first, name) in [
        (2, 20_000, "new"),
        (2, 15_000, "returned"),
        (0, 15_000, "late urgent"),
        (2, 9_000, "late"),
        (0, 20_000, "urgent"),
    ] {
        let offered = queue.offer(call(priority, "a", at(first)), name, now);
        expect_that!(offered.is_ok(), eq(true));
    }

    let at_once = order(&mut queue, now);
    let held_back = order(&mut queue, at(22_001));

    let in_order = ["urgent", "late urgent", "returned", "new"];
    expect_that!(at_once, container_eq(in_order));
    expect_that!(held_back, container_eq(["late"]));
}

/// Guards against an engine that gets the runs of callers that have left, and against a queue whose bytes
/// are not released.
#[gtest]
fn call_whose_caller_leaves_is_removed() {
    let mut queue = DispatchQueue::new(LIMITS);
    let first = queue.offer(call(2, "a", at(0)), "first", at(0)).unwrap();
    let other = queue.offer(call(2, "a", at(0)), "other", at(0));
    expect_that!(other.is_ok(), eq(true));

    let removed = [first.ticket, first.ticket].map(|ticket| queue.withdraw(ticket));

    expect_that!(removed, eq([Some("first"), None]));
    expect_that!(queue.bytes(), eq(32_000));
    expect_that!(order(&mut queue, at(0)), elements_are![eq(&"other")]);
    expect_that!(queue.bytes(), eq(0));
}

/// Guards against calls that wait although they cannot complete any more, also when the VM was suspended:
/// those whose time has passed are returned, and the others start.
#[gtest]
fn call_is_returned_when_it_can_no_longer_complete() {
    let mut queue = DispatchQueue::new(LIMITS);
    for (first, name) in [(0, "old"), (16_000, "new")] {
        let offered = queue.offer(call(2, "a", at(first)), name, at(first));
        expect_that!(offered.is_ok(), eq(true));
    }

    let (before, after) = (queue.expire(at(17_900)), queue.expire(at(18_000)));

    expect_that!(before.len(), eq(0));
    expect_that!(after, elements_are![eq(&"old")]);
    expect_that!(order(&mut queue, at(18_000)), elements_are![eq(&"new")]);
}

/// Guards against a VM of 120 MB that is killed for the memory of its queue, and against a burst that takes
/// the space of urgent calls.
#[gtest]
fn bytes_are_bounded_and_less_urgent_calls_are_refused_first() {
    let mut queue = DispatchQueue::new(QueueLimits::for_vm(Some(120 << 20)));
    // A rate of starts at which the forecast refuses no call.
    for _ in 0..1000 {
        queue.record_start(&call(2, "a", at(0)), at(0));
    }
    let mut causes = Vec::new();
    for priority in [2, 0] {
        for _ in 0..30 {
            let arrival = StreamArrival {
                bytes: 200_000,
                ..call(priority, "a", at(0))
            };
            causes.extend(
                queue
                    .offer(arrival, (), at(0))
                    .err()
                    .map(|r| (priority, r.cause)),
            );
        }
    }

    expect_that!(queue.bytes(), le(4 << 20));
    expect_that!(causes.first(), some(eq(&(2, OverloadCause::Bytes))));
}

/// VMs that share a pool of slots at engines. One in 36 slots is kept for urgent calls.
struct Fleet {
    rng: Xoshiro256PlusPlus,
    vms: Vec<DispatchQueue<Waiting>>,
    /// Ends of the runs.
    runs: BinaryHeap<Reverse<Instant>>,
    slots: usize,
    /// Refused callers that will return: when, and with which call.
    returning: Vec<(Instant, StreamArrival)>,
    counts: Counts,
}

struct Waiting {
    arrival: StreamArrival,
    since: Instant,
    expected: Rc<Cell<Option<Duration>>>,
}

#[derive(Debug, Default)]
struct Counts {
    capacity: f64,
    urgent: f64,
    urgent_on_time: f64,
    others: f64,
    others_on_time: f64,
    quiet_calls: f64,
    quiet_on_time: f64,
    wasted: f64,
    forecasts: f64,
    forecasts_kept: f64,
}

const STEP: Duration = Duration::from_millis(25);
const STEPS: u32 = 1800;

impl Fleet {
    /// Runs a fleet whose demand is twice its capacity, and counts from the first 15 s on. A tenth of the calls are
    /// urgent. If there is a hot team, it makes half of the others.
    fn run((vms, calls_per_vm): (u32, f64), hot_team: bool) -> Counts {
        // A run takes 7.5 s in the mean.
        let capacity = f64::from(vms) * calls_per_vm / 2.0;
        let mut fleet = Self {
            rng: Xoshiro256PlusPlus::seed_from_u64(7),
            vms: (0..vms).map(|_| DispatchQueue::new(LIMITS)).collect(),
            runs: BinaryHeap::new(),
            slots: (capacity * 7.5) as usize,
            returning: Vec::new(),
            counts: Counts::default(),
        };
        for step in 0..STEPS {
            if step == STEPS / 3 {
                fleet.counts = Counts::default();
            }
            fleet.step(at(10_000).after(STEP * step), calls_per_vm, hot_team);
        }
        let seconds = (STEP * STEPS).as_secs_f64() * 2.0 / 3.0;
        fleet.counts.capacity = capacity * seconds - fleet.counts.urgent;
        fleet.counts
    }

    fn step(&mut self, now: Instant, calls_per_vm: f64, hot_team: bool) {
        while self.runs.peek().is_some_and(|end| end.0 <= now) {
            self.runs.pop();
        }
        let due = self.returning.extract_if(.., |(time, _)| *time <= now);
        for (_, arrival) in due.collect::<Vec<_>>() {
            let vm = self.rng.random_range(0..self.vms.len());
            self.arrive(vm, arrival, now);
        }
        for vm in 0..self.vms.len() {
            if !self.rng.random_bool(calls_per_vm * STEP.as_secs_f64()) {
                continue;
            }
            let priority = if self.rng.random_bool(0.1) { 0 } else { 2 };
            let is_hot = hot_team && priority == 2 && self.rng.random_bool(0.5);
            let team = if is_hot {
                0
            } else {
                self.rng.random_range(1..10)
            };
            self.counts.urgent += f64::from(priority == 0);
            self.counts.quiet_calls += f64::from(priority == 2 && team > 0);
            self.arrive(vm, call(priority, &format!("team-{team}"), now), now);
        }
        // Each VM takes one call after the other, as they find room independently.
        let mut vms = (0..self.vms.len()).collect::<Vec<_>>();
        vms.rotate_left(self.rng.random_range(0..self.vms.len()));
        while !vms.is_empty() {
            vms.retain(|vm| self.dispatch(*vm, now));
        }
    }

    fn arrive(&mut self, vm: usize, arrival: StreamArrival, now: Instant) {
        let waiting = Waiting {
            arrival: arrival.clone(),
            since: now,
            expected: Rc::default(),
        };
        let expected = waiting.expected.clone();
        let queue = &mut self.vms[vm];
        if has_room(self.runs.len(), self.slots, &arrival) && queue.is_first(&arrival, now) {
            queue.record_start(&arrival, now);
            return self.start(&waiting, now);
        }
        match queue.offer(arrival.clone(), waiting, now) {
            Ok(admission) => expected.set(admission.expected),
            // Callers return once, and do not wait longer than for a third of their time.
            Err(refusal) if arrival.deadline == now.after(TIMEOUT) => {
                if refusal.retry_after <= TIMEOUT / 3 {
                    self.returning
                        .push((now.after(refusal.retry_after), arrival));
                }
            }
            Err(_) => {}
        }
    }

    /// Starts the next call of a VM; returns whether there was one.
    fn dispatch(&mut self, vm: usize, now: Instant) -> bool {
        let (used, slots) = (self.runs.len(), self.slots);
        self.vms[vm].expire(now);
        let next = self.vms[vm].next(now, |waiting| {
            has_room(used, slots, &waiting.arrival).then_some(())
        });
        if let Some((waiting, ())) = &next {
            self.start(waiting, now);
        }
        next.is_some()
    }

    fn start(&mut self, waiting: &Waiting, now: Instant) {
        let (arrival, counts) = (&waiting.arrival, &mut self.counts);
        let first_event = now.after(PREFILL.mul_f64(self.rng.random_range(1.0..1.8)));
        let end = first_event.after(STREAM.mul_f64(self.rng.random_range(0.9..1.13)));
        self.runs.push(Reverse(end));
        let on_time = f64::from(first_event <= arrival.target && end <= arrival.deadline);
        counts.wasted += f64::from(end > arrival.deadline);
        if arrival.priority == 0 {
            counts.urgent_on_time += on_time;
        } else {
            let is_hot = arrival.team.id.as_str() == "team-0";
            counts.others += 1.0;
            counts.others_on_time += on_time;
            counts.quiet_on_time += if is_hot { 0.0 } else { on_time };
        }
        if let Some(expected) = waiting.expected.get() {
            let latest = expected.mul_f64(1.25) + Duration::from_secs(1);
            counts.forecasts += 1.0;
            counts.forecasts_kept += f64::from(now.since(waiting.since) <= latest);
        }
    }
}

fn has_room(used: usize, slots: usize, arrival: &StreamArrival) -> bool {
    let reserved = if arrival.priority == 0 {
        0
    } else {
        slots.div_ceil(36)
    };
    used + reserved < slots
}

/// Number of VMs and calls a second at each: as few VMs as today, the first deployment, and the target size.
const FLEETS: [(u32, f64); 3] = [(8, 7.1), (58, 0.98), (400, 14.5)];

/// Guards against a queue under which everything is late together at twice the capacity. Room goes to the VMs in
/// random order, so that without the reserve an urgent call waits for the next turn of its VM: 0.84, 0.53 and 1.0 of
/// them were on time then. Dividing room among VMs is another decision.
#[gtest]
fn capacity_is_used_for_calls_on_time() {
    for fleet in FLEETS {
        let counts = Fleet::run(fleet, false);

        println!("{fleet:?}: {counts:?}");
        // A start is forecast to within a quarter and a second.
        let kept = counts.forecasts_kept / counts.forecasts;
        expect_that!(counts.urgent_on_time / counts.urgent, ge(0.95));
        expect_that!(counts.others_on_time / counts.capacity, ge(0.9));
        expect_that!(counts.wasted / counts.others, lt(0.02));
        expect_that!(kept, ge(0.8));
    }
}

/// Guards against a team that takes the capacity of others by calling more often. The first of ten teams
/// makes half of the less urgent calls; the shares of the others are 0.8 of what they ask for. A VM with one call a
/// second has too few waiting calls at a time to divide capacity among teams, so that fleet is left out.
#[gtest]
fn team_with_ten_times_its_share_takes_nothing_from_others() {
    for fleet in [FLEETS[0], FLEETS[2]] {
        let counts = Fleet::run(fleet, true);

        println!("{fleet:?}: {counts:?}");
        expect_that!(counts.quiet_on_time / counts.quiet_calls, ge(0.8 * 0.85));
    }
}

/// Guards against teams of one priority that hide the priorities of the routes, and against routes that outrank a more
/// urgent team.
#[gtest]
fn team_takes_precedence_and_equal_teams_are_ranked_by_their_routes() {
    let ranked = [
        (Some(0), 2),
        (Some(1), 0),
        (Some(1), 2),
        (Some(2), 0),
        (None, 2),
    ];

    let priorities = ranked.map(|(team, route)| ranked_priority(team, route));

    expect_that!(priorities, eq([2, 3, 5, 6, 2]));
    expect_that!(ranked_priority(Some(200), 200), eq(9));
}
