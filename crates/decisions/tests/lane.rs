//! Tests of lanes and of the priorities that engines give them.

use catkin_decisions::{EnginePriority, Lane, TokenIndex};
use googletest::prelude::*;

#[gtest]
fn short_generations_and_plain_calls_are_quick() {
    let lanes = [0, 64, 65].map(Lane::of);

    expect_that!(lanes, eq([Lane::Quick, Lane::Quick, Lane::Long]));
}

/// Guards the order in which an overloaded engine preempts requests: hedges first, quick calls last.
#[gtest]
fn order_of_preemption() {
    let priorities = [
        EnginePriority::HEDGE,
        EnginePriority::of(Lane::Long, TokenIndex(0)),
        EnginePriority::of(Lane::Long, TokenIndex(9)),
        EnginePriority::of(Lane::Quick, TokenIndex(0)),
    ];

    expect_that!(
        priorities.windows(2).all(|pair| pair[0] < pair[1]),
        eq(true)
    );
}
