//! Poison requests, which crash every upstream that runs them.

mod poison_support;

use catkin_decisions::{
    Incarnation, PoisonHold, PoisonRun, PoisonTracker, RequestDigest, WATCHED_STEPS,
};
use googletest::prelude::*;
use poison_support::*;
use proptest::prelude::*;
use rand::{SeedableRng as _, seq::SliceRandom as _};
use rand_xoshiro::Xoshiro256PlusPlus;

/// Engine 0 has crashed while it ran the poison request and an unrelated request.
fn after_one_death() -> PoisonTracker {
    let mut tracker = PoisonTracker::default();
    start(&mut tracker, culprit(), 0);
    start(&mut tracker, innocent(), 0);
    die(&mut tracker, 0);
    tracker
}

/// A request crashes its engine, is resumed on another one and crashes that as well. Unless it is
/// refused, it would crash all engines.
#[gtest]
fn a_second_death_refuses_the_culprit() {
    let mut tracker = after_one_death();
    start(&mut tracker, culprit(), 1);

    die(&mut tracker, 1);

    let verdict = tracker.may_start(culprit(), &engine(2), true, at(0));
    expect_that!(verdict, err(eq(PoisonHold::Refused)));
}

/// A rack loses power: the engine of a request fails, and the next engine is down before it has
/// answered. If the request were taken for a poison request, it would be refused for ten minutes.
#[gtest]
fn a_request_that_meets_two_dying_engines_is_not_refused() {
    let mut tracker = after_one_death();
    tracker.started(innocent(), engine(1), FIRST, at(0));

    die(&mut tracker, 1);

    let verdict = tracker.may_start(innocent(), &engine(2), true, at(0));
    expect_that!(verdict, ok(eq(())));
}

/// A request crashes each engine before its answer is read, as happens if the process exits within
/// the few milliseconds before the response head is sent. It must cost no more engines than a
/// request that is answered first.
#[gtest]
fn a_request_that_kills_before_the_answer_costs_two_engines() {
    let mut tracker = PoisonTracker::default();
    let killed = (0..10).take_while(|n| {
        let may = tracker
            .may_start(culprit(), &engine(*n), true, at(0))
            .is_ok();
        if may {
            let run = tracker.started(culprit(), engine(*n), FIRST, at(0));
            if tracker.needs_proof(run) {
                tracker.proven(run);
            }
            die(&mut tracker, *n);
        }
        may
    });

    expect_that!(killed.count(), eq(2));
}

/// A rack loses power: a request is sent to several of its engines in turn, and none of them begins
/// to answer. The caller must still be served by the next live engine.
#[gtest]
fn a_request_that_meets_dead_engines_only_is_not_refused() {
    let mut tracker = PoisonTracker::default();
    for n in 0..5 {
        tracker.started(innocent(), engine(n), FIRST, at(0));
        die(&mut tracker, n);
    }

    let verdict = tracker.may_start(innocent(), &engine(9), true, at(0));

    expect_that!(verdict, ok(eq(())));
}

/// The liveness of an engine is checked for suspects only, because the check costs a round trip.
#[gtest]
fn only_suspects_need_proof_that_their_engine_lives() {
    let mut tracker = after_one_death();

    let suspect = tracker.started(innocent(), engine(1), FIRST, at(0));
    let fresh = tracker.started(digest(7), engine(2), FIRST, at(0));

    expect_that!(tracker.needs_proof(suspect), eq(true));
    expect_that!(tracker.needs_proof(fresh), eq(false));
}

/// Two requests were in flight on a crashed engine. If both ran on one engine again, a second crash
/// could not distinguish them, and an unrelated caller would be refused.
#[gtest]
fn suspects_are_watched_on_different_engines() {
    let mut tracker = after_one_death();
    start(&mut tracker, culprit(), 1);

    let beside = tracker.may_start(innocent(), &engine(1), true, at(0));
    let apart = tracker.may_start(innocent(), &engine(2), true, at(0));

    expect_that!(beside, err(eq(PoisonHold::Elsewhere)));
    expect_that!(apart, ok(anything()));
}

/// An unrelated request shares an engine with the poison request, is resumed, gets past the point of
/// the crash, and then shares a second engine with the poison request. It must not be refused.
#[gtest]
fn an_innocent_request_finishes_after_two_shared_deaths() {
    let mut tracker = after_one_death();
    let run = start(&mut tracker, innocent(), 1);
    for _ in 0..WATCHED_STEPS {
        tracker.progressed(run);
    }
    start(&mut tracker, culprit(), 1);

    die(&mut tracker, 1);

    let innocent = tracker.may_start(innocent(), &engine(2), true, at(0));
    let culprit = tracker.may_start(culprit(), &engine(2), true, at(0));
    expect_that!(innocent, ok(anything()));
    expect_that!(culprit, err(eq(PoisonHold::Refused)));
}

/// The caller sent the poison request twice, so a second copy already runs on another engine when
/// the first one crashes its engine.
#[gtest]
fn a_second_copy_is_watched_as_well() {
    let mut tracker = PoisonTracker::default();
    start(&mut tracker, culprit(), 0);
    start(&mut tracker, culprit(), 1);
    start(&mut tracker, innocent(), 0);

    die(&mut tracker, 0);

    let beside = tracker.may_start(innocent(), &engine(1), true, at(0));
    let third_copy = tracker.may_start(culprit(), &engine(2), true, at(0));
    expect_that!(beside, err(eq(PoisonHold::Elsewhere)));
    expect_that!(third_copy, err(eq(PoisonHold::Elsewhere)));
}

#[gtest]
fn an_upstream_watched_by_another_vm_is_left_alone() {
    let tracker = after_one_death();

    let verdict = tracker.may_start(innocent(), &engine(1), false, at(0));

    expect_that!(verdict, err(eq(PoisonHold::Elsewhere)));
}

#[gtest]
fn marks_expire() {
    let mut tracker = after_one_death();
    start(&mut tracker, culprit(), 1);
    die(&mut tracker, 1);

    let refused = [600, 601].map(|seconds| tracker.refuses(culprit(), at(seconds)));

    expect_that!(refused, eq([true, false]));
}

/// The caller of a poison request is sent to another VM after each failure. If VMs did not share
/// their records, each VM would lose two engines.
#[gtest]
fn vms_share_their_marks() {
    let mut first = PoisonTracker::default();
    start(&mut first, culprit(), 0);
    die(&mut first, 0);
    let mut second = PoisonTracker::default();
    second.merge(&first.deltas(at(0)), at(0));
    start(&mut second, culprit(), 1);
    die(&mut second, 1);

    first.merge(&second.deltas(at(0)), at(0));

    expect_that!(first.refuses(culprit(), at(0)), eq(true));
    expect_that!(second.refuses(culprit(), at(0)), eq(true));
}

#[gtest]
fn deltas_are_bounded_and_told_eight_times() {
    let mut tracker = PoisonTracker::default();
    for n in 0..30 {
        start(&mut tracker, digest(n), 0);
    }
    die(&mut tracker, 0);

    let told = [0; 30].map(|_| tracker.deltas(at(0)).len());

    expect_that!(told, each(le(12)));
    expect_that!(told.iter().sum::<usize>(), eq(30 * 8));
    expect_that!(told[29], eq(0));
}

/// A request of the simulation.
struct Request {
    digest: RequestDigest,
    steps_left: u32,
    run: Option<(PoisonRun, usize)>,
    steps_of_run: u32,
    over: bool,
}

/// A simulation of engines and requests. Each engine is given by its incarnation, or `None` after a
/// crash.
struct World {
    tracker: PoisonTracker,
    engines: Vec<Option<u64>>,
    requests: Vec<Request>,
    lost: u32,
    rng: Xoshiro256PlusPlus,
}

impl World {
    fn new(seed: u64, engines: usize, innocents: u64, copies: usize) -> Self {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut digests = vec![culprit(); copies];
        digests.extend((1..=innocents).map(digest));
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
                    over: false,
                })
                .collect(),
            lost: 0,
            rng,
        }
    }

    /// Starts each waiting request on the first permitted engine in random order.
    fn dispatch(&mut self) {
        for request in self
            .requests
            .iter_mut()
            .filter(|r| !r.over && r.run.is_none())
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
                        // Engines begin to answer a request before they compute.
                        self.tracker.arrived(run);
                        request.run = Some((run, n));
                        request.steps_of_run = 0;
                        break;
                    }
                    Err(PoisonHold::Refused) => {
                        request.over = true;
                        break;
                    }
                    Err(PoisonHold::Elsewhere) => {}
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
            if self.requests[i].digest == culprit() {
                if self.rng.random() || self.requests[i].steps_of_run >= WATCHED_STEPS {
                    self.kill(n);
                } else {
                    self.tracker.progressed(run);
                }
                continue;
            }
            self.requests[i].steps_left -= 1;
            if self.requests[i].steps_left == 0 {
                self.tracker.finished(run);
                self.requests[i].over = true;
                self.requests[i].run = None;
            } else {
                self.tracker.progressed(run);
            }
        }
    }

    fn kill(&mut self, n: usize) {
        let incarnation = self.engines[n].take().expect("it runs something");
        self.tracker
            .died(&engine(n), Incarnation(incarnation), at(0));
        self.lost += 1;
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
    fn two_engines_are_lost_at_most_and_innocents_finish(
        seed in any::<u64>(),
        engines in 3..10_usize,
        innocents in 0..40_u64,
        copies in 1..4_usize,
    ) {
        let mut world = World::new(seed, engines, innocents, copies);

        for _ in 0..2000 {
            world.dispatch();
            world.step();
        }

        let unfinished = world.requests.iter().filter(|r| !r.over).count();
        let refused_innocents = (1..=innocents)
            .filter(|n| world.tracker.refuses(digest(*n), at(0)))
            .count();
        prop_assert!(world.lost <= 2, "{} engines lost", world.lost);
        prop_assert_eq!((unfinished, refused_innocents), (0, 0));
    }

    #[test]
    fn marks_merge_in_any_order_and_number(
        deaths in prop::collection::vec((0..4_u64, 0..4_usize, any::<bool>()), 1..20),
        seed in any::<u64>(),
    ) {
        let mut peers = vec![PoisonTracker::default(); deaths.len()];
        for (tracker, (n_digest, n, clear)) in peers.iter_mut().zip(&deaths) {
            let digest = digest(*n_digest);
            start(tracker, digest, *n);
            die(tracker, *n);
            if *clear {
                let run = start(tracker, digest, 9);
                tracker.finished(run);
            }
        }
        let mut told = peers.iter().flat_map(|t| t.marks(at(0))).collect::<Vec<_>>();
        let mut in_order = PoisonTracker::default();
        in_order.merge(&told, at(0));

        told.extend(told.clone());
        told.shuffle(&mut Xoshiro256PlusPlus::seed_from_u64(seed));
        let mut shuffled = PoisonTracker::default();
        shuffled.merge(&told, at(0));

        prop_assert_eq!(in_order.marks(at(0)), shuffled.marks(at(0)));
    }
}
