//! Parsing of policies that differ from the default.

use catkin_decisions::{Error, Policy};
use googletest::prelude::*;

#[gtest]
fn empty_text_is_the_default_policy() {
    expect_that!("".parse::<Policy>(), ok(eq(&Policy::default())));
}

#[gtest]
fn switches_and_costs_are_parsed() {
    let policy = "copies=false, stream_cost=60".parse::<Policy>();

    let expected = Policy {
        copies: false,
        stream_cost: 60.0,
        ..Policy::default()
    };
    expect_that!(policy, ok(eq(&expected)));
}

/// A misspelt field that was ignored would make a test run measure the default policy.
#[gtest]
fn unknown_fields_and_invalid_values_are_refused() {
    for text in ["copy=false", "copies", "copies=off", "stream_cost=much"] {
        let error = text.parse::<Policy>();

        let expected = Error::Policy { part: text.into() };
        expect_that!(error, err(eq(&expected)), "{text}");
    }
}
