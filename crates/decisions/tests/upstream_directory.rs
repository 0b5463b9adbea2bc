//! Which upstreams there are, from entries that come late, lapse and return.

use catkin_decisions::{Instant, LAPSE_GRACE, Presence, UpstreamDirectory, UpstreamEntry};
use googletest::prelude::*;
use std::time::Duration;

fn entry(id: &str, port: u16, leaving: bool) -> UpstreamEntry {
    UpstreamEntry {
        id: id.parse().unwrap(),
        service: "engines".parse().unwrap(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "a".parse().unwrap(),
        slots: 4,
        leaving,
    }
}

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

fn usable(directory: &UpstreamDirectory, now: Instant) -> Vec<String> {
    let service = "engines".parse().unwrap();
    directory
        .usable(&service, now)
        .map(|entry| entry.id.to_string())
        .collect()
}

/// A leaving upstream's older entry is read once more, from a store that answers stale. It stays
/// leaving, or it would get calls that it cannot finish.
#[gtest]
fn leaving_is_sticky() {
    let mut directory = UpstreamDirectory::default();
    directory.heard(entry("u1", 1, true));

    directory.heard(entry("u1", 1, false));

    expect_that!(usable(&directory, at(0)).is_empty(), eq(true));
}

/// An entry is removed while the platform answers: its upstream is gone.
#[gtest]
fn removed_entry_means_gone() {
    let mut directory = UpstreamDirectory::default();
    directory.heard(entry("u1", 1, false));

    let change = directory.removed(&"u1".parse().unwrap(), at(5000));

    expect_that!(change, some(eq(Presence::Gone)));
    expect_that!(usable(&directory, at(5000)).is_empty(), eq(true));
}

/// The platform is away and forgets entries of upstreams that live. They are served on until they had
/// time to come back; one that does not come back is gone.
#[gtest]
fn entries_that_lapse_with_the_platform_count_for_a_while() {
    let mut directory = UpstreamDirectory::default();
    directory.heard(entry("back", 1, false));
    directory.heard(entry("gone", 2, false));
    directory.platform_lost();
    directory.platform_answers(at(10_000));

    directory.snapshot(Vec::new(), at(10_010));
    let at_once = usable(&directory, at(10_010));
    directory.heard(entry("back", 1, false));
    let later = usable(&directory, at(10_010).after(LAPSE_GRACE));

    expect_that!(at_once, eq(&["back", "gone"]));
    expect_that!(later, eq(&["back"]));
}

/// An upstream crashed and started anew at its address. Calls for the old incarnation would be
/// refused there.
#[gtest]
fn new_incarnation_replaces_the_one_at_its_address() {
    let mut directory = UpstreamDirectory::default();
    directory.heard(entry("u1", 1, false));

    directory.heard(entry("u2", 1, false));

    expect_that!(usable(&directory, at(0)), eq(&["u2"]));
}

/// All entries are read anew after a gap in the changes. Those that are missing were removed in it.
#[gtest]
fn entries_missing_from_a_whole_read_are_gone() {
    let mut directory = UpstreamDirectory::default();
    directory.heard(entry("u1", 1, false));
    directory.heard(entry("u2", 2, false));

    let changes = directory.snapshot(vec![entry("u2", 2, false)], at(9000));

    expect_that!(changes, eq(&vec![("u1".parse().unwrap(), Presence::Gone)]));
    expect_that!(usable(&directory, at(9000)), eq(&["u2"]));
}

/// An upstream has crashed and started anew at its address, and the entries of both lives are listed until
/// the older one lapses. Whatever their order, the new life gets calls; taken for replaced by the older one, it
/// would get none as long as it lived.
#[gtest]
fn both_entries_of_one_address_in_one_list_are_present() {
    for order in [["new", "old"], ["old", "new"]] {
        let mut directory = UpstreamDirectory::default();
        let listed = order.map(|id| entry(id, 1, false));

        directory.snapshot(listed.to_vec(), at(1000));
        directory.removed(&"old".parse().unwrap(), at(2000));

        expect_that!(usable(&directory, at(2001)), eq(&["new"]), "{order:?}");
    }
}
