//! A process that did not run for a while.

use catkin_decisions::{Instant, SuspendDetector};
use googletest::prelude::*;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Gaps told by looks at these times of the steady clock and of the one since the boot.
fn gaps(looks: &[(u64, u64)]) -> Vec<Option<Duration>> {
    let mut detector = SuspendDetector::default();
    let look = |(steady, boot): &(u64, u64)| detector.look(Instant(ms(*steady)), ms(*boot));
    looks.iter().map(look).collect()
}

#[gtest]
fn looks_that_are_a_little_late_are_no_gap() {
    let gaps = gaps(&[(1000, 5000), (1050, 5050), (1200, 5200)]);

    expect_that!(gaps, each(none()));
}

/// A process is stopped by a signal and goes on later.
#[gtest]
fn a_stopped_process_notices() {
    let gaps = gaps(&[(1000, 5000), (3000, 7000), (3050, 7050)]);

    expect_that!(gaps, eq(&vec![None, Some(ms(2000)), None]));
}

/// A VM is suspended: its steady clock does not count that time, so all bounds seem to be kept.
#[gtest]
fn a_suspended_vm_notices() {
    let gaps = gaps(&[(1000, 5000), (1050, 9050), (1100, 9100)]);

    expect_that!(gaps, eq(&vec![None, Some(ms(4050)), None]));
}
