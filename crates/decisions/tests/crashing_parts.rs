//! Which part of a prompt is blamed for crashes of upstreams.

use catkin_decisions::{
    BlameChange, CallAttribute, CallAttributes, Crash, CrashTracker, CrashVerdict, Instant, PartId,
    TrialSlot,
};
use googletest::prelude::*;
use std::{sync::Arc, time::Duration};

fn at(seconds: u64) -> Instant {
    Instant(Duration::from_secs(seconds))
}

fn part_of(service: &str, name: &str) -> PartId {
    PartId::new(&service.parse().unwrap(), name)
}

/// A call with this body and these shared parts.
fn call(body: u64, parts: &[&str]) -> CallAttributes {
    CallAttributes::new(body, parts.iter().map(|part| part_of("engines", part)))
}

/// Records that an upstream crashed under a call that had just begun.
fn crash(tracker: &mut CrashTracker, upstream: u64, call: &CallAttributes, seconds: u64) {
    let upstream = format!("e-{upstream}").parse().unwrap();
    for crash in Crash::of_parts(call, &upstream, at(seconds)) {
        tracker.record_crash(crash);
    }
    tracker.update_blame(at(seconds));
}

/// The part because of which a call is refused.
fn refused_part(tracker: &CrashTracker, call: &CallAttributes, seconds: u64) -> Option<String> {
    match tracker.verdict(call, at(seconds)) {
        CrashVerdict::Refused(refusal) => match refusal.attribute {
            CallAttribute::Part(part) => part.to_string().split('@').next().map(str::to_owned),
            CallAttribute::Body(_) => None,
        },
        _ => None,
    }
}

/// Guards against requests that crash engines one after the other because their bodies differ.
#[gtest]
fn third_crash_under_different_bodies_blames_the_part() {
    let mut tracker = CrashTracker::default();
    let mut refused = Vec::new();

    for n in 1..=3 {
        crash(&mut tracker, n, &call(n, &["shared", "crashing"]), n);
        refused.push(refused_part(&tracker, &call(9, &["shared", "crashing"]), n));
    }

    expect_that!(refused, elements_are![none(), none(), some(eq("crashing"))]);
}

/// Guards against refusing all requests of a route for the part that they share with the crashing ones.
#[gtest]
fn first_part_is_not_blamed_for_a_later_one() {
    let mut tracker = CrashTracker::default();
    for n in 1..=5 {
        crash(&mut tracker, n, &call(n, &["shared", "crashing"]), n);
    }

    let refused = refused_part(&tracker, &call(9, &["shared", "sound"]), 6);

    expect_that!(refused, none());
}

/// Guards against blaming the first parts for a later one that was used more than each of them before it crashed
/// engines.
#[gtest]
fn first_parts_are_not_blamed_for_a_popular_later_one() {
    let mut tracker = CrashTracker::default();
    for n in 1..=20 {
        let first = ["a", "b"][usize::try_from(n % 2).unwrap()];
        tracker.record_clean_run(&call(n, &[first, "crashing"]), at(n));
    }
    for n in 21..=28 {
        let first = ["a", "b"][usize::try_from(n % 2).unwrap()];
        crash(&mut tracker, n, &call(n, &[first, "crashing"]), n);
    }

    let refused = [["a", "sound"], ["b", "sound"], ["c", "crashing"]]
        .map(|parts| refused_part(&tracker, &call(99, &parts), 29));

    expect_that!(refused, elements_are![none(), none(), some(eq("crashing"))]);
}

/// Guards against blaming a part for one body that crashes engines, whoever shares the part.
#[gtest]
fn part_of_one_crashing_body_is_not_blamed() {
    let mut tracker = CrashTracker::default();
    for n in 1..=5 {
        crash(&mut tracker, n, &call(1, &["shared", "second"]), n);
    }

    let refused = refused_part(&tracker, &call(9, &["shared", "second"]), 6);

    expect_that!(refused, none());
}

/// Guards against blaming a part that many requests share when all engines of a zone crash at once.
#[gtest]
fn crashes_of_one_moment_blame_no_part() {
    let mut tracker = CrashTracker::default();
    for n in 1..=30 {
        crash(&mut tracker, n, &call(n, &["shared"]), 1);
    }

    let refused = refused_part(&tracker, &call(99, &["shared"]), 2);

    expect_that!(refused, none());
}

/// Guards against blaming a part whose requests get past their beginning between the crashes.
#[gtest]
fn clean_run_clears_the_crashes_before_it() {
    let mut tracker = CrashTracker::default();
    for n in 1..=6 {
        crash(&mut tracker, n, &call(n, &["shared"]), 2 * n);
        tracker.record_clean_run(&call(100 + n, &["shared"]), at(2 * n + 1));
    }

    let refused = refused_part(&tracker, &call(99, &["shared"]), 14);

    expect_that!(refused, none());
}

/// Guards against a run that had begun before a crash clearing it: the part may crash engines since.
#[gtest]
fn clean_run_that_began_before_a_crash_does_not_clear_it() {
    let mut tracker = CrashTracker::default();
    for n in 1..=3 {
        crash(&mut tracker, n, &call(n, &["crashing"]), 10 + n);
    }

    tracker.record_clean_run(&call(9, &["crashing"]), at(10));
    tracker.update_blame(at(14));

    let refused = refused_part(&tracker, &call(99, &["crashing"]), 14);
    expect_that!(refused, some(eq("crashing")));
}

/// Guards against refusing a sound part whose requests ran beside crashing ones.
#[gtest]
fn part_that_ran_beside_a_crashing_one_is_not_blamed() {
    let mut tracker = CrashTracker::default();
    for n in 1..=5 {
        crash(&mut tracker, n, &call(n, &["crashing"]), n);
    }
    for n in 1..=4 {
        crash(&mut tracker, n, &call(100 + n, &["beside"]), n);
    }

    let refused = ["crashing", "beside"].map(|part| refused_part(&tracker, &call(99, &[part]), 6));

    expect_that!(refused, elements_are![some(eq("crashing")), none()]);
}

/// Guards against a second crashing part that hides behind the first one.
#[gtest]
fn second_crashing_part_is_blamed_for_crashes_of_its_own() {
    let mut tracker = CrashTracker::default();
    for n in 1..=5 {
        crash(&mut tracker, n, &call(n, &["first"]), n);
    }
    for n in 3..=7 {
        crash(&mut tracker, n, &call(100 + n, &["second"]), n);
    }

    let refused = ["first", "second"].map(|part| refused_part(&tracker, &call(99, &[part]), 8));

    expect_that!(
        refused,
        elements_are![some(eq("first")), some(eq("second"))]
    );
}

/// Guards against refusing a body for crashes of a part, when another call with the body runs beside it.
#[gtest]
fn body_beside_a_blamed_part_is_not_refused_for_its_crashes() {
    let mut tracker = CrashTracker::default();
    for n in 1..=3 {
        crash(&mut tracker, n, &call(n, &["crashing"]), n);
        let upstream = format!("e-{n}").parse().unwrap();
        tracker.record_crash(Crash::of_body(
            50,
            upstream,
            catkin_decisions::CrashPhase::BeforeEvent,
            at(n),
        ));
    }

    expect_that!(tracker.is_refused(50, at(4)), eq(false));
    expect_that!(tracker.explained_count(50, at(4)), eq(3));
}

/// Guards against a VM that has just started and knows no crash.
#[gtest]
fn evidence_of_a_blamed_part_is_enough_for_another_vm() {
    let mut tracker = CrashTracker::default();
    for n in 1..=9 {
        crash(&mut tracker, n, &call(n, &["shared", "crashing"]), n);
    }
    let mut other = CrashTracker::default();

    for crash in tracker.next_evidence(at(300)) {
        other.record_reported(crash.received(at(300)), at(300));
    }
    let changes = other.update_blame(at(300));

    expect_that!(changes.len(), eq(1));
    expect_that!(matches!(changes[0], BlameChange::Blamed(_)), eq(true));
    let refused = refused_part(&other, &call(99, &["crashing"]), 301);
    expect_that!(refused, some(eq("crashing")));
}

/// Guards against a trial by each VM when a part's block ends: at 400 VMs that would be 400 engines.
#[gtest]
fn one_vm_tries_a_part_after_its_block() {
    for vms in [8, 400] {
        let names = (0..vms)
            .map(|n| Arc::from(format!("vm-{n}")))
            .collect::<Vec<Arc<str>>>();
        let part = part_of("engines", "crashing");

        for number in 0..20 {
            let trying = (0..names.len()).filter(|n| {
                let mut others = names.clone();
                let own = others.remove(*n);
                TrialSlot(number).is_of(&part, &own, &others)
            });
            expect_that!(trying.count(), eq(1));
        }
    }
}

/// Guards against refusing a part for ever. A trial that gets past its beginning clears the part.
#[gtest]
fn part_is_tried_after_its_block_and_cleared_by_a_clean_run() {
    let mut tracker = CrashTracker::default();
    let tried = call(9, &["crashing"]);
    for n in 1..=5 {
        crash(&mut tracker, n, &call(n, &["crashing"]), n);
    }

    let before = tracker.verdict(&tried, at(604));
    let after = tracker.verdict(&tried, at(608));
    tracker.record_trial(part_of("engines", "crashing"), at(608));
    let again = tracker.verdict(&tried, at(609));
    tracker.record_clean_run(&tried, at(609));
    tracker.update_blame(at(610));

    expect_that!(matches!(before, CrashVerdict::Refused(_)), eq(true));
    expect_that!(matches!(after, CrashVerdict::Trial { .. }), eq(true));
    expect_that!(matches!(again, CrashVerdict::Refused(_)), eq(true));
    expect_that!(
        tracker.verdict(&tried, at(610)),
        eq(&CrashVerdict::Admitted)
    );
}

/// Guards against a caller that makes up parts and so removes what is known of a crashing one.
#[gtest]
fn made_up_parts_do_not_evict_a_blamed_one() {
    let mut tracker = CrashTracker::default();
    for n in 1..=3 {
        crash(&mut tracker, n, &call(n, &["crashing"]), n);
    }

    for n in 0..600 {
        let parts = (0..16).map(|i| format!("{n}-{i}")).collect::<Vec<_>>();
        let parts = parts.iter().map(String::as_str).collect::<Vec<_>>();
        crash(&mut tracker, 100 + n, &call(100 + n, &parts), 4 + n / 20);
    }

    let refused = refused_part(&tracker, &call(99, &["crashing"]), 40);
    expect_that!(refused, some(eq("crashing")));
}

/// Guards against clean runs on the engines of one service hiding a part that crashes those of another.
#[gtest]
fn clean_runs_of_another_service_do_not_clear_a_part() {
    let mut tracker = CrashTracker::default();
    let elsewhere = CallAttributes::new(9, [part_of("other", "crashing")]);
    for n in 1..=3 {
        crash(&mut tracker, n, &call(n, &["crashing"]), n);
        tracker.record_clean_run(&elsewhere, at(n));
    }

    let refused = refused_part(&tracker, &call(99, &["crashing"]), 4);

    expect_that!(refused, some(eq("crashing")));
    expect_that!(
        tracker.verdict(&elsewhere, at(4)),
        eq(&CrashVerdict::Admitted)
    );
}

/// Guards against a VM that goes on refusing a part which a trial at another VM has cleared.
#[gtest]
fn clean_run_long_after_the_crashes_clears_the_part_at_other_vms() {
    let mut tracker = CrashTracker::default();
    for n in 1..=5 {
        crash(&mut tracker, n, &call(n, &["crashing"]), n);
    }
    let mut other = CrashTracker::default();
    for crash in tracker.next_evidence(at(6)) {
        other.record_reported(crash.received(at(6)), at(6));
    }
    other.update_blame(at(6));
    let before = refused_part(&other, &call(99, &["crashing"]), 7);

    tracker.record_clean_run(&call(9, &["crashing"]), at(620));
    for crash in tracker.next_suspects_to_send(10, at(621)) {
        other.record_reported(crash.received(at(621)), at(621));
    }
    other.update_blame(at(621));

    expect_that!(before, some(eq("crashing")));
    let after = other.verdict(&call(99, &["crashing"]), at(622));
    expect_that!(after, eq(&CrashVerdict::Admitted));
}
