//! The subset of upstreams that one VM connects to.

use catkin_decisions::{OTHER_ZONES_SUBSET, OWN_ZONE_SUBSET, Upstream, UpstreamId, VmId, subset};
use googletest::prelude::*;

fn upstream(n: usize) -> Upstream {
    Upstream {
        id: format!("engine-{n}").parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 1).into(),
        zone: format!("zone-{}", n % 6).parse().expect("a valid name"),
        services: vec!["ticket-model".parse().expect("a valid name")],
        enforces_fencing: true,
        checks_orderer: true,
    }
}

/// The target size: 900 upstreams in 6 availability zones.
fn upstreams() -> Vec<Upstream> {
    (0..900).map(upstream).collect()
}

fn vm(n: usize) -> VmId {
    format!("vm-{n}").parse().expect("a valid name")
}

fn ids(vm_number: usize, upstreams: &[Upstream]) -> Vec<UpstreamId> {
    let zone = format!("zone-{}", vm_number % 6)
        .parse()
        .expect("a valid name");
    let mut ids = subset(&vm(vm_number), &zone, upstreams)
        .into_iter()
        .map(|u| u.id.clone())
        .collect::<Vec<_>>();
    ids.sort();
    ids
}

#[gtest]
fn a_small_zone_is_taken_completely() {
    let upstreams = (0..36).map(upstream).collect::<Vec<_>>();

    let ids = ids(0, &upstreams);

    let own = upstreams.iter().step_by(6);
    expect_that!(own.filter(|u| ids.contains(&u.id)).count(), eq(6));
    expect_that!(ids.len(), eq(6 + OTHER_ZONES_SUBSET));
}

#[gtest]
fn every_upstream_has_enough_vms() {
    let upstreams = upstreams();
    let subsets = (0..400).map(|n| ids(n, &upstreams)).collect::<Vec<_>>();

    let counts = upstreams
        .iter()
        .map(|u| subsets.iter().filter(|ids| ids.contains(&u.id)).count());

    let counts = counts.collect::<Vec<_>>();
    expect_that!(subsets, each(len(eq(OWN_ZONE_SUBSET + OTHER_ZONES_SUBSET))));
    expect_that!(counts, each(all![ge(&4), le(&40)]));
}

#[gtest]
fn a_lost_upstream_changes_one_member_at_most() {
    let upstreams = upstreams();
    let mut fewer = upstreams.clone();
    let lost = fewer.remove(18);

    for n in 0..40 {
        let (before, after) = (ids(n, &upstreams), ids(n, &fewer));

        let new = after.iter().filter(|id| !before.contains(id)).count();
        expect_that!(new, eq(usize::from(before.contains(&lost.id))));
    }
}
