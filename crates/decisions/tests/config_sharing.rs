//! Whether a VM's link can send its configuration to the other VMs of its zone.

use catkin_decisions::{LinkRate, link_carries_config};
use googletest::prelude::*;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_millis(250);

#[gtest]
fn link_carries_reads_up_to_half_of_its_rate() {
    let mbit = |n: u64| Some(LinkRate(n * 1_000_000));
    let cases = [
        (mbit(10), 5_000, 29, true),
        (mbit(10), 20_000, 29, false),
        (mbit(200), 20_000, 29, true),
        (mbit(10), 20_000, 3, true),
        (mbit(10), usize::MAX, 29, false),
        (None, 20_000, 29, true),
    ];

    for (link, bytes, readers, carries) in cases {
        expect_that!(
            link_carries_config(link, bytes, readers, TIMEOUT),
            eq(carries),
            "{link:?}, {bytes} bytes for {readers}"
        );
    }
}
