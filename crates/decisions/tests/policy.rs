//! Parsing of policies that differ from the default.

use catkin_decisions::{Error, Policy};
use googletest::prelude::*;

#[gtest]
fn nothing_named_is_the_usual_policy() {
    expect_that!("".parse::<Policy>(), ok(eq(&Policy::default())));
}

#[gtest]
fn switches_and_costs_are_named() {
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
fn what_is_no_field_or_value_is_refused() {
    for text in ["copy=false", "copies", "copies=off", "stream_cost=much"] {
        let fault = text.parse::<Policy>();

        let expected = Error::Policy { part: text.into() };
        expect_that!(fault, err(eq(&expected)), "{text}");
    }
}
