//! Estimates of the remaining time of a stream from earlier streams.

use catkin_decisions::StreamDurationEstimator;
use googletest::prelude::*;
use std::time::Duration;

/// Estimator with `streams` recorded streams; stream `n` has 100 + `n` events, 30 + `n` ms apart.
fn pace(streams: u32) -> StreamDurationEstimator {
    let mut pace = StreamDurationEstimator::default();
    for n in 0..streams {
        let events = u64::from(100 + n);
        let interval = Duration::from_millis(u64::from(30 + n));
        pace.record_complete(events, interval * (99 + n));
    }
    pace
}

#[gtest]
fn remaining_time_is_that_of_a_short_and_fast_stream() {
    let pace = pace(32);

    let remaining = [0, 58, 200].map(|received| pace.min_remaining(received));

    let interval = Duration::from_millis(38);
    expect_that!(
        remaining,
        eq([
            Some(interval * 108),
            Some(interval * 50),
            Some(Duration::ZERO)
        ])
    );
}

/// A VM that has just started must not refuse callers on the basis of a few streams.
#[gtest]
fn few_streams_give_no_estimate() {
    expect_that!(pace(7).min_remaining(0), none());
}

/// Streams of fewer than two events have no interval between events.
#[gtest]
fn streams_without_an_interval_are_ignored() {
    let mut pace = StreamDurationEstimator::default();
    for _ in 0..32 {
        pace.record_complete(1, Duration::ZERO);
        pace.record_complete(0, Duration::ZERO);
    }

    expect_that!(pace.min_remaining(0), none());
}
