//! Poison requests, which crash every upstream that runs them.

mod poison_support;

use catkin_decisions::{
    Incarnation, PROBATION_STEPS, PoisonBlock, PoisonTracker, RequestDigest, TrackedRunId,
};
use googletest::prelude::*;
use poison_support::*;
use proptest::prelude::*;
use rand::{SeedableRng as _, seq::SliceRandom as _};
use rand_xoshiro::Xoshiro256PlusPlus;

/// Engine 0 has crashed while it ran the poison request and an unrelated request.
fn tracker_after_one_crash() -> PoisonTracker {
    let mut tracker = PoisonTracker::default();
    start(&mut tracker, poison_digest(), 0);
    start(&mut tracker, unrelated_digest(), 0);
    crash(&mut tracker, 0);
    tracker
}

/// A request crashes its engine, is resumed on another one and crashes that as well. Unless it is
/// refused, it would crash all engines.
#[gtest]
fn second_crash_refuses_the_poison_request() {
    let mut tracker = tracker_after_one_crash();
    start(&mut tracker, poison_digest(), 1);

    crash(&mut tracker, 1);

    let result = tracker.may_start(poison_digest(), &engine(2), true, at(0));
    expect_that!(result, err(eq(PoisonBlock::Refused)));
}

/// A rack loses power: the engine of a request fails, and the next engine fails before it has
/// responded. If the request were taken for a poison request, it would be refused for ten minutes.
#[gtest]
fn request_with_one_crash_and_one_failed_engine_is_not_refused() {
    let mut tracker = tracker_after_one_crash();
    tracker.started(unrelated_digest(), engine(1), FIRST, at(0));

    crash(&mut tracker, 1);

    let result = tracker.may_start(unrelated_digest(), &engine(2), true, at(0));
    expect_that!(result, ok(eq(())));
}

/// A request crashes each engine before its response is read, as happens if the process exits within
/// the few milliseconds before the response head is sent. It must cost no more engines than a
/// request that receives a response first.
#[gtest]
fn request_that_crashes_engines_before_the_response_costs_two() {
    let mut tracker = PoisonTracker::default();
    let killed = (0..10).take_while(|n| {
        let allowed = tracker
            .may_start(poison_digest(), &engine(*n), true, at(0))
            .is_ok();
        if allowed {
            let run = tracker.started(poison_digest(), engine(*n), FIRST, at(0));
            if tracker.needs_liveness_check(run) {
                tracker.liveness_confirmed(run);
            }
            crash(&mut tracker, *n);
        }
        allowed
    });

    expect_that!(killed.count(), eq(2));
}

/// A rack loses power: a request is sent to several of its engines in turn, and none of them begins
/// to respond. The caller must still be served by the next live engine.
#[gtest]
fn request_sent_only_to_crashed_engines_is_not_refused() {
    let mut tracker = PoisonTracker::default();
    for n in 0..5 {
        tracker.started(unrelated_digest(), engine(n), FIRST, at(0));
        crash(&mut tracker, n);
    }

    let result = tracker.may_start(unrelated_digest(), &engine(9), true, at(0));

    expect_that!(result, ok(eq(())));
}

/// The liveness of an engine is checked for suspects only, because the check costs a round trip.
#[gtest]
fn only_suspects_need_a_liveness_check() {
    let mut tracker = tracker_after_one_crash();

    let suspect = tracker.started(unrelated_digest(), engine(1), FIRST, at(0));
    let non_suspect = tracker.started(digest(7), engine(2), FIRST, at(0));

    expect_that!(tracker.needs_liveness_check(suspect), eq(true));
    expect_that!(tracker.needs_liveness_check(non_suspect), eq(false));
}

/// Two requests were in flight on a crashed engine. If both ran on one engine again, a second crash
/// could not distinguish them, and an unrelated caller would be refused.
#[gtest]
fn suspects_are_on_probation_on_different_engines() {
    let mut tracker = tracker_after_one_crash();
    start(&mut tracker, poison_digest(), 1);

    let same_engine = tracker.may_start(unrelated_digest(), &engine(1), true, at(0));
    let other_engine = tracker.may_start(unrelated_digest(), &engine(2), true, at(0));

    expect_that!(same_engine, err(eq(PoisonBlock::OtherUpstream)));
    expect_that!(other_engine, ok(anything()));
}

/// An unrelated request shares an engine with the poison request, is resumed, gets past the point of
/// the crash, and then shares a second engine with the poison request. It must not be refused.
#[gtest]
fn unrelated_request_is_not_refused_after_two_shared_crashes() {
    let mut tracker = tracker_after_one_crash();
    let run = start(&mut tracker, unrelated_digest(), 1);
    for _ in 0..PROBATION_STEPS {
        tracker.progressed(run);
    }
    start(&mut tracker, poison_digest(), 1);

    crash(&mut tracker, 1);

    let unrelated = tracker.may_start(unrelated_digest(), &engine(2), true, at(0));
    let poison = tracker.may_start(poison_digest(), &engine(2), true, at(0));
    expect_that!(unrelated, ok(anything()));
    expect_that!(poison, err(eq(PoisonBlock::Refused)));
}

/// The caller sent the poison request twice, so a second run is in progress on another engine when
/// the first one crashes its engine.
#[gtest]
fn second_run_in_progress_is_put_on_probation() {
    let mut tracker = PoisonTracker::default();
    start(&mut tracker, poison_digest(), 0);
    start(&mut tracker, poison_digest(), 1);
    start(&mut tracker, unrelated_digest(), 0);

    crash(&mut tracker, 0);

    let same_engine = tracker.may_start(unrelated_digest(), &engine(1), true, at(0));
    let third_copy = tracker.may_start(poison_digest(), &engine(2), true, at(0));
    expect_that!(same_engine, err(eq(PoisonBlock::OtherUpstream)));
    expect_that!(third_copy, err(eq(PoisonBlock::OtherUpstream)));
}

#[gtest]
fn suspect_is_not_started_on_an_upstream_of_another_vm() {
    let tracker = tracker_after_one_crash();

    let result = tracker.may_start(unrelated_digest(), &engine(1), false, at(0));

    expect_that!(result, err(eq(PoisonBlock::OtherUpstream)));
}

#[gtest]
fn poison_records_expire() {
    let mut tracker = tracker_after_one_crash();
    start(&mut tracker, poison_digest(), 1);
    crash(&mut tracker, 1);

    let refused = [600, 601].map(|seconds| tracker.is_refused(poison_digest(), at(seconds)));

    expect_that!(refused, eq([true, false]));
}

/// The caller of a poison request is sent to another VM after each failure. If VMs did not share
/// their records, each VM would lose two engines.
#[gtest]
fn vms_share_poison_records() {
    let mut first = PoisonTracker::default();
    start(&mut first, poison_digest(), 0);
    crash(&mut first, 0);
    let mut second = PoisonTracker::default();
    second.merge(&first.deltas(at(0)), at(0));
    start(&mut second, poison_digest(), 1);
    crash(&mut second, 1);

    first.merge(&second.deltas(at(0)), at(0));

    expect_that!(first.is_refused(poison_digest(), at(0)), eq(true));
    expect_that!(second.is_refused(poison_digest(), at(0)), eq(true));
}

#[gtest]
fn deltas_are_bounded_and_records_are_sent_eight_times() {
    let mut tracker = PoisonTracker::default();
    for n in 0..30 {
        start(&mut tracker, digest(n), 0);
    }
    crash(&mut tracker, 0);

    let sent = [0; 30].map(|_| tracker.deltas(at(0)).len());

    expect_that!(sent, each(le(12)));
    expect_that!(sent.iter().sum::<usize>(), eq(30 * 8));
    expect_that!(sent[29], eq(0));
}

/// A request of the simulation.
struct Request {
    digest: RequestDigest,
    steps_left: u32,
    run: Option<(TrackedRunId, usize)>,
    steps_of_run: u32,
    done: bool,
}

/// A simulation of engines and requests. Each engine is given by its incarnation, or `None` after a
/// crash.
struct Simulation {
    tracker: PoisonTracker,
    engines: Vec<Option<u64>>,
    requests: Vec<Request>,
    engines_lost: u32,
    rng: Xoshiro256PlusPlus,
}

impl Simulation {
    fn new(seed: u64, engines: usize, unrelated_count: u64, copies: usize) -> Self {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut digests = vec![poison_digest(); copies];
        digests.extend((1..=unrelated_count).map(digest));
        digests.shuffle(&mut rng);
        Self {
            tracker: PoisonTracker::default(),
            engines: vec![Some(1); engines],
            requests: digests
                .into_iter()
                .map(|digest| Request {
                    digest,
                    steps_left: rng.random_range(1..12),
                    run: None,
                    steps_of_run: 0,
                    done: false,
                })
                .collect(),
            engines_lost: 0,
            rng,
        }
    }

    /// Starts each waiting request on the first permitted engine in random order.
    fn dispatch(&mut self) {
        for request in self
            .requests
            .iter_mut()
            .filter(|r| !r.done && r.run.is_none())
        {
            let mut order = (0..self.engines.len()).collect::<Vec<_>>();
            order.shuffle(&mut self.rng);
            for n in order {
                let Some(incarnation) = self.engines[n] else {
                    continue;
                };
                match self
                    .tracker
                    .may_start(request.digest, &engine(n), true, at(0))
                {
                    Ok(()) => {
                        let incarnation = Incarnation(incarnation);
                        let run =
                            self.tracker
                                .started(request.digest, engine(n), incarnation, at(0));
                        // Engines begin to respond to a request before they compute.
                        self.tracker.response_started(run);
                        request.run = Some((run, n));
                        request.steps_of_run = 0;
                        break;
                    }
                    Err(PoisonBlock::Refused) => {
                        request.done = true;
                        break;
                    }
                    Err(PoisonBlock::OtherUpstream) => {}
                }
            }
        }
    }

    /// Advances each run by a step, or crashes its engine if it runs the poison request.
    fn step(&mut self) {
        for i in 0..self.requests.len() {
            let Some((run, n)) = self.requests[i].run else {
                continue;
            };
            self.requests[i].steps_of_run += 1;
            if self.requests[i].digest == poison_digest() {
                if self.rng.random() || self.requests[i].steps_of_run >= PROBATION_STEPS {
                    self.kill(n);
                } else {
                    self.tracker.progressed(run);
                }
                continue;
            }
            self.requests[i].steps_left -= 1;
            if self.requests[i].steps_left == 0 {
                self.tracker.completed(run);
                self.requests[i].done = true;
                self.requests[i].run = None;
            } else {
                self.tracker.progressed(run);
            }
        }
    }

    fn kill(&mut self, n: usize) {
        let incarnation = self.engines[n].take().expect("it runs something");
        self.tracker
            .upstream_crashed(&engine(n), Incarnation(incarnation), at(0));
        self.engines_lost += 1;
        for request in &mut self.requests {
            request.run = request.run.filter(|(_, on)| *on != n);
        }
    }
}

proptest! {
    /// A request crashes every engine that runs it, at once or a few steps later, and its caller
    /// sends up to three copies. In any order of events, at most two engines are lost, and all
    /// other requests finish.
    #[test]
    fn at_most_two_engines_are_lost_and_unrelated_requests_finish(
        seed in any::<u64>(),
        engines in 3..10_usize,
        unrelated_count in 0..40_u64,
        copies in 1..4_usize,
    ) {
        let mut simulation = Simulation::new(seed, engines, unrelated_count, copies);

        for _ in 0..2000 {
            simulation.dispatch();
            simulation.step();
        }

        let unfinished = simulation.requests.iter().filter(|r| !r.done).count();
        let refused_unrelated = (1..=unrelated_count)
            .filter(|n| simulation.tracker.is_refused(digest(*n), at(0)))
            .count();
        prop_assert!(simulation.engines_lost <= 2, "{} engines lost", simulation.engines_lost);
        prop_assert_eq!((unfinished, refused_unrelated), (0, 0));
    }

    #[test]
    fn record_merge_is_commutative_and_idempotent(
        crashes in prop::collection::vec((0..4_u64, 0..4_usize, any::<bool>()), 1..20),
        seed in any::<u64>(),
    ) {
        let mut peers = vec![PoisonTracker::default(); crashes.len()];
        for (tracker, (n_digest, n, clear)) in peers.iter_mut().zip(&crashes) {
            let digest = digest(*n_digest);
            start(tracker, digest, *n);
            crash(tracker, *n);
            if *clear {
                let run = start(tracker, digest, 9);
                tracker.completed(run);
            }
        }
        let mut sent = peers.iter().flat_map(|t| t.records(at(0))).collect::<Vec<_>>();
        let mut in_order = PoisonTracker::default();
        in_order.merge(&sent, at(0));

        sent.extend(sent.clone());
        sent.shuffle(&mut Xoshiro256PlusPlus::seed_from_u64(seed));
        let mut shuffled = PoisonTracker::default();
        shuffled.merge(&sent, at(0));

        prop_assert_eq!(in_order.records(at(0)), shuffled.records(at(0)));
    }
}
