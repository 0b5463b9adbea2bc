//! One VM of a zone reads the platform's table of upstreams, and the others rely on its word.

use catkin_decisions::{
    ConfigVersion, HeardNews, Instant, NEWS_AGE, NewsState, REST_WAIT, UpstreamChange,
    UpstreamEntry, UpstreamTable, ZoneNews, reads_for_zone,
};
use googletest::prelude::*;
use proptest::prelude::*;
use std::{sync::Arc, time::Duration};

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
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
    };
    (id.as_str().into(), Some(entry))
}

fn removed(n: u8) -> UpstreamChange {
    (format!("engine-{n}").as_str().into(), None)
}

/// A VM that has read engines 1 to 3 at version 10.
fn table() -> UpstreamTable {
    let mut table = UpstreamTable::default();
    table.read(&[1, 2, 3].map(|n| entry(n, false)), true, 10);
    table
}

/// What a VM tells that has read `changes` up to `version` after the same beginning.
fn news(changes: &[UpstreamChange], version: u64) -> ZoneNews {
    let mut table = table();
    let changes = table.read(changes, false, version);
    ZoneNews {
        vm: "vm-1".into(),
        config: Some(ConfigVersion(1)),
        version,
        digest: table.digest(),
        age_ms: 0,
        changes,
    }
}

/// How a VM stands after it has taken in news, each at its time.
fn after(taken: &[(u64, ZoneNews)], now: Instant) -> (UpstreamTable, NewsState) {
    let (mut table, mut heard) = (table(), HeardNews::default());
    for (ms, news) in taken {
        table.told(&news.changes, news.version, news.digest);
        heard.take(news, &table, at(*ms));
    }
    (table, heard.state(now))
}

/// Entries are written anew all the time with nothing new in them. Told on, they would fill the links of
/// small VMs.
#[gtest]
fn rows_that_say_nothing_new_are_not_told() {
    let mut table = table();

    let changes = table.read(&[entry(1, false), entry(2, true)], false, 11);

    expect_that!(changes, eq(&vec![entry(2, true)]));
}

#[gtest]
fn an_upstream_that_leaves_is_known_by_another_vms_word() {
    let (table, state) = after(&[(1000, news(&[entry(2, true)], 11))], at(1010));

    expect_that!(state, eq(NewsState::Fresh(at(1000).after(NEWS_AGE))));
    expect_that!(table.version(), eq(11));
}

/// The datagram that says which upstream leaves is lost. The next word has a digest that does not fit, and
/// the VM reads the table itself; else it would send calls there until they fail.
#[gtest]
fn a_lost_change_shows_with_the_next_word() {
    let lost = news(&[entry(2, true)], 11);
    let next = ZoneNews {
        changes: Vec::new(),
        ..lost
    };

    let (_, soon) = after(&[(1000, next.clone())], at(1010));
    let (_, later) = after(&[(1000, next)], at(1000).after(REST_WAIT));

    expect_that!(soon, eq(NewsState::Behind(at(1000).after(REST_WAIT))));
    expect_that!(later, eq(NewsState::Silent));
}

/// Many upstreams change at once, and the changes fill two datagrams. The first one alone does not fit
/// the digest, but the second one is on its way.
#[gtest]
fn the_rest_of_a_change_is_waited_for() {
    let both = news(&[entry(2, true), removed(3)], 11);
    let part = |changes: &[UpstreamChange]| ZoneNews {
        changes: changes.to_vec(),
        ..both.clone()
    };
    let (first, second) = (part(&both.changes[..1]), part(&both.changes[1..]));

    let (_, half) = after(&[(1000, second.clone())], at(1005));
    let (_, whole) = after(&[(1000, second), (1005, first)], at(1006));

    expect_that!(half, eq(NewsState::Behind(at(1000).after(REST_WAIT))));
    expect_that!(whole, eq(NewsState::Fresh(at(1005).after(NEWS_AGE))));
}

/// The VM that reads loses its power, or the store turns it away and its words grow old. The others read
/// the table themselves before a leaving upstream gets calls for longer than it may.
#[gtest]
fn old_words_do_not_count() {
    let stale = ZoneNews {
        age_ms: 1500,
        ..news(&[], 11)
    };

    let (_, lost) = after(&[(5000, news(&[], 11))], at(5000).after(NEWS_AGE));
    let (_, turned_away) = after(&[(5000, stale)], at(5150));

    expect_that!(lost, eq(NewsState::Silent));
    expect_that!(turned_away, eq(NewsState::Silent));
}

/// Two VMs read for a zone, and the word of the one that lags comes last. What it does not know yet must
/// not undo what is known.
#[gtest]
fn an_older_word_undoes_nothing() {
    let newer = news(&[entry(2, true)], 12);
    let older = news(&[entry(2, false), entry(3, true)], 11);

    let (table, state) = after(&[(1000, newer.clone()), (1001, older)], at(1002));

    expect_that!(table.digest(), eq(newer.digest));
    expect_that!(state, matches_pattern!(NewsState::Fresh(_)));
}

#[gtest]
fn one_vm_of_a_small_zone_reads_and_two_of_a_large_one() {
    for (size, readers) in [(1, 1), (3, 1), (8, 1), (9, 2), (67, 2)] {
        let vms = (0..size)
            .map(|n| Arc::from(format!("vm-{n}")))
            .collect::<Vec<Arc<str>>>();

        let reading = vms.iter().filter(|vm| reads_for_zone(vm, &vms)).count();

        expect_that!(reading, eq(readers), "of {size}");
    }
}

proptest! {
    /// Whatever changes are read in whatever pieces, a VM that was told all of them has the same digest.
    #[test]
    fn the_digest_is_that_of_the_content(
        steps in prop::collection::vec((1..20_u8, 0..3_u8), 1..60),
    ) {
        let (mut reader, mut told) = (table(), table());
        for (version, (n, what)) in (11..).zip(steps) {
            let change = match what {
                0 => removed(n),
                1 => entry(n, false),
                _ => entry(n, true),
            };
            let changes = reader.read(&[change], false, version);
            told.told(&changes, version, reader.digest());
            prop_assert!(!told.is_behind(version, reader.digest()));
        }
        prop_assert_eq!(told.digest(), reader.digest());
    }
}
