//! How long a stream still takes, from those before it.

use catkin_decisions::StreamDurationEstimator;
use googletest::prelude::*;
use std::time::Duration;

/// Streams of 100 to 131 events, 30 to 61 ms apart.
fn pace(streams: u32) -> StreamDurationEstimator {
    let mut pace = StreamDurationEstimator::default();
    for n in 0..streams {
        let events = u64::from(100 + n);
        let pause = Duration::from_millis(u64::from(30 + n));
        pace.whole(events, pause * (99 + n));
    }
    pace
}

#[gtest]
fn rest_is_that_of_a_short_and_fast_stream() {
    let pace = pace(32);

    let rests = [0, 58, 200].map(|had| pace.least_rest(had));

    let pause = Duration::from_millis(38);
    expect_that!(
        rests,
        eq([Some(pause * 108), Some(pause * 50), Some(Duration::ZERO)])
    );
}

/// A VM that has just started does not refuse callers by two or three streams.
#[gtest]
fn few_streams_say_nothing() {
    expect_that!(pace(7).least_rest(0), none());
}

/// Streams of one event have no pace.
#[gtest]
fn streams_without_a_pause_are_left_out() {
    let mut pace = StreamDurationEstimator::default();
    for _ in 0..32 {
        pace.whole(1, Duration::ZERO);
        pace.whole(0, Duration::ZERO);
    }

    expect_that!(pace.least_rest(0), none());
}
