//! Timeout after which a silent stream counts as stalled.

use catkin_decisions::StallDetector;
use googletest::prelude::*;
use proptest::prelude::*;
use std::time::Duration;

fn detector_after(gaps: impl IntoIterator<Item = u64>) -> StallDetector {
    let mut detector = StallDetector::default();
    for gap in gaps {
        detector.record_gap(ms(gap));
    }
    detector
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A connection goes silent in a stream of one token each 10 ms. The caller should not wait a second for
/// that to be detected.
#[gtest]
fn steady_stream_gets_the_shortest_timeout() {
    let detector = detector_after([10; 100]);

    expect_that!(detector.timeout(), eq(ms(400)));
}

/// An engine is busy with long prompts and its streams come in bursts. Taking each pause for a stall would
/// start second attempts that only add to its load.
#[gtest]
fn bursty_stream_gets_a_longer_timeout() {
    let detector = detector_after([10, 10, 10, 300].into_iter().cycle().take(100));

    expect_that!(detector.timeout(), gt(ms(700)));
}

#[gtest]
fn timeout_recovers_when_the_stream_is_steady_again() {
    let mut gaps = vec![300; 20];
    gaps.extend([10; 60]);

    let detector = detector_after(gaps);

    expect_that!(detector.timeout(), eq(ms(400)));
}

proptest! {
    /// Whatever the gaps, no live engine that sends its heartbeats is taken for silent, and no caller waits
    /// longer than the ceiling.
    #[test]
    fn timeout_stays_within_its_limits(gaps in prop::collection::vec(0..100_000_u64, 0..50)) {
        let bound = detector_after(gaps).timeout();

        prop_assert!(bound >= ms(400) && bound <= ms(1000));
    }
}
