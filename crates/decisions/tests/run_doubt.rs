//! Runs whose upstreams have fallen silent: whether they are kept, given up or handed over.

use catkin_decisions::{
    CallKind, Instant, MAX_RUN_OVERLAP, RunDecision, RunDoubt, RunSign, SuccessorState,
};
use googletest::prelude::*;
use proptest::prelude::{Strategy, any, prop_assert, prop_oneof, proptest};
use std::time::Duration;

const KINDS: [CallKind; 4] = [
    CallKind::Idempotent,
    CallKind::NonIdempotent,
    CallKind::ResumableStream,
    CallKind::Stream,
];

const SIGNS: [RunSign; 3] = [RunSign::Silence, RunSign::Data, RunSign::End];

/// Longest time for which two upstreams may work on one call.
const OVERLAP_BOUND: Duration = Duration::from_millis(400);

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

fn kinds() -> impl Strategy<Value = CallKind> {
    (0..KINDS.len()).prop_map(|kind| KINDS[kind])
}

fn signs() -> impl Strategy<Value = RunSign> {
    (0..SIGNS.len()).prop_map(|sign| SIGNS[sign])
}

fn successors() -> impl Strategy<Value = SuccessorState> {
    prop_oneof![
        proptest::prelude::Just(SuccessorState::None),
        (0_u64..30_000).prop_map(|ms| SuccessorState::Sent(at(ms))),
        proptest::prelude::Just(SuccessorState::Accepted),
    ]
}

/// What the upstreams do that a call is sent to while its run is silent.
#[derive(Clone, Copy, Debug)]
enum Successor {
    /// None may be used: no budget, no upstream left, or the call may not be sent again.
    Unavailable,
    /// It refuses after this time.
    Refuses(u64),
    /// It responds after this time.
    Accepts(u64),
}

fn answers() -> impl Strategy<Value = Successor> {
    prop_oneof![
        proptest::prelude::Just(Successor::Unavailable),
        (1_u64..20).prop_map(Successor::Refuses),
        (1_u64..3000).prop_map(Successor::Accepts),
    ]
}

/// What became of a silent run.
#[derive(Clone, Copy, Debug, Default)]
struct Course {
    /// When the run was closed.
    closed_at: Option<u64>,
    /// When the call was sent to the upstream that took it.
    taken_at: Option<u64>,
    /// Number of sends while the run was silent.
    sends: u32,
}

/// Plays a run that is silent until its deadline, decided each millisecond.
fn play(kind: CallKind, answers: &[Successor], deadline: u64) -> Course {
    let mut doubt = RunDoubt::new(kind, at(0));
    let mut course = Course::default();
    let mut sent: Option<(u64, Successor)> = None;
    let mut answers = answers.iter().copied().cycle();
    for now in 0..deadline {
        let mut state = SuccessorState::None;
        if let Some((since, answer)) = sent {
            state = SuccessorState::Sent(at(since));
            match answer {
                Successor::Refuses(after) if now >= since + after => {
                    sent = None;
                    doubt.record_refusal(at(now));
                    state = SuccessorState::None;
                }
                Successor::Accepts(after) if now >= since + after => {
                    state = SuccessorState::Accepted;
                }
                _ => {}
            }
        }
        match doubt.decide(RunSign::Silence, state, at(now)) {
            RunDecision::Keep { .. } => {}
            RunDecision::Search => match answers.next().unwrap() {
                Successor::Unavailable => doubt.end_search(at(now)),
                answer => {
                    course.sends += 1;
                    sent = Some((now, answer));
                }
            },
            RunDecision::HandOver => {
                course.closed_at = Some(now);
                course.taken_at = sent.map(|(since, _)| since);
                return course;
            }
            RunDecision::GoOn | RunDecision::Lost => panic!("a run that is silent at {now} ms"),
        }
    }
    course
}

proptest! {
    /// Guards against a run that is lost because of a guess: only its end or a successor that has it may close it.
    #[test]
    fn silence_alone_closes_no_run(
        kind in kinds(), sign in signs(), successor in successors(), now in 0_u64..30_000,
    ) {
        let decision = RunDoubt::new(kind, at(0)).decide(sign, successor, at(now));

        let taken = match successor {
            SuccessorState::None => false,
            SuccessorState::Sent(since) => at(now).since(since) >= MAX_RUN_OVERLAP,
            SuccessorState::Accepted => true,
        };
        match decision {
            RunDecision::Lost => prop_assert!(sign == RunSign::End),
            RunDecision::HandOver => prop_assert!(sign == RunSign::Silence && taken),
            RunDecision::GoOn => prop_assert!(sign == RunSign::Data),
            RunDecision::Search => prop_assert!(kind.may_retry()),
            RunDecision::Keep { until } => prop_assert!(until.is_none_or(|until| until > at(now))),
        }
    }

    /// Guards against a second run of a call that may run once, however long its upstream is silent.
    #[test]
    fn silent_call_that_may_run_once_is_never_sent_again(
        answers in proptest::collection::vec(answers(), 1..6), stream in any::<bool>(),
    ) {
        let kind = if stream { CallKind::Stream } else { CallKind::NonIdempotent };

        let course = play(kind, &answers, 25_000);

        prop_assert!(course.sends == 0 && course.closed_at.is_none());
    }

    /// Guards against two upstreams that work on one call for longer than the bound.
    #[test]
    fn silent_run_and_its_successor_overlap_for_less_than_the_bound(
        answers in proptest::collection::vec(answers(), 1..6),
    ) {
        let course = play(CallKind::ResumableStream, &answers, 25_000);

        if let (Some(closed), Some(taken)) = (course.closed_at, course.taken_at) {
            prop_assert!(Duration::from_millis(closed - taken) < OVERLAP_BOUND);
        }
    }

    /// Guards against a flood of sends while all other upstreams refuse.
    #[test]
    fn silent_call_is_sent_seldom_while_all_others_refuse(after in 1_u64..20) {
        let course = play(CallKind::ResumableStream, &[Successor::Refuses(after)], 25_000);

        prop_assert!((3..=18).contains(&course.sends), "{} sends", course.sends);
        prop_assert!(course.closed_at.is_none());
    }
}

/// Guards against a stream of a dead upstream that waits although another upstream would take it.
#[gtest]
fn silent_run_is_handed_over_as_soon_as_another_upstream_takes_it() {
    let at_once = play(CallKind::ResumableStream, &[Successor::Accepts(5)], 25_000);
    let after_refusals = play(
        CallKind::Idempotent,
        &[
            Successor::Refuses(5),
            Successor::Refuses(5),
            Successor::Accepts(5),
        ],
        25_000,
    );

    expect_that!(at_once.closed_at, some(le(10)));
    expect_that!(after_refusals.closed_at, some(le(30)));
}

/// Guards against a run that goes on after the retry budget was used up, because no search follows the first.
#[gtest]
fn search_is_repeated_until_an_upstream_is_available() {
    let answers = [
        Successor::Unavailable,
        Successor::Unavailable,
        Successor::Accepts(5),
    ];

    let course = play(CallKind::ResumableStream, &answers, 25_000);

    expect_that!(course.closed_at, some(all![ge(500), le(1500)]));
}
