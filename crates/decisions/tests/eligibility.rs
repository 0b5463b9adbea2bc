//! Which upstream may get new work.

use catkin_decisions::{
    EVIDENCE_MAX_AGE, Incarnation, Ineligible, Instant, LeavingSource, UpstreamEvidence,
};
use googletest::prelude::*;
use proptest::prelude::*;
use std::time::Duration;

const FIRST: Incarnation = Incarnation(71);
const SECOND: Incarnation = Incarnation(12);

/// Within this time after any one source knew, a leaving upstream gets no new work.
const PROMISE: Duration = Duration::from_secs(3);

/// Longest time until a dispatched order has reached its upstream or failed.
const DISPATCH_BOUND: Duration = Duration::from_secs(1);

fn ms(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

fn heard_at(at: Instant) -> UpstreamEvidence {
    let mut evidence = UpstreamEvidence::default();
    evidence.reported(FIRST, false, at);
    evidence
}

fn speak(evidence: &mut UpstreamEvidence, source: LeavingSource, at: Instant) {
    match source {
        LeavingSource::Platform => evidence.listed(true),
        LeavingSource::Report => {
            evidence.reported(FIRST, true, at);
        }
        LeavingSource::Refusal | LeavingSource::Peer => {
            evidence.note_leaving(FIRST, source);
        }
    }
}

/// Reports and replies that lag and still say nothing of leaving.
fn lagging_words(evidence: &mut UpstreamEvidence, at: Instant) {
    evidence.reported(FIRST, false, at);
    evidence.replied(FIRST, at);
}

/// An upstream begins to leave and just one source knows; all others lag and still call it live.
/// A caller whose request went there would see it break off a moment later.
#[gtest]
fn one_word_of_leaving_is_enough_against_all_others() {
    for source in [
        LeavingSource::Platform,
        LeavingSource::Report,
        LeavingSource::Refusal,
        LeavingSource::Peer,
    ] {
        let mut evidence = heard_at(ms(0));

        speak(&mut evidence, source, ms(100));
        let verdicts = (2..200)
            .map(|n| {
                lagging_words(&mut evidence, ms(n * 100));
                evidence.eligible(ms(n * 100))
            })
            .collect::<Vec<_>>();

        let leaving = Ineligible::Leaving {
            source_of_word: source,
        };
        expect_that!(verdicts, each(err(eq(&leaving))));
    }
}

/// An upstream leaves with its availability zone's network: no source can say so. Only the lack of
/// fresh words shows it.
#[gtest]
fn silence_ends_new_work_within_the_promise() {
    let evidence = heard_at(ms(1000));

    let last = (0..10_000)
        .filter(|n| evidence.eligible(ms(*n)).is_ok())
        .max()
        .expect("eligible at first");

    expect_that!(ms(last).since(ms(1000)) + DISPATCH_BOUND, le(PROMISE));
    expect_that!(evidence.eligible(ms(9000)), err(eq(&Ineligible::Stale)));
}

/// An upstream is paused for 10 s and then answers the load request it was asked before. The
/// answer comes in now but says nothing of now.
#[gtest]
fn a_late_answer_dates_from_its_question() {
    let mut evidence = heard_at(ms(0));

    evidence.reported(FIRST, false, ms(500));

    expect_that!(evidence.eligible(ms(10_500)), err(eq(&Ineligible::Stale)));
}

/// An upstream restarts. What was said of the process before must not keep its successor idle.
#[gtest]
fn a_returned_upstream_gets_work_again() {
    let mut evidence = heard_at(ms(0));
    evidence.listed(true);

    let former = evidence.reported(SECOND, false, ms(500));
    evidence.listed(true);

    expect_that!(former, some(eq(FIRST)));
    expect_that!(evidence.eligible(ms(600)), ok(anything()));
}

/// A report of the process before a restart comes in crossed, after one of the new process.
#[gtest]
fn a_replaced_process_does_not_come_back() {
    let mut evidence = heard_at(ms(0));
    evidence.reported(SECOND, false, ms(500));

    let former = evidence.reported(FIRST, false, ms(600));

    expect_that!(former, none());
    expect_that!(evidence.incarnation(), some(eq(SECOND)));
}

/// A router starts while the platform's list says that an upstream leaves; it cannot know which
/// process is meant, and waits until the list has caught up.
#[gtest]
fn a_list_heard_first_holds_until_it_changes() {
    let mut evidence = UpstreamEvidence::default();
    evidence.listed(true);
    evidence.reported(FIRST, false, ms(0));

    let before = evidence.eligible(ms(1)).is_ok();
    evidence.listed(false);
    let after = evidence.eligible(ms(2)).is_ok();

    expect_that!((before, after), eq((false, true)));
}

/// Peers tell of many former processes of an upstream that now leaves again.
#[gtest]
fn words_about_other_processes_do_not_undo_it() {
    let mut evidence = heard_at(ms(0));
    evidence.note_leaving(FIRST, LeavingSource::Peer);

    for n in 100..200 {
        evidence.note_leaving(Incarnation(n), LeavingSource::Peer);
    }

    expect_that!(evidence.eligible(ms(1)), err(anything()));
    expect_that!(evidence.leaving().len(), le(16));
}

#[gtest]
fn a_dead_process_gets_nothing() {
    let mut evidence = heard_at(ms(0));

    evidence.gone(FIRST);
    evidence.reported(FIRST, false, ms(10));

    expect_that!(evidence.eligible(ms(20)), err(eq(&Ineligible::Unheard)));
}

#[derive(Clone, Copy, Debug)]
enum Word {
    Report(bool),
    Reply,
    Listed(bool),
    Refusal,
    Peer,
}

fn word() -> impl Strategy<Value = Word> {
    prop_oneof![
        any::<bool>().prop_map(Word::Report),
        Just(Word::Reply),
        any::<bool>().prop_map(Word::Listed),
        Just(Word::Refusal),
        Just(Word::Peer),
    ]
}

proptest! {
    #[test]
    fn whatever_comes_in_leaving_is_sticky_and_words_are_fresh(
        words in prop::collection::vec((0..900_u64, word()), 1..80)
    ) {
        let mut evidence = heard_at(ms(0));
        let (mut now, mut heard, mut left) = (0, 0, false);

        for (wait, word) in words {
            now += wait;
            match word {
                Word::Report(leaving) => {
                    evidence.reported(FIRST, leaving, ms(now));
                    left |= leaving;
                    heard = now;
                }
                Word::Reply => {
                    evidence.replied(FIRST, ms(now));
                    heard = now;
                }
                Word::Listed(leaving) => {
                    evidence.listed(leaving);
                    left |= leaving;
                }
                Word::Refusal => {
                    evidence.note_leaving(FIRST, LeavingSource::Refusal);
                    left = true;
                }
                Word::Peer => {
                    evidence.note_leaving(FIRST, LeavingSource::Peer);
                    left = true;
                }
            }

            let later = now + wait;
            let fresh = ms(later).since(ms(heard)) <= EVIDENCE_MAX_AGE;
            prop_assert_eq!(evidence.eligible(ms(later)).is_ok(), fresh && !left);
        }
    }
}
