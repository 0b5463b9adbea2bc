//! Limit of callers' connections.

use catkin_decisions::{CallerConnectionLimit, ConnectionAdmission, Instant};
use googletest::prelude::*;
use std::time::Duration;

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

/// Guards against callers who take the descriptors that their calls need for the upstreams.
#[gtest]
fn callers_take_half_of_the_connections() {
    let limit = CallerConnectionLimit::of_vm(200);

    let admissions = [99, 100].map(|open| limit.admit(&vec![None; open], at(0)));

    expect_that!(
        admissions,
        eq([ConnectionAdmission::Admit, ConnectionAdmission::Reject])
    );
}

/// Guards against idle connections that keep new callers out.
#[gtest]
fn longest_idle_connection_makes_room() {
    let limit = CallerConnectionLimit::of_vm(8);
    let idle = [None, Some(at(3_000)), Some(at(2_000)), Some(at(5_000))];

    let admission = limit.admit(&idle, at(5_500));

    expect_that!(admission, eq(ConnectionAdmission::Replace(2)));
}

/// Guards against closing a connection on which a request may be on its way.
#[gtest]
fn connection_that_has_just_become_idle_is_kept() {
    let limit = CallerConnectionLimit::of_vm(4);

    let admission = limit.admit(&[None, Some(at(5_000))], at(5_500));

    expect_that!(admission, eq(ConnectionAdmission::Reject));
}

/// Most new connections go to one VM, then to the next one, and each caller whose connection is rejected turns to
/// another VM. Guards against first requests that are read and not served, or that find no VM.
#[gtest]
fn callers_of_a_crowded_vm_find_room_elsewhere() {
    const VMS: usize = 8;
    const CONNECTIONS: usize = 400;
    let limit = CallerConnectionLimit::of_vm(CONNECTIONS);
    // Ends of the calls at each VM: 1,000 new connections a second, 400 ms a call, so that all VMs together have room
    // for four times as many.
    let mut calls: Vec<Vec<u64>> = vec![Vec::new(); VMS];
    let mut tries_of_all = Vec::new();

    for ms in 0..20_000 {
        let crowded = usize::try_from(ms / 10_000).unwrap();
        let mut tries = 0_u64;
        loop {
            // A retry meets any VM.
            let offset = if tries == 0 { 0 } else { ms + tries };
            let vm = (crowded + usize::try_from(offset).unwrap()) % VMS;
            tries += 1;
            calls[vm].retain(|end| ms < *end);
            if limit.admit(&vec![None; calls[vm].len()], at(ms)) == ConnectionAdmission::Admit {
                calls[vm].push(ms + 400);
                break;
            }
            assert_that!(tries, lt(8));
        }
        // Each call that is read has a second connection, to its upstream.
        assert_that!(2 * calls[crowded].len(), le(CONNECTIONS));
        tries_of_all.push(tries);
    }

    let most = tries_of_all.iter().max();
    expect_that!(most, some(le(&3)));
}
