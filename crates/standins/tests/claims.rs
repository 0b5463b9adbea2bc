//! Tests of the claims service on an in-memory platform with injected faults.

use bytes::Bytes;
use catkin_decisions::{
    ClaimKind, ClaimOutcome, ClaimVerdict, HeldClaim, Incarnation, RecordedResponse, RequestDigest,
    TeamId, WallTime,
};
use catkin_standins::{MockPlatform, TransactOutcome};
use catkinward::{ClaimRequest, ClaimSettings, Claims, ResponseToRecord, Timeline, Timer};
use googletest::prelude::*;
use std::{sync::Arc, time::Duration};

/// Time limit that no test reaches, even on a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn vm(platform: &MockPlatform, name: &str) -> Arc<Claims> {
    start_vm(platform, name, fast_settings())
}

fn start_vm(platform: &MockPlatform, name: &str, cfg: ClaimSettings) -> Arc<Claims> {
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

fn fast_settings() -> ClaimSettings {
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

fn claim_request(key: &str) -> ClaimRequest {
    ClaimRequest {
        team: team(),
        key: key.parse().expect("a valid key"),
        digest: RequestDigest::of(&team(), b"2000 leaflets"),
        kind: ClaimKind::Call,
        request: "request".parse().expect("a valid id"),
        time_left: TEST_TIMEOUT,
    }
}

fn response(body: &str) -> ResponseToRecord {
    ResponseToRecord {
        status: 201,
        headers: vec![("content-type".into(), "text/plain".into())],
        body: Bytes::copy_from_slice(body.as_bytes()),
    }
}

fn expect_claimed(verdict: ClaimVerdict) -> HeldClaim {
    let ClaimVerdict::Claimed(claimed) = verdict else {
        panic!("request was not claimed: {verdict:?}");
    };
    claimed.dispatch().1
}

fn expect_recorded(verdict: ClaimVerdict) -> RecordedResponse {
    let ClaimVerdict::Done(ClaimOutcome::Answered(response)) = verdict else {
        panic!("no response was recorded: {verdict:?}");
    };
    response
}

/// The caller's connection is interrupted right before the response, and the caller retries at another
/// VM. It must get the recorded response; the request must not run twice.
#[gtest]
#[tokio::test]
async fn retry_at_another_vm_returns_the_recorded_response() {
    let platform = MockPlatform::default();
    let (first, second) = (vm(&platform, "vm-1"), vm(&platform, "vm-2"));
    let held_claim = expect_claimed(first.claim(claim_request("k")).await);
    first.record_response(held_claim, response("ticket 7"));
    first.flush().await;

    let retried = expect_recorded(second.claim(claim_request("k")).await);

    let body = second.response_body(&retried.body).await;
    expect_that!(retried.status, eq(201));
    expect_that!(retried.headers, eq(&response("").headers));
    expect_that!(body, ok(some(eq(&"ticket 7"))));
}

/// The transactions of the claim and of the recorded response have each possible outcome. In every
/// case the request runs once and its retry gets the recorded response.
#[gtest]
#[tokio::test]
async fn every_transaction_outcome_is_resolved() {
    let outcomes = [
        TransactOutcome::Answered,
        TransactOutcome::LostAfterEffect,
        TransactOutcome::LostBeforeEffect,
        TransactOutcome::Late,
        TransactOutcome::NotRun,
        TransactOutcome::Throttled,
    ];
    for outcome in outcomes {
        let platform = MockPlatform::default();
        let (first, second) = (vm(&platform, "vm-1"), vm(&platform, "vm-2"));
        platform.script([outcome, outcome]);
        let held_claim = expect_claimed(first.claim(claim_request("k")).await);
        platform.script([outcome, outcome]);
        first.record_response(held_claim, response("ticket 7"));
        first.flush().await;

        let retried = expect_recorded(second.claim(claim_request("k")).await);

        expect_that!(retried.status, eq(201), "{outcome:?}");
    }
}

/// A caller sends the same request 20 times concurrently, to two VMs.
#[gtest]
#[tokio::test]
async fn only_one_of_concurrent_claims_is_dispatched() {
    let platform = MockPlatform::default();
    let (first, second) = (vm(&platform, "vm-1"), vm(&platform, "vm-2"));
    let attempts = (0..20).map(|i| if i % 2 == 0 { &first } else { &second });

    let verdicts = futures::future::join_all(attempts.map(|vm| vm.claim(claim_request("k")))).await;

    let claimed = |v: &&ClaimVerdict| matches!(v, ClaimVerdict::Claimed(_));
    let in_progress = |v: &&ClaimVerdict| matches!(v, ClaimVerdict::InProgress(_));
    expect_that!(verdicts.iter().filter(claimed).count(), eq(1));
    expect_that!(verdicts.iter().filter(in_progress).count(), eq(19));
}

/// A caller uses one idempotency key for two different requests. Returning the first one's response
/// would lose the second request; running it would break at-most-once execution per key.
#[gtest]
#[tokio::test]
async fn different_request_with_the_same_key_is_a_conflict() {
    let platform = MockPlatform::default();
    let vm = vm(&platform, "vm-1");
    let held_claim = expect_claimed(vm.claim(claim_request("k")).await);
    vm.record_response(held_claim, response("ticket 7"));
    vm.flush().await;
    let other = ClaimRequest {
        digest: RequestDigest::of(&team(), b"20 posters"),
        ..claim_request("k")
    };

    let verdict = vm.claim(other).await;

    expect_that!(verdict, eq(&ClaimVerdict::Conflict));
}

/// The table service has an outage. The caller learns before its deadline that the request did not
/// run. After the outage the key is usable, even if one of the writes took effect unnoticed.
#[gtest]
#[tokio::test]
async fn claim_during_an_outage_is_not_run_and_leaves_the_key_unclaimed() {
    for outcome in [
        TransactOutcome::NotRun,
        TransactOutcome::LostAfterEffect,
        TransactOutcome::Late,
    ] {
        let platform = MockPlatform::default();
        let vm = vm(&platform, "vm-1");
        platform.script([outcome]);
        platform.script(std::iter::repeat_n(
            TransactOutcome::LostBeforeEffect,
            100_000,
        ));
        let short_deadline = ClaimRequest {
            time_left: Duration::from_millis(50),
            ..claim_request("k")
        };
        let refused = vm.claim(short_deadline).await;
        platform.clear_script();
        vm.flush().await;

        let verdict = vm.claim(claim_request("k")).await;

        expect_that!(refused, eq(&ClaimVerdict::NotRun), "{outcome:?}");
        expect_that!(
            verdict,
            matches_pattern!(ClaimVerdict::Claimed(_)),
            "{outcome:?}"
        );
    }
}

/// An upstream refuses the request before running it. The response says so, and the caller's retry
/// must run.
#[gtest]
#[tokio::test]
async fn a_released_claim_frees_the_key() {
    let platform = MockPlatform::default();
    let (first, second) = (vm(&platform, "vm-1"), vm(&platform, "vm-2"));
    let held_claim = expect_claimed(first.claim(claim_request("k")).await);
    first.release(held_claim);
    first.flush().await;

    let verdict = second.claim(claim_request("k")).await;

    expect_that!(verdict, matches_pattern!(ClaimVerdict::Claimed(_)));
}

/// An upstream crashes while running a request. It is unknown whether the request took effect, and
/// each retry must report that.
#[gtest]
#[tokio::test]
async fn unknown_outcome_stays_unknown() {
    let platform = MockPlatform::default();
    let vm = vm(&platform, "vm-1");
    let held_claim = expect_claimed(vm.claim(claim_request("k")).await);
    vm.record_unknown(held_claim);
    vm.flush().await;

    let verdict = vm.claim(claim_request("k")).await;

    expect_that!(verdict, eq(&ClaimVerdict::Done(ClaimOutcome::Unknown)));
}

/// The VM that runs a request dies before recording an outcome, and the request's deadline passes.
#[gtest]
#[tokio::test]
async fn claim_of_a_dead_vm_becomes_unknown_after_its_deadline() {
    let platform = MockPlatform::default();
    let first = vm(&platform, "vm-1");
    let cfg = ClaimSettings {
        max_clock_skew: Duration::ZERO,
        ..fast_settings()
    };
    let second = start_vm(&platform, "vm-2", cfg);
    let short = ClaimRequest {
        time_left: Duration::from_millis(200),
        ..claim_request("k")
    };
    drop(expect_claimed(first.claim(short).await));
    let ClaimVerdict::InProgress(found) = second.claim(claim_request("k")).await else {
        panic!("the claim is in progress until its deadline");
    };

    let verdict = second
        .wait_for_outcome(&claim_request("k").digest, found, TEST_TIMEOUT)
        .await;

    expect_that!(verdict, eq(&ClaimVerdict::Done(ClaimOutcome::Unknown)));
}

/// A caller retries at another VM while its request is still running. It waits there for the response
/// of the first attempt.
#[gtest]
#[tokio::test]
async fn retry_waits_for_the_response_of_the_first_attempt() {
    let platform = MockPlatform::default();
    let (first, second) = (vm(&platform, "vm-1"), vm(&platform, "vm-2"));
    let held_claim = expect_claimed(first.claim(claim_request("k")).await);
    let ClaimVerdict::InProgress(found) = second.claim(claim_request("k")).await else {
        panic!("the first VM still runs the request");
    };
    let digest = claim_request("k").digest;
    let waiting = second.wait_for_outcome(&digest, found, TEST_TIMEOUT);
    let recording = async { first.record_response(held_claim, response("ticket 7")) };

    let (verdict, ()) = tokio::join!(waiting, recording);

    expect_that!(expect_recorded(verdict).status, eq(201));
}

/// The VM that runs a generation dies. Only one of the VMs to which its caller may reconnect takes it
/// over; otherwise the caller would receive two generations.
#[gtest]
#[tokio::test]
async fn a_generation_is_taken_over_by_one_vm() {
    let platform = MockPlatform::default();
    let vms = ["vm-1", "vm-2", "vm-3"].map(|name| vm(&platform, name));
    let generation = ClaimRequest {
        kind: ClaimKind::Generation,
        ..claim_request("k")
    };
    drop(expect_claimed(vms[0].claim(generation.clone()).await));
    let ClaimVerdict::InProgress(found) = vms[1].claim(generation.clone()).await else {
        panic!("the first VM holds the claim");
    };

    let second = vms[1].take_over(generation.clone(), &found).await;
    let third = vms[2].take_over(generation, &found).await;

    let holder = found.record.map(|record| record.holder.to_string());
    expect_that!(holder, some(eq("vm-1")));
    expect_that!(second, matches_pattern!(ClaimVerdict::Claimed(_)));
    expect_that!(third, matches_pattern!(ClaimVerdict::InProgress(_)));
}

/// A non-idempotent call must run at most once, so no VM takes it over.
#[gtest]
#[tokio::test]
async fn a_call_is_not_taken_over() {
    let platform = MockPlatform::default();
    let (first, second) = (vm(&platform, "vm-1"), vm(&platform, "vm-2"));
    drop(expect_claimed(first.claim(claim_request("k")).await));
    let ClaimVerdict::InProgress(found) = second.claim(claim_request("k")).await else {
        panic!("the first VM holds the claim");
    };
    let as_generation = ClaimRequest {
        kind: ClaimKind::Generation,
        ..claim_request("k")
    };

    let as_call = second.take_over(claim_request("k"), &found).await;
    let as_generation = second.take_over(as_generation, &found).await;

    expect_that!(as_call, matches_pattern!(ClaimVerdict::InProgress(_)));
    expect_that!(as_generation, matches_pattern!(ClaimVerdict::InProgress(_)));
}

/// Response bodies above the inline limit go to the object store. Those above the object limit are
/// recorded without a body, and a retry must not run the request again to get it.
#[gtest]
#[tokio::test]
async fn response_bodies_are_recorded_up_to_the_size_limit() {
    let long = "a ticket of more than sixteen bytes";
    let cases = [
        ("short", Some("short".to_owned())),
        (long, Some(long.to_owned())),
        (&"x".repeat(65), None),
    ];
    for (body, expected_body) in cases {
        let platform = MockPlatform::default();
        let vm = vm(&platform, "vm-1");
        let held_claim = expect_claimed(vm.claim(claim_request("k")).await);
        vm.record_response(held_claim, response(body));
        vm.flush().await;

        let retried = expect_recorded(vm.claim(claim_request("k")).await);

        let found = vm
            .response_body(&retried.body)
            .await
            .expect("the store is up");
        let found = found.map(|body| String::from_utf8_lossy(&body).into_owned());
        expect_that!(found, eq(&expected_body));
    }
}

/// Claims are retained for a day, and those with an unknown outcome for a week. A sweep that removes
/// one too early would let a retry run again.
#[gtest]
#[tokio::test]
async fn sweep_removes_only_expired_claims() {
    let platform = MockPlatform::default();
    let vm = vm(&platform, "vm-1");
    let ended = expect_claimed(vm.claim(claim_request("ended")).await);
    vm.record_response(ended, response("ticket 7"));
    let unknown = expect_claimed(vm.claim(claim_request("unknown")).await);
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
