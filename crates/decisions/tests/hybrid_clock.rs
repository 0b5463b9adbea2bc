//! Order of events across processes whose wall clocks differ.

use catkin_decisions::{Error, HybridClock, HybridTime, MAX_CLOCK_LEAD};
use googletest::prelude::*;
use proptest::prelude::*;
use std::time::Duration;

/// Three processes exchange messages while their wall clocks stop, jump back or differ by seconds.
/// In the merged timeline, an effect must never precede its cause.
fn check_causal_order(steps: &[(usize, usize, u64)]) -> std::result::Result<(), TestCaseError> {
    let mut clocks = [HybridClock::default(); 3];
    let mut last = [HybridTime::default(); 3];
    for (from, to, millis) in steps {
        let wall = Duration::from_millis(*millis);
        let sent = clocks[*from].tick(wall);
        prop_assert!(sent > last[*from]);
        last[*from] = sent;

        clocks[*to].observe(Duration::from_secs(5), sent)?;
        let received = clocks[*to].tick(Duration::ZERO);

        prop_assert!(received > sent);
        prop_assert!(received > last[*to]);
        last[*to] = received;
    }
    Ok(())
}

proptest! {
    #[test]
    fn readings_are_causally_ordered(
        steps in prop::collection::vec((0..3_usize, 0..3_usize, 0..10_000_u64), 1..60)
    ) {
        check_causal_order(&steps)?;
    }

    #[test]
    fn readings_round_trip_through_text(micros: u64, count: u32) {
        let time = HybridTime { micros, count };

        prop_assert_eq!(time.to_string().parse(), Ok(time));
    }
}

#[gtest]
fn readings_follow_the_wall_clock() {
    let mut clock = HybridClock::default();

    let readings = [5, 5, 4, 9].map(|micros| clock.tick(Duration::from_micros(micros)).to_string());

    expect_that!(readings, eq(&["5.0", "5.1", "5.2", "9.0"]));
}

/// A VM starts with its clock a day ahead and sends a message. If other VMs merged its reading, their
/// timelines would move a day into the future.
#[gtest]
fn readings_far_in_the_future_are_rejected() {
    let mut clock = HybridClock::default();
    let wall = Duration::from_secs(100);
    let ahead = HybridTime {
        micros: 86_500_000_000,
        count: 0,
    };

    let rejected = clock.observe(wall, ahead);

    let lead = Duration::from_secs(24 * 3600);
    expect_that!(rejected, err(eq(&Error::ClockLead { lead })));
    expect_that!(lead, gt(MAX_CLOCK_LEAD));
    expect_that!(clock.tick(wall).to_string(), eq("100000000.0"));
}

#[gtest]
fn malformed_readings_are_rejected() {
    for text in ["", "5", "5.", ".5", "5.x", "-1.0"] {
        expect_that!(text.parse::<HybridTime>(), err(eq(&Error::HybridTime)));
    }
}
