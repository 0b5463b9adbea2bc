//! Rollouts across returns of the store from an older copy: its versions go back, and the operator writes again what was
//! lost.

use catkin_decisions::{
    ExposureLimit, Instant, Rollout, RolloutClaim, RolloutNotice, RolloutOrder, RolloutOwner,
    RolloutPhase, RolloutPrecondition, RolloutProgress, RolloutRecord, RolloutSettings, Rollouts,
    ServiceId, SoftwareVersion, StoreEra, StorePosition, StoredRecord, UpstreamEntry,
    VersionAdmission,
};
use googletest::prelude::*;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::time::Duration;

const SETTINGS: RolloutSettings = RolloutSettings {
    limit: ExposureLimit {
        share: 0.1,
        slack: 30,
    },
};

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

fn version(version: &str) -> SoftwareVersion {
    version.parse().unwrap()
}

fn shop() -> ServiceId {
    "shop".parse().unwrap()
}

fn position(era: u64, version: u64) -> StorePosition {
    StorePosition::new(StoreEra(era), version)
}

fn order(to: &str, written: StorePosition) -> RolloutOrder {
    RolloutOrder {
        service: shop(),
        to: version(to),
        duration: Duration::from_secs(12),
        written,
    }
}

fn notice(order: RolloutOrder, term: u64, phase: RolloutPhase) -> RolloutNotice {
    RolloutNotice {
        order,
        left_ms: 12_000,
        progress: RolloutProgress {
            term,
            number: 1,
            phase,
            stored: phase.is_final(),
        },
        owner: (term > 0).then(|| ([127, 0, 0, 2], 7201).into()),
        owner_age_ms: 0,
    }
}

/// An order as read from the operators' table.
fn read(order: RolloutOrder) -> RolloutNotice {
    let mut notice = notice(order, 0, RolloutPhase::Running);
    notice.progress = RolloutProgress::UNOWNED;
    notice
}

fn rollouts() -> Rollouts {
    Rollouts::new(Some(SETTINGS))
}

fn admission(rollouts: &Rollouts, at_version: &str) -> VersionAdmission {
    let entry = UpstreamEntry {
        id: format!("u-{at_version}").parse().unwrap(),
        service: shop(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "a".parse().unwrap(),
        slots: 6,
        leaving: false,
        version: Some(version(at_version)),
    };
    rollouts.admission(&entry, at(60_000))
}

/// Guards against a rollout that starts again after it has ended, because its order has a later position.
#[gtest]
fn end_of_a_rollout_is_kept_in_a_later_era() {
    for (end, expected) in [
        (RolloutPhase::RolledBack, VersionAdmission::Blocked),
        (RolloutPhase::Completed, VersionAdmission::Open),
    ] {
        for version in [7, 5, 12] {
            let mut rollouts = rollouts();
            rollouts.merge(&notice(order("v2", position(1, 7)), 1, end), at(0));

            rollouts.merge(&read(order("v2", position(2, version))), at(100));

            expect_that!(admission(&rollouts, "v2"), eq(expected), "{end} {version}");
            let rollout = rollouts.get_mut(&shop()).unwrap();
            expect_that!(rollout.order.written, eq(position(2, version)));
        }
    }
}

/// Guards against an end that the store has lost and no VM writes again.
#[gtest]
fn end_of_an_earlier_era_is_stored_again() {
    let mut rollouts = rollouts();
    let end = notice(order("v2", position(1, 7)), 1, RolloutPhase::Completed);
    rollouts.merge(&end, at(0));
    let before = rollouts
        .get_mut(&shop())
        .unwrap()
        .needs_owner(0, at(60_000));

    rollouts.merge(&read(order("v2", position(2, 7))), at(100));
    rollouts.merge(&end, at(200));

    let rollout = rollouts.get_mut(&shop()).unwrap();
    expect_that!(before, eq(false));
    expect_that!(rollout.needs_owner(0, at(60_000)), eq(true));
}

/// Guards against a VM that has not read the new era and takes a rollback of the old one for undone.
#[gtest]
fn late_rollback_of_an_earlier_era_counts() {
    let mut rollouts = rollouts();
    rollouts.merge(
        &notice(order("v2", position(1, 7)), 1, RolloutPhase::Running),
        at(0),
    );
    rollouts.merge(&read(order("v2", position(2, 4))), at(100));

    rollouts.merge(
        &notice(order("v2", position(1, 7)), 1, RolloutPhase::RolledBack),
        at(200),
    );

    expect_that!(admission(&rollouts, "v2"), eq(VersionAdmission::Blocked));
}

/// Guards against an order that was withdrawn or replaced and runs again, because it is in the copy.
#[gtest]
fn restored_order_does_not_run_again() {
    for replaced in [false, true] {
        let mut rollouts = rollouts();
        rollouts.merge(
            &notice(order("v2", position(1, 7)), 1, RolloutPhase::Running),
            at(0),
        );
        if replaced {
            rollouts.merge(&read(order("v3", position(1, 9))), at(100));
        } else {
            rollouts.withdraw(&shop(), position(1, 9));
        }

        let changed = rollouts.merge(&read(order("v2", position(2, 7))), at(200));

        expect_that!(changed, eq(false), "{replaced}");
        expect_that!(
            admission(&rollouts, "v2"),
            eq(VersionAdmission::Blocked),
            "{replaced}"
        );
    }
}

/// A new order for a version that was withdrawn has another version of the store.
#[gtest]
fn new_order_of_a_later_era_runs() {
    let mut rollouts = rollouts();
    rollouts.merge(
        &notice(order("v2", position(1, 7)), 1, RolloutPhase::Running),
        at(0),
    );
    rollouts.withdraw(&shop(), position(1, 9));

    rollouts.merge(&read(order("v2", position(2, 8))), at(200));

    expect_that!(admission(&rollouts, "v2"), eq(VersionAdmission::Canary));
}

/// Guards against an order that counts as withdrawn because the store has lost it.
#[gtest]
fn order_missing_in_a_later_era_is_not_withdrawn() {
    for (era, expected) in [(1, true), (2, false)] {
        let mut rollouts = rollouts();
        rollouts.merge(
            &notice(order("v2", position(1, 7)), 1, RolloutPhase::Running),
            at(0),
        );

        let withdrawn = rollouts.withdraw_missing(&shop(), position(era, 9));

        expect_that!(withdrawn.is_some(), eq(expected), "era {era}");
    }
}

/// Guards against a status that says that a rollout runs, where the store has lost its withdrawal.
#[gtest]
fn withdrawal_that_is_written_again_returns_the_rollout() {
    for (end, expected) in [
        (RolloutPhase::Running, RolloutPhase::RolledBack),
        (RolloutPhase::Completed, RolloutPhase::Completed),
    ] {
        let mut rollouts = rollouts();
        rollouts.merge(&notice(order("v2", position(1, 7)), 1, end), at(0));
        rollouts.withdraw(&shop(), position(1, 9));
        rollouts.merge(&read(order("v2", position(2, 7))), at(100));

        let withdrawn = rollouts.withdraw(&shop(), position(2, 8));
        let once_more = rollouts.withdraw(&shop(), position(2, 9));

        let phase = withdrawn.map(|rollout| rollout.progress.phase);
        expect_that!(phase, some(eq(expected)));
        expect_that!(once_more.is_some(), eq(false));
    }
}

/// Guards against a completed version that gets no calls, because its order is withdrawn before the end is stored again.
#[gtest]
fn completed_version_is_not_excluded_by_a_withdrawal_in_a_later_era() {
    let mut rollouts = rollouts();
    rollouts.merge(
        &notice(order("v2", position(1, 7)), 1, RolloutPhase::Completed),
        at(0),
    );
    rollouts.merge(&read(order("v2", position(2, 7))), at(100));

    rollouts.withdraw(&shop(), position(2, 8));

    expect_that!(admission(&rollouts, "v2"), eq(VersionAdmission::Open));
}

/// Guards against a read of the store by each VM at each interval, while the order is missing.
#[gtest]
fn rollout_is_not_claimed_before_its_order_is_read_in_the_era() {
    let mut rollout = Rollout::new(order("v2", position(1, 7)), Duration::from_secs(12), at(0));
    rollout.missing_in = Some(StoreEra(2));
    let missing = rollout.needs_owner(0, at(60_000));

    rollout.merge(&read(order("v2", position(2, 3))), at(0));

    expect_that!(missing, eq(false));
    expect_that!(rollout.needs_owner(0, at(60_000)), eq(true));
}

fn record(written: StorePosition, term: u64, owner: &str) -> RolloutRecord {
    RolloutRecord {
        written,
        to: version("v2"),
        progress: RolloutProgress {
            term,
            number: 1,
            phase: RolloutPhase::Running,
            stored: false,
        },
        owner: owner.into(),
        address: ([127, 0, 0, 1], 7201).into(),
        deadline_ms: 0,
    }
}

/// What an owner of term 2 does with what it reads in its own era and in the next one.
#[gtest]
fn owner_writes_a_lost_claim_again() {
    use RolloutClaim::{Confirmed, Lost, OrderUnknown, OtherOrder, OwnedByOther};
    let old = position(1, 7);
    let mine = record(old, 2, "vm-1/1");
    let cases = [
        (1, 1, Some(mine.clone()), Confirmed),
        (2, 1, Some(mine.clone()), Confirmed),
        (2, 2, Some(mine), Confirmed),
        (1, 1, Some(record(old, 3, "vm-2/1")), OwnedByOther),
        (
            2,
            2,
            Some(record(position(2, 7), 3, "vm-2/1")),
            OwnedByOther,
        ),
        (
            2,
            2,
            Some(record(position(2, 7), 2, "vm-2/1")),
            OwnedByOther,
        ),
        (2, 2, Some(record(old, 1, "vm-2/1")), Lost),
        (2, 2, None, Lost),
        (2, 1, None, OrderUnknown),
        (1, 1, None, OtherOrder),
    ];
    for (read_era, order_era, stored, expected) in cases {
        let owner = RolloutOwner::new(2, position(1, 9), 0, SETTINGS.limit);
        let stored = StoredRecord {
            record: stored,
            position: position(read_era, 8),
            now_ms: 0,
        };

        let claim = owner.check_claim("vm-1/1", &order("v2", position(order_era, 7)), &stored);

        expect_that!(claim, eq(expected), "{read_era} {order_era} {stored:?}");
    }
}

/// Guards against a write whose precondition holds by chance, because versions are given out again.
#[gtest]
fn no_write_expects_versions_of_two_eras() {
    let same = RolloutPrecondition::new(position(2, 9), position(2, 7));
    let mixed = RolloutPrecondition::new(position(2, 9), position(1, 7));

    expect_that!(
        same.map(|p| (p.era, p.record, p.order)),
        some(eq((StoreEra(2), 9, 7)))
    );
    expect_that!(mixed, none());
}

/// Fleet of VMs that exchange notices, some of them late, while the store returns from older copies.
struct Fleet {
    rng: Xoshiro256PlusPlus,
    vms: Vec<Rollouts>,
    in_flight: Vec<RolloutNotice>,
    now: Instant,
}

impl Fleet {
    fn new(vms: usize, seed: u64) -> Self {
        Self {
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            vms: (0..vms).map(|_| rollouts()).collect(),
            in_flight: Vec::new(),
            now: at(0),
        }
    }

    /// A few VMs read the operators' table.
    fn read_order(&mut self, order: &RolloutOrder) {
        for _ in 0..3 {
            let vm = self.rng.random_range(0..self.vms.len());
            self.vms[vm].merge(&read(order.clone()), self.now);
        }
    }

    /// A few VMs read that the order is gone.
    fn read_withdrawal(&mut self, at: StorePosition) {
        for _ in 0..3 {
            let vm = self.rng.random_range(0..self.vms.len());
            self.vms[vm].withdraw(&shop(), at);
        }
    }

    /// The owner announces a phase to all VMs; some of the notices are lost.
    fn announce(&mut self, order: &RolloutOrder, phase: RolloutPhase) {
        let notice = notice(order.clone(), 1, phase);
        self.in_flight.push(notice.clone());
        for vm in &mut self.vms {
            if self.rng.random_bool(0.7) {
                vm.merge(&notice, self.now);
            }
        }
    }

    /// Rounds of gossip; notices of any earlier round may arrive.
    fn gossip(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.now = self.now.after(Duration::from_millis(100));
            for from in 0..self.vms.len() {
                let notices = self.vms[from].notices(self.now);
                for _ in 0..3 {
                    let to = self.rng.random_range(0..self.vms.len());
                    for notice in &notices {
                        self.vms[to].merge(notice, self.now);
                    }
                }
                if self.rng.random_bool(0.05) {
                    self.in_flight.extend(notices);
                }
            }
            for _ in 0..self.in_flight.len().min(20) {
                let late = self.rng.random_range(0..self.in_flight.len());
                let vm = self.rng.random_range(0..self.vms.len());
                self.vms[vm].merge(&self.in_flight[late], self.now);
            }
        }
    }

    fn admissions(&self) -> Vec<VersionAdmission> {
        let mut admissions = self
            .vms
            .iter()
            .map(|vm| admission(vm, "v2"))
            .collect::<Vec<_>>();
        admissions.dedup();
        admissions
    }
}

/// Plays an end of a rollout and returns of the store; expects that the end stays on all VMs.
fn expect_end_to_stay(vms: usize, seed: u64, end: RolloutPhase) {
    let mut fleet = Fleet::new(vms, seed);
    let mut order = order("v2", position(1, 40));
    fleet.read_order(&order);
    fleet.gossip(8);
    fleet.announce(&order, RolloutPhase::Running);
    fleet.announce(&order, end);
    fleet.gossip(8);
    let ended = fleet.admissions();

    for era in 2..5 {
        // The order is in the copy, or it was lost and is written again at a lower or a higher version.
        let version = [order.written.version, 3, 90][fleet.rng.random_range(0..3)];
        order.written = position(era, version);
        fleet.read_order(&order);
        fleet.gossip(2);
        let during = fleet.admissions();
        fleet.gossip(8);

        assert_eq!(during, ended);
        assert_eq!(fleet.admissions(), ended);
        let positions = fleet.vms.iter_mut().map(|vm| {
            let rollout = vm.get_mut(&shop()).unwrap();
            (rollout.order.written, rollout.progress.phase)
        });
        let mut positions = positions.collect::<Vec<_>>();
        positions.dedup();
        assert_eq!(positions, [(order.written, end)]);
    }
}

/// Plays a withdrawal and a return of the store from a copy with the order.
fn expect_withdrawal_to_stay(vms: usize, seed: u64) {
    let mut fleet = Fleet::new(vms, seed);
    let first = order("v2", position(1, 40));
    fleet.read_order(&first);
    fleet.gossip(8);
    fleet.announce(&first, RolloutPhase::Running);
    fleet.read_withdrawal(position(1, 50));
    fleet.announce(&first, RolloutPhase::RolledBack);
    fleet.gossip(8);
    let before = fleet.admissions();

    fleet.read_order(&order("v2", position(2, 40)));
    fleet.gossip(8);
    let after = fleet.admissions();
    fleet.read_withdrawal(position(2, 45));
    fleet.gossip(8);

    assert_eq!(before, [VersionAdmission::Blocked]);
    assert_eq!(after, [VersionAdmission::Blocked]);
    assert_eq!(fleet.admissions(), [VersionAdmission::Blocked]);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    /// Guards against more exposure, or an undone completion, after a return of the store.
    #[test]
    fn end_stays_on_8_vms(seed: u64) {
        expect_end_to_stay(8, seed, RolloutPhase::RolledBack);
        expect_end_to_stay(8, seed, RolloutPhase::Completed);
        expect_withdrawal_to_stay(8, seed);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4))]

    /// Guards against more exposure, or an undone completion, after a return of the store.
    #[test]
    fn end_stays_on_400_vms(seed: u64) {
        expect_end_to_stay(400, seed, RolloutPhase::RolledBack);
        expect_end_to_stay(400, seed, RolloutPhase::Completed);
        expect_withdrawal_to_stay(400, seed);
    }
}
