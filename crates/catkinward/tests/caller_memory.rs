//! Reading of bodies within the memory of callers' requests.

use bytes::Bytes;
use catkin_decisions::{CallerMemorySettings, MemorySize};
use catkinward::{BodyRefusal, CallerMemory, ReceivedBody, Timer, UnreadBody};
use futures::channel::mpsc;
use googletest::prelude::*;
use std::{convert::Infallible, sync::Arc, time::Duration};
use tokio::task::JoinHandle;

const MIB: usize = 1 << 20;

type Parts = mpsc::UnboundedSender<std::result::Result<Bytes, Infallible>>;
type Reading = JoinHandle<std::result::Result<ReceivedBody, BodyRefusal>>;

/// Memory for one body of a mebibyte.
fn memory() -> Arc<CallerMemory> {
    let settings = CallerMemorySettings {
        limit: MemorySize(MIB),
        ..CallerMemorySettings::default()
    };
    CallerMemory::new(settings, Timer::start())
}

/// Begins to read a body of a mebibyte; returns where its parts are sent.
fn read(memory: &Arc<CallerMemory>, announced: Option<usize>) -> (Parts, Reading) {
    let (tx, rx) = mpsc::unbounded();
    let memory = memory.clone();
    let reading = tokio::spawn(async move {
        let unread = UnreadBody {
            request: None,
            team: None,
            head: 0,
            announced: announced.map(|bytes| bytes as u64),
            limit: MIB,
            copies: 1,
            timeout: Duration::from_secs(15),
        };
        memory.receive(unread, rx).await
    });
    (tx, reading)
}

fn send(parts: &Parts, bytes: usize) {
    let part = Bytes::from(vec![b'x'; bytes]);
    // The receiver is gone if the body has been refused.
    let _ = parts.unbounded_send(Ok(part));
}

async fn wait(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Guards against a body that stops short of its end and keeps others out until its time limit.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stalled_body_gives_way_to_one_that_waits() {
    let memory = memory();
    let (stalled_parts, stalled) = read(&memory, Some(MIB));
    send(&stalled_parts, MIB - 1);
    wait(300).await;

    let (parts, sound) = read(&memory, Some(MIB));
    send(&parts, MIB);
    drop(parts);

    expect_that!(sound.await.unwrap(), ok(anything()));
    expect_that!(stalled.await.unwrap(), err(eq(&BodyRefusal::Displaced)));
    drop(stalled_parts);
}

/// Guards against a body of unknown size that takes memory beyond what a small request is given.
#[gtest]
#[tokio::test(start_paused = true)]
async fn body_of_unknown_size_waits_when_it_becomes_large() {
    let memory = memory();
    let (first_parts, first) = read(&memory, Some(MIB));
    wait(10).await;
    let (parts, second) = read(&memory, None);

    for _ in 0..20 {
        send(&first_parts, 40_000);
        send(&parts, 1_000);
        wait(50).await;
    }

    expect_that!(second.await.unwrap(), err(eq(&BodyRefusal::NoMemory)));
    expect_that!(first.is_finished(), eq(false));
    drop(first_parts);
}

/// Guards against callers who are refused because this process was paused and read nothing.
#[gtest]
#[tokio::test(start_paused = true)]
async fn pause_of_the_process_displaces_nobody() {
    let memory = memory();
    let (first_parts, first) = read(&memory, Some(MIB));
    send(&first_parts, 40_000);
    wait(10).await;
    let (parts, second) = read(&memory, Some(MIB));
    wait(60).await;

    tokio::time::advance(Duration::from_secs(2)).await;
    // The tick of the waiting request comes before what arrived during the pause is read.
    wait(1).await;
    for _ in 0..25 {
        send(&first_parts, 40_000);
        wait(20).await;
    }
    drop(first_parts);

    expect_that!(first.await.unwrap(), ok(anything()));
    drop((parts, second));
}

/// Guards against memory that stays taken when a caller leaves while its request waits or is read.
#[gtest]
#[tokio::test(start_paused = true)]
async fn callers_who_leave_give_their_memory_back() {
    let memory = memory();
    let (_held_parts, held) = read(&memory, Some(MIB));
    let (_waiting_parts, waiting) = read(&memory, Some(MIB / 2));
    wait(100).await;

    held.abort();
    waiting.abort();
    wait(10).await;
    let (parts, next) = read(&memory, Some(MIB));
    send(&parts, MIB);
    drop(parts);

    expect_that!(next.await.unwrap(), ok(anything()));
}

/// Guards against a body that is counted no longer while its call still has it.
#[gtest]
#[tokio::test(start_paused = true)]
async fn memory_is_held_until_the_last_bytes_are_dropped() {
    let memory = memory();
    let (parts, complete) = read(&memory, Some(MIB));
    send(&parts, MIB);
    drop(parts);
    let body = Bytes::from(complete.await.unwrap().unwrap());
    let retained = body.slice(..1);
    drop(body);

    let (_parts, refused) = read(&memory, Some(MIB));
    let refused = refused.await.unwrap();
    drop(retained);
    let (parts, next) = read(&memory, Some(MIB));
    send(&parts, MIB);
    drop(parts);

    expect_that!(refused, err(eq(&BodyRefusal::NoMemory)));
    expect_that!(next.await.unwrap(), ok(anything()));
}
