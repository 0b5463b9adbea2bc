//! Directory of upstreams, with entries that arrive late, lapse and return.

use catkin_decisions::{
    COPY_GRACE, Instant, LAPSE_GRACE, Presence, ProcessStart, UpstreamDirectory, UpstreamEntry,
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

/// An older entry of a leaving upstream is read again from a stale store. The upstream stays leaving, or it
/// would get calls that it cannot finish.
#[gtest]
fn leaving_is_permanent() {
    let mut directory = UpstreamDirectory::default();
    directory.apply_entry(entry("u1", 1, true));

    directory.apply_entry(entry("u1", 1, false));

    expect_that!(usable(&directory, at(0)).is_empty(), eq(true));
}

/// An entry that is removed while the platform responds means that its upstream has stopped.
#[gtest]
fn removed_entry_removes_its_upstream() {
    let mut directory = UpstreamDirectory::default();
    directory.apply_entry(entry("u1", 1, false));

    let change = directory.remove_entry(&"u1".parse().unwrap(), at(5000));

    expect_that!(change, some(eq(&("u1".parse().unwrap(), Presence::Gone))));
    expect_that!(usable(&directory, at(5000)).is_empty(), eq(true));
}

/// The platform is unavailable and loses entries of live upstreams. These stay in use until they had time
/// to return; one that does not return was removed.
#[gtest]
fn expired_entries_stay_usable_within_the_grace_period() {
    let mut directory = UpstreamDirectory::default();
    directory.apply_entry(entry("back", 1, false));
    directory.apply_entry(entry("gone", 2, false));
    directory.record_platform_outage();
    directory.record_platform_response(at(10_000));

    directory.apply_snapshot(Vec::new(), at(10_010));
    let at_once = usable(&directory, at(10_010));
    directory.apply_entry(entry("back", 1, false));
    let later = usable(&directory, at(10_010).after(LAPSE_GRACE));

    expect_that!(at_once, eq(&["back", "gone"]));
    expect_that!(later, eq(&["back"]));
}

/// An upstream crashed and restarted under another id at its address. Calls for the old incarnation would
/// be refused there.
#[gtest]
fn new_incarnation_replaces_the_one_at_its_address() {
    let mut directory = UpstreamDirectory::default();
    directory.apply_entry(entry("u1", 1, false));

    directory.apply_entry(entry("u2", 1, false));

    expect_that!(usable(&directory, at(0)), eq(&["u2"]));
}

/// All entries are read again after a gap in the changes. Missing entries were removed in the gap.
#[gtest]
fn entries_missing_from_a_complete_read_are_removed() {
    let mut directory = UpstreamDirectory::default();
    directory.apply_entry(entry("u1", 1, false));
    directory.apply_entry(entry("u2", 2, false));

    let changes = directory.apply_snapshot(vec![entry("u2", 2, false)], at(9000));

    expect_that!(changes, eq(&vec![("u1".parse().unwrap(), Presence::Gone)]));
    expect_that!(usable(&directory, at(9000)), eq(&["u2"]));
}

/// An upstream crashed and restarted at its address, and the entries of both processes are listed until the
/// older one lapses. In either order the new process gets calls; if the older one replaced it, it would get
/// none while it lives.
#[gtest]
fn entries_listed_together_do_not_replace_each_other() {
    for order in [["new", "old"], ["old", "new"]] {
        let mut directory = UpstreamDirectory::default();
        let listed = order.map(|id| entry(id, 1, false));

        directory.apply_snapshot(listed.to_vec(), at(1000));
        directory.remove_entry(&"old".parse().unwrap(), at(2000));

        expect_that!(usable(&directory, at(2001)), eq(&["new"]), "{order:?}");
    }
}

fn incarnation(id: &str, born: u64) -> UpstreamIncarnation {
    UpstreamIncarnation {
        id: id.parse().unwrap(),
        born: Some(ProcessStart(born)),
    }
}

/// Entry of an upstream that reports when it started.
fn entry_started_at(id: &str, port: u16, born: u64, leaving: bool) -> UpstreamEntry {
    UpstreamEntry {
        id: incarnation(id, born),
        ..entry(id, port, leaving)
    }
}

/// An upstream drains, exits and restarts under the same id. If the directory still counted the id as
/// leaving, the new upstream process would never get a call.
#[gtest]
fn upstream_that_drained_and_started_again_is_usable() {
    let mut directory = UpstreamDirectory::default();
    directory.apply_entry(entry_started_at("u1", 1, 1000, true));

    let changes = directory.apply_entry(entry_started_at("u1", 1, 5000, false));

    let superseded = (incarnation("u1", 1000), Presence::Superseded);
    expect_that!(changes, contains(eq(&superseded)));
    expect_that!(usable(&directory, at(0)), eq(&["u1@5000"]));
}

/// An upstream has restarted and is leaving; then an entry of its earlier process is read late. This
/// entry must not make the upstream usable again.
#[gtest]
fn late_entry_of_an_earlier_process_is_ignored() {
    let mut directory = UpstreamDirectory::default();
    directory.apply_entry(entry_started_at("u1", 1, 5000, true));

    let changes = directory.apply_entry(entry_started_at("u1", 1, 1000, false));

    expect_that!(changes, is_empty());
    expect_that!(usable(&directory, at(0)), is_empty());
}

/// An entry without a start time belongs to the newest process known, whose drain still applies.
#[gtest]
fn entry_without_a_start_time_applies_to_the_newest_process() {
    let mut directory = UpstreamDirectory::default();
    directory.apply_entry(entry_started_at("u1", 1, 5000, true));

    directory.apply_entry(entry("u1", 1, false));

    expect_that!(usable(&directory, at(0)), is_empty());
}

/// An upstream's load report is of a later process than its entry, which is read a second later. Calls that
/// wait for the earlier process are lost, and the later process takes calls at once.
#[gtest]
fn report_of_a_later_process_supersedes_the_earlier() {
    let mut directory = UpstreamDirectory::default();
    directory.apply_entry(entry_started_at("u1", 1, 1000, false));

    let changes = directory.record_start(&"u1".parse().unwrap(), ProcessStart(5000), at(0));
    let again = directory.record_start(&"u1".parse().unwrap(), ProcessStart(5000), at(0));
    let earlier = directory.record_start(&"u1".parse().unwrap(), ProcessStart(1000), at(0));

    let superseded = (incarnation("u1", 1000), Presence::Superseded);
    expect_that!(changes, contains(eq(&superseded)));
    expect_that!((again, earlier), (is_empty(), is_empty()));
    expect_that!(usable(&directory, at(0)), eq(&["u1@5000"]));
}

/// An unrelated entry has the address of a live upstream. The upstream is restored by its responses, or by
/// the first call that is rejected there; the unrelated entry gets no second call, however often it is
/// read.
#[gtest]
fn unrelated_entry_does_not_displace_a_live_upstream() {
    let mut directory = UpstreamDirectory::default();
    directory.apply_entry(entry("u1", 1, false));
    directory.apply_entry(entry("foreign", 1, false));

    let by: UpstreamIncarnation = "u1".parse().unwrap();
    directory.record_denial(&"foreign".parse().unwrap(), Some(&by.id));
    let after_the_call = usable(&directory, at(0));
    directory.apply_entry(entry("foreign", 1, false));

    expect_that!(after_the_call, eq(&["u1"]));
    expect_that!(usable(&directory, at(0)), eq(&["u1"]));
}

/// A stream runs at the replaced upstream, whose next event shows that it still has the address.
#[gtest]
fn response_of_a_replaced_upstream_restores_it() {
    let mut directory = UpstreamDirectory::default();
    directory.apply_entry(entry("u1", 1, false));
    directory.apply_entry(entry("foreign", 1, false));

    directory.record_response(&"u1".parse().unwrap());

    expect_that!(usable(&directory, at(0)), eq(&["u1"]));
}

/// An older entry of a leaving upstream is read again before its entry is removed, and once more
/// afterwards. The upstream stays removed.
#[gtest]
fn late_entries_do_not_restore_a_removed_upstream() {
    let mut directory = UpstreamDirectory::default();
    directory.apply_entry(entry("u1", 1, true));
    directory.apply_entry(entry("u1", 1, false));
    directory.remove_entry(&"u1".parse().unwrap(), at(0));

    directory.apply_entry(entry("u1", 1, false));

    expect_that!(usable(&directory, at(1)), is_empty());
}

/// Upstreams without a known start time return under an id that drained. Half a minute later no earlier
/// entry can arrive any more.
#[gtest]
fn id_is_reusable_after_the_retention_period() {
    let mut directory = UpstreamDirectory::default();
    directory.apply_entry(entry("u1", 1, true));
    directory.remove_entry(&"u1".parse().unwrap(), at(0));
    directory.record_platform_response(at(1000));
    directory.apply_entry(entry("u1", 1, false));
    directory.apply_entry(entry("u1", 1, false));
    let soon = usable(&directory, at(2000)).len();
    directory.record_platform_response(at(31_000));

    directory.apply_entry(entry("u1", 1, false));

    expect_that!(soon, eq(0));
    expect_that!(usable(&directory, at(31_000)), eq(&["u1"]));
}

/// What one VM reads about one upstream, in any order.
#[derive(Clone, Debug)]
enum Observation {
    /// An entry of its n-th process, possibly late, and whether it is leaving.
    Entry(u64, bool),
    /// A load report of its n-th process.
    Report(u64),
    /// An entry of an unrelated upstream at its address.
    Unrelated,
    /// A complete read of the table that contains its n-th process, and whether it is leaving.
    Table(u64, bool),
}

fn observation() -> impl Strategy<Value = Observation> {
    prop_oneof![
        (0_u64..4, any::<bool>()).prop_map(|(n, leaving)| Observation::Entry(n, leaving)),
        (0_u64..4).prop_map(Observation::Report),
        prop::strategy::Just(Observation::Unrelated),
        (0_u64..4, any::<bool>()).prop_map(|(n, leaving)| Observation::Table(n, leaving)),
    ]
}

proptest! {
    /// In whatever order reads and reports arrive, an upstream whose newest known process was reported as
    /// leaving gets no calls, and one whose newest process never was gets them after its next own response.
    #[test]
    fn only_the_newest_process_counts(observations in prop::collection::vec(observation(), 1..30)) {
        let mut directory = UpstreamDirectory::default();
        let (mut newest, mut leaving) = (None, false);
        let mut observe = |n: u64, says_leaving: bool| {
            if newest < Some(n) {
                (newest, leaving) = (Some(n), false);
            }
            leaving |= newest == Some(n) && says_leaving;
            (newest, leaving)
        };
        let mut expected = (None, false);
        for observation in observations {
            match observation {
                Observation::Entry(n, says_leaving) => {
                    directory.apply_entry(entry_started_at("u1", 1, n, says_leaving));
                    expected = observe(n, says_leaving);
                }
                Observation::Table(n, says_leaving) => {
                    directory.apply_snapshot(vec![entry_started_at("u1", 1, n, says_leaving)], at(0));
                    expected = observe(n, says_leaving);
                }
                Observation::Report(n) => {
                    directory.record_start(&"u1".parse().unwrap(), ProcessStart(n), at(0));
                    if expected.0.is_some() {
                        expected = observe(n, false);
                    }
                }
                Observation::Unrelated => {
                    directory.apply_entry(entry("foreign", 1, false));
                }
            }
        }
        let Some(newest) = expected.0 else { return Ok(()) };
        directory.record_response(&incarnation("u1", newest));
        let usable = usable(&directory, at(0)).contains(&format!("u1@{newest}"));
        prop_assert_eq!(usable, !expected.1);
    }
}

/// An upstream moves to another address, and a new one takes its old address. If the index still contained
/// the old address, the upstream that moved would count as replaced and get no calls.
#[gtest]
fn upstream_that_moved_is_not_replaced_at_its_old_address() {
    let mut directory = UpstreamDirectory::default();
    directory.apply_snapshot(vec![entry("u1", 1, false)], at(0));
    directory.apply_entry(entry("u1", 2, false));

    directory.apply_entry(entry("u2", 1, false));
    let apart = usable(&directory, at(0));
    directory.apply_entry(entry("u3", 2, false));

    expect_that!(apart, eq(&["u1", "u2"]));
    expect_that!(usable(&directory, at(0)), eq(&["u2", "u3"]));
}

/// When the platform returns, the table lists an upstream at the address of another one whose entry has
/// lapsed. That one crashed during the outage; within its grace period, calls would be sent to an address
/// that rejects them.
#[gtest]
fn listed_upstream_replaces_a_lapsed_one_at_its_address() {
    let mut directory = UpstreamDirectory::default();
    directory.apply_snapshot(vec![entry("u1", 1, false), entry("u2", 2, false)], at(0));
    directory.record_platform_outage();

    directory.apply_snapshot(vec![entry("u3", 1, false)], at(5000));

    expect_that!(usable(&directory, at(5001)), eq(&["u2", "u3"]));
}

/// Guards against calls to an upstream that said that it is leaving, after its row, or another VM's report of it, is
/// read without that word.
#[gtest]
fn stated_leaving_outlasts_rows_lapses_and_replacement() {
    let id: UpstreamIncarnation = "u1".parse().unwrap();
    let mut row = UpstreamDirectory::default();
    row.apply_entry(entry("u1", 1, false));
    let mut lapsed = row.clone();
    lapsed.record_platform_outage();
    lapsed.remove_entry(&id.id, at(0));
    let mut replaced = row.clone();
    replaced.apply_entry(entry("u2", 1, false));

    let changes = [&mut row, &mut lapsed, &mut replaced]
        .map(|directory| directory.record_leaving(&id).is_some());
    let again = row.record_leaving(&id);
    row.apply_snapshot(vec![entry("u1", 1, false)], at(10));
    lapsed.apply_entry(entry("u1", 1, false));
    replaced.record_response(&id);

    expect_that!(changes, eq([true, true, false]));
    expect_that!(again, none());
    for directory in [&row, &lapsed, &replaced] {
        let is_usable = directory.get_usable(&id, at(20)).is_some();
        expect_that!(is_usable, eq(false));
    }
}

/// Guards against a new process that gets no calls since the one before it said that it was leaving.
#[gtest]
fn stated_leaving_does_not_bind_the_next_incarnation() {
    let with_start = |ms| {
        let mut entry = entry("u1", 1, false);
        entry.id.born = Some(ProcessStart(ms));
        entry
    };
    let mut directory = UpstreamDirectory::default();
    directory.apply_entry(with_start(1));
    directory.record_leaving(&with_start(1).id);

    directory.apply_entry(with_start(2));

    let next = with_start(2).id;
    expect_that!(directory.get_usable(&next, at(0)).is_some(), eq(true));
    expect_that!(directory.get_usable(&with_start(1).id, at(0)), none());
}

/// A directory of two upstreams, of which the first has been removed.
fn directory_without_u1() -> UpstreamDirectory {
    let mut directory = UpstreamDirectory::default();
    directory.apply_entry(entry("u1", 1, false));
    directory.apply_entry(entry("u2", 2, false));
    directory.remove_entry(&"u1".parse().unwrap(), at(1000));
    directory
}

fn copied_entries() -> Vec<UpstreamEntry> {
    vec![entry("u1", 1, false), entry("u2", 2, false)]
}

/// Guards against calls to an upstream that has gone, because the copy from which the store came back lists it.
#[gtest]
fn copied_entry_does_not_restore_a_removed_upstream() {
    let mut directory = directory_without_u1();

    directory.apply_copy(copied_entries(), at(2000));
    directory.apply_snapshot(copied_entries(), at(3000));
    let listed = usable(&directory, at(3000));
    directory.apply_snapshot(vec![entry("u2", 2, false)], at(5000));
    let removed = usable(&directory, at(20_000));

    expect_that!(listed, eq(&["u2"]));
    expect_that!(removed, eq(&["u2"]));
}

#[gtest]
fn upstream_that_writes_its_entry_after_the_copy_is_usable() {
    let mut directory = directory_without_u1();
    directory.apply_copy(copied_entries(), at(2000));

    directory.apply_entry(entry("u1", 1, false));

    expect_that!(usable(&directory, at(2010)), eq(&["u1", "u2"]));
}

/// Guards against an upstream that is never used again: a VM that relies on another one does not see an entry that is
/// written again without a change.
#[gtest]
fn copied_entry_that_is_not_removed_is_usable() {
    let mut directory = directory_without_u1();

    directory.apply_copy(copied_entries(), at(2000));
    let end = at(2000).after(COPY_GRACE);
    for now in (2000..).step_by(1000).map(at).take_while(|now| *now <= end) {
        directory.record_platform_response(now);
    }

    expect_that!(usable(&directory, end), eq(&["u1", "u2"]));
}

/// Guards against calls to an upstream that has gone, from a VM that was suspended while its entry was removed.
#[gtest]
fn copied_entry_is_not_trusted_after_a_silence_of_the_platform() {
    let mut directory = directory_without_u1();
    directory.apply_copy(copied_entries(), at(2000));
    directory.record_platform_response(at(2000));

    directory.record_platform_response(at(2000).after(COPY_GRACE));
    let first = usable(&directory, at(2000).after(COPY_GRACE));

    expect_that!(first, eq(&["u2"]));
}

/// Guards against calls to an upstream that is leaving, because the copy is from before it said so.
#[gtest]
fn copied_entry_does_not_revoke_that_its_upstream_is_leaving() {
    let mut directory = directory_without_u1();
    directory.apply_entry(entry("u2", 2, true));

    directory.apply_copy(copied_entries(), at(2000));
    directory.apply_entry(entry("u2", 2, false));

    expect_that!(usable(&directory, at(2000)), is_empty());
}
