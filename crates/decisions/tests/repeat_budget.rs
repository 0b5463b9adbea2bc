//! Repeats over all VMs in any window.

use catkin_decisions::{Instant, RepeatBudget, RepeatBudgetConfig};
use googletest::prelude::*;
use std::time::Duration;

const VMS: u32 = 8;

fn cfg() -> RepeatBudgetConfig {
    RepeatBudgetConfig {
        ratio: 0.8,
        slack: 150.0,
        window: Duration::from_secs(10),
        vms: VMS,
    }
}

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

/// Upstreams refuse everything, and all VMs want to repeat all the time. In no window do they repeat
/// more than they all may, although none hears of the others.
#[gtest]
fn all_vms_together_stay_within_the_budget() {
    let cfg = cfg();
    let mut vms = vec![RepeatBudget::default(); VMS as usize];
    let (mut calls, mut repeats) = (Vec::new(), Vec::new());
    for ms in (0..60_000).step_by(5) {
        for (index, vm) in vms.iter_mut().enumerate() {
            // The first VM has half of the calls.
            let every = if index == 0 { 100 } else { 700 };
            if ms % every == 0 {
                vm.called(&cfg, at(ms));
                calls.push(ms);
            }
            if vm.pay(&cfg, at(ms)) {
                repeats.push(ms);
            }
        }
    }
    for end in (10_000..60_000).step_by(50) {
        let within = |times: &[u64]| {
            times
                .iter()
                .filter(|t| (end - 10_000..end).contains(*t))
                .count()
        };
        let (calls, repeats) = (within(&calls), within(&repeats));

        expect_that!(
            repeats * 10,
            le(calls * 8 + 1500),
            "in the 10 s before {end} ms"
        );
    }
}

/// A VM has just started and has seen no call. What its callers bring at once may still be repeated,
/// from its part of the slack.
#[gtest]
fn a_vm_without_calls_has_its_part_of_the_slack() {
    let cfg = cfg();
    let mut vm = RepeatBudget::default();

    let paid = (0..1000).filter(|_| vm.pay(&cfg, at(1000))).count();

    expect_that!(paid, all![ge(15), le(150 / 8)]);
}
