//! What a VM keeps of the platform's tables for others.

use catkin_decisions::TableReplica;
use googletest::prelude::*;
use std::sync::Arc;

fn row(key: &str, value: u32) -> (Arc<str>, Option<u32>) {
    (key.into(), Some(value))
}

fn removed(key: &str) -> (Arc<str>, Option<u32>) {
    (key.into(), None)
}

/// The table's keys, if it is known in whole.
fn keys(table: &TableReplica<u32>) -> Option<Vec<&str>> {
    let whole = table.whole()?;
    Some(whole.rows.iter().map(|(key, _)| key.as_ref()).collect())
}

#[gtest]
fn changes_go_on_from_what_was_read() {
    let mut table = TableReplica::default();
    table.read([row("b", 1), row("a", 1)], 10);

    table.changed(10, [row("c", 1), removed("a"), row("b", 2)], 13);

    expect_that!(keys(&table), some(elements_are![eq(&"b"), eq(&"c")]));
    expect_that!(table.whole().map(|whole| whole.version), some(eq(13)));
}

/// A VM has the table from a peer and hears of changes itself. Another VM that asks it took these changes for
/// the whole table, dropped all its upstreams, and refused every call from then on.
#[gtest]
fn changes_alone_are_no_table() {
    let mut table = TableReplica::default();

    table.changed(10, [], 12);

    expect_that!(keys(&table), none());
}

/// A VM relied on another one's word for a while and reads by itself again. What changed meanwhile never
/// came through here.
#[gtest]
fn a_table_with_a_gap_is_not_shown_until_it_is_read_again() {
    let mut table = TableReplica::default();
    table.read([row("a", 1)], 10);

    table.changed(20, [row("c", 1)], 21);
    let with_gap = keys(&table).is_some();
    table.read([row("a", 1), row("b", 1), row("c", 1)], 22);

    expect_that!(with_gap, eq(false));
    expect_that!(keys(&table), some(len(eq(3))));
}
