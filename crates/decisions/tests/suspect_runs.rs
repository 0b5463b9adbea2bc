//! Announced runs of suspects on other VMs.

mod poison_support;

use catkin_decisions::{PoisonHold, PoisonRun, PoisonTracker, SuspectRun};
use googletest::prelude::*;
use poison_support::*;

fn run_on(n: usize) -> SuspectRun {
    SuspectRun {
        digest: culprit(),
        upstream: engine(n),
        incarnation: FIRST,
    }
}

/// A VM that knows of one crash of the poison request, and has received the announcement of another
/// VM that sends it to engine 1.
fn after_an_announcement() -> PoisonTracker {
    let mut other = PoisonTracker::default();
    start(&mut other, culprit(), 0);
    die(&mut other, 0);
    let mut tracker = PoisonTracker::default();
    tracker.merge(&other.marks(at(0)), at(0));
    tracker.announced(run_on(1), at(0));
    tracker
}

/// A VM whose poison request has crashed engine 0 and is about to be sent to engine `n`.
fn suspect_on(n: usize) -> (PoisonTracker, PoisonRun) {
    let mut tracker = PoisonTracker::default();
    start(&mut tracker, culprit(), 0);
    die(&mut tracker, 0);
    let run = start(&mut tracker, culprit(), n);
    (tracker, run)
}

#[gtest]
fn only_suspects_are_announced() {
    let mut tracker = PoisonTracker::default();
    let fresh = start(&mut tracker, innocent(), 1);
    start(&mut tracker, culprit(), 0);
    die(&mut tracker, 0);
    let suspect = start(&mut tracker, culprit(), 2);

    expect_that!(tracker.suspect_run(fresh), none());
    expect_that!(tracker.suspect_run(suspect), some(eq(&run_on(2))));
}

/// Guards against the loss of a third upstream: a VM fails together with the second one, and its
/// caller reconnects to another VM.
#[gtest]
fn death_of_the_announced_upstream_refuses_the_request() {
    let mut tracker = after_an_announcement();

    die_at(&mut tracker, 1, at(5));

    expect_that!(tracker.refuses(culprit(), at(5)), eq(true));
    expect_that!(tracker.refuses(innocent(), at(5)), eq(false));
}

/// Guards against blaming a suspect for a crash long after its announcement, which another request
/// may have caused.
#[gtest]
fn late_death_of_the_announced_upstream_does_not_count() {
    let mut tracker = after_an_announcement();

    die_at(&mut tracker, 1, at(11));

    expect_that!(tracker.refuses(culprit(), at(11)), eq(false));
}

/// Guards against sending a suspect to a third upstream before the liveness of the second one was
/// checked.
#[gtest]
fn suspect_waits_until_its_announced_upstream_was_checked() {
    let mut tracker = after_an_announcement();
    let may = |tracker: &PoisonTracker, seconds| {
        tracker.may_start(culprit(), &engine(2), true, at(seconds))
    };

    let unchecked = tracker.unchecked(culprit(), at(2));
    let before = may(&tracker, 2);
    tracker.checked(&run_on(1));

    expect_that!(unchecked, eq(&vec![run_on(1)]));
    expect_that!(before, err(eq(PoisonHold::Elsewhere)));
    expect_that!(may(&tracker, 1), err(eq(PoisonHold::Elsewhere)));
    expect_that!(may(&tracker, 2), ok(eq(())));
}

/// Guards against two suspects of different VMs on one upstream, whose crash could not be attributed
/// to one of them.
#[gtest]
fn other_suspects_keep_away_from_the_announced_upstream() {
    let mut tracker = after_an_announcement();
    start(&mut tracker, innocent(), 3);
    die(&mut tracker, 3);
    let may = |n, seconds| tracker.may_start(innocent(), &engine(n), true, at(seconds));

    expect_that!(may(1, 1), err(eq(PoisonHold::Elsewhere)));
    expect_that!(may(2, 1), ok(eq(())));
    expect_that!(may(1, 2), ok(eq(())));
}

/// Guards against delaying a request that has been cleared on another VM.
#[gtest]
fn request_that_got_past_the_death_is_not_held() {
    let mut other = PoisonTracker::default();
    start(&mut other, culprit(), 0);
    die(&mut other, 0);
    let run = start(&mut other, culprit(), 1);
    let mut tracker = after_an_announcement();

    other.finished(run);
    tracker.merge(&other.marks(at(0)), at(0));
    let unchecked = tracker.unchecked(culprit(), at(0));
    die(&mut tracker, 1);

    expect_that!(unchecked, is_empty());
    expect_that!(tracker.is_marked(culprit(), at(0)), eq(false));
}

/// Guards against sending a request that reached the limit of crashes while the VM waited for the
/// answers of its peers.
#[gtest]
fn order_is_held_back_once_the_request_is_refused() {
    let mut other = PoisonTracker::default();
    start(&mut other, culprit(), 1);
    die(&mut other, 1);
    let (mut tracker, run) = suspect_on(2);
    let before = tracker.clone().commit(run, at(0));

    tracker.merge(&other.marks(at(0)), at(0));

    expect_that!(before, ok(eq(())));
    expect_that!(tracker.commit(run, at(0)), err(eq(PoisonHold::Refused)));
}

/// Guards against two VMs that announce the same suspect at the same time and both send it, or
/// neither.
#[gtest]
fn one_of_two_vms_that_announce_a_suspect_together_sends_it() {
    let (mut first, first_run) = suspect_on(1);
    let (mut second, second_run) = suspect_on(2);

    first.announced(run_on(2), at(0));
    second.announced(run_on(1), at(0));

    expect_that!(first.commit(first_run, at(0)), ok(eq(())));
    expect_that!(
        second.commit(second_run, at(0)),
        err(eq(PoisonHold::Elsewhere))
    );
}

/// Guards against sending a suspect while an earlier copy of it runs on another VM.
#[gtest]
fn suspect_waits_for_its_run_on_another_vm() {
    let (mut running, sent) = suspect_on(2);
    running.commit(sent, at(0)).expect("nothing is in its way");
    let (mut tracker, run) = suspect_on(1);

    let conflicts = running.conflicts(&[run_on(1)]);
    tracker.runs_elsewhere(conflicts.running[0].clone(), at(0));

    expect_that!(conflicts.waiting, is_empty());
    expect_that!(tracker.commit(run, at(0)), err(eq(PoisonHold::Elsewhere)));
}

/// Guards against two VMs that send different suspects to one upstream at the same time.
#[gtest]
fn suspect_waits_for_another_one_on_its_upstream() {
    let (mut culprits, sent) = suspect_on(1);
    culprits.commit(sent, at(0)).expect("nothing is in its way");
    let mut tracker = PoisonTracker::default();
    start(&mut tracker, innocent(), 0);
    die(&mut tracker, 0);
    let run = start(&mut tracker, innocent(), 1);

    let announced = tracker.suspect_run(run).expect("a suspect");
    let conflicts = culprits.conflicts(&[announced]);
    tracker.runs_elsewhere(conflicts.running[0].clone(), at(0));

    expect_that!(tracker.commit(run, at(0)), err(eq(PoisonHold::Elsewhere)));
}

/// Guards against blaming a request for the crash of an upstream to which it was never sent.
#[gtest]
fn withdrawn_run_is_not_blamed_for_the_death_of_its_upstream() {
    let mut late = after_an_announcement();
    let mut early = late.clone();

    late.withdrawn(&run_on(1));
    die(&mut late, 1);
    die(&mut early, 1);
    let blamed = early.refuses(culprit(), at(0));
    early.withdrawn(&run_on(1));

    expect_that!(blamed, eq(true));
    expect_that!(late.refuses(culprit(), at(0)), eq(false));
    expect_that!(early.refuses(culprit(), at(0)), eq(false));
    expect_that!(late.unchecked(culprit(), at(0)), is_empty());
}

/// Guards against a withdrawal that clears a crash which another VM has observed itself.
#[gtest]
fn withdrawal_keeps_a_death_that_was_seen() {
    let (mut other, run) = suspect_on(1);
    other.commit(run, at(0)).expect("nothing is in its way");
    die(&mut other, 1);
    let mut tracker = PoisonTracker::default();
    tracker.merge(&other.marks(at(0)), at(0));

    tracker.withdrawn(&run_on(1));

    expect_that!(tracker.refuses(culprit(), at(0)), eq(true));
}

/// Guards against blaming a suspect for a crash between its announcement and its dispatch.
#[gtest]
fn suspect_is_not_blamed_for_a_death_before_its_order() {
    let mut tracker = PoisonTracker::default();
    start(&mut tracker, culprit(), 0);
    die(&mut tracker, 0);
    tracker.started(culprit(), engine(1), FIRST, at(0));

    die(&mut tracker, 1);

    expect_that!(tracker.refuses(culprit(), at(0)), eq(false));
}
