//! Memory of callers' requests: who gets it, who waits, and who gives way.

use catkin_decisions::{
    CallerConnectionLimit, CallerMemoryAccount, CallerMemorySettings, Instant, MemoryHolder,
    MemorySize, SMALL_REQUEST, VmMemory,
};
use googletest::prelude::*;
use std::time::Duration;

const MIB: usize = 1 << 20;

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

/// An account with room for four requests of a mebibyte.
fn account() -> CallerMemoryAccount {
    CallerMemoryAccount::new(CallerMemorySettings {
        limit: MemorySize(4 * MIB),
        stall_timeout: Duration::from_millis(250),
        progress: 16 << 10,
        receive_timeout: Duration::from_secs(4),
        max_waiting: 2,
        ..CallerMemorySettings::default()
    })
}

/// An account whose memory is held by four unfinished requests of a mebibyte each.
fn full_account() -> (CallerMemoryAccount, Vec<MemoryHolder>) {
    let mut account = account();
    let holders = (0..4).map(|_| taken(&mut account, MIB, at(0))).collect();
    (account, holders)
}

fn taken(account: &mut CallerMemoryAccount, bytes: usize, now: Instant) -> MemoryHolder {
    let holder = account.enter();
    assert!(account.take(holder, bytes, now));
    holder
}

fn waiting(account: &mut CallerMemoryAccount, bytes: usize) -> MemoryHolder {
    let holder = account.enter();
    assert!(account.wait(holder, bytes));
    holder
}

/// Guards against a crowd of large requests that keeps ordinary ones out.
#[gtest]
fn small_requests_are_read_however_much_is_held() {
    let (mut account, _) = full_account();
    let (large, small) = (account.enter(), account.enter());

    let taken = [
        account.take(large, SMALL_REQUEST.0 + 1, at(0)),
        account.take(small, SMALL_REQUEST.0, at(0)),
    ];

    expect_that!(taken, eq([false, true]));
}

/// Guards against a legal request that no VM with little memory ever reads.
#[gtest]
fn one_request_is_read_even_if_it_exceeds_the_limit() {
    let mut account = account();
    let (first, second) = (account.enter(), account.enter());

    let taken = [
        account.take(first, 5 * MIB, at(0)),
        account.take(second, MIB, at(0)),
    ];

    expect_that!(taken, eq([true, false]));
}

/// Guards against small bodies that wait behind large ones.
#[gtest]
fn smallest_waiting_request_is_first() {
    let (mut account, holders) = full_account();
    let large = waiting(&mut account, MIB);
    let smaller = waiting(&mut account, MIB / 2);

    account.leave(holders[0]);
    let taken = [
        account.take(large, MIB, at(0)),
        account.take(smaller, MIB / 2, at(0)),
    ];

    expect_that!(taken, eq([false, true]));
}

/// Guards against a crowd that stops short of its end and keeps others out until its time limit.
#[gtest]
fn stalled_request_gives_way() {
    let (mut account, holders) = full_account();
    for holder in &holders[1..] {
        account.record_received(*holder, 32 << 10, at(200));
    }
    waiting(&mut account, MIB);

    let displaced = [at(249), at(250)].map(|now| account.displaced(now));

    expect_that!(displaced, eq(&[vec![], vec![holders[0]]]));
}

/// Guards against callers that send a byte now and then to keep their memory.
#[gtest]
fn request_that_receives_a_few_bytes_gives_way() {
    let (mut account, holders) = full_account();
    for ms in 0..25 {
        account.record_received(holders[0], ms, at(10 * ms as u64));
        for holder in &holders[1..] {
            account.record_received(*holder, ms * 4096, at(10 * ms as u64));
        }
    }
    waiting(&mut account, MIB);

    let displaced = account.displaced(at(250));

    expect_that!(displaced, eq(&[holders[0]]));
}

/// Guards against callers that send just enough to count as making progress.
#[gtest]
fn request_that_takes_too_long_gives_way() {
    let (mut account, holders) = full_account();
    let sent = |step: usize| (step + 1) * (16 << 10);
    for step in 0..20 {
        for holder in &holders {
            account.record_received(*holder, sent(step), at(200 * (step as u64 + 1)));
        }
    }
    waiting(&mut account, MIB);

    let displaced = [at(3_999), at(4_000)].map(|now| account.displaced(now));

    expect_that!(displaced, eq(&[vec![], vec![holders[0]]]));
}

/// Guards against sound bodies that fail each other.
#[gtest]
fn request_that_makes_progress_keeps_its_memory() {
    let (mut account, holders) = full_account();
    for step in 1..10 {
        for holder in &holders {
            account.record_received(*holder, step * (64 << 10), at(100 * step as u64));
        }
    }
    waiting(&mut account, MIB);

    expect_that!(account.displaced(at(1_000)), is_empty());
}

/// Guards against a call that loses its body while it runs.
#[gtest]
fn complete_request_keeps_its_memory_until_it_leaves() {
    let (mut account, holders) = full_account();
    for holder in &holders {
        account.complete(*holder, MIB);
    }
    let next = waiting(&mut account, MIB);

    let displaced = account.displaced(at(60_000));
    account.leave(holders[2]);
    let taken = account.take(next, MIB, at(60_000));

    expect_that!(displaced, is_empty());
    expect_that!(taken, eq(true));
}

/// Guards against requests that are displaced in vain.
#[gtest]
fn nothing_is_displaced_if_it_is_not_enough() {
    let (mut account, holders) = full_account();
    for holder in &holders[1..] {
        account.complete(*holder, MIB);
    }
    waiting(&mut account, 2 * MIB);

    expect_that!(account.displaced(at(1_000)), is_empty());
}

/// Guards against connections that all wait unread, each with a full receive buffer.
#[gtest]
fn largest_request_no_longer_waits_when_too_many_do() {
    let (mut account, _) = full_account();
    let (large, small) = (waiting(&mut account, MIB), waiting(&mut account, MIB / 4));

    let smaller = account.enter();
    let waits = account.wait(smaller, MIB / 2);

    expect_that!(waits, eq(true));
    let waiting = [large, small, smaller].map(|holder| account.is_waiting(holder));
    expect_that!(waiting, eq([false, true, true]));
}

/// Guards against an estimate that counts a body of unknown size at the largest legal size after its end.
#[gtest]
fn complete_request_holds_what_it_received() {
    let mut account = account();
    let holder = taken(&mut account, 4 * MIB, at(0));

    account.complete(holder, 20_000);

    expect_that!(account.held(), eq(MemorySize(20_000)));
}

/// Guards against a default that the largest legal request meets, or that does not leave the rest of the process what
/// it needs.
#[gtest]
fn requests_have_what_the_rest_of_the_vm_does_not_need() {
    let limits =
        [(120, 3_075), (160, 4_100), (256, 4_096), (260, 4_100)].map(|(megabytes, descriptors)| {
            let connections = CallerConnectionLimit::of_vm(descriptors - 200);
            let memory = VmMemory::AtMost(MemorySize::megabytes(megabytes));
            CallerMemorySettings::of_vm(memory, connections).limit
        });

    expect_that!(limits, each(gt(MemorySize(3 * 4 * MIB))));
    expect_that!(limits[0], lt(MemorySize::megabytes(120 - 32 - 14 - 46)));
}
