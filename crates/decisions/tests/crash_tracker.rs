//! Calls that crash each upstream that runs them.

use catkin_decisions::{Crash, CrashTracker, Instant, UpstreamIncarnation};
use googletest::prelude::*;
use std::time::Duration;

const CULPRIT: u64 = 1;
const INNOCENT: u64 = 2;

fn at(seconds: u64) -> Instant {
    Instant(Duration::from_secs(seconds))
}

fn upstream(n: u64) -> UpstreamIncarnation {
    format!("engine-{n}").parse().expect("a valid name")
}

fn crash(digest: u64, n: u64, seconds: u64) -> Crash {
    Crash {
        digest,
        upstream: upstream(n),
        at: at(seconds),
        cleared: false,
    }
}

fn tally(crashes: impl IntoIterator<Item = Crash>) -> CrashTracker {
    let mut tally = CrashTracker::default();
    for crash in crashes {
        tally.crashed(crash);
    }
    tally
}

/// Tells another VM what this one knows, as it is told.
fn tell(from: &mut CrashTracker, to: &mut CrashTracker, seconds: u64) {
    for crash in from.to_tell(12, at(seconds)) {
        to.crashed(Crash {
            at: at(seconds),
            ..crash
        });
    }
}

#[gtest]
fn the_third_crash_refuses_a_body() {
    let refused = [2, 3].map(|n| {
        let tally = tally((0..n).map(|n| crash(CULPRIT, n, 0)));
        tally.refuses(CULPRIT, at(1))
    });

    expect_that!(refused, eq([false, true]));
}

/// A zone's engines crash together under forty calls. Notes hold twelve crashes, and were always the latest
/// twelve: a body that kills, noted before the others, was never told, and cost each VM three engines.
#[gtest]
fn every_crash_is_told_however_many_there_are() {
    let mut here = tally((0..40).map(|n| crash(n, n % 5, 0)));
    let mut there = CrashTracker::default();

    for _ in 0..4 {
        tell(&mut here, &mut there, 1);
    }

    let heard = (0..40).filter(|n| there.crashes(*n, at(1)) == 1);
    expect_that!(heard.count(), eq(40));
}

/// Engines crash under a call by chance, and it is answered in whole in the end. Another VM had heard of the
/// crashes and told of them again, so that the same call was refused when its caller asked once more.
#[gtest]
fn a_body_that_was_answered_is_not_blamed_again_by_what_others_heard() {
    let mut here = tally((0..3).map(|n| crash(INNOCENT, n, 0)));
    let mut there = CrashTracker::default();
    tell(&mut here, &mut there, 0);
    here.delivered(INNOCENT);

    tell(&mut there, &mut here, 1);

    expect_that!(here.refuses(INNOCENT, at(1)), eq(false));
}

/// The same seen from the other VM: it hears that the call was answered, and serves it as well.
#[gtest]
fn others_hear_that_a_body_was_answered() {
    let mut here = tally((0..3).map(|n| crash(INNOCENT, n, 0)));
    let mut there = CrashTracker::default();
    tell(&mut here, &mut there, 0);
    let before = there.refuses(INNOCENT, at(1));

    here.delivered(INNOCENT);
    tell(&mut here, &mut there, 1);

    expect_that!(before, eq(true));
    expect_that!(there.refuses(INNOCENT, at(1)), eq(false));
}

/// A crash that comes after a good answer counts like any other.
#[gtest]
fn crashes_after_an_answer_count() {
    let mut tally = tally((0..2).map(|n| crash(CULPRIT, n, 0)));
    tally.delivered(CULPRIT);

    for n in 2..5 {
        tally.crashed(crash(CULPRIT, n, 1));
    }

    expect_that!(tally.refuses(CULPRIT, at(2)), eq(true));
}

/// A stream ran beside the one that kills when its third engine died, and lost two more engines by chance
/// since. It did not kill the first; were that laid to it, its caller would be refused for ten minutes.
#[gtest]
fn crashes_that_a_refused_body_explains_are_not_laid_to_those_beside_it() {
    let culprit = (0..3).map(|n| crash(CULPRIT, n, n));
    let beside = [(2, 2), (3, 4), (4, 5)].map(|(n, seconds)| crash(INNOCENT, n, seconds));

    let tally = tally(culprit.chain(beside));

    expect_that!(tally.refuses(CULPRIT, at(6)), eq(true));
    expect_that!(tally.refuses(INNOCENT, at(6)), eq(false));
}

/// Nothing tells two bodies apart under which the same engines died.
#[gtest]
fn of_two_bodies_with_the_same_crashes_both_are_refused() {
    let both = [CULPRIT, INNOCENT].map(|digest| (0..3).map(move |n| crash(digest, n, n)));

    let tally = tally(both.into_iter().flatten());

    let refused = [CULPRIT, INNOCENT].map(|digest| tally.refuses(digest, at(4)));
    expect_that!(refused, eq([true, true]));
}
