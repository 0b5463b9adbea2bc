//! One VM of a zone reads the platform's upstream table, and the others rely on its gossip.

use catkin_decisions::{
    ConfigVersion, DELTA_WAIT, GOSSIP_MAX_AGE, GossipState, GossipView, Instant, LinkRate,
    StoreEra, StorePosition, UpstreamChange, UpstreamEntry, UpstreamTable, ZoneGossip, ZoneRole,
    ZoneVm, gossips_changes,
};
use googletest::prelude::*;
use proptest::prelude::*;
use std::{sync::Arc, time::Duration};

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

/// A position in the first era of the store.
fn at_version(version: u64) -> StorePosition {
    StorePosition::new(StoreEra(0), version)
}

fn entry(n: u8, leaving: bool) -> UpstreamChange {
    let id = format!("engine-{n}");
    let entry = UpstreamEntry {
        id: id.parse().unwrap(),
        service: "engines".parse().unwrap(),
        address: ([127, 0, 0, n], 80).into(),
        zone: "a".parse().unwrap(),
        slots: 32,
        leaving,
        version: None,
    };
    UpstreamChange {
        key: id.as_str().into(),
        written: 10,
        entry: Some(entry),
    }
}

fn removed(n: u8) -> UpstreamChange {
    UpstreamChange {
        entry: None,
        ..entry(n, false)
    }
}

/// Returns the same rows, as written at `version`.
fn written(version: u64, rows: &[UpstreamChange]) -> Vec<UpstreamChange> {
    let row = |row: &UpstreamChange| UpstreamChange {
        written: version,
        ..row.clone()
    };
    rows.iter().map(row).collect()
}

/// The table of a VM that has read engines 1 to 3 at version 10.
fn table() -> UpstreamTable {
    let mut table = UpstreamTable::default();
    table.apply_read(&[1, 2, 3].map(|n| entry(n, false)), true, at_version(10));
    table
}

/// Gossip of a VM that started with [`table`] and has read `changes` up to `version`.
fn gossip_of(changes: &[UpstreamChange], version: u64) -> ZoneGossip {
    let mut table = table();
    let changes = table
        .apply_read(&written(version, changes), false, at_version(version))
        .changed;
    ZoneGossip {
        vm: "vm-1".into(),
        config: Some(ConfigVersion(1)),
        config_from_store: false,
        config_age_ms: Some(0),
        position: at_version(version),
        digest: table.digest(),
        age_ms: 0,
        changes,
        link: None,
        members: Vec::new(),
    }
}

/// Table and gossip state of a VM that received each gossip at its time in milliseconds.
fn apply_gossip(received: &[(u64, ZoneGossip)], now: Instant) -> (UpstreamTable, GossipState) {
    let (mut table, mut view) = (table(), GossipView::default());
    for (ms, gossip) in received {
        table.apply_update(&gossip.changes, gossip.position, gossip.digest);
        view.record(gossip, &table, at(*ms));
    }
    (table, view.state(GOSSIP_MAX_AGE, now))
}

/// Upstreams rewrite their entries continuously without changing them. If these writes were relayed,
/// they would saturate the links of small VMs.
#[gtest]
fn unchanged_rows_are_not_relayed() {
    let mut table = table();

    let rows = written(11, &[entry(1, false), entry(2, true)]);

    let read = table.apply_read(&rows, false, at_version(11));

    expect_that!(read.changed, eq(&written(11, &[entry(2, true)])));
    expect_that!(read.current, eq(&rows));
}

#[gtest]
fn leaving_upstream_is_learned_from_gossip() {
    let (table, state) = apply_gossip(&[(1000, gossip_of(&[entry(2, true)], 11))], at(1010));

    expect_that!(
        state,
        eq(GossipState::Fresh(at(1000).after(GOSSIP_MAX_AGE)))
    );
    expect_that!(table.position(), eq(at_version(11)));
}

/// The datagram with a leaving upstream is lost. The digest in the next gossip differs from the local
/// one, so the VM reads the table itself; otherwise it would send calls to that upstream until they fail.
#[gtest]
fn lost_change_is_detected_by_the_next_digest() {
    let lost = gossip_of(&[entry(2, true)], 11);
    let next = ZoneGossip {
        changes: Vec::new(),
        ..lost
    };

    let (_, soon) = apply_gossip(&[(1000, next.clone())], at(1010));
    let (_, later) = apply_gossip(&[(1000, next)], at(1000).after(DELTA_WAIT));

    expect_that!(soon, eq(GossipState::Behind(at(1000).after(DELTA_WAIT))));
    expect_that!(later, eq(GossipState::Silent));
}

/// Many upstreams change at once, and the changes fill two datagrams. After the first datagram the
/// digest does not match yet, but the second one is in flight.
#[gtest]
fn rest_of_a_split_delta_is_awaited() {
    let both = gossip_of(&[entry(2, true), removed(3)], 11);
    let part = |changes: &[UpstreamChange]| ZoneGossip {
        changes: changes.to_vec(),
        ..both.clone()
    };
    let (first, second) = (part(&both.changes[..1]), part(&both.changes[1..]));

    let (_, partial) = apply_gossip(&[(1000, second.clone())], at(1005));
    let (_, complete) = apply_gossip(&[(1000, second), (1005, first)], at(1006));

    expect_that!(partial, eq(GossipState::Behind(at(1000).after(DELTA_WAIT))));
    expect_that!(
        complete,
        eq(GossipState::Fresh(at(1005).after(GOSSIP_MAX_AGE)))
    );
}

/// The reader VM loses power, or the store throttles it and its gossip becomes stale. The other VMs must
/// read the table themselves before a leaving upstream receives calls for longer than allowed.
#[gtest]
fn stale_gossip_is_not_relied_on() {
    let stale = ZoneGossip {
        age_ms: 1500,
        ..gossip_of(&[], 11)
    };

    let (_, lost) = apply_gossip(
        &[(5000, gossip_of(&[], 11))],
        at(5000).after(GOSSIP_MAX_AGE),
    );
    let (_, throttled) = apply_gossip(&[(5000, stale)], at(5150));

    expect_that!(lost, eq(GossipState::Silent));
    expect_that!(throttled, eq(GossipState::Silent));
}

/// Two VMs read for a zone, and the gossip of the one that lags arrives last. Its older rows must not
/// overwrite newer ones.
#[gtest]
fn older_gossip_overwrites_nothing() {
    let newer = gossip_of(&[entry(2, true)], 12);
    let older = gossip_of(&[entry(2, false), entry(3, true)], 11);

    let (table, state) = apply_gossip(&[(1000, newer.clone()), (1001, older)], at(1002));

    expect_that!(table.digest(), eq(newer.digest));
    expect_that!(state, matches_pattern!(GossipState::Fresh(_)));
}

#[gtest]
fn small_zone_has_one_reader_and_large_zone_two() {
    for (size, readers) in [(1, 1), (3, 1), (8, 1), (9, 2), (67, 2)] {
        let vms = (0..size)
            .map(|n| ZoneVm {
                vm: Arc::from(format!("vm-{n}")),
                link: None,
            })
            .collect::<Vec<_>>();

        let polling = vms
            .iter()
            .filter(|other| ZoneRole::of(&other.vm, &vms).polls_store())
            .count();

        expect_that!(polling, eq(readers), "of {size}");
    }
}

/// A reader that lags sends an upstream's entry and its removal in two datagrams, and the removal arrives
/// first, at a VM that had already applied it. If the late entry restored the upstream, no later change
/// would remove it again, and it would still receive calls more than four seconds after it had left.
#[gtest]
fn removed_upstream_is_not_restored_by_late_gossip() {
    let mut table = table();
    table.apply_read(&written(12, &[removed(2)]), false, at_version(12));
    let before = table.digest();
    let (present, removal) = (written(11, &[entry(2, true)]), written(12, &[removed(2)]));

    for late in [&removal, &present] {
        table.apply_update(late, at_version(13), before);
    }
    table.apply_read(&written(14, &[entry(1, false)]), false, at_version(14));

    expect_that!(table.digest(), eq(before));
}

/// The same if neither VM had applied the removal: it must be kept until the table has been read beyond
/// its version.
#[gtest]
fn removal_from_gossip_outlasts_an_older_row() {
    let mut table = table();
    let (present, removal) = (written(11, &[entry(4, false)]), written(12, &[removed(4)]));

    for late in [&removal, &present] {
        table.apply_update(late, at_version(13), 0);
    }
    table.apply_read(&[], false, at_version(13));

    expect_that!(table.entries().len(), eq(3));
}

/// The same, while this VM reads a page of the table that predates the removal.
#[gtest]
fn removal_is_kept_until_the_table_was_read_beyond_it() {
    let mut table = table();
    let (present, removal) = (written(13, &[entry(2, true)]), written(14, &[removed(2)]));
    table.apply_update(&removal, at_version(15), 0);

    table.apply_read(&[], false, at_version(11));
    table.apply_update(&present, at_version(15), 0);

    expect_that!(table.entries().len(), eq(2));
}

/// The store lists every change, so the result of a query sent before another VM's gossip arrived contains
/// changes that were already applied. If they counted as new, a removed upstream would be present again
/// for a moment, and would be advertised to the zone.
#[gtest]
fn outdated_rows_of_a_page_are_not_new() {
    let mut table = table();
    table.apply_read(&written(12, &[removed(2)]), false, at_version(12));
    let page = [
        written(11, &[entry(2, true)]),
        written(12, &[removed(2)]),
        written(13, &[entry(3, true)]),
    ];

    let read = table.apply_read(&page.concat(), false, at_version(13));

    expect_that!(read.changed, eq(&written(13, &[entry(3, true)])));
    expect_that!(table.entries().len(), eq(2));
}

/// Another VM's gossip is newer than the page read meanwhile, because its query waited longer at the store.
#[gtest]
fn page_older_than_gossip_overwrites_nothing() {
    for complete in [false, true] {
        let mut table = table();
        let newer = gossip_of(&[entry(2, true), removed(3)], 12);
        table.apply_update(&newer.changes, newer.position, newer.digest);

        let page = written(11, &[entry(1, false), entry(2, false), entry(3, false)]);
        let read = table.apply_read(&page, complete, at_version(11));

        expect_that!(table.digest(), eq(newer.digest), "complete: {complete}");
        expect_that!(table.position(), eq(at_version(12)));
        expect_that!(read.changed, is_empty());
    }
}

/// A step of the property test, on the store or one of the VMs.
#[derive(Clone, Debug)]
enum Step {
    /// Writes an upstream's row to the store as removed (0), present (1) or leaving (2).
    Write(u8, u8),
    /// A VM reads the changes or the complete table, as of some writes ago.
    Read(usize, bool, usize),
    /// A VM receives another VM's latest changes one by one in this order; some are lost or repeated.
    Receive(usize, usize, Vec<u8>),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1..6_u8, 0..3_u8).prop_map(|(n, state)| Step::Write(n, state)),
        2 => (0..3_usize, any::<bool>(), 0..4_usize)
            .prop_map(|(vm, complete, ago)| Step::Read(vm, complete, ago)),
        3 => (0..3_usize, 0..3_usize, prop::collection::vec(0..8_u8, 0..8))
            .prop_map(|(vm, from, order)| Step::Receive(vm, from, order)),
    ]
}

/// The store: all writes in order. Its version is the number of writes.
#[derive(Default)]
struct Store(Vec<UpstreamChange>);

impl Store {
    /// Returns the newest row of each key as of `version`, if it was written later than `after`.
    fn rows(&self, after: usize, version: usize) -> Vec<UpstreamChange> {
        let writes = &self.0[..version];
        let newest = |(i, row): &(usize, &UpstreamChange)| {
            writes[i + 1..].iter().all(|later| later.key != row.key)
        };
        let rows = writes.iter().enumerate().skip(after).filter(newest);
        rows.map(|(_, row)| row.clone()).collect()
    }

    fn complete_table(&self, version: usize) -> Vec<UpstreamChange> {
        let rows = self.rows(0, version).into_iter();
        rows.filter(|row| row.entry.is_some()).collect()
    }
}

proptest! {
    /// Three VMs read the store at its newest or an older version, and receive each other's changes
    /// reordered, incomplete or duplicated. A VM that has read up to the newest version must have exactly
    /// the entries of the store.
    #[test]
    fn tables_read_up_to_the_newest_version_match_the_store(
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut store = Store::default();
        let mut vms = [0, 1, 2].map(|_| (UpstreamTable::default(), Vec::new()));
        for step in steps {
            match step {
                Step::Write(n, state) => {
                    let row = match state {
                        0 => removed(n),
                        1 => entry(n, false),
                        _ => entry(n, true),
                    };
                    let version = store.0.len() as u64 + 1;
                    store.0.extend(written(version, &[row]));
                }
                Step::Read(vm, complete, ago) => {
                    let version = store.0.len().saturating_sub(ago);
                    let (table, new_changes) = &mut vms[vm];
                    let read_version = usize::try_from(table.position().version).unwrap();
                    let rows = if complete {
                        store.complete_table(version)
                    } else if version < read_version {
                        continue;
                    } else {
                        store.rows(read_version, version)
                    };
                    *new_changes = table.apply_read(&rows, complete, at_version(version as u64)).changed;
                }
                Step::Receive(vm, from, order) => {
                    let (table, new_changes) = vms[from].clone();
                    for piece in order {
                        let piece = new_changes.iter().skip(usize::from(piece)).take(1);
                        let piece = piece.cloned().collect::<Vec<_>>();
                        vms[vm].0.apply_update(&piece, table.position(), table.digest());
                    }
                }
            }
        }
        let version = store.0.len();
        for (table, _) in &mut vms {
            let read_version = usize::try_from(table.position().version).unwrap();
            table.apply_read(&store.rows(read_version, version), false, at_version(version as u64));
            let mut rows = store.complete_table(version);
            rows.sort_by(|a, b| a.key.cmp(&b.key));
            let entries = |rows: Vec<UpstreamChange>| {
                rows.into_iter().filter_map(|row| row.entry).collect::<Vec<_>>()
            };
            prop_assert_eq!(entries(table.entries()), entries(rows));
        }
    }

    /// A VM that received all changes by gossip has the same digest as the VM that read them.
    #[test]
    fn digest_depends_only_on_content(
        steps in prop::collection::vec((1..20_u8, 0..3_u8), 1..60),
    ) {
        let (mut reader, mut receiver) = (table(), table());
        for (version, (n, state)) in (11..).zip(steps) {
            let change = match state {
                0 => removed(n),
                1 => entry(n, false),
                _ => entry(n, true),
            };
            let read = reader.apply_read(&written(version, &[change]), false, at_version(version));
            receiver.apply_update(&read.changed, at_version(version), reader.digest());
            prop_assert!(!receiver.is_behind(at_version(version), reader.digest()));
        }
        prop_assert_eq!(receiver.digest(), reader.digest());
    }

    /// A VM that knows the table up to some version, and has received some later changes, catches up with what
    /// another VM sends: the changes since that version, or the complete table.
    #[test]
    fn vm_that_catches_up_has_the_content_of_the_other(
        before in prop::collection::vec((1..20_u8, 0..3_u8), 0..30),
        after in prop::collection::vec((1..20_u8, 0..3_u8), 0..30),
        first_read in any::<bool>(),
        received in prop::collection::vec(any::<bool>(), 30),
    ) {
        let mut store = Store::default();
        let write = |store: &mut Store, steps: &[(u8, u8)]| {
            for (n, state) in steps {
                let row = match state {
                    0 => removed(*n),
                    state => entry(*n, *state == 2),
                };
                let version = store.0.len() as u64 + 1;
                store.0.extend(written(version, &[row]));
            }
        };
        let (mut other, mut behind) = (UpstreamTable::default(), UpstreamTable::default());
        other.apply_read(&[], true, at_version(0));
        write(&mut store, &before);
        let known = store.0.len();
        other.apply_read(&store.rows(0, known), false, at_version(known as u64));
        if first_read {
            behind.apply_read(&store.complete_table(known), true, at_version(known as u64));
        }
        write(&mut store, &after);
        let newest = store.0.len();
        let missed = other.apply_read(&store.rows(known, newest), false, at_version(newest as u64)).changed;
        for (change, received) in missed.iter().zip(received) {
            if received {
                behind.apply_update(std::slice::from_ref(change), at_version(newest as u64), other.digest());
            }
        }

        let changes = other.changes_since(behind.position());
        let whole = changes.is_none();
        let rows = changes.unwrap_or_else(|| other.entries());
        behind.apply_read(&rows, whole, other.position());

        prop_assert_eq!(behind.digest(), other.digest());
        prop_assert!(!behind.is_behind(other.position(), other.digest()));
    }
}

/// Guards against a delta that omits removals: a VM reads the table for the first time, and one that knew it before
/// asks for the changes since a version at which removals were not recorded here.
#[gtest]
fn removals_before_the_first_read_need_the_complete_table() {
    let table = table();

    expect_that!(table.changes_since(at_version(9)), none());
    expect_that!(table.changes_since(at_version(10)), some(is_empty()));
}

/// Guards against a VM that never becomes ready: it has read nothing, and gets what it takes for changes of a table that
/// it does not have.
#[gtest]
fn vm_without_a_table_needs_the_complete_one() {
    let mut table = UpstreamTable::default();
    table.apply_read(&[], true, at_version(0));
    table.apply_read(&written(1, &[entry(1, false)]), false, at_version(1));

    expect_that!(table.changes_since(at_version(0)), none());
    expect_that!(table.changes_since(at_version(1)), some(is_empty()));
}

/// Guards against rows that upstreams rewrite without a change in a delta: these would be the complete table.
#[gtest]
fn changes_since_a_version_omit_rows_that_were_only_rewritten() {
    let mut table = table();
    let rewritten = written(11, &[1, 2, 3].map(|n| entry(n, false)));
    table.apply_read(&rewritten, false, at_version(11));
    let changed = written(12, &[entry(2, true), removed(3)]);

    table.apply_read(&changed, false, at_version(12));

    let since = table.changes_since(at_version(10)).unwrap_or_default();
    let keys = since
        .iter()
        .map(|row| (row.key.as_ref(), row.entry.is_some()));
    expect_that!(
        keys.collect::<Vec<_>>(),
        unordered_elements_are![eq(&("engine-2", true)), eq(&("engine-3", false))]
    );
}

/// Guards against datagrams that fill the link of a reader: a release of 400 upstreams in a zone of 200 VMs would take
/// 8,000 of them. Small deltas, and all deltas of small zones, are still sent.
#[gtest]
fn large_deltas_of_large_zones_are_not_gossiped() {
    let (small, fast) = (Some(LinkRate(20_000_000)), Some(LinkRate(1_000_000_000)));
    for link in [None, small, fast] {
        expect_that!(gossips_changes(400, 200, link), eq(false));
        expect_that!(gossips_changes(20, 200, link), eq(true));
        expect_that!(gossips_changes(400, 7, link), eq(true));
    }
    expect_that!(gossips_changes(120, 200, small), eq(false));
    expect_that!(gossips_changes(120, 200, fast), eq(true));
}
