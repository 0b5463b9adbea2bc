//! Detection that the process did not run for a while.

use catkin_decisions::{Instant, SuspendDetector};
use googletest::prelude::*;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Gaps reported for readings of the steady clock and of the clock that counts from boot, in milliseconds.
fn gaps(readings: &[(u64, u64)]) -> Vec<Option<Duration>> {
    let mut detector = SuspendDetector::default();
    let reading = |(steady, boot): &(u64, u64)| detector.check(Instant(ms(*steady)), ms(*boot));
    readings.iter().map(reading).collect()
}

#[gtest]
fn slightly_late_readings_are_no_gap() {
    let gaps = gaps(&[(1000, 5000), (1050, 5050), (1200, 5200)]);

    expect_that!(gaps, each(none()));
}

/// A process is stopped by a signal and continues later.
#[gtest]
fn stopped_process_reports_a_gap() {
    let gaps = gaps(&[(1000, 5000), (3000, 7000), (3050, 7050)]);

    expect_that!(gaps, eq(&vec![None, Some(ms(2000)), None]));
}

/// A VM is suspended. Its steady clock does not count that time, so no time-out seems to have passed.
#[gtest]
fn suspended_vm_reports_a_gap() {
    let gaps = gaps(&[(1000, 5000), (1050, 9050), (1100, 9100)]);

    expect_that!(gaps, eq(&vec![None, Some(ms(4050)), None]));
}
