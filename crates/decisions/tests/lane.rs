//! Lanes and the priorities under which engines run them.

use catkin_decisions::{EnginePriority, Lane, TokenIndex};
use googletest::prelude::*;

#[gtest]
fn short_generations_and_plain_calls_are_quick() {
    let lanes = [0, 64, 65].map(Lane::of);

    expect_that!(lanes, eq([Lane::Quick, Lane::Quick, Lane::Long]));
}

/// An engine is overfull and preempts by priority. A second copy goes first, and a quick call last.
#[gtest]
fn order_of_preemption() {
    let priorities = [
        EnginePriority::SECOND_COPY,
        EnginePriority::of(Lane::Long, TokenIndex(0)),
        EnginePriority::of(Lane::Long, TokenIndex(9)),
        EnginePriority::of(Lane::Quick, TokenIndex(0)),
    ];

    expect_that!(
        priorities.windows(2).all(|pair| pair[0] < pair[1]),
        eq(true)
    );
}
