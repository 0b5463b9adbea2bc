//! Many calls for one key: merged if they are reads, limited if not.

use catkin_decisions::{CallKey, HotKeys, ReadCoalescer};
use googletest::prelude::*;

fn key(team: &str, path: &str) -> CallKey {
    let team = team.parse().expect("a valid name");
    CallKey::new(team, [b"GET".as_slice(), path.as_bytes()])
}

#[gtest]
fn identical_reads_get_the_leaders_answer() {
    let mut merger = ReadCoalescer::default();
    let tile = key("cobalt", "/tiles/7");

    let joined = [1, 2, 3].map(|read| merger.join(&tile, read));

    expect_that!(joined, eq([Some(1), None, None]));
    expect_that!(merger.answered(&tile), elements_are![eq(&2), eq(&3)]);
    expect_that!(merger.join(&tile, 4), some(eq(4)));
}

#[gtest]
fn reads_of_another_team_or_path_are_not_merged() {
    let mut merger = ReadCoalescer::default();
    merger.join(&key("cobalt", "/tiles/7"), 1);

    let other_team = merger.join(&key("carrier", "/tiles/7"), 2);
    let other_path = merger.join(&key("cobalt", "/tiles/8"), 3);

    expect_that!((other_team, other_path), eq((Some(2), Some(3))));
}

/// The read that the others follow fails, or its caller hangs up. The followers asked for something
/// that can still be answered and must not share its fate.
#[gtest]
fn failed_leader_does_not_fail_its_followers() {
    let mut merger = ReadCoalescer::default();
    let tile = key("cobalt", "/tiles/7");
    for read in [1, 2, 3] {
        merger.join(&tile, read);
    }

    let next = merger.failed(&tile);

    expect_that!(next, some(eq(2)));
    expect_that!(merger.answered(&tile), elements_are![eq(&3)]);
}

#[gtest]
fn parts_with_the_same_concatenation_are_different_calls() {
    let team: catkin_decisions::TeamId = "cobalt".parse().expect("a valid name");

    let keys = [["ab", "c"], ["a", "bc"]]
        .map(|parts| CallKey::new(team.clone(), parts.map(str::as_bytes)));

    expect_that!(keys[0], not(eq(&keys[1])));
}

/// One client calls for one item in a loop. Past its limit it is refused, and callers of other items
/// find the places that it would have taken.
#[gtest]
fn calls_for_one_key_are_limited_and_others_are_not() {
    let mut hot_keys = HotKeys::new(2);
    let item = key("cobalt", "/survey/7");

    let entered = [0; 3].map(|_| hot_keys.enter(&item));
    let other = hot_keys.enter(&key("cobalt", "/survey/8"));
    hot_keys.leave(&item);
    let after = hot_keys.enter(&item);

    expect_that!(entered, eq([true, true, false]));
    expect_that!((other, after), eq((true, true)));
}
