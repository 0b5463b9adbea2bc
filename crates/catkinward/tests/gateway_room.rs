//! Placement by the room of upstreams, for scheduled services only.

mod gateway_support;

use catkin_decisions::{
    CallKind, KvMemory, LoadSample, ResponseKind, RoomReport, UpstreamStatement,
};
use gateway_support::*;
use googletest::prelude::*;
use std::time::Duration;
use tokio::time::sleep;

const CAPACITY: u32 = 88_000;

/// Sends two streams, of which the first is answered with the statement that the memory of its engine is full; returns
/// the engines that they were sent to. The own zone is `a`.
async fn engines_of_two_streams(kv_capacity: Option<u32>, priorities: [u8; 2]) -> Vec<String> {
    let paths = ["/stream/", "/urgent/"].into_iter().zip(priorities);
    let routes = paths.map(|(path, priority)| catkin_decisions::Route {
        priority,
        ..route(path, CallKind::ResumableStream, ENGINES)
    });
    let mut fixture = GatewayFixture::new(|call| {
        call.gate.record(&UpstreamStatement {
            status: 200,
            kind: ResponseKind::Answer,
            load: Some(LoadSample::default()),
            room: RoomReport {
                memory: KvMemory::new(CAPACITY, CAPACITY),
                ..RoomReport::default()
            },
            ..UpstreamStatement::default()
        });
        Script::Stream(events(1, 5), End::Whole)
    })
    .routes(routes.collect())
    .upstream("engine-a", ENGINES, "a")
    .upstream("engine-b", ENGINES, "b");
    if let Some(tokens) = kv_capacity {
        fixture = fixture.kv_capacity(Some(tokens));
    }
    let running = fixture.start();
    for path in ["/stream/1", "/urgent/1"] {
        read_stream(running.handle(path).await).await;
        // The prompt of the first stream counts as not prefilled for 1 s, and a report counts for 1.5 s.
        sleep(Duration::from_secs(1)).await;
    }
    running.sent_to()
}

/// An engine whose memory is full gets no further call of a scheduled service.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_of_a_scheduled_service_goes_to_an_upstream_with_room() {
    let sent_to = engines_of_two_streams(Some(CAPACITY), [1, 0]).await;
    expect_that!(sent_to, elements_are![eq("engine-a"), eq("engine-b")]);
}

/// Deployments without a configured memory, or with routes of one priority only, must be served as before scheduling,
/// whatever their upstreams report: at the idle engine of the own zone.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_of_another_service_is_placed_as_before() {
    for (kv_capacity, priorities) in [(None, [1, 0]), (Some(CAPACITY), [1, 1])] {
        let sent_to = engines_of_two_streams(kv_capacity, priorities).await;
        expect_that!(sent_to, elements_are![eq("engine-a"), eq("engine-a")]);
    }
}
