//! Upstreams that crash and start anew at the same address.

mod gateway_support;

use catkinward::gateway::Reply;
use gateway_support::*;
use googletest::prelude::*;
use std::time::Duration;

/// All engines crashed and started anew while this VM is cut off from the platform, so it knows only
/// ids that are gone. Each engine that refuses says who it is now; the next call goes there. Without
/// that every call tries one engine after the other until no repeat is left.
#[gtest]
#[tokio::test(start_paused = true)]
async fn engine_that_started_anew_is_taken_in() {
    let running = GatewayFixture::new(|call| {
        if call.entry.id.as_str() == "engine-a9" {
            Script::Stream(events(1, 3), End::Whole)
        } else {
            Script::OtherIncarnation(Some("engine-a9"))
        }
    })
    .upstream("engine-a1", ENGINES, "a")
    .start();
    running.handle("/stream/1").await;
    tokio::time::sleep(Duration::from_millis(50)).await;

    let stream = read_stream(running.handle("/stream/1").await).await;

    expect_that!(stream, eq(&(text(1, 3), true)));
}

/// The address of a plain upstream belongs to another one now, perhaps of another service. A call
/// must not go there on its word.
#[gtest]
#[tokio::test(start_paused = true)]
async fn plain_upstream_is_not_taken_in_on_its_word() {
    let running = GatewayFixture::new(|_| Script::OtherIncarnation(Some("plain-a9")))
        .upstream("plain-a1", PLAIN, "a")
        .start();

    let first = running.handle("/once/1").await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    let second = running.handle("/once/1").await;

    expect_that!(first, pat!(Reply::NotRun { .. }));
    expect_that!(second, pat!(Reply::NotRun { .. }));
    expect_that!(running.sent_to(), eq(&["plain-a1"]));
}
