//! Graceful shutdown of a gateway.

mod gateway_support;

use catkinward::gateway::Reply;
use gateway_support::*;
use googletest::prelude::*;
use std::time::Duration;

const GRACE: Duration = Duration::from_secs(8);

fn streaming_gateway() -> Running {
    GatewayFixture::new(|_| Script::Stream(events(1, 3), End::Whole))
        .default_upstreams()
        .start()
}

/// Most VMs of an availability zone shut down at the same time, and the platform keeps sending callers to
/// them. A stream accepted a second before the end of the grace time would be cut in the middle, so it must
/// be refused at once and its caller can retry elsewhere.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_that_cannot_complete_before_shutdown_is_refused() {
    let running = streaming_gateway();
    let gateway = running.gateway.clone();
    let held = running.gateway.drain.enter();
    tokio::spawn(async move { gateway.shut_down(GRACE, || ()).await });
    tokio::time::sleep(Duration::from_secs(6)).await;

    let late = running.handle("/stream/1").await;

    expect_that!(late, pat!(Reply::NotRun { .. }));
    expect_that!(running.sent_to().is_empty(), eq(true));
    drop(held);
}

/// The platform takes a VM out of rotation after two failed readiness checks. Callers that arrive until then
/// must be served, because they cannot know of the shutdown.
#[gtest]
#[tokio::test(start_paused = true)]
async fn callers_are_served_until_the_vm_is_out_of_rotation() {
    let running = streaming_gateway();
    let gateway = running.gateway.clone();
    tokio::spawn(async move { gateway.shut_down(GRACE, || ()).await });
    tokio::time::sleep(Duration::from_secs(2)).await;

    let stream = read_stream(running.handle("/stream/1").await).await;

    expect_that!(running.gateway.is_ready(), eq(false));
    expect_that!(stream, eq(&(text(1, 3), true)));
}

/// A quick call that arrives late but ends well before the process exits is served.
#[gtest]
#[tokio::test(start_paused = true)]
async fn quick_call_is_served_if_it_ends_before_shutdown() {
    let running = GatewayFixture::new(|_| Script::Whole(http::StatusCode::OK, "yes"))
        .default_upstreams()
        .start();
    let gateway = running.gateway.clone();
    let held = running.gateway.drain.enter();
    tokio::spawn(async move { gateway.shut_down(GRACE, || ()).await });
    tokio::time::sleep(Duration::from_secs(6)).await;

    let in_time = running.handle("/quick/1").await;
    tokio::time::sleep(Duration::from_millis(1200)).await;
    let too_late = running.handle("/quick/1").await;

    expect_that!(in_time, pat!(Reply::Whole { .. }));
    expect_that!(too_late, pat!(Reply::NotRun { .. }));
    drop(held);
}
