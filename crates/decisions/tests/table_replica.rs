//! Replicas of platform tables that a VM serves to its peers.

use catkin_decisions::{StoreEra, StorePosition, TableReplica};
use googletest::prelude::*;
use std::sync::Arc;

/// A position in the first era of the store.
fn at_version(version: u64) -> StorePosition {
    StorePosition::new(StoreEra(0), version)
}

fn row(key: &str, value: u32) -> (Arc<str>, Option<u32>) {
    (key.into(), Some(value))
}

fn removed(key: &str) -> (Arc<str>, Option<u32>) {
    (key.into(), None)
}

/// Keys of the table, if it is complete.
fn keys(table: &TableReplica<u32>) -> Option<Vec<&str>> {
    let snapshot = table.snapshot()?;
    Some(snapshot.rows.iter().map(|(key, _)| key.as_ref()).collect())
}

#[gtest]
fn changes_extend_a_complete_read() {
    let mut table = TableReplica::default();
    table.replace_all([row("b", 1), row("a", 1)], at_version(10));

    table.apply_changes(
        at_version(10),
        [row("c", 1), removed("a"), row("b", 2)],
        at_version(13),
    );

    expect_that!(keys(&table), some(elements_are![eq(&"b"), eq(&"c")]));
    expect_that!(
        table.snapshot().map(|snapshot| snapshot.position),
        some(eq(at_version(13)))
    );
}

/// A VM has the table from a peer and reads only changes itself. If it served these changes as the complete
/// table, a VM that asks for it would drop all its upstreams and refuse every call from then on.
#[gtest]
fn changes_alone_are_not_a_complete_table() {
    let mut table = TableReplica::default();

    table.apply_changes(at_version(10), [], at_version(12));

    expect_that!(keys(&table), none());
}

/// A VM received changes from a peer for a while and then reads them itself again. The changes in between
/// never reached this table.
#[gtest]
fn table_with_a_gap_is_incomplete_until_it_is_read_again() {
    let mut table = TableReplica::default();
    table.replace_all([row("a", 1)], at_version(10));

    table.apply_changes(at_version(20), [row("c", 1)], at_version(21));
    let with_gap = keys(&table).is_some();
    table.replace_all([row("a", 1), row("b", 1), row("c", 1)], at_version(22));

    expect_that!(with_gap, eq(false));
    expect_that!(keys(&table), some(len(eq(3))));
}
