//! Which versions of a service get requests, as one VM knows its rollout.

use catkin_decisions::{
    ExposureLimit, Instant, ORDER_TIMEOUT, OWNER_TIMEOUT, OwnerStep, RollbackReason, Rollout,
    RolloutNotice, RolloutOrder, RolloutOrderError, RolloutOwner, RolloutPhase, RolloutProgress,
    RolloutSettings, Rollouts, SoftwareVersion, UpstreamEntry, VersionAdmission, VersionSlots,
};
use googletest::prelude::*;
use std::{sync::Arc, time::Duration};

const SETTINGS: RolloutSettings = RolloutSettings {
    limit: ExposureLimit {
        share: 0.1,
        slack: 30,
    },
};

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

fn version(version: &str) -> SoftwareVersion {
    version.parse().unwrap()
}

fn entry(id: &str, at_version: &str) -> UpstreamEntry {
    UpstreamEntry {
        id: id.parse().unwrap(),
        service: "shop".parse().unwrap(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "a".parse().unwrap(),
        slots: 6,
        leaving: false,
        version: Some(version(at_version)),
    }
}

/// An order to move to a version, written at a version of the store.
fn order(to: &str, written: u64) -> RolloutOrder {
    RolloutOrder {
        service: "shop".parse().unwrap(),
        to: version(to),
        duration: Duration::from_secs(12),
        written,
    }
}

fn notice(order: RolloutOrder, term: u64, phase: RolloutPhase) -> RolloutNotice {
    RolloutNotice {
        order,
        left_ms: 12_000,
        progress: RolloutProgress {
            term,
            number: 1,
            phase,
            stored: phase.is_final(),
        },
        owner: Some(([127, 0, 0, 2], 7201).into()),
        owner_age_ms: 0,
    }
}

/// A VM that has read upstreams of version v1, and of v2 some time later.
fn rollouts() -> Rollouts {
    let mut rollouts = Rollouts::new(Some(SETTINGS));
    rollouts.version_seen(&entry("u1", "v1"), true, at(0));
    rollouts.version_seen(&entry("u2", "v2"), false, at(1000));
    rollouts
}

/// What upstreams of v1 and v2 may get.
fn admissions(rollouts: &Rollouts, now: Instant) -> [VersionAdmission; 2] {
    [("u1", "v1"), ("u2", "v2")].map(|(id, v)| rollouts.admission(&entry(id, v), now))
}

#[gtest]
fn each_phase_admits_its_versions() {
    use VersionAdmission::{Barred, Open, Retired, Trial};
    let cases = [
        (RolloutPhase::Running, [Open, Trial]),
        (RolloutPhase::Completing, [Open, Trial]),
        (RolloutPhase::RolledBack, [Open, Barred]),
        (RolloutPhase::Completed, [Retired, Open]),
    ];
    for (phase, expected) in cases {
        let mut rollouts = rollouts();

        rollouts.take(&notice(order("v2", 7), 1, phase), at(1000));

        expect_that!(admissions(&rollouts, at(60_000)), eq(expected), "{phase}");
    }
}

/// Upstreams of an ordered version appear before their order is known.
#[gtest]
fn version_that_appears_is_held_back_until_its_order_may_be_known() {
    let rollouts = rollouts();

    let soon = admissions(&rollouts, at(1000));
    let later = admissions(&rollouts, at(1000).after(ORDER_TIMEOUT));

    expect_that!(soon, eq([VersionAdmission::Open, VersionAdmission::Barred]));
    expect_that!(later, eq([VersionAdmission::Open, VersionAdmission::Open]));
}

/// A version that was rolled back returns with a new order alone.
#[gtest]
fn version_that_was_rolled_back_stays_out_until_a_new_order() {
    let mut rollouts = rollouts();
    rollouts.take(
        &notice(order("v2", 7), 1, RolloutPhase::RolledBack),
        at(1000),
    );

    rollouts.take(&notice(order("v2", 7), 2, RolloutPhase::Running), at(2000));
    let after_the_same = admissions(&rollouts, at(2000))[1];
    rollouts.take(&notice(order("v3", 8), 1, RolloutPhase::Running), at(3000));
    let after_another = admissions(&rollouts, at(60_000))[1];
    rollouts.take(&notice(order("v2", 9), 1, RolloutPhase::Running), at(4000));
    let after_its_own = admissions(&rollouts, at(4000))[1];

    expect_that!(
        [after_the_same, after_another, after_its_own],
        eq([
            VersionAdmission::Barred,
            VersionAdmission::Barred,
            VersionAdmission::Trial
        ])
    );
}

/// An order that is withdrawn, or replaced, while it runs: its version gets nothing more.
#[gtest]
fn version_of_a_withdrawn_order_gets_nothing() {
    for withdrawn in [true, false] {
        let mut rollouts = rollouts();
        rollouts.take(&notice(order("v2", 7), 1, RolloutPhase::Running), at(1000));

        if withdrawn {
            rollouts.withdraw(&"shop".parse().unwrap(), 8);
            rollouts.take(&notice(order("v2", 7), 1, RolloutPhase::Running), at(2000));
        } else {
            rollouts.take(&notice(order("v3", 8), 1, RolloutPhase::Running), at(2000));
        }

        expect_that!(
            admissions(&rollouts, at(60_000))[1],
            eq(VersionAdmission::Barred)
        );
    }
}

/// Guards against an end that nobody writes, as its notice arrived before the withdrawal of the order.
#[gtest]
fn withdrawal_leaves_an_end_that_is_not_stored_to_the_owner() {
    for (stored, left) in [(false, true), (true, false)] {
        let mut rollouts = rollouts();
        let mut end = notice(order("v2", 7), 1, RolloutPhase::RolledBack);
        end.progress.stored = stored;
        rollouts.take(&end, at(1000));

        let withdrawn = rollouts.withdraw(&"shop".parse().unwrap(), 8);

        expect_that!(withdrawn.is_some(), eq(left));
    }
}

/// The order of a rollout that was rolled back is withdrawn; its version is still bad.
#[gtest]
fn version_that_was_rolled_back_stays_out_without_its_order() {
    let mut rollouts = rollouts();
    rollouts.take(
        &notice(order("v2", 7), 1, RolloutPhase::RolledBack),
        at(1000),
    );

    rollouts.withdraw(&"shop".parse().unwrap(), 8);

    expect_that!(
        admissions(&rollouts, at(60_000))[1],
        eq(VersionAdmission::Barred)
    );
}

/// Notices overtake each other.
#[gtest]
fn end_of_a_rollout_is_never_undone() {
    for end in [RolloutPhase::RolledBack, RolloutPhase::Completed] {
        let mut rollouts = rollouts();
        rollouts.take(&notice(order("v2", 7), 1, end), at(1000));
        let before = admissions(&rollouts, at(60_000));

        for phase in [RolloutPhase::Running, RolloutPhase::Completing] {
            rollouts.take(&notice(order("v2", 7), 5, phase), at(2000));
        }

        expect_that!(admissions(&rollouts, at(60_000)), eq(before), "{end}");
    }
}

/// The owner before decided to roll back; the one after it must not have the version take over.
#[gtest]
fn rollback_reaches_a_later_owner() {
    let mut rollout = Rollout::new(order("v2", 7), Duration::from_secs(12), at(0));
    rollout.take(&notice(order("v2", 7), 2, RolloutPhase::Running), at(0));
    let mut rolled_back = notice(order("v2", 7), 1, RolloutPhase::RolledBack);
    rolled_back.progress.stored = false;

    rollout.take(&rolled_back, at(100));

    expect_that!(rollout.progress.phase, eq(RolloutPhase::RolledBack));
}

/// Without settings of rollouts nothing is held back or counted.
#[gtest]
fn without_settings_all_versions_are_open() {
    let mut rollouts = Rollouts::new(None);
    rollouts.version_seen(&entry("u1", "v1"), true, at(0));
    rollouts.version_seen(&entry("u2", "v2"), false, at(1000));

    let taken = rollouts.take(
        &notice(order("v2", 7), 1, RolloutPhase::RolledBack),
        at(1000),
    );

    expect_that!(taken, eq(false));
    expect_that!(
        admissions(&rollouts, at(1000)),
        eq([VersionAdmission::Open; 2])
    );
}

/// Each VM tries the same few upstreams, so that these are loaded.
#[gtest]
fn few_upstreams_of_a_new_version_are_tried() {
    for (count, tried) in [(1_usize, 1), (3, 1), (10, 1), (48, 5), (144, 15)] {
        let entries = (0..count)
            .map(|n| Arc::new(entry(&format!("u{n}"), "v2")))
            .collect::<Vec<_>>();
        let (order, mut reversed) = (order("v2", 7), entries.iter().collect::<Vec<_>>());
        reversed.reverse();

        let focus = Rollouts::focus(&order, entries.iter().collect());
        let elsewhere = Rollouts::focus(&order, reversed);

        expect_that!(focus.len(), eq(tried));
        expect_that!(focus, eq(&elsewhere));
    }
}

/// One VM after the other takes a rollout over whose owner is silent.
#[gtest]
fn silent_owner_is_replaced_rank_by_rank() {
    let mut rollout = Rollout::new(order("v2", 7), Duration::from_secs(12), at(0));
    rollout.take(&notice(order("v2", 7), 1, RolloutPhase::Running), at(0));

    let early = rollout.needs_owner(0, at(0).after(OWNER_TIMEOUT / 2));
    let first = rollout.needs_owner(0, at(0).after(OWNER_TIMEOUT));
    let second = rollout.needs_owner(1, at(0).after(OWNER_TIMEOUT));

    expect_that!((early, first, second), eq((false, true, false)));
}

/// An end that its owner did not come to write is written by another VM.
#[gtest]
fn end_that_is_not_stored_needs_an_owner() {
    let mut rollout = Rollout::new(order("v2", 7), Duration::from_secs(12), at(0));
    let mut rolled_back = notice(order("v2", 7), 1, RolloutPhase::RolledBack);
    rolled_back.progress.stored = false;
    rollout.take(&rolled_back, at(0));
    let unstored = rollout.needs_owner(0, at(60_000));
    rolled_back.progress.stored = true;
    rollout.take(&rolled_back, at(0));

    expect_that!(unstored, eq(true));
    expect_that!(rollout.needs_owner(0, at(60_000)), eq(false));
}

#[gtest]
fn wrong_orders_are_found() {
    let (v1, v2) = (version("v1"), version("v2"));
    let no_time = RolloutOrder {
        duration: Duration::ZERO,
        ..order("v2", 7)
    };
    let cases = [
        (order("v2", 7), true, vec![v1.clone(), v2.clone()], Ok(())),
        (order("v2", 7), true, vec![v1.clone()], Ok(())),
        (order("v2", 7), true, vec![], Ok(())),
        (
            order("v2", 7),
            false,
            vec![v1.clone()],
            Err(RolloutOrderError::UnknownService),
        ),
        (
            no_time,
            true,
            vec![v1.clone()],
            Err(RolloutOrderError::NoTime),
        ),
        (
            order("v1", 7),
            true,
            vec![v1.clone(), v1],
            Err(RolloutOrderError::VersionInUse),
        ),
    ];
    for (order, known, versions, expected) in cases {
        let checked = order.check(known, &versions);

        expect_that!(checked, eq(expected), "{order:?} {versions:?}");
    }
}

/// Owners are replaced, and each of them grants out of its own account.
#[gtest]
fn slack_is_granted_by_the_first_owner_alone() {
    let [first, second] = [1, 2].map(|term| RolloutOwner::new(term, 1, 0, SETTINGS.limit));

    expect_that!(
        (first.ledger.balance(), second.ledger.balance()),
        eq((30, 0))
    );
}

/// Without evidence a version does not take over, and is rolled back at the deadline.
#[gtest]
fn undecided_rollout_ends_with_a_rollback() {
    let owner = RolloutOwner::new(1, 1, 0, SETTINGS.limit);
    let slots = VersionSlots { old: 18, new: 18 };

    let early = owner.step(Duration::from_secs(5), slots);
    let late = owner.step(Duration::from_millis(500), slots);
    let over = owner.step(Duration::ZERO, slots);

    expect_that!((early, late), eq(&(OwnerStep::Wait, OwnerStep::Wait)));
    expect_that!(over, eq(&OwnerStep::RollBack(RollbackReason::Undecided)));
}
