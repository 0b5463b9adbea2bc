//! Tests of the load that many VMs put on an unreachable platform store.

use catkin_decisions::{LinkRate, ZoneRole, ZoneVm, store_backoff};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::{sync::Arc, time::Duration};

/// Number of VMs in a zone.
const ZONE_VMS: usize = 40;
/// Number of zones.
const ZONES: usize = 5;

/// Duration of the outage of the store.
const OUTAGE: Duration = Duration::from_secs(5);

/// Time from the store's response to a reader until the other VMs of its zone are notified.
const NOTIFY_DELAY: Duration = Duration::from_millis(10);

fn vm(name: String) -> ZoneVm {
    ZoneVm {
        vm: Arc::from(name),
        link: None,
    }
}

fn zone(number: usize) -> Vec<ZoneVm> {
    (0..ZONE_VMS)
        .map(|n| vm(format!("vm-{number}-{n}")))
        .collect()
}

fn zone_of(size: usize) -> Vec<ZoneVm> {
    (0..size).map(|n| vm(format!("vm-{n}"))).collect()
}

/// Simulates the calls of a zone to a store that refuses every call at once for [`OUTAGE`]. VMs stop
/// calling when the readers notify them of the return. Returns the number of all calls, the number of
/// calls after the return, and the delay until a reader noticed the return.
fn simulate_zone(zone_vms: &[ZoneVm], rng: &mut Xoshiro256PlusPlus) -> (usize, usize, Duration) {
    let call_times = |vm: &ZoneVm, rng: &mut Xoshiro256PlusPlus| {
        let role = ZoneRole::of(&vm.vm, zone_vms);
        let mut at = Duration::ZERO;
        let mut call_times = vec![at];
        for faults in 1.. {
            at += store_backoff(role, zone_vms.len(), faults, rng.random());
            call_times.push(at);
            if at >= OUTAGE {
                break;
            }
        }
        (role, call_times)
    };
    let vms = zone_vms
        .iter()
        .map(|vm| call_times(vm, rng))
        .collect::<Vec<_>>();
    let noticed = vms
        .iter()
        .filter(|(role, _)| role.polls_store())
        .filter_map(|(_, call_times)| call_times.last().copied())
        .min()
        .unwrap();
    let all = vms.iter().flat_map(|(_, call_times)| call_times);
    let all = all
        .filter(|at| **at < noticed + NOTIFY_DELAY)
        .collect::<Vec<_>>();
    let after = all.iter().filter(|at| ***at >= OUTAGE).count();
    (all.len(), after, noticed.saturating_sub(OUTAGE))
}

/// Guards against a thundering herd at a store that is unreachable for five seconds. If 200 VMs called
/// it three times per second, it would receive 3,200 useless calls, and all VMs at once on its return.
/// A few VMs of each zone notice the return just as soon.
#[gtest]
fn an_outage_causes_no_thundering_herd_and_its_end_is_noticed_soon() {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);

    let zones = (0..ZONES).map(|number| simulate_zone(&zone(number), &mut rng));
    let zones = zones.collect::<Vec<_>>();

    let all = zones.iter().map(|(all, ..)| all).sum::<usize>();
    let after = zones.iter().map(|(_, after, _)| after).sum::<usize>();
    let latest = zones.iter().map(|(.., noticed)| noticed).max().unwrap();
    expect_that!(all, le(1_400));
    expect_that!(after, le(ZONE_VMS));
    expect_that!(*latest, le(Duration::from_millis(300)));
}

/// Guards against long delays in a zone of a few VMs, where no other VM may be there to notify them.
#[gtest]
fn vms_of_a_small_zone_do_not_wait_for_others() {
    let few = &zone(0)[..8];

    let waits = few
        .iter()
        .map(|vm| store_backoff(ZoneRole::of(&vm.vm, few), few.len(), 9, 1.0));

    for wait in waits {
        expect_that!(wait, le(Duration::from_millis(300)));
    }
}

/// Guards against a number of store readers that grows with the zone, and with it the calls of the
/// store. A zone has one reader; a large one also has one standby and up to two deputies, which notify
/// the others if no other VM does.
#[gtest]
fn number_of_store_readers_does_not_grow_with_the_zone() {
    for size in [1, 3, 8, 9, 64, 200, 400] {
        let vms = zone_of(size);
        let count = |role| {
            let has = |vm: &&ZoneVm| ZoneRole::of(&vm.vm, &vms) == role;
            vms.iter().filter(has).count()
        };

        let standby = usize::from(size > 8);
        expect_that!(count(ZoneRole::Reader), eq(1), "of {size}");
        expect_that!(count(ZoneRole::Standby), eq(standby), "of {size}");
        expect_that!(count(ZoneRole::Deputy), le(2), "of {size}");
    }
}

/// Guards against a zone without a reader while views of its members differ. A VM that knows only a
/// part of the zone may wrongly take the role, but the true reader has the role in every part.
#[gtest]
fn reader_has_its_role_in_every_partial_view() {
    let vms = zone_of(200);
    let reader = vms
        .iter()
        .find(|vm| ZoneRole::of(&vm.vm, &vms) == ZoneRole::Reader)
        .unwrap();
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(7);
    for known in 0..100 {
        let mut part = vms.clone();
        part.retain(|vm| vm == reader || rng.random_bool(f64::from(known) / 100.0));

        expect_that!(ZoneRole::of(&reader.vm, &part), eq(ZoneRole::Reader));
    }
}

/// Guards against a reader whose link is too small for what it sends to a large zone: the VMs with the fast links
/// are ranked first, and without any difference the order is that of the names.
#[gtest]
fn vms_with_fast_links_read_for_the_zone() {
    let unknown = zone_of(200);
    let link = |n: usize| LinkRate(if n < 5 { 1_000_000_000 } else { 20_000_000 });
    let mixed = unknown.iter().enumerate().map(|(n, vm)| ZoneVm {
        link: Some(link(n)),
        ..vm.clone()
    });
    let mixed = mixed.collect::<Vec<_>>();
    let equal = unknown.iter().map(|vm| ZoneVm {
        link: Some(LinkRate(20_000_000)),
        ..vm.clone()
    });
    let equal = equal.collect::<Vec<_>>();

    let members = |vms: &[ZoneVm]| {
        let role = |vm: &ZoneVm| ZoneRole::of(&vm.vm, vms);
        vms.iter().map(role).collect::<Vec<_>>()
    };

    let of_mixed = members(&mixed);
    expect_that!(
        of_mixed[..5]
            .iter()
            .filter(|role| **role != ZoneRole::Member)
            .count(),
        eq(4)
    );
    expect_that!(of_mixed[5..], each(eq(&ZoneRole::Member)));
    expect_that!(members(&equal), eq(&members(&unknown)));
}
