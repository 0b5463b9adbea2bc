//! Selection of the release in force when announcements arrive late, reordered or repeated.

use catkin_decisions::{BundleDigest, BundleVersion, BundleView, Instant, PEER_FALLBACK_DELAY};
use googletest::prelude::*;
use proptest::prelude::*;
use std::time::Duration;

fn release(version: u64) -> (BundleVersion, BundleDigest) {
    let digest = BundleDigest::of(version.to_string());
    (BundleVersion(version), digest)
}

fn advertise(view: &mut BundleView, version: u64) {
    let (version, digest) = release(version);
    view.record_peer_release(version, digest);
}

fn at(millis: u64) -> Instant {
    Instant(Duration::from_millis(millis))
}

/// A starting VM first receives an old release from a peer that lags. If it served that release,
/// callers would see the rollout undone.
#[gtest]
fn starting_vm_waits_for_the_table_service() {
    let mut view = BundleView::new(at(0));
    advertise(&mut view, 4);

    let before = view.next_release(at(100));
    view.record_table_release(Some(release(5)));

    expect_that!(before, none());
    expect_that!(view.next_release(at(100)), some(eq(release(5))));
}

/// A VM starts while the platform is unreachable. It must serve what its peers serve, once all of
/// them have had time to advertise their versions.
#[gtest]
fn starting_vm_without_platform_uses_the_largest_version_of_its_peers() {
    let mut view = BundleView::new(at(0));
    for version in [4, 6, 5] {
        advertise(&mut view, version);
    }

    let early = view.next_release(at(2_999));

    expect_that!(early, none());
    expect_that!(
        view.next_release(Instant(PEER_FALLBACK_DELAY)),
        some(eq(release(6)))
    );
}

#[gtest]
fn serving_vm_accepts_a_newer_release_of_a_peer_immediately() {
    let mut view = BundleView::new(at(0));
    view.record_table_release(Some(release(5)));
    view.record_in_force(BundleVersion(5));
    advertise(&mut view, 4);
    let old = view.next_release(at(10));
    advertise(&mut view, 6);

    expect_that!(old, none());
    expect_that!(view.next_release(at(10)), some(eq(release(6))));
}

/// A peer advertises a release that does not exist, because of a fault or a wrong table. Unless it
/// is discarded, this VM requests that content forever and puts no real release in force.
#[gtest]
fn peer_release_without_content_is_discarded() {
    let mut view = BundleView::new(at(0));
    view.record_table_release(Some(release(5)));
    view.record_in_force(BundleVersion(5));
    advertise(&mut view, 900);
    let nonexistent = view.next_release(at(10));
    view.record_unavailable(BundleVersion(900));
    view.record_table_release(Some(release(6)));

    expect_that!(nonexistent, some(eq(release(900))));
    expect_that!(view.next_release(at(10)), some(eq(release(6))));
}

/// A peer and the table service report different digests for the same version.
#[gtest]
fn digest_of_the_table_service_takes_precedence() {
    let mut view = BundleView::new(at(0));
    view.record_peer_release(BundleVersion(6), BundleDigest::of("something else"));
    view.record_table_release(Some(release(6)));

    expect_that!(view.next_release(at(0)), some(eq(release(6))));
}

#[gtest]
fn nothing_is_put_in_force_before_the_first_rollout() {
    let mut view = BundleView::new(at(0));
    view.record_table_release(None);

    expect_that!(view.next_release(Instant(PEER_FALLBACK_DELAY)), none());
}

/// An event of the property test, in an availability zone whose platform is reachable or not.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A release is rolled out.
    RollOut,
    /// A VM reads the table service; the response arrives `delay` steps later, if at all.
    Read { vm: usize, delay: usize },
    /// A VM advertises its release in force to another; the message is delayed and may be duplicated.
    Advertise {
        from: usize,
        to: usize,
        delay: usize,
        duplicated: bool,
    },
    /// The platform becomes unreachable, or reachable again.
    PlatformUnreachable(bool),
    /// A VM restarts without a release; its peers advertise theirs while it waits.
    Restart(usize),
    /// Time passes.
    Wait,
}

const VMS: usize = 3;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::RollOut),
        (0..VMS, 0..5_usize).prop_map(|(vm, delay)| Step::Read { vm, delay }),
        (0..VMS, 0..VMS, 0..5_usize, any::<bool>()).prop_map(|(from, to, delay, duplicated)| {
            Step::Advertise {
                from,
                to,
                delay,
                duplicated,
            }
        }),
        any::<bool>().prop_map(Step::PlatformUnreachable),
        (0..VMS).prop_map(Step::Restart),
        Just(Step::Wait),
    ]
}

/// A message from the table service or a peer to a VM, due at a step.
struct Message {
    due: usize,
    to: usize,
    version: u64,
    from_table: bool,
    /// Start time of the addressed process; a later process does not receive the message.
    process_start: usize,
}

struct Zone {
    views: Vec<BundleView>,
    in_force: Vec<u64>,
    process_starts: Vec<usize>,
    messages: Vec<Message>,
    current: u64,
    platform_unreachable: bool,
    now: usize,
}

impl Zone {
    fn new() -> Self {
        Self {
            views: vec![BundleView::new(at(0)); VMS],
            in_force: vec![0; VMS],
            process_starts: vec![0; VMS],
            messages: Vec::new(),
            current: 0,
            platform_unreachable: false,
            now: 0,
        }
    }

    fn time(&self) -> Instant {
        at(u64::try_from(self.now).expect("few steps") * 1_000)
    }

    fn send(&mut self, to: usize, version: u64, from_table: bool, delay: usize) {
        self.messages.push(Message {
            due: self.now + delay,
            to,
            version,
            from_table,
            process_start: self.process_starts[to],
        });
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition::<Vec<_>, _>(|message| message.due <= now);
        self.messages = rest;
        for message in due
            .into_iter()
            .rev()
            .filter(|m| m.process_start == self.process_starts[m.to])
        {
            let view = &mut self.views[message.to];
            match (message.from_table, message.version) {
                (true, 0) => view.record_table_release(None),
                (true, version) => view.record_table_release(Some(release(version))),
                (false, 0) => {}
                (false, version) => advertise(view, version),
            }
        }
    }

    /// Puts each VM's next release in force; returns false if a VM moved to a lower version.
    fn advance(&mut self) -> bool {
        let time = self.time();
        let mut increasing = true;
        for (view, in_force) in self.views.iter_mut().zip(&mut self.in_force) {
            if let Some((version, _)) = view.next_release(time) {
                increasing &= version.0 > *in_force;
                *in_force = version.0;
                view.record_in_force(version);
            }
        }
        increasing
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::RollOut => self.current += 1,
            Step::Read { vm, delay } if !self.platform_unreachable => {
                self.send(vm, self.current, true, delay);
            }
            Step::Advertise {
                from,
                to,
                delay,
                duplicated,
            } => {
                let version = self.in_force[from];
                self.send(to, version, false, delay);
                if duplicated {
                    self.send(to, version, false, delay + 2);
                }
            }
            Step::PlatformUnreachable(unreachable) => self.platform_unreachable = unreachable,
            Step::Restart(vm) => self.restart(vm),
            Step::Read { .. } | Step::Wait => {}
        }
    }

    /// Starts a new process without a release. Its peers advertise theirs within its waiting time.
    fn restart(&mut self, vm: usize) {
        self.process_starts[vm] = self.now + 1;
        self.views[vm] = BundleView::new(self.time());
        self.in_force[vm] = 0;
        for peer in (0..VMS).filter(|peer| *peer != vm) {
            let version = self.in_force[peer];
            self.send(vm, version, false, 1);
        }
    }
}

proptest! {
    /// Announcements are delayed, reordered and duplicated; VMs lose the platform and restart. No VM
    /// may move to a lower version while it runs, and a VM that starts without the platform must not
    /// serve a lower version than a peer had in force at the start.
    #[test]
    fn versions_in_force_never_decrease(steps in prop::collection::vec(step(), 1..120)) {
        let mut zone = Zone::new();
        let mut min_versions = [0; VMS];
        for step in steps {
            if let Step::Restart(vm) = step {
                min_versions[vm] = (0..VMS).filter(|p| *p != vm).map(|p| zone.in_force[p]).max().unwrap_or(0);
            }
            zone.apply(step);
            zone.now += 1;
            zone.deliver();
            prop_assert!(zone.advance());
            for (in_force, min_version) in zone.in_force.iter().zip(min_versions) {
                prop_assert!(*in_force == 0 || *in_force >= min_version);
            }
        }
    }
}
