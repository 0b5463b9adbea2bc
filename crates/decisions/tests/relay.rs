//! For any order of events, the relay delivers a prefix of one chain without gaps.

use catkin_decisions::{
    Attempt, Delivery, DropReason, Error, Finish, ReceivedEnd, ReceivedToken, Relay, RequestId,
    Token, TokenIndex,
};
use googletest::prelude::*;
use proptest::prelude::*;

fn request() -> RequestId {
    "request".parse().expect("a valid id")
}

fn token(attempt: Attempt, index: u32) -> ReceivedToken {
    ReceivedToken {
        request_id: request(),
        attempt,
        index: TokenIndex(index),
        token: Token {
            id: u32::try_from(attempt.0).expect("a small attempt") * 1000 + index,
            bytes: vec![b'a'],
        },
    }
}

fn relay_with(delivered: u32) -> (Relay, Attempt) {
    let mut relay = Relay::new(request());
    let reserved = relay.reserve();
    assert!(relay.adopt(reserved));
    for index in 0..delivered {
        relay
            .token(token(reserved.attempt(), index))
            .expect("in order");
    }
    (relay, reserved.attempt())
}

#[gtest]
fn delivers_the_live_attempt_in_order() {
    let (mut relay, attempt) = relay_with(2);

    let delivery = relay.token(token(attempt, 2));

    expect_that!(
        delivery,
        ok(eq(&Delivery::Token(TokenIndex(2), token(attempt, 2).token)))
    );
}

/// An engine is paused, a second one takes over, and the first one resumes and continues to send.
/// Without fencing, the caller would receive a mixture of two generations.
#[gtest]
fn drops_events_of_a_superseded_attempt() {
    let (mut relay, old) = relay_with(2);
    let new = relay.reserve();
    assert!(relay.adopt(new));

    let delivery = relay.token(token(old, 2));

    expect_that!(delivery, ok(eq(&Delivery::Dropped(DropReason::OldAttempt))));
    expect_that!(relay.next(), eq(TokenIndex(2)));
}

/// A second attempt is started while the first one is probed, but the first one is alive and
/// delivers another token. The prefix of the second attempt is then too short, and its tokens would
/// follow tokens from which they were not computed.
#[gtest]
fn refuses_an_attempt_with_an_outdated_prefix() {
    let (mut relay, old) = relay_with(2);
    let second = relay.reserve();
    relay.token(token(old, 2)).expect("in order");

    let adopted = relay.adopt(second);

    expect_that!(adopted, eq(false));
    expect_that!(relay.live(), eq(old));
}

/// An event between engine and router is lost. The response would lack a token.
#[gtest]
fn refuses_a_gap() {
    let (mut relay, attempt) = relay_with(2);

    let delivery = relay.token(token(attempt, 3));

    expect_that!(
        delivery,
        err(eq(&Error::Gap {
            attempt,
            expected: TokenIndex(2),
            found: TokenIndex(3),
        }))
    );
}

/// An engine confuses two streams. The caller would receive another caller's response.
#[gtest]
fn refuses_another_requests_token() {
    let (mut relay, attempt) = relay_with(2);
    let mismatched = ReceivedToken {
        request_id: "other".parse().expect("a valid id"),
        ..token(attempt, 2)
    };

    let delivery = relay.token(mismatched);

    expect_that!(delivery, err(matches_pattern!(Error::Crossed { .. })));
    expect_that!(relay.next(), eq(TokenIndex(2)));
}

/// An engine reports the end of a response, but tokens before the end were lost. The caller would
/// take a truncated response for a complete one.
#[gtest]
fn refuses_an_end_with_missing_tokens() {
    let (mut relay, attempt) = relay_with(2);

    let delivery = relay.end(&ReceivedEnd {
        request_id: request(),
        attempt,
        tokens: TokenIndex(5),
        finish: Finish::Length,
    });

    expect_that!(delivery, err(matches_pattern!(Error::Length { .. })));
    expect_that!(relay.finish(), none());
}

/// An operation on the relay; each `usize` is the index of a reserved attempt.
#[derive(Clone, Debug)]
enum Step {
    Reserve,
    Adopt(usize),
    Token(usize, u32),
    End(usize, u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => Just(Step::Reserve),
        2 => (0..6_usize).prop_map(Step::Adopt),
        8 => (0..6_usize, 0..12_u32).prop_map(|(attempt, index)| Step::Token(attempt, index)),
        1 => (0..6_usize, 0..12_u32).prop_map(|(attempt, tokens)| Step::End(attempt, tokens)),
    ]
}

proptest! {
    /// Attempts are reserved and adopted, and their events arrive late, twice or out of order, in
    /// random sequences. The response must always be the output of one chain of attempts, each of
    /// which continues exactly the tokens delivered before it.
    #[test]
    fn response_is_always_a_prefix_of_one_chain(steps in prop::collection::vec(step(), 0..200)) {
        let mut relay = Relay::new(request());
        let mut reserved = Vec::new();
        let mut response: Vec<Token> = Vec::new();
        let mut prefixes: Vec<Vec<Token>> = Vec::new();
        let mut ended = false;

        for step in steps {
            match step {
                Step::Reserve => {
                    reserved.push(relay.reserve());
                    prefixes.push(response.clone());
                }
                Step::Adopt(i) if i < reserved.len() && relay.adopt(reserved[i]) => {
                    prop_assert_eq!(&prefixes[i], &response);
                }
                Step::Token(i, index) if i < reserved.len() => {
                    let received = token(reserved[i].attempt(), index);
                    if let Ok(Delivery::Token(at, token)) = relay.token(received) {
                        prop_assert!(!ended);
                        prop_assert_eq!(reserved[i].attempt(), relay.live());
                        prop_assert_eq!(usize::try_from(at.0).expect("small"), response.len());
                        response.push(token);
                    }
                }
                Step::End(i, tokens) if i < reserved.len() => {
                    let end = ReceivedEnd {
                        request_id: request(),
                        attempt: reserved[i].attempt(),
                        tokens: TokenIndex(tokens),
                        finish: Finish::Length,
                    };
                    if let Ok(Delivery::End(_)) = relay.end(&end) {
                        prop_assert!(!ended);
                        prop_assert_eq!(usize::try_from(tokens).expect("small"), response.len());
                        ended = true;
                    }
                }
                _ => {}
            }
            let ids = response.iter().map(|token| token.id).collect::<Vec<_>>();
            prop_assert_eq!(relay.delivered().ids(), &ids[..]);
        }
    }
}
