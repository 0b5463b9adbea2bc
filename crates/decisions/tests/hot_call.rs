//! Many concurrent calls for one key: reads are coalesced, other calls are limited.

use catkin_decisions::{CallKey, HotKeys, ReadCoalescer};
use googletest::prelude::*;

fn key(team: &str, path: &str) -> CallKey {
    let team = team.parse().expect("a valid name");
    CallKey::new(team, [b"GET".as_slice(), path.as_bytes()])
}

#[gtest]
fn identical_reads_get_the_leaders_response() {
    let mut coalescer = ReadCoalescer::default();
    let tile = key("cobalt", "/tiles/7");

    let joined = [1, 2, 3].map(|read| coalescer.join(&tile, read));

    expect_that!(joined, eq([Some(1), None, None]));
    expect_that!(coalescer.complete(&tile), elements_are![eq(&2), eq(&3)]);
    expect_that!(coalescer.join(&tile, 4), some(eq(4)));
}

#[gtest]
fn reads_of_another_team_or_path_are_not_coalesced() {
    let mut coalescer = ReadCoalescer::default();
    coalescer.join(&key("cobalt", "/tiles/7"), 1);

    let other_team = coalescer.join(&key("carrier", "/tiles/7"), 2);
    let other_path = coalescer.join(&key("cobalt", "/tiles/8"), 3);

    expect_that!((other_team, other_path), eq((Some(2), Some(3))));
}

/// The leader of coalesced reads fails, or its caller disconnects. The followers' reads can still be
/// served, so they must not fail with it.
#[gtest]
fn failed_leader_does_not_fail_its_followers() {
    let mut coalescer = ReadCoalescer::default();
    let tile = key("cobalt", "/tiles/7");
    for read in [1, 2, 3] {
        coalescer.join(&tile, read);
    }

    let next = coalescer.fail_leader(&tile);

    expect_that!(next, some(eq(2)));
    expect_that!(coalescer.complete(&tile), elements_are![eq(&3)]);
}

#[gtest]
fn parts_with_the_same_concatenation_are_different_calls() {
    let team: catkin_decisions::TeamId = "cobalt".parse().expect("a valid name");

    let keys = [["ab", "c"], ["a", "bc"]]
        .map(|parts| CallKey::new(team.clone(), parts.map(str::as_bytes)));

    expect_that!(keys[0], not(eq(&keys[1])));
}

/// One client requests one item in a loop. Beyond the limit its calls are refused, which leaves slots for the
/// calls for other items.
#[gtest]
fn calls_for_one_key_are_limited_and_others_are_not() {
    let mut hot_keys = HotKeys::new(2);
    let item = key("cobalt", "/survey/7");

    let acquired = [0; 3].map(|_| hot_keys.try_acquire(&item));
    let other = hot_keys.try_acquire(&key("cobalt", "/survey/8"));
    hot_keys.release(&item);
    let after = hot_keys.try_acquire(&item);

    expect_that!(acquired, eq([true, true, false]));
    expect_that!((other, after), eq((true, true)));
}
