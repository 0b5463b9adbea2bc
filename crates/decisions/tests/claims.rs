//! Claims: each key is dispatched at most once, whatever happens to the calls to the platform
//! store.

use catkin_decisions::{
    ClaimChange, ClaimKind, ClaimOutcome, ClaimQueue, ClaimRecord, ClaimResult, ClaimRowKey,
    ClaimStage, ClaimToken, ClaimVerdict, Claimed, FoundClaim, GroupResult, HeldClaim, Incarnation,
    Instant, RequestDigest, TeamId, WallTime,
};
use googletest::prelude::*;
use proptest::prelude::*;
use std::time::Duration;

fn team() -> TeamId {
    "counter".parse().expect("a valid name")
}

fn change(key: &str, token: u128, digest: &[u8]) -> ClaimChange {
    ClaimChange {
        key: ClaimRowKey::new(&team(), &key.parse().expect("a valid key")),
        expected: 0,
        record: ClaimRecord {
            digest: RequestDigest::of(&team(), digest),
            token: ClaimToken(token),
            kind: ClaimKind::Call,
            holder: "vm-1".parse().expect("a valid id"),
            incarnation: Incarnation(1),
            request: "request".parse().expect("a valid id"),
            deadline: WallTime(10_000),
            expires: WallTime(1_000_000),
            stage: ClaimStage::Claimed,
        },
    }
}

fn found(change: &ClaimChange, version: u64) -> FoundClaim {
    FoundClaim {
        key: change.key.clone(),
        version,
        record: Some(change.record.clone()),
    }
}

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

/// Two claims are pending, and another VM has taken the key of one. The other claim must still
/// succeed.
#[gtest]
fn taken_key_does_not_block_its_group() {
    let mut queue = ClaimQueue::default();
    let other = change("a", 9, b"order");
    queue.claim(change("a", 1, b"order"), at(1000), "a");
    queue.claim(change("b", 2, b"order"), at(1000), "b");
    queue.next_group().expect("two claims are pending");

    let first = queue.apply_result(&GroupResult::Conflicts(vec![found(&other, 1)]));
    let again = queue.next_group().expect("one claim is pending");
    let second = queue.apply_result(&GroupResult::Committed);

    expect_that!(
        first,
        elements_are![(eq(&"a"), eq(&ClaimResult::Taken(found(&other, 1))))]
    );
    expect_that!(again, eq(&[change("b", 2, b"order")]));
    expect_that!(
        second,
        elements_are![(eq(&"b"), matches_pattern!(ClaimResult::Claimed(_)))]
    );
}

/// The result of a claim is lost. The claim is sent again, finds its own token in the row, and its
/// request may run.
#[gtest]
fn lost_result_is_resolved_by_own_token() {
    let mut queue = ClaimQueue::default();
    let own = change("a", 1, b"order");
    queue.claim(own.clone(), at(1000), ());
    queue.next_group().expect("one claim is pending");
    expect_that!(queue.apply_result(&GroupResult::Unknown), is_empty());
    queue.next_group().expect("the claim is pending again");

    let results = queue.apply_result(&GroupResult::Conflicts(vec![found(&own, 1)]));

    expect_that!(
        results,
        elements_are![(eq(&()), matches_pattern!(ClaimResult::Claimed(_)))]
    );
}

/// The result of a claim is lost and the platform store fails, so the caller receives the response that
/// its order did not run. The claim may have been committed, however. Without a release, a retry would
/// fail with an unknown outcome, although the order certainly did not run.
#[gtest]
fn abandoned_claim_that_may_have_committed_is_released() {
    let mut queue = ClaimQueue::default();
    queue.claim(change("a", 1, b"order"), at(1000), ());
    queue.next_group().expect("one claim is pending");
    queue.apply_result(&GroupResult::Unknown);

    let results = queue.abandon_expired(at(1000));
    let group = queue.next_group().expect("the release is pending");

    expect_that!(results, elements_are![eq(&((), ClaimResult::Abandoned))]);
    expect_that!(group[0].record.stage, eq(&ClaimStage::Released));
    expect_that!(group[0].record.token, eq(ClaimToken(1)));
}

#[gtest]
fn claim_that_was_not_run_is_abandoned_without_a_write() {
    let mut queue = ClaimQueue::default();
    queue.claim(change("a", 1, b"order"), at(1000), ());
    queue.next_group().expect("one claim is pending");
    queue.apply_result(&GroupResult::NotRun);

    let results = queue.abandon_expired(at(1000));

    expect_that!(results, elements_are![eq(&((), ClaimResult::Abandoned))]);
    expect_that!(queue.next_group(), none());
}

/// An order was rejected before its dispatch and its claim released. A retry must run.
#[gtest]
fn released_key_can_be_claimed_again_by_the_same_request() {
    let mut queue = ClaimQueue::default();
    let mut other = change("a", 9, b"order");
    other.record.stage = ClaimStage::Released;
    queue.claim(change("a", 1, b"order"), at(1000), ());
    queue.next_group().expect("one claim is pending");
    queue.apply_result(&GroupResult::Conflicts(vec![found(&other, 4)]));

    let again = queue.next_group().expect("the claim is pending again");

    expect_that!(again[0].expected, eq(4));
}

struct VerdictCase {
    name: &'static str,
    digest: &'static [u8],
    stage: ClaimStage,
    now: u64,
    verdict: fn(&ClaimVerdict) -> bool,
}

fn verdict_cases() -> Vec<VerdictCase> {
    let case = |name, digest, stage, now, verdict| VerdictCase {
        name,
        digest,
        stage,
        now,
        verdict,
    };
    let unknown = || ClaimStage::Done(ClaimOutcome::Unknown);
    vec![
        case("another request", b"other", ClaimStage::Claimed, 0, |v| {
            *v == ClaimVerdict::Conflict
        }),
        case(
            "another request, already ended",
            b"other",
            unknown(),
            0,
            |v| *v == ClaimVerdict::Conflict,
        ),
        case(
            "holder still running",
            b"order",
            ClaimStage::Claimed,
            9_000,
            |v| matches!(v, ClaimVerdict::InProgress(_)),
        ),
        case(
            "holder's clock behind",
            b"order",
            ClaimStage::Claimed,
            12_000,
            |v| matches!(v, ClaimVerdict::InProgress(_)),
        ),
        case(
            "holder past the deadline",
            b"order",
            ClaimStage::Claimed,
            16_000,
            |v| *v == ClaimVerdict::Done(ClaimOutcome::Unknown),
        ),
        case("unknown outcome", b"order", unknown(), 0, |v| {
            *v == ClaimVerdict::Done(ClaimOutcome::Unknown)
        }),
    ]
}

/// A caller retries its order in each state that the first attempt can be in. No state allows a
/// second dispatch.
#[gtest]
fn taken_key_never_leads_to_a_dispatch() {
    for case in verdict_cases() {
        let mut other = change("a", 9, b"order");
        other.record.stage = case.stage;
        let digest = RequestDigest::of(&team(), case.digest);

        let verdict = ClaimVerdict::from_row(
            &digest,
            found(&other, 1),
            WallTime(case.now),
            Duration::from_secs(5),
        );

        expect_that!((case.verdict)(&verdict), eq(true), "{}", case.name);
    }
}

const KEYS: [&str; 3] = ["a", "b", "c"];
const VMS: usize = 3;

/// Simulates a table, VMs with their queues, and a network that loses results, delays calls beyond
/// their timeout, and lets VMs crash or hold a claim for any length of time.
#[derive(Default)]
struct Simulation {
    now: u64,
    tokens: u128,
    rows: Vec<FoundClaim>,
    vms: Vec<Vm>,
    calls: Vec<Call>,
    dispatched: Vec<(ClaimRowKey, ClaimToken)>,
}

#[derive(Default)]
struct Vm {
    epoch: u32,
    queue: ClaimQueue<()>,
    awaited_call: Option<usize>,
    claimed: Vec<Claimed>,
    running: Vec<HeldClaim>,
}

struct Call {
    vm: usize,
    epoch: u32,
    group: Vec<ClaimChange>,
    done: bool,
}

impl Simulation {
    fn new() -> Self {
        Self {
            vms: (0..VMS).map(|_| Vm::default()).collect(),
            ..Self::default()
        }
    }

    fn step(&mut self, action: u8, vm: usize, pick: usize) {
        match action {
            0 | 1 => self.submit(vm, pick),
            2 | 3 => self.send_group(vm),
            4 | 5 => self.deliver(pick, true),
            6 => self.deliver(pick, false),
            7 => self.return_result(vm, &GroupResult::Unknown),
            8 => self.lose_call(pick),
            9 => self.abandon_expired(vm),
            10 | 11 => self.dispatch(vm),
            12 => self.record_end(vm),
            13 => self.release(vm),
            14 => self.crash(vm),
            _ => self.refuse_call(vm),
        }
    }

    fn submit(&mut self, vm: usize, pick: usize) {
        self.tokens += 1;
        let key = KEYS[pick % KEYS.len()];
        let change = change(key, self.tokens, b"order");
        let deadline = at(self.now + 3);
        self.vms[vm].queue.claim(change, deadline, ());
    }

    fn send_group(&mut self, vm: usize) {
        let Some(group) = self.vms[vm].queue.next_group() else {
            return;
        };
        self.vms[vm].awaited_call = Some(self.calls.len());
        self.calls.push(Call {
            vm,
            epoch: self.vms[vm].epoch,
            group,
            done: false,
        });
    }

    /// Delivers a call to the table service; the result is returned or lost.
    fn deliver(&mut self, pick: usize, result_returned: bool) {
        let open = self.calls.iter().enumerate().filter(|(_, c)| !c.done);
        let open = open.map(|(i, _)| i).collect::<Vec<_>>();
        if open.is_empty() {
            return;
        }
        let i = open[pick % open.len()];
        self.calls[i].done = true;
        let group = self.calls[i].group.clone();
        let result = self.transact(&group);
        let call = &self.calls[i];
        let vm = call.vm;
        let is_awaited = self.vms[vm].epoch == call.epoch && self.vms[vm].awaited_call == Some(i);
        if is_awaited {
            self.return_result(
                vm,
                if result_returned {
                    &result
                } else {
                    &GroupResult::Unknown
                },
            );
        }
    }

    fn lose_call(&mut self, pick: usize) {
        let count = self.calls.len();
        if let Some(call) = self.calls.get_mut(pick % count.max(1)) {
            call.done = true;
        }
    }

    fn refuse_call(&mut self, vm: usize) {
        let Some(i) = self.vms[vm].awaited_call else {
            return;
        };
        if !self.calls[i].done {
            self.calls[i].done = true;
            self.return_result(vm, &GroupResult::NotRun);
        }
    }

    fn transact(&mut self, group: &[ClaimChange]) -> GroupResult {
        let row = |key: &ClaimRowKey| self.rows.iter().find(|row| row.key == *key).cloned();
        let conflicts = group
            .iter()
            .filter_map(|change| {
                let row = row(&change.key).unwrap_or(FoundClaim {
                    key: change.key.clone(),
                    version: 0,
                    record: None,
                });
                (row.version != change.expected).then_some(row)
            })
            .collect::<Vec<_>>();
        if !conflicts.is_empty() {
            return GroupResult::Conflicts(conflicts);
        }
        for change in group {
            self.rows.retain(|row| row.key != change.key);
            self.rows.push(found(change, change.expected + 1));
        }
        GroupResult::Committed
    }

    fn return_result(&mut self, vm: usize, result: &GroupResult) {
        let vm = &mut self.vms[vm];
        if vm.awaited_call.take().is_none() {
            return;
        }
        for ((), result) in vm.queue.apply_result(result) {
            if let ClaimResult::Claimed(claimed) = result {
                vm.claimed.push(claimed);
            }
        }
    }

    fn abandon_expired(&mut self, vm: usize) {
        self.now += 1;
        self.vms[vm].queue.abandon_expired(at(self.now));
    }

    fn dispatch(&mut self, vm: usize) {
        let Some(claimed) = self.vms[vm].claimed.pop() else {
            return;
        };
        let ((), held) = claimed.dispatch();
        self.dispatched
            .push((held.key().clone(), held.record().token));
        self.vms[vm].running.push(held);
    }

    fn record_end(&mut self, vm: usize) {
        if let Some(held) = self.vms[vm].running.pop() {
            let stage = ClaimStage::Done(ClaimOutcome::Unknown);
            self.vms[vm].queue.record_end(held.end(stage, WallTime(1)));
        }
    }

    fn release(&mut self, vm: usize) {
        if let Some(claimed) = self.vms[vm].claimed.pop() {
            let held = claimed.release();
            let change = held.end(ClaimStage::Released, WallTime(1));
            self.vms[vm].queue.record_end(change);
        }
    }

    fn crash(&mut self, vm: usize) {
        let epoch = self.vms[vm].epoch + 1;
        self.vms[vm] = Vm {
            epoch,
            ..Vm::default()
        };
    }

    /// Completes all pending calls. Then, for 20 rounds, reports the result of each VM's awaited call as
    /// `Unknown`, lets the VM send its next group and delivers that call.
    fn run_to_completion(&mut self) {
        while self.calls.iter().any(|call| !call.done) {
            self.deliver(0, true);
        }
        for _ in 0..20 {
            for vm in 0..VMS {
                self.return_result(vm, &GroupResult::Unknown);
                self.send_group(vm);
                self.deliver(0, true);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// VMs claim the same keys while requests to the store are lost before or after they take effect,
    /// or arrive after the VM has given up on them, and processes crash or pause between claim and
    /// dispatch. If a key were dispatched twice, its call would take effect twice.
    #[test]
    fn no_key_is_dispatched_twice(
        steps in prop::collection::vec((0_u8..16, 0_usize..VMS, 0_usize..8), 0..120),
    ) {
        let mut sim = Simulation::new();

        for (action, vm, pick) in steps {
            sim.step(action, vm, pick);
        }
        sim.run_to_completion();

        let mut keys = sim.dispatched.iter().map(|(key, _)| key).collect::<Vec<_>>();
        keys.sort();
        prop_assert!(keys.windows(2).all(|pair| pair[0] != pair[1]), "{:?}", sim.dispatched);
        for (key, token) in &sim.dispatched {
            let row = sim.rows.iter().find(|row| row.key == *key);
            let record = row.and_then(|row| row.record.as_ref());
            prop_assert_eq!(record.map(|record| record.token), Some(*token));
        }
        for vm in &sim.vms {
            prop_assert!(vm.queue.is_empty(), "changes are still pending: {:?}", vm.queue);
        }
    }
}
