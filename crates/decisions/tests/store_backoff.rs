//! Many VMs before a store that is away.

use catkin_decisions::{ZoneRole, store_backoff};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::{sync::Arc, time::Duration};

/// VMs of a zone, and zones.
const ZONE_VMS: usize = 40;
const ZONES: usize = 5;

/// How long the store is away.
const AWAY: Duration = Duration::from_secs(5);

/// Time from the store's answer to a reader until the others of its zone have its word.
const WORD: Duration = Duration::from_millis(10);

fn zone(number: usize) -> Vec<Arc<str>> {
    (0..ZONE_VMS)
        .map(|n| Arc::from(format!("vm-{number}-{n}")))
        .collect()
}

fn zone_of(size: usize) -> Vec<Arc<str>> {
    (0..size).map(|n| Arc::from(format!("vm-{n}"))).collect()
}

/// Calls of a zone at a store that answers nobody for [`AWAY`], each refused at once, and when its readers noticed
/// the return: all calls, and those of the second after the return. Who hears the readers' word asks no more.
fn calls(zone_vms: &[Arc<str>], rng: &mut Xoshiro256PlusPlus) -> (usize, usize, Duration) {
    let asked = |vm: &Arc<str>, rng: &mut Xoshiro256PlusPlus| {
        let role = ZoneRole::of(vm, zone_vms);
        let mut at = Duration::ZERO;
        let mut asked = vec![at];
        for faults in 1.. {
            at += store_backoff(role, zone_vms.len(), faults, rng.random());
            asked.push(at);
            if at >= AWAY {
                break;
            }
        }
        (role, asked)
    };
    let vms = zone_vms.iter().map(|vm| asked(vm, rng)).collect::<Vec<_>>();
    let noticed = vms
        .iter()
        .filter(|(role, _)| role.polls_store())
        .filter_map(|(_, asked)| asked.last().copied())
        .min()
        .unwrap();
    let all = vms.iter().flat_map(|(_, asked)| asked);
    let all = all.filter(|at| **at < noticed + WORD).collect::<Vec<_>>();
    let after = all.iter().filter(|at| ***at >= AWAY).count();
    (all.len(), after, noticed.saturating_sub(AWAY))
}

/// The store is away for five seconds. Asked by 200 VMs three times a second it gets 3,200 calls that help nobody,
/// and all VMs at once at its return. A few of each zone notice the return just as soon.
#[gtest]
fn an_outage_is_no_storm_of_calls_and_its_end_is_noticed_at_once() {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);

    let zones = (0..ZONES).map(|number| calls(&zone(number), &mut rng));
    let zones = zones.collect::<Vec<_>>();

    let all = zones.iter().map(|(all, ..)| all).sum::<usize>();
    let after = zones.iter().map(|(_, after, _)| after).sum::<usize>();
    let latest = zones.iter().map(|(.., noticed)| noticed).max().unwrap();
    expect_that!(all, le(1_400));
    expect_that!(after, le(ZONE_VMS));
    expect_that!(*latest, le(Duration::from_millis(300)));
}

/// In a zone of a few VMs each asks by itself as often as before: nobody may be there to tell it.
#[gtest]
fn vms_of_a_small_zone_do_not_wait_for_others() {
    let few = &zone(0)[..8];

    let waits = few
        .iter()
        .map(|vm| store_backoff(ZoneRole::of(vm, few), few.len(), 9, 1.0));

    for wait in waits {
        expect_that!(wait, le(Duration::from_millis(300)));
    }
}

/// One VM of a zone reads; in a large one another stands by and two tell if nobody else does, however many there are.
/// Were their number to grow with the zone, so would the calls of the store.
#[gtest]
fn a_zone_has_the_same_few_in_front_whatever_its_size() {
    for size in [1, 3, 8, 9, 64, 200, 400] {
        let vms = zone_of(size);
        let count = |role| {
            let has = |vm: &&Arc<str>| ZoneRole::of(vm, &vms) == role;
            vms.iter().filter(has).count()
        };

        let standby = usize::from(size > 8);
        expect_that!(count(ZoneRole::Reader), eq(1), "of {size}");
        expect_that!(count(ZoneRole::Standby), eq(standby), "of {size}");
        expect_that!(count(ZoneRole::Deputy), le(2), "of {size}");
    }
}

/// A VM that knows only a part of its zone may take itself for one of those in front, but whoever it is in truth is so
/// in each part as well: the zone is never without a reader while views differ.
#[gtest]
fn the_reader_of_a_zone_takes_itself_for_it_whomever_it_knows() {
    let vms = zone_of(200);
    let reader = vms
        .iter()
        .find(|vm| ZoneRole::of(vm, &vms) == ZoneRole::Reader)
        .unwrap();
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(7);
    for known in 0..100 {
        let mut part = vms.clone();
        part.retain(|vm| vm == reader || rng.random_bool(f64::from(known) / 100.0));

        expect_that!(ZoneRole::of(reader, &part), eq(ZoneRole::Reader));
    }
}
