//! Estimates of the remaining time of a stream from earlier streams.

use catkin_decisions::StreamPace;
use googletest::prelude::*;
use std::time::Duration;

/// Estimator with `streams` recorded streams; stream `n` has 100 + `n` events, 30 + `n` ms apart.
fn pace(streams: u32) -> StreamPace {
    let mut pace = StreamPace::default();
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

/// A VM that has just started must not refuse callers on the basis of a few streams.
#[gtest]
fn few_streams_say_nothing() {
    expect_that!(pace(7).least_rest(0), none());
}

/// Streams of fewer than two events have no interval between events.
#[gtest]
fn streams_without_a_pause_are_left_out() {
    let mut pace = StreamPace::default();
    for _ in 0..32 {
        pace.whole(1, Duration::ZERO);
        pace.whole(0, Duration::ZERO);
    }

    expect_that!(pace.least_rest(0), none());
}
