//! Decoding of tokens that may contain incomplete characters.

use catkin_decisions::Utf8Joiner;
use googletest::prelude::*;
use proptest::prelude::*;

#[gtest]
fn buffers_an_incomplete_character() {
    let mut joiner = Utf8Joiner::default();

    let texts = [joiner.push(b"caf\xc3"), joiner.push(b"\xa9!")];

    expect_that!(texts, elements_are![eq("caf"), eq("\u{e9}!")]);
}

#[gtest]
fn replaces_invalid_bytes() {
    let mut joiner = Utf8Joiner::default();

    let texts = [joiner.push(b"a\xffb\xc3"), joiner.finish()];

    expect_that!(texts, elements_are![eq("a\u{fffd}b"), eq("\u{fffd}")]);
}

proptest! {
    /// A text split into tokens at arbitrary bytes is decoded without a change.
    #[test]
    fn text_does_not_depend_on_the_splits(text in ".{0,40}", size in 1..5_usize) {
        let mut joiner = Utf8Joiner::default();

        let mut joined: String = text.as_bytes().chunks(size).map(|c| joiner.push(c)).collect();
        joined.push_str(&joiner.finish());

        prop_assert_eq!(joined, text);
    }
}
