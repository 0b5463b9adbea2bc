//! The claims service on a platform in memory, with its faults.

use bytes::Bytes;
use catkin_decisions::{
    ClaimKind, ClaimOutcome, ClaimVerdict, HeldClaim, Incarnation, RecordedResponse, RequestDigest,
    TeamId, WallTime,
};
use catkin_standins::{MockPlatform, TransactOutcome};
use catkinward::{ClaimRequest, ClaimSettings, Claims, ResponseToRecord, Timeline, Timer};
use googletest::prelude::*;
use std::{sync::Arc, time::Duration};

/// Long enough for every test, whatever else the machine does.
const LONG: Duration = Duration::from_secs(30);

fn vm(platform: &MockPlatform, name: &str) -> Arc<Claims> {
    start(platform, name, quick())
}

fn start(platform: &MockPlatform, name: &str, cfg: ClaimSettings) -> Arc<Claims> {
    let vm = name.parse().expect("a valid id");
    let zone = "zone-1".parse().expect("a valid name");
    let timeline = Timeline::new(vm, zone, Arc::default(), 1000);
    Claims::start(
        Arc::new(platform.platform()),
        Timer::start(),
        Arc::new(timeline),
        Incarnation(1),
        cfg,
    )
}

fn quick() -> ClaimSettings {
    ClaimSettings {
        retry_delay: Duration::from_millis(1),
        poll_interval: Duration::from_millis(1),
        max_inline_bytes: 16,
        max_object_bytes: 64,
        ..ClaimSettings::default()
    }
}

fn team() -> TeamId {
    "counter".parse().expect("a valid name")
}

fn order(key: &str) -> ClaimRequest {
    ClaimRequest {
        team: team(),
        key: key.parse().expect("a valid key"),
        digest: RequestDigest::of(&team(), b"2000 leaflets"),
        kind: ClaimKind::Call,
        request: "request".parse().expect("a valid id"),
        time_left: LONG,
    }
}

fn answer(body: &str) -> ResponseToRecord {
    ResponseToRecord {
        status: 201,
        headers: vec![("content-type".into(), "text/plain".into())],
        body: Bytes::copy_from_slice(body.as_bytes()),
    }
}

fn dispatched(verdict: ClaimVerdict) -> HeldClaim {
    let ClaimVerdict::Claimed(claimed) = verdict else {
        panic!("not claimed: {verdict:?}");
    };
    claimed.dispatch().1
}

fn recorded(verdict: ClaimVerdict) -> RecordedResponse {
    let ClaimVerdict::Done(ClaimOutcome::Answered(answer)) = verdict else {
        panic!("no answer recorded: {verdict:?}");
    };
    answer
}

/// The connection to the caller breaks right before the answer. The caller sends its order again, to
/// another VM, and must get the first one's answer instead of a second print run.
#[gtest]
#[tokio::test]
async fn a_resend_to_another_vm_gets_the_recorded_answer() {
    let platform = MockPlatform::default();
    let (first, second) = (vm(&platform, "vm-1"), vm(&platform, "vm-2"));
    let held = dispatched(first.claim(order("k")).await);
    first.record_response(held, answer("ticket 7"));
    first.flush().await;

    let again = recorded(second.claim(order("k")).await);

    let body = second.response_body(&again.body).await;
    expect_that!(again.status, eq(201));
    expect_that!(again.headers, eq(&answer("").headers));
    expect_that!(body, ok(some(eq(&"ticket 7"))));
}

/// A transaction meets each fate that the table service has for it, in the claim and in the record of
/// its answer. Each time the order runs once, and its resend gets the answer.
#[gtest]
#[tokio::test]
async fn every_fate_of_a_transaction_is_settled() {
    let fates = [
        TransactOutcome::Answered,
        TransactOutcome::LostAfterEffect,
        TransactOutcome::LostBeforeEffect,
        TransactOutcome::Late,
        TransactOutcome::NotRun,
        TransactOutcome::Throttled,
    ];
    for fate in fates {
        let platform = MockPlatform::default();
        let (first, second) = (vm(&platform, "vm-1"), vm(&platform, "vm-2"));
        platform.script([fate, fate]);
        let held = dispatched(first.claim(order("k")).await);
        platform.script([fate, fate]);
        first.record_response(held, answer("ticket 7"));
        first.flush().await;

        let again = recorded(second.claim(order("k")).await);

        expect_that!(again.status, eq(201), "{fate:?}");
    }
}

/// A caller in a hurry sends its order several times at once, to two VMs.
#[gtest]
#[tokio::test]
async fn of_many_at_once_one_is_dispatched() {
    let platform = MockPlatform::default();
    let (first, second) = (vm(&platform, "vm-1"), vm(&platform, "vm-2"));
    let tries = (0..20).map(|i| if i % 2 == 0 { &first } else { &second });

    let verdicts = futures::future::join_all(tries.map(|vm| vm.claim(order("k")))).await;

    let claimed = |v: &&ClaimVerdict| matches!(v, ClaimVerdict::Claimed(_));
    let in_progress = |v: &&ClaimVerdict| matches!(v, ClaimVerdict::InProgress(_));
    expect_that!(verdicts.iter().filter(claimed).count(), eq(1));
    expect_that!(verdicts.iter().filter(in_progress).count(), eq(19));
}

/// A caller uses one key for two orders. Answering the second with the ticket of the first would
/// lose it; running it would break the promise of the key.
#[gtest]
#[tokio::test]
async fn another_request_under_the_key_is_a_conflict() {
    let platform = MockPlatform::default();
    let vm = vm(&platform, "vm-1");
    let held = dispatched(vm.claim(order("k")).await);
    vm.record_response(held, answer("ticket 7"));
    vm.flush().await;
    let other = ClaimRequest {
        digest: RequestDigest::of(&team(), b"20 posters"),
        ..order("k")
    };

    let verdict = vm.claim(other).await;

    expect_that!(verdict, eq(&ClaimVerdict::Conflict));
}

/// The table service is out. The caller hears in time that its order did not run, and after the
/// outage the same key works, also if one of the calls had taken effect unseen.
#[gtest]
#[tokio::test]
async fn an_outage_is_not_run_and_leaves_the_key_free() {
    for fate in [
        TransactOutcome::NotRun,
        TransactOutcome::LostAfterEffect,
        TransactOutcome::Late,
    ] {
        let platform = MockPlatform::default();
        let vm = vm(&platform, "vm-1");
        platform.script([fate]);
        platform.script(std::iter::repeat_n(
            TransactOutcome::LostBeforeEffect,
            100_000,
        ));
        let hurried = ClaimRequest {
            time_left: Duration::from_millis(50),
            ..order("k")
        };
        let refused = vm.claim(hurried).await;
        platform.forget_script();
        vm.flush().await;

        let verdict = vm.claim(order("k")).await;

        expect_that!(refused, eq(&ClaimVerdict::NotRun), "{fate:?}");
        expect_that!(
            verdict,
            matches_pattern!(ClaimVerdict::Claimed(_)),
            "{fate:?}"
        );
    }
}

/// An upstream refused the order before it ran. The caller is told so, and its next try must run.
#[gtest]
#[tokio::test]
async fn a_released_claim_frees_the_key() {
    let platform = MockPlatform::default();
    let (first, second) = (vm(&platform, "vm-1"), vm(&platform, "vm-2"));
    let held = dispatched(first.claim(order("k")).await);
    first.release(held);
    first.flush().await;

    let verdict = second.claim(order("k")).await;

    expect_that!(verdict, matches_pattern!(ClaimVerdict::Claimed(_)));
}

/// An upstream dies with an order in its hands. Nobody knows whether it ran, and each resend must
/// hear just that.
#[gtest]
#[tokio::test]
async fn an_unknown_end_stays_unknown() {
    let platform = MockPlatform::default();
    let vm = vm(&platform, "vm-1");
    let held = dispatched(vm.claim(order("k")).await);
    vm.record_unknown(held);
    vm.flush().await;

    let verdict = vm.claim(order("k")).await;

    expect_that!(verdict, eq(&ClaimVerdict::Done(ClaimOutcome::Unknown)));
}

/// The order's VM is gone before it recorded an end, and the order's deadline is long past.
#[gtest]
#[tokio::test]
async fn a_claim_of_a_dead_holder_becomes_unknown() {
    let platform = MockPlatform::default();
    let first = vm(&platform, "vm-1");
    let cfg = ClaimSettings {
        max_clock_skew: Duration::ZERO,
        ..quick()
    };
    let second = start(&platform, "vm-2", cfg);
    let short = ClaimRequest {
        time_left: Duration::from_millis(200),
        ..order("k")
    };
    drop(dispatched(first.claim(short).await));
    let ClaimVerdict::InProgress(found) = second.claim(order("k")).await else {
        panic!("the holder is within its deadline");
    };

    let verdict = second
        .wait_for_outcome(&order("k").digest, found, LONG)
        .await;

    expect_that!(verdict, eq(&ClaimVerdict::Done(ClaimOutcome::Unknown)));
}

/// A caller comes back to another VM while its order still runs. It waits there for the one answer.
#[gtest]
#[tokio::test]
async fn a_resend_waits_for_the_answer_of_the_first() {
    let platform = MockPlatform::default();
    let (first, second) = (vm(&platform, "vm-1"), vm(&platform, "vm-2"));
    let held = dispatched(first.claim(order("k")).await);
    let ClaimVerdict::InProgress(found) = second.claim(order("k")).await else {
        panic!("the first runs");
    };
    let digest = order("k").digest;
    let waiting = second.wait_for_outcome(&digest, found, LONG);
    let recording = async { first.record_response(held, answer("ticket 7")) };

    let (verdict, ()) = tokio::join!(waiting, recording);

    expect_that!(recorded(verdict).status, eq(201));
}

/// The VM of a generation is gone. Of the VMs that its caller may come back to, one takes it over;
/// two would send the caller two generations.
#[gtest]
#[tokio::test]
async fn a_generation_is_taken_over_by_one_vm() {
    let platform = MockPlatform::default();
    let vms = ["vm-1", "vm-2", "vm-3"].map(|name| vm(&platform, name));
    let generation = ClaimRequest {
        kind: ClaimKind::Generation,
        ..order("k")
    };
    drop(dispatched(vms[0].claim(generation.clone()).await));
    let ClaimVerdict::InProgress(found) = vms[1].claim(generation.clone()).await else {
        panic!("the first VM has it");
    };

    let second = vms[1].take_over(generation.clone(), &found).await;
    let third = vms[2].take_over(generation, &found).await;

    let holder = found.record.map(|record| record.holder.to_string());
    expect_that!(holder, some(eq("vm-1")));
    expect_that!(second, matches_pattern!(ClaimVerdict::Claimed(_)));
    expect_that!(third, matches_pattern!(ClaimVerdict::InProgress(_)));
}

/// A call that must run at most once is never taken over, whoever asks for it.
#[gtest]
#[tokio::test]
async fn a_call_is_not_taken_over() {
    let platform = MockPlatform::default();
    let (first, second) = (vm(&platform, "vm-1"), vm(&platform, "vm-2"));
    drop(dispatched(first.claim(order("k")).await));
    let ClaimVerdict::InProgress(found) = second.claim(order("k")).await else {
        panic!("the first VM has it");
    };
    let as_generation = ClaimRequest {
        kind: ClaimKind::Generation,
        ..order("k")
    };

    let as_call = second.take_over(order("k"), &found).await;
    let as_generation = second.take_over(as_generation, &found).await;

    expect_that!(as_call, matches_pattern!(ClaimVerdict::InProgress(_)));
    expect_that!(as_generation, matches_pattern!(ClaimVerdict::InProgress(_)));
}

/// Answers longer than a row should hold go to the object store, and those longer than what is kept
/// are recorded without their body: the resend must not run the order to get it.
#[gtest]
#[tokio::test]
async fn long_answers_are_kept_up_to_a_size() {
    let long = "a ticket of more than sixteen bytes";
    let cases = [
        ("short", Some("short".to_owned())),
        (long, Some(long.to_owned())),
        (&"x".repeat(65), None),
    ];
    for (body, kept) in cases {
        let platform = MockPlatform::default();
        let vm = vm(&platform, "vm-1");
        let held = dispatched(vm.claim(order("k")).await);
        vm.record_response(held, answer(body));
        vm.flush().await;

        let again = recorded(vm.claim(order("k")).await);

        let found = vm
            .response_body(&again.body)
            .await
            .expect("the store is up");
        let found = found.map(|body| String::from_utf8_lossy(&body).into_owned());
        expect_that!(found, eq(&kept));
    }
}

/// Claims are kept for a day, and those without a known outcome for a week. A sweep that took one too
/// early would let a resend run again.
#[gtest]
#[tokio::test]
async fn a_sweep_takes_what_is_expired_and_no_more() {
    let platform = MockPlatform::default();
    let vm = vm(&platform, "vm-1");
    let ended = dispatched(vm.claim(order("ended")).await);
    vm.record_response(ended, answer("ticket 7"));
    let unknown = dispatched(vm.claim(order("unknown")).await);
    vm.record_unknown(unknown);
    vm.flush().await;
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let now = WallTime::default().after(now.expect("after 1970"));
    let in_hours = |hours: u64| now.after(Duration::from_secs(hours * 3600));

    let mut left = Vec::new();
    for hours in [0, 23, 25, 167, 169] {
        while vm.sweep_page(in_hours(hours)).await.expect("it is up") {}
        left.push(platform.with_store(|store| store.keys("claims").len()));
    }

    expect_that!(left, eq(&[2, 2, 1, 1, 0]));
    expect_that!(
        platform.with_store(|store| store.keys("claim_expiries")),
        is_empty()
    );
}
