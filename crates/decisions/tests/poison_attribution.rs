//! Attribution of crashes to requests.

mod poison_support;

use catkin_decisions::{PoisonRecord, PoisonTracker, UpstreamCrashId};
use googletest::prelude::*;
use poison_support::*;
use proptest::prelude::*;
use rand::{SeedableRng as _, seq::SliceRandom as _};
use rand_xoshiro::Xoshiro256PlusPlus;

/// An unrelated request shares an engine with a poison request, which is refused after this second
/// crash. The unrelated request is resumed, and its next engine also crashes, because another VM has
/// not yet received the records and runs the poison request there. If both crashes were attributed
/// to the unrelated request, its caller would be refused after receiving part of the response.
#[gtest]
fn crashes_of_a_refused_request_are_not_attributed_to_others() {
    let mut tracker = PoisonTracker::default();
    start_at(&mut tracker, poison_digest(), 0, at(1));
    crash_at(&mut tracker, 0, at(1));
    start_at(&mut tracker, poison_digest(), 1, at(2));
    tracker.started(unrelated_digest(), engine(1), FIRST, at(1));
    crash_at(&mut tracker, 1, at(2));
    start_at(&mut tracker, unrelated_digest(), 2, at(2));

    crash_at(&mut tracker, 2, at(3));

    expect_that!(tracker.is_refused(poison_digest(), at(3)), eq(true));
    expect_that!(tracker.is_refused(unrelated_digest(), at(3)), eq(false));
}

/// The poison request ran on another VM, whose records arrive after the second crash of the unrelated
/// request.
#[gtest]
fn crashes_are_reattributed_when_a_peer_reports_the_poison_request() {
    let (mut peer, mut tracker) = (PoisonTracker::default(), PoisonTracker::default());
    for (n, now) in [(0, at(0)), (1, at(1))] {
        start_at(&mut peer, poison_digest(), n, now);
        crash_at(&mut peer, n, now);
    }
    for (n, now) in [(1, at(1)), (2, at(2))] {
        start_at(&mut tracker, unrelated_digest(), n, now);
        crash_at(&mut tracker, n, now);
    }
    let before = tracker.is_refused(unrelated_digest(), at(3));

    let own = tracker.records_of(unrelated_digest(), at(3));
    tracker.merge(&peer.explaining_records(&own, at(3)), at(3));

    expect_that!(before, eq(true));
    expect_that!(tracker.is_refused(unrelated_digest(), at(3)), eq(false));
    expect_that!(tracker.is_refused(poison_digest(), at(3)), eq(true));
}

/// Two requests were in flight at the same two crashes, so nothing distinguishes them. If neither
/// were refused, the poison request would continue to crash engines.
#[gtest]
fn two_requests_with_the_same_crashes_are_both_refused() {
    let mut tracker = PoisonTracker::default();
    for n in 0..2 {
        let now = at(u64::try_from(n).expect("small"));
        for digest in [poison_digest(), unrelated_digest()] {
            let run = tracker.started(digest, engine(n), FIRST, now);
            tracker.response_started(run);
        }
        crash_at(&mut tracker, n, now);
    }

    let refused =
        [poison_digest(), unrelated_digest()].map(|digest| tracker.is_refused(digest, at(2)));

    expect_that!(refused, eq([true, true]));
}

proptest! {
    /// VMs receive records in different orders. If the order of the records decided whether a request is
    /// refused, some VMs would accept a poison request, and each of them would lose an engine to it.
    #[test]
    fn refusals_do_not_depend_on_the_order_of_records(
        crashes in prop::collection::vec((0..5_u64, 0..6_u64, 0..5_u32, any::<bool>()), 1..20),
        seed in any::<u64>(),
    ) {
        let mut records = crashes
            .into_iter()
            .map(|(n, crash, age, cleared)| PoisonRecord {
                digest: digest(n),
                crash: UpstreamCrashId(crash),
                cleared,
                age_ms: 1000 * age,
            })
            .collect::<Vec<_>>();
        let refused = |records: &[PoisonRecord]| {
            let mut tracker = PoisonTracker::default();
            for record in records {
                tracker.merge(&[*record], at(10));
            }
            (0..5).map(|n| tracker.is_refused(digest(n), at(10))).collect::<Vec<_>>()
        };
        let in_order = refused(&records);

        records.shuffle(&mut Xoshiro256PlusPlus::seed_from_u64(seed));

        prop_assert_eq!(in_order, refused(&records));
    }
}
