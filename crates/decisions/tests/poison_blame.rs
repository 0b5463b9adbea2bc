//! To which request a death is laid.

mod poison_support;

use catkin_decisions::{PoisonRecord, PoisonTracker, UpstreamCrashId};
use googletest::prelude::*;
use poison_support::*;
use proptest::prelude::*;
use rand::{SeedableRng as _, seq::SliceRandom as _};
use rand_xoshiro::Xoshiro256PlusPlus;

/// A request runs beside the one that crashes its engine, whose second death this is: that one is refused.
/// The first goes on elsewhere, and the caller of the refused request reaches a VM that does not know of it
/// and loses that engine too. Both deaths were laid to the first request as well, and its caller, who had
/// part of the answer, was refused. The log of such a run shows the two requests under one death, the
/// refusal of the culprit, and then the refusal of the other under a death that another VM's request caused.
#[gtest]
fn deaths_of_a_refused_request_are_not_laid_to_those_beside_it() {
    let mut tracker = PoisonTracker::default();
    start_at(&mut tracker, culprit(), 0, at(1));
    die_at(&mut tracker, 0, at(1));
    start_at(&mut tracker, culprit(), 1, at(2));
    tracker.started(innocent(), engine(1), FIRST, at(1));
    die_at(&mut tracker, 1, at(2));
    start_at(&mut tracker, innocent(), 2, at(2));

    die_at(&mut tracker, 2, at(3));

    expect_that!(tracker.refuses(culprit(), at(3)), eq(true));
    expect_that!(tracker.refuses(innocent(), at(3)), eq(false));
}

/// The same, but the culprit ran at another VM, whose word comes after the second death.
#[gtest]
fn deaths_are_not_laid_to_a_request_once_a_peer_names_the_culprit() {
    let (mut peer, mut tracker) = (PoisonTracker::default(), PoisonTracker::default());
    for (n, now) in [(0, at(0)), (1, at(1))] {
        start_at(&mut peer, culprit(), n, now);
        die_at(&mut peer, n, now);
    }
    for (n, now) in [(1, at(1)), (2, at(2))] {
        start_at(&mut tracker, innocent(), n, now);
        die_at(&mut tracker, n, now);
    }
    let before = tracker.refuses(innocent(), at(3));

    let own = tracker.marks_of(innocent(), at(3));
    tracker.merge(&peer.culprits(&own, at(3)), at(3));

    expect_that!(before, eq(true));
    expect_that!(tracker.refuses(innocent(), at(3)), eq(false));
    expect_that!(tracker.refuses(culprit(), at(3)), eq(true));
}

/// Two requests met the same two deaths. Nothing tells them apart, and were neither refused, the one that
/// kills would go on.
#[gtest]
fn of_two_requests_with_the_same_deaths_both_are_refused() {
    let mut tracker = PoisonTracker::default();
    for n in 0..2 {
        let now = at(u64::try_from(n).expect("small"));
        for digest in [culprit(), innocent()] {
            let run = tracker.started(digest, engine(n), FIRST, now);
            tracker.arrived(run);
        }
        die_at(&mut tracker, n, now);
    }

    let refused = [culprit(), innocent()].map(|digest| tracker.refuses(digest, at(2)));

    expect_that!(refused, eq([true, true]));
}

proptest! {
    /// VMs hear of deaths in different order. Were a request refused at one and taken at another for it, its
    /// caller would lose an engine at each that takes it.
    #[test]
    fn who_is_refused_does_not_depend_on_the_order_of_the_news(
        deaths in prop::collection::vec((0..5_u64, 0..6_u64, 0..5_u32, any::<bool>()), 1..20),
        seed in any::<u64>(),
    ) {
        let mut told = deaths
            .into_iter()
            .map(|(n, death, age, cleared)| PoisonRecord {
                digest: digest(n),
                death: UpstreamCrashId(death),
                cleared,
                age_ms: 1000 * age,
            })
            .collect::<Vec<_>>();
        let refused = |told: &[PoisonRecord]| {
            let mut tracker = PoisonTracker::default();
            for mark in told {
                tracker.merge(&[*mark], at(10));
            }
            (0..5).map(|n| tracker.refuses(digest(n), at(10))).collect::<Vec<_>>()
        };
        let in_order = refused(&told);

        told.shuffle(&mut Xoshiro256PlusPlus::seed_from_u64(seed));

        prop_assert_eq!(in_order, refused(&told));
    }
}
