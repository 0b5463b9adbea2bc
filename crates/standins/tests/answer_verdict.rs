//! Classification of errors in an answer from the received tokens and text alone.

use catkin_standins::{AnswerVerdict, TokenChain};
use googletest::prelude::*;

const TOKENS: usize = 20;

fn chain(prompt: &str) -> TokenChain {
    TokenChain::new("catkin", "1", prompt, 7)
}

/// Returns token ids and bytes of a generation that continues `prefix`, sampled with `salt`.
fn generate(prompt: &str, prefix: &[u32], salt: u64) -> (Vec<u32>, Vec<Vec<u8>>) {
    let mut chain = chain(prompt);
    let mut ids = prefix.to_vec();
    let mut bytes: Vec<_> = prefix.iter().map(|id| chain.push(*id)).collect();
    while ids.len() < TOKENS {
        let id = chain.sample(salt);
        ids.push(id);
        bytes.push(chain.push(id));
    }
    (ids, bytes)
}

fn verdict(ids: &[u32], bytes: &[Vec<u8>]) -> AnswerVerdict {
    let text = String::from_utf8_lossy(&bytes.concat()).into_owned();
    AnswerVerdict::of(chain("menu"), TOKENS, ids, &text, true)
}

#[gtest]
fn complete_and_resumed_answers_are_correct() {
    let (ids, bytes) = generate("menu", &[], 1);
    let resumed = generate("menu", &ids[..8], 2);

    expect_that!(verdict(&ids, &bytes).is_correct(), eq(true));
    expect_that!(verdict(&resumed.0, &resumed.1).is_correct(), eq(true));
}

#[gtest]
fn missing_tokens_are_counted() {
    let (mut ids, mut bytes) = generate("menu", &[], 1);
    ids.drain(5..7);
    bytes.drain(5..7);

    let expected = AnswerVerdict {
        missing: 2,
        ..AnswerVerdict::default()
    };
    expect_that!(verdict(&ids, &bytes), eq(expected));
}

#[gtest]
fn truncated_answer_counts_the_missing_tokens() {
    let (ids, bytes) = generate("menu", &[], 1);

    let expected = AnswerVerdict {
        missing: 4,
        ..AnswerVerdict::default()
    };
    expect_that!(verdict(&ids[..16], &bytes[..16]), eq(expected));
}

/// A failed answer may end within a character. Its text then lacks only that character.
#[gtest]
fn failed_answer_truncated_within_a_character_is_correct() {
    let (ids, bytes) = generate("menu", &[], 1);
    let text = String::from_utf8_lossy(&bytes[..4].concat()).into_owned();
    let text = text.trim_end_matches(char::REPLACEMENT_CHARACTER);

    let truncated = AnswerVerdict::of(chain("menu"), TOKENS, &ids[..4], text, false);
    let ended_as_complete = AnswerVerdict::of(chain("menu"), 4, &ids[..4], text, true);

    expect_that!(truncated.is_correct(), eq(true));
    expect_that!(ended_as_complete.is_correct(), eq(false));
}

#[gtest]
fn repeated_tokens_are_counted() {
    let (mut ids, mut bytes) = generate("menu", &[], 1);
    ids.insert(6, ids[5]);
    bytes.insert(6, bytes[5].clone());

    let expected = AnswerVerdict {
        repeated: 1,
        ..AnswerVerdict::default()
    };
    expect_that!(verdict(&ids, &bytes), eq(expected));
}

/// After a fail-over, the answer continues with a second generation of the same request whose prefix
/// was not forced to the tokens already delivered.
#[gtest]
fn mixed_generations_are_counted() {
    let (mut ids, mut bytes) = generate("menu", &[], 1);
    let (other_ids, other_bytes) = generate("menu", &[], 2);
    ids.splice(10.., other_ids[10..].iter().copied());
    bytes.splice(10.., other_bytes[10..].iter().cloned());

    let expected = AnswerVerdict {
        mixed: 10,
        ..AnswerVerdict::default()
    };
    expect_that!(verdict(&ids, &bytes), eq(expected));
}

#[gtest]
fn answer_to_another_request_is_crossed() {
    let (ids, bytes) = generate("reprint", &[], 1);

    let expected = AnswerVerdict {
        crossed: TOKENS,
        ..AnswerVerdict::default()
    };
    expect_that!(verdict(&ids, &bytes), eq(expected));
}

/// An answer fails after a token that ends within a character. The caller then has received complete
/// characters only, and these are correct. Guards against counting such an answer as mixed, which
/// poison scenarios with seeds 2 and 5 ran into.
#[gtest]
fn failed_answer_truncated_after_any_token_is_correct() {
    let (ids, bytes) = generate("menu", &[], 1);
    for count in 1..TOKENS {
        let mut joiner = catkin_decisions::Utf8Joiner::default();
        let text: String = bytes[..count].iter().map(|b| joiner.push(b)).collect();

        let verdict = AnswerVerdict::of(chain("menu"), TOKENS, &ids[..count], &text, false);

        expect_that!(
            verdict.is_correct(),
            eq(true),
            "truncated after {count} tokens"
        );
    }
}
