//! Attribution of crashes to requests.

mod poison_support;

use catkin_decisions::{PoisonMark, PoisonTracker, UpstreamDeath};
use googletest::prelude::*;
use poison_support::*;
use proptest::prelude::*;
use rand::{SeedableRng as _, seq::SliceRandom as _};
use rand_xoshiro::Xoshiro256PlusPlus;

/// An unrelated request shares an engine with a poison request, which is refused after this second
/// crash. The unrelated request is resumed, and its next engine also crashes, because another VM has
/// not yet heard of the refusal and runs the poison request there. If both crashes were attributed
/// to the unrelated request, its caller would be refused after receiving part of the answer.
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

/// The poison request ran on another VM, whose records arrive after the second crash of the unrelated
/// request.
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

/// Two requests were in flight at the same two crashes, so nothing distinguishes them. If neither
/// were refused, the poison request would continue to crash engines.
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
    /// VMs receive records in different orders. If the order decided whether a request is refused, it
    /// would crash an engine at each VM that accepts it.
    #[test]
    fn who_is_refused_does_not_depend_on_the_order_of_the_news(
        deaths in prop::collection::vec((0..5_u64, 0..6_u64, 0..5_u32, any::<bool>()), 1..20),
        seed in any::<u64>(),
    ) {
        let mut told = deaths
            .into_iter()
            .map(|(n, death, age, cleared)| PoisonMark {
                digest: digest(n),
                death: UpstreamDeath(death),
                cleared,
                age_ms: 1000 * age,
            })
            .collect::<Vec<_>>();
        let refused = |told: &[PoisonMark]| {
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
