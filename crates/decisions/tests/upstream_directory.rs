//! Which upstreams there are, from entries that come late, lapse and return.

use catkin_decisions::{
    Instant, LAPSE_GRACE, Presence, ProcessStart, UpstreamDirectory, UpstreamEntry,
    UpstreamIncarnation,
};
use googletest::prelude::*;
use proptest::prelude::{Strategy, any, prop, prop_assert_eq, prop_oneof, proptest};
use std::time::Duration;

fn entry(id: &str, port: u16, leaving: bool) -> UpstreamEntry {
    UpstreamEntry {
        id: id.parse().unwrap(),
        service: "engines".parse().unwrap(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "a".parse().unwrap(),
        slots: 4,
        leaving,
        version: None,
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

    expect_that!(change, some(eq(&("u1".parse().unwrap(), Presence::Gone))));
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

fn incarnation(id: &str, born: u64) -> UpstreamIncarnation {
    UpstreamIncarnation {
        id: id.parse().unwrap(),
        born: Some(ProcessStart(born)),
    }
}

/// Entry of an upstream that says when it started.
fn born(id: &str, port: u16, born: u64, leaving: bool) -> UpstreamEntry {
    UpstreamEntry {
        id: incarnation(id, born),
        ..entry(id, port, leaving)
    }
}

/// An upstream drains, ends, and starts again under its id. Taken for still leaving, it would get no call for as
/// long as this process lives.
#[gtest]
fn upstream_that_drained_and_started_again_is_usable() {
    let mut directory = UpstreamDirectory::default();
    directory.heard(born("u1", 1, 1000, true));

    let changes = directory.heard(born("u1", 1, 5000, false));

    let superseded = (incarnation("u1", 1000), Presence::Superseded);
    expect_that!(changes, contains(eq(&superseded)));
    expect_that!(usable(&directory, at(0)), eq(&["u1@5000"]));
}

/// An upstream has started again and is leaving; then an entry of its earlier process is read late. It must not
/// bring that back.
#[gtest]
fn late_entry_of_an_earlier_process_is_left_out() {
    let mut directory = UpstreamDirectory::default();
    directory.heard(born("u1", 1, 5000, true));

    let changes = directory.heard(born("u1", 1, 1000, false));

    expect_that!(changes, is_empty());
    expect_that!(usable(&directory, at(0)), is_empty());
}

/// An entry lost the moment of its start on the way: it is of the newest process known, whose drain still counts.
#[gtest]
fn entry_without_a_start_is_of_the_newest_process() {
    let mut directory = UpstreamDirectory::default();
    directory.heard(born("u1", 1, 5000, true));

    directory.heard(entry("u1", 1, false));

    expect_that!(usable(&directory, at(0)), is_empty());
}

/// An upstream's load report is of a later process than its entry, which is read a second later. Calls that
/// wait for the earlier one are lost, and the later one takes calls at once.
#[gtest]
fn report_of_a_later_process_supersedes_the_earlier() {
    let mut directory = UpstreamDirectory::default();
    directory.heard(born("u1", 1, 1000, false));

    let changes = directory.started(&"u1".parse().unwrap(), ProcessStart(5000), at(0));
    let again = directory.started(&"u1".parse().unwrap(), ProcessStart(5000), at(0));
    let earlier = directory.started(&"u1".parse().unwrap(), ProcessStart(1000), at(0));

    let superseded = (incarnation("u1", 1000), Presence::Superseded);
    expect_that!(changes, contains(eq(&superseded)));
    expect_that!((again, earlier), (is_empty(), is_empty()));
    expect_that!(usable(&directory, at(0)), eq(&["u1@5000"]));
}

/// A foreign entry shows the address of an upstream that lives. Its answers bring the upstream back, or the
/// first call that is turned away there; the foreign entry gets no second one, however often it is read.
#[gtest]
fn foreign_entry_at_the_address_of_an_upstream_does_not_throw_it_out() {
    let mut directory = UpstreamDirectory::default();
    directory.heard(entry("u1", 1, false));
    directory.heard(entry("foreign", 1, false));

    let by: UpstreamIncarnation = "u1".parse().unwrap();
    directory.denied(&"foreign".parse().unwrap(), Some(&by.id));
    let after_the_call = usable(&directory, at(0));
    directory.heard(entry("foreign", 1, false));

    expect_that!(after_the_call, eq(&["u1"]));
    expect_that!(usable(&directory, at(0)), eq(&["u1"]));
}

/// The same, while a stream runs there: its next event shows who has the address.
#[gtest]
fn answer_of_a_replaced_upstream_brings_it_back() {
    let mut directory = UpstreamDirectory::default();
    directory.heard(entry("u1", 1, false));
    directory.heard(entry("foreign", 1, false));

    directory.answered(&"u1".parse().unwrap());

    expect_that!(usable(&directory, at(0)), eq(&["u1"]));
}

/// A leaving upstream's older entry is read once more before its entry is removed, and again afterwards. It has
/// left all the same.
#[gtest]
fn late_entries_do_not_bring_back_what_has_left() {
    let mut directory = UpstreamDirectory::default();
    directory.heard(entry("u1", 1, true));
    directory.heard(entry("u1", 1, false));
    directory.removed(&"u1".parse().unwrap(), at(0));

    directory.heard(entry("u1", 1, false));

    expect_that!(usable(&directory, at(1)), is_empty());
}

/// Upstreams without a known start come back under an id that drained. Half a minute later no entry of before
/// is read any more.
#[gtest]
fn an_id_that_is_gone_for_long_may_come_back() {
    let mut directory = UpstreamDirectory::default();
    directory.heard(entry("u1", 1, true));
    directory.removed(&"u1".parse().unwrap(), at(0));
    directory.platform_answers(at(1000));
    directory.heard(entry("u1", 1, false));
    directory.heard(entry("u1", 1, false));
    let soon = usable(&directory, at(2000)).len();
    directory.platform_answers(at(31_000));

    directory.heard(entry("u1", 1, false));

    expect_that!(soon, eq(0));
    expect_that!(usable(&directory, at(31_000)), eq(&["u1"]));
}

/// What one reader sees of one upstream, in any order.
#[derive(Clone, Debug)]
enum Word {
    /// An entry of its n-th process, late or not.
    Entry(u64, bool),
    /// A report of its n-th process.
    Report(u64),
    /// A foreign entry at its address.
    Foreign,
    /// A whole table in which its n-th process stands.
    Table(u64, bool),
}

fn word() -> impl Strategy<Value = Word> {
    prop_oneof![
        (0_u64..4, any::<bool>()).prop_map(|(n, leaving)| Word::Entry(n, leaving)),
        (0_u64..4).prop_map(Word::Report),
        prop::strategy::Just(Word::Foreign),
        (0_u64..4, any::<bool>()).prop_map(|(n, leaving)| Word::Table(n, leaving)),
    ]
}

proptest! {
    /// In whatever order words of its processes come, an upstream whose newest known process was said to be leaving
    /// gets no call, and one whose newest process never was gets them after its own next answer.
    #[test]
    fn only_the_newest_process_counts(words in prop::collection::vec(word(), 1..30)) {
        let mut directory = UpstreamDirectory::default();
        let (mut newest, mut leaving) = (None, false);
        let mut hear = |n: u64, says_leaving: bool| {
            if newest < Some(n) {
                (newest, leaving) = (Some(n), false);
            }
            leaving |= newest == Some(n) && says_leaving;
            (newest, leaving)
        };
        let mut expected = (None, false);
        for word in words {
            match word {
                Word::Entry(n, says_leaving) => {
                    directory.heard(born("u1", 1, n, says_leaving));
                    expected = hear(n, says_leaving);
                }
                Word::Table(n, says_leaving) => {
                    directory.snapshot(vec![born("u1", 1, n, says_leaving)], at(0));
                    expected = hear(n, says_leaving);
                }
                Word::Report(n) => {
                    directory.started(&"u1".parse().unwrap(), ProcessStart(n), at(0));
                    if expected.0.is_some() {
                        expected = hear(n, false);
                    }
                }
                Word::Foreign => {
                    directory.heard(entry("foreign", 1, false));
                }
            }
        }
        let Some(newest) = expected.0 else { return Ok(()) };
        directory.answered(&incarnation("u1", newest));
        let usable = usable(&directory, at(0)).contains(&format!("u1@{newest}"));
        prop_assert_eq!(usable, !expected.1);
    }
}

/// An upstream moves to another address, and a new one takes its old address. Found there by what was known of it
/// before, it would be taken for replaced and get no call.
#[gtest]
fn upstream_that_moved_is_not_replaced_at_its_old_address() {
    let mut directory = UpstreamDirectory::default();
    directory.snapshot(vec![entry("u1", 1, false)], at(0));
    directory.heard(entry("u1", 2, false));

    directory.heard(entry("u2", 1, false));
    let apart = usable(&directory, at(0));
    directory.heard(entry("u3", 2, false));

    expect_that!(apart, eq(&["u1", "u2"]));
    expect_that!(usable(&directory, at(0)), eq(&["u2", "u3"]));
}

/// The platform returns and one table lists an upstream at the address of another one whose entry has lapsed. That
/// one crashed while the platform was away; its grace would have calls sent to an address that turns them away.
#[gtest]
fn listed_upstream_replaces_a_lapsed_one_at_its_address() {
    let mut directory = UpstreamDirectory::default();
    directory.snapshot(vec![entry("u1", 1, false), entry("u2", 2, false)], at(0));
    directory.platform_lost();

    directory.snapshot(vec![entry("u3", 1, false)], at(5000));

    expect_that!(usable(&directory, at(5001)), eq(&["u2", "u3"]));
}
