//! Limit of what a VM sends of its table to other VMs.

use catkin_decisions::{Instant, LinkRate, TransferLimit};
use googletest::prelude::*;
use std::time::Duration;

const LINK: Option<LinkRate> = Some(LinkRate(20_000_000));

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

/// Guards against a VM whose link is filled by a zone of 200 VMs that read its table, so that its streams are late.
#[gtest]
fn transfers_leave_half_of_the_link() {
    let mut limit = TransferLimit::default();

    let admitted = (0..200).filter(|n| limit.admit(200_000, LINK, at(5_000 + n)));

    expect_that!(admitted.count(), eq(6));
    expect_that!(limit.admit(200_000, LINK, at(6_000)), eq(true));
}

/// A table that is larger than the share is sent all the same, or a small VM could serve none.
#[gtest]
fn first_transfer_of_a_span_is_admitted() {
    let mut limit = TransferLimit::default();

    expect_that!(limit.admit(4_000_000, LINK, at(5_000)), eq(true));
    expect_that!(limit.admit(1, LINK, at(5_100)), eq(false));
}

#[gtest]
fn link_of_unknown_bandwidth_is_not_limited() {
    let mut limit = TransferLimit::default();

    let admitted = (0..200).filter(|n| limit.admit(1 << 30, None, at(5_000 + n)));

    expect_that!(admitted.count(), eq(200));
}
