//! Copies of a generation's progress on other VMs.

use catkin_decisions::{
    Attempt, BundleVersion, Finish, Instant, Model, Pinned, ProgressLimits, ProgressStore,
    ProgressUpdate, RequestDigest, RequestId, Token, TokenIndex, TokenLog,
};
use googletest::prelude::*;
use std::time::Duration;

fn id(n: u32) -> RequestId {
    format!("request-{n}").parse().expect("a valid id")
}

fn log(ids: impl IntoIterator<Item = u32>) -> TokenLog {
    let mut log = TokenLog::default();
    for id in ids {
        log.push(&Token {
            id,
            bytes: format!("{id} ").into_bytes(),
        });
    }
    log
}

fn pinned() -> Pinned {
    Pinned {
        bundle: BundleVersion(1),
        model: Model {
            name: "catkin".into(),
            version: "1".into(),
            adapter: None,
        },
        seed: 7,
    }
}

fn update(attempt: u64, from: u32, ids: impl IntoIterator<Item = u32>) -> ProgressUpdate {
    ProgressUpdate {
        id: id(1),
        digest: RequestDigest::of(&"team".parse().expect("a name"), b"body"),
        pinned: (from == 0).then(pinned),
        attempt: Attempt(attempt),
        upstream: None,
        from: TokenIndex(from),
        tokens: log(ids),
        finish: None,
    }
}

fn at(seconds: u64) -> Instant {
    Instant(Duration::from_secs(seconds))
}

fn store() -> ProgressStore {
    ProgressStore::new(ProgressLimits::default())
}

fn tokens(store: &ProgressStore) -> Vec<u32> {
    store
        .find(&id(1))
        .map(|record| record.tokens.ids().to_vec())
        .unwrap_or_default()
}

#[gtest]
fn updates_add_up() {
    let mut store = store();

    store.keep(at(0), &update(1, 0, 0..3));
    store.keep(at(0), &update(1, 3, 3..5));

    expect_that!(tokens(&store), eq(&vec![0, 1, 2, 3, 4]));
}

#[gtest]
fn repeated_tokens_are_taken_once() {
    let mut store = store();
    store.keep(at(0), &update(1, 0, 0..3));

    let kept = store.keep(at(0), &update(1, 1, 1..5));

    expect_that!(kept, eq(true));
    expect_that!(tokens(&store), eq(&vec![0, 1, 2, 3, 4]));
}

/// A connection between two VMs broke and an update is lost. A copy with a hole would give a
/// returning caller an answer with tokens missing.
#[gtest]
fn gap_is_refused() {
    let mut store = store();
    store.keep(at(0), &update(1, 0, 0..3));

    let kept = store.keep(at(0), &update(1, 4, 4..6));

    expect_that!(kept, eq(false));
    expect_that!(tokens(&store), eq(&vec![0, 1, 2]));
}

/// A router is paused, another one takes its generation over, and the first wakes up and sends what
/// it still has. The copy must stay with the one that took over.
#[gtest]
fn older_attempt_is_refused() {
    let mut store = store();
    store.keep(at(0), &update(1, 0, 0..3));
    store.keep(at(0), &update(65536, 0, 0..4));

    let kept = store.keep(at(0), &update(1, 3, [103, 104]));

    expect_that!(kept, eq(false));
    expect_that!(tokens(&store), eq(&vec![0, 1, 2, 3]));
}

/// The paused router wakes up just before the other's first update comes in, and adds tokens that
/// no caller saw. The caller of the other would get them mixed into its answer if it had to come
/// back once more.
#[gtest]
fn newer_attempt_drops_what_an_older_one_added_beyond_it() {
    let mut store = store();
    store.keep(at(0), &update(1, 0, 0..3));
    store.keep(at(0), &update(1, 3, [103, 104]));

    store.keep(at(0), &update(65536, 0, 0..3));
    store.keep(at(0), &update(65536, 3, [203]));

    expect_that!(tokens(&store), eq(&vec![0, 1, 2, 203]));
}

#[gtest]
fn another_request_under_the_same_id_is_refused() {
    let mut store = store();
    store.keep(at(0), &update(1, 0, 0..3));
    let other = ProgressUpdate {
        digest: RequestDigest::of(&"team".parse().expect("a name"), b"other body"),
        ..update(2, 3, [3])
    };

    let kept = store.keep(at(0), &other);

    expect_that!(kept, eq(false));
}

/// A VM has forgotten a copy that still grows. What it would begin in the middle could never be
/// gone on from.
#[gtest]
fn copy_without_a_beginning_is_refused() {
    let mut store = store();

    let kept = store.keep(at(0), &update(1, 3, [3]));

    expect_that!(kept, eq(false));
    expect_that!(store.usage(), eq((0, 0)));
}

#[gtest]
fn copies_expire() {
    let mut store = store();
    store.keep(at(0), &update(1, 0, 0..3));

    store.expire(at(121));

    expect_that!(store.usage(), eq((0, 0)));
}

/// More callers go away than a VM can hold copies for. Without a bound its memory would grow until
/// the system kills it together with all streams that it relays.
#[gtest]
fn oldest_copy_goes_when_the_bound_is_reached() {
    let limits = ProgressLimits {
        size: 59,
        ..ProgressLimits::default()
    };
    let mut store = ProgressStore::new(limits);
    for n in 1..=4 {
        let update = ProgressUpdate {
            id: id(n),
            ..update(1, 0, 0..2)
        };
        store.keep(at(n.into()), &update);
    }

    let kept = (1..=4).filter(|n| store.find(&id(*n)).is_some());

    expect_that!(kept.collect::<Vec<_>>(), elements_are![eq(&3), eq(&4)]);
}

#[gtest]
fn finish_is_kept() {
    let mut store = store();
    store.keep(at(0), &update(1, 0, 0..2));

    store.keep(
        at(0),
        &ProgressUpdate {
            finish: Some(Finish::Length),
            ..update(1, 2, [])
        },
    );

    let finish = store.find(&id(1)).and_then(|record| record.finish);
    expect_that!(finish, some(eq(Finish::Length)));
}
