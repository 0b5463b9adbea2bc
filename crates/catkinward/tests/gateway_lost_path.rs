//! A VM that has lost its path to the upstreams, and what it attributes to the calls that it loses there.

mod gateway_support;

use catkinward::gateway::Reply;
use gateway_support::*;
use googletest::prelude::*;

/// A gateway over whose own path all connections to engines break. Another VM reaches the engines, or does not.
fn cut_off(reached_by_others: bool) -> Running {
    let running = GatewayFixture::new(|call| {
        if call.path.is_direct() {
            Script::Lost
        } else {
            Script::Stream(events(1, 40), End::Whole)
        }
    })
    .answers_probes(|_| false)
    .reached_by_others(reached_by_others)
    .default_upstreams()
    .start();
    running.receive_peer_heartbeat();
    running
}

/// Guards against calls that are refused because upstreams were lost under them, while only this VM's path to the
/// upstreams has failed.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_whose_runs_were_lost_with_the_path_is_served_through_another_vm() {
    let running = cut_off(true);

    let stream = read_stream(running.handle("/stream/1").await).await;

    expect_that!(stream, eq(&(text(1, 40), true)));
}

/// Guards against a body that crashes most upstreams of a service and then the rest, because their loss counts as that
/// of the path.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_ends_after_three_losses_if_no_other_vm_reaches_the_upstreams() {
    let running = cut_off(false);

    let reply = running.handle("/stream/1").await;

    expect_that!(matches!(reply, Reply::Unknown), eq(true));
    expect_that!(running.sent_to().len(), eq(3));
}
