//! Tests of the slices of a team's rate limit and of their allocator.

use catkin_decisions::{
    Instant, LimitKind, SliceAllocator, SliceGrant, SliceRequest, TeamSlice, VmId,
};
use googletest::prelude::*;
use proptest::prelude::*;
use std::time::Duration;

const LIMIT: f64 = 100.0;

fn at_ms(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

fn vm(n: usize) -> VmId {
    format!("vm-{n}").parse().expect("a name")
}

fn allocator(vms: usize) -> SliceAllocator {
    SliceAllocator::new(LIMIT, (0..vms).map(vm).collect(), at_ms(0))
}

fn ask(allocator: &mut SliceAllocator, n: usize, demand: f64, at: Instant) -> SliceGrant {
    let request = SliceRequest {
        team: "counter".parse().expect("a name"),
        kind: LimitKind::Requests,
        vm: vm(n),
        demand,
    };
    allocator.grant(&request, at).expect("a holder")
}

/// Number of admitted requests within a second, of `per_second` evenly spaced ones.
fn admitted_in_second(slice: &mut TeamSlice, second: u64, per_second: u64) -> usize {
    (0..per_second)
        .filter(|n| {
            slice
                .try_take(1.0, at_ms(second * 1000 + n * 1000 / per_second))
                .is_ok()
        })
        .count()
}

#[gtest]
fn slices_follow_the_demand() {
    let mut allocator = allocator(8);

    let rates = [4000, 5000, 6000, 7000, 8000].map(|at| {
        (0..8)
            .map(|n| {
                ask(
                    &mut allocator,
                    n,
                    if n == 3 { 90.0 } else { 0.0 },
                    at_ms(at),
                )
                .rate
            })
            .collect::<Vec<_>>()
    });

    expect_that!(rates[4][3], ge(70.0));
    expect_that!(rates[4].iter().sum::<f64>(), le(LIMIT + 1e-9));
}

#[gtest]
fn equal_demands_beyond_the_limit_share_it_evenly() {
    let mut allocator = allocator(4);

    let rates = [4000, 5000, 6000, 7000, 8000, 9000].map(|at| {
        (0..4)
            .map(|n| ask(&mut allocator, n, 80.0, at_ms(at)).rate)
            .collect::<Vec<_>>()
    });

    expect_that!(rates[5], each(near(25.0, 0.1)));
}

/// Guards against exceeding the limit after the allocator crashed and another VM took over, while
/// slices of the first are still in force: the team could then call at twice its limit.
#[gtest]
fn a_new_allocator_grants_floors_first() {
    let mut allocator = allocator(4);

    let early = ask(&mut allocator, 0, 80.0, at_ms(2999));
    let later = ask(&mut allocator, 0, 80.0, at_ms(6000));

    expect_that!(early.rate, near(6.25, 0.01));
    expect_that!(later.rate, gt(50.0));
}

/// Guards against a VM that refuses all calls, or admits them without a limit, while it cannot reach
/// the allocator. It continues with its slice and then with its minimum quota.
#[gtest]
fn an_unreachable_vm_continues_with_its_floor() {
    let mut allocator = allocator(4);
    let grant = ask(&mut allocator, 0, 80.0, at_ms(4000));
    let mut slice = TeamSlice::fixed(25.0, at_ms(0));
    slice.apply_grant(&grant, at_ms(4000), at_ms(4000));

    let with_slice = slice.rate(at_ms(6999));
    let cut_off = slice.rate(at_ms(7000));
    let admitted = admitted_in_second(&mut slice, 20, 100);

    expect_that!(with_slice, gt(50.0));
    expect_that!(cut_off, near(6.25, 0.01));
    expect_that!(admitted, le(14));
}

#[gtest]
fn a_slice_admits_its_rate() {
    let mut slice = TeamSlice::fixed(20.0, at_ms(0));
    admitted_in_second(&mut slice, 0, 100);

    let admitted = (1..11)
        .map(|second| admitted_in_second(&mut slice, second, 100))
        .sum::<usize>();

    expect_that!(admitted, all![ge(199), le(201)]);
}

#[gtest]
fn a_refusal_says_when_to_retry() {
    let mut slice = TeamSlice::fixed(2.0, at_ms(0));
    while slice.try_take(1.0, at_ms(0)).is_ok() {}

    let wait = slice.try_take(1.0, at_ms(0)).expect_err("used up");

    expect_that!(slice.try_take(1.0, Instant(wait)), ok(anything()));
}

#[gtest]
fn a_large_request_is_admitted_and_repaid() {
    let mut slice = TeamSlice::fixed(10.0, at_ms(0));

    let large = slice.try_take(50.0, at_ms(0));
    let next = slice.try_take(1.0, at_ms(1000));
    slice.refund(45.0);
    let after = slice.try_take(1.0, at_ms(1000));

    expect_that!(large, ok(anything()));
    expect_that!(next, err(anything()));
    expect_that!(after, ok(anything()));
}

proptest! {
    /// For any demands and any lost replies, the slices in force never add up to more than the limit.
    #[test]
    fn slices_never_exceed_the_limit(
        requests in prop::collection::vec((0..900_u64, 0..6_usize, 0.0..300.0_f64, any::<bool>()), 1..120)
    ) {
        let mut allocator = allocator(6);
        let mut slices = (0..6).map(|_| TeamSlice::fixed(allocator.floor(), at_ms(0))).collect::<Vec<_>>();
        let mut now = 3000;

        for (wait, n, demand, lost) in requests {
            now += wait;
            let grant = ask(&mut allocator, n, demand, at_ms(now));
            if !lost {
                slices[n].apply_grant(&grant, at_ms(now), at_ms(now));
            }

            let sum = slices.iter().map(|slice| slice.rate(at_ms(now))).sum::<f64>();
            prop_assert!(sum <= LIMIT + 1e-6, "{sum}");
        }
    }
}
