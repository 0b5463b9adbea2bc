//! Leases: at most one holder at a time by its own clock, and terms that distinguish outdated
//! orders from current ones.

use catkin_decisions::{
    Incarnation, Instant, Lease, LeaseHolder, LeaseRecord, LeaseRow, LeaseSettings, LeaseStep,
    LeaseWrite, LeaseWriteResult, Term,
};
use googletest::prelude::*;
use proptest::prelude::*;
use std::time::Duration;

fn at(ms: u64) -> Instant {
    Instant(Duration::from_millis(ms))
}

fn holder(vm: usize, incarnation: u64) -> LeaseHolder {
    LeaseHolder {
        vm: format!("vm-{vm}").parse().expect("a valid id"),
        incarnation: Incarnation(incarnation),
    }
}

fn lease(vm: usize) -> Lease {
    Lease::new(holder(vm, 1), LeaseSettings::default())
}

fn row(version: u64, vm: usize, term: u64) -> LeaseRow {
    LeaseRow {
        version,
        record: Some(LeaseRecord {
            holder: holder(vm, 1),
            term: Term(term),
            duration: Duration::from_secs(10),
        }),
    }
}

/// Lets the lease acquire a row that is absent or expired, with the write sent at `sent`.
fn acquire(lease: &mut Lease, sent: u64, received: u64, result: LeaseWriteResult) -> LeaseWrite {
    let LeaseStep::Write(write) = lease.next_step(at(sent)) else {
        panic!("expected a write, got {:?}", lease.next_step(at(sent)));
    };
    lease.apply_write_result(at(sent), at(received), write.clone(), result);
    write
}

fn held_lease() -> Lease {
    let mut lease = lease(1);
    lease.apply_row(at(0), LeaseRow::default());
    acquire(&mut lease, 0, 500, LeaseWriteResult::Written);
    lease
}

#[gtest]
fn free_lease_is_acquired_and_counts_from_before_its_write() {
    let lease = held_lease();

    expect_that!(lease.held_term(at(9_999)), some(eq(Term(1))));
    expect_that!(lease.held_term(at(10_000)), none());
}

/// Another VM sees a lease for the first time. It does not know when the lease was written, so it
/// waits for the whole duration and the margin before it acquires the lease under the next term.
#[gtest]
fn lease_of_another_holder_must_expire_before_it_is_acquired() {
    let mut lease = lease(2);
    lease.apply_row(at(1_000), row(5, 1, 3));

    let before = lease.next_step(at(3_000));
    lease.apply_row(at(12_900), row(5, 1, 3));
    let after = acquire(&mut lease, 13_000, 13_001, LeaseWriteResult::Written);

    expect_that!(before, eq(&LeaseStep::Wait(Duration::from_secs(1))));
    expect_that!((after.expected, after.record.term), eq((5, Term(4))));
}

#[gtest]
fn renewal_restarts_the_wait_for_expiry() {
    let mut lease = lease(2);
    lease.apply_row(at(1_000), row(5, 1, 3));
    lease.apply_row(at(12_900), row(6, 1, 3));

    let step = lease.next_step(at(13_000));

    expect_that!(step, matches_pattern!(LeaseStep::Wait(_)));
}

/// The result of a renewal is lost. The holder reads its own row back, and counts the lease from
/// when it sent the write, not from when it read the row.
#[gtest]
fn lost_write_result_is_resolved_by_reading_back() {
    let mut lease = held_lease();
    acquire(&mut lease, 3_000, 5_000, LeaseWriteResult::Unknown);

    let step = lease.next_step(at(5_000));
    lease.apply_row(at(5_500), row(2, 1, 1));

    expect_that!(step, eq(&LeaseStep::Read));
    expect_that!(lease.held_term(at(12_999)), some(eq(Term(1))));
    expect_that!(lease.held_term(at(13_000)), none());
}

/// The results of two writes are lost. The first write was delayed and took effect after the read
/// in between. If the lease were counted from the second write, it would outlast the wait of
/// another VM that saw the row at once, and both VMs would hold it.
#[gtest]
fn late_write_counts_from_when_it_was_sent() {
    let mut lease = lease(1);
    lease.apply_row(at(0), LeaseRow::default());
    acquire(&mut lease, 0, 1_000, LeaseWriteResult::Unknown);
    lease.apply_row(at(1_000), LeaseRow::default());
    acquire(&mut lease, 2_000, 3_000, LeaseWriteResult::Unknown);

    lease.apply_row(at(3_000), row(1, 1, 1));

    expect_that!(lease.held_term(at(9_999)), some(eq(Term(1))));
    expect_that!(lease.held_term(at(10_000)), none());
}

/// A holder is paused for 7 s and resumes while its lease is still valid by its own clock. It must
/// read the row before it sends orders.
#[gtest]
fn paused_holder_reads_the_row_before_it_sends_orders() {
    let mut lease = held_lease();

    let without_read = lease.permit(at(7_500));
    lease.apply_row(at(7_600), row(1, 1, 1));
    let after_read = lease.permit(at(7_700));

    expect_that!(without_read, none());
    expect_that!(after_read.map(|permit| permit.term()), some(eq(Term(1))));
}

/// An order that is still in flight when the lease expires could arrive after an order of the next
/// holder.
#[gtest]
fn no_order_outlasts_the_lease() {
    let mut lease = held_lease();
    lease.apply_row(at(7_900), row(1, 1, 1));

    let in_time = lease.permit(at(7_999));
    let too_late = lease.permit(at(8_000));

    expect_that!(in_time.map(|p| p.deadline()), some(eq(at(9_999))));
    expect_that!(too_late, none());
}

/// A paused holder resumes after another VM has acquired the lease.
#[gtest]
fn holder_that_reads_the_row_of_another_holds_nothing() {
    let mut lease = held_lease();

    lease.apply_row(at(5_000), row(2, 2, 2));

    expect_that!(lease.held_term(at(5_000)), none());
    expect_that!(lease.permit(at(5_000)), none());
}

/// The row of the lease was lost with its table, so terms start again at 1. Engines have seen
/// greater terms and would reject every order.
#[gtest]
fn terms_exceed_those_that_an_engine_has_seen() {
    let mut lease = held_lease();
    lease.observe_term(Term(41));

    let permit = lease.permit(at(600));
    let write = acquire(&mut lease, 700, 701, LeaseWriteResult::Written);

    expect_that!(permit, none());
    expect_that!(write.record.term, eq(Term(42)));
    expect_that!(lease.permit(at(702)).map(|p| p.term()), some(eq(Term(42))));
}

#[gtest]
fn released_lease_can_be_acquired_at_once() {
    let mut first = held_lease();
    first.set_wanted(false);
    let released = acquire(&mut first, 1_000, 1_001, LeaseWriteResult::Written);
    let mut second = lease(2);
    second.apply_row(
        at(1_100),
        LeaseRow {
            version: 2,
            record: Some(released.record),
        },
    );

    let acquired = acquire(&mut second, 1_100, 1_101, LeaseWriteResult::Written);

    expect_that!(first.held_term(at(1_002)), none());
    expect_that!(acquired.record.term, eq(Term(2)));
}

const VMS: usize = 3;

/// Simulates VMs whose clocks run at different speeds, a platform store that delays and loses
/// calls, and an engine that rejects outdated terms.
struct Simulation {
    now: u64,
    row: LeaseRow,
    vms: Vec<Vm>,
    calls: Vec<Call>,
    orders: Vec<Term>,
    holders_by_term: Vec<(Term, LeaseHolder)>,
    applied: Vec<Term>,
}

struct Vm {
    holder: LeaseHolder,
    /// Speed of the VM's clock in percent.
    speed: u64,
    lease: Lease,
    paused_until: u64,
    awaited_call: Option<usize>,
}

struct Call {
    vm: usize,
    holder: LeaseHolder,
    sent: Instant,
    write: LeaseWrite,
    done: bool,
}

impl Simulation {
    fn new() -> Self {
        let vm = |i: usize| Vm {
            holder: holder(i, 1),
            speed: [95, 100, 105][i % 3],
            lease: lease(i),
            paused_until: 0,
            awaited_call: None,
        };
        Self {
            now: 0,
            row: LeaseRow::default(),
            vms: (0..VMS).map(vm).collect(),
            calls: Vec::new(),
            orders: Vec::new(),
            holders_by_term: Vec::new(),
            applied: Vec::new(),
        }
    }

    fn clock(&self, vm: usize) -> Instant {
        at(self.now * self.vms[vm].speed / 100)
    }

    fn step(&mut self, action: u8, vm: usize, pick: u64) {
        self.now += 50 * (pick % 8);
        match action {
            0..=4 => self.run_vm(vm),
            5 | 6 => self.deliver(pick, true),
            7 => self.deliver(pick, false),
            8 => self.return_result(vm, LeaseWriteResult::Unknown),
            9 | 10 => self.send_order(vm),
            11 => self.deliver_order(pick),
            12 => self.now += 400 * pick,
            13 => self.vms[vm].paused_until = self.now + 3_000 * pick,
            _ => self.crash(vm),
        }
        self.check();
    }

    fn run_vm(&mut self, vm: usize) {
        let now = self.clock(vm);
        if self.vms[vm].paused_until > self.now || self.vms[vm].awaited_call.is_some() {
            return;
        }
        match self.vms[vm].lease.next_step(now) {
            LeaseStep::Wait(_) => {}
            LeaseStep::Read => {
                let row = self.row.clone();
                self.vms[vm].lease.apply_row(now, row);
            }
            LeaseStep::Write(write) => {
                self.vms[vm].awaited_call = Some(self.calls.len());
                self.calls.push(Call {
                    vm,
                    holder: self.vms[vm].holder.clone(),
                    sent: now,
                    write,
                    done: false,
                });
            }
        }
    }

    fn deliver(&mut self, pick: u64, result_returned: bool) {
        let open = (0..self.calls.len()).filter(|i| !self.calls[*i].done);
        let open = open.collect::<Vec<_>>();
        if open.is_empty() {
            return;
        }
        let i = open[usize::try_from(pick).expect("small") % open.len()];
        self.calls[i].done = true;
        let write = self.calls[i].write.clone();
        let result = if write.expected == self.row.version {
            self.row = LeaseRow {
                version: write.expected + 1,
                record: Some(write.record),
            };
            LeaseWriteResult::Written
        } else {
            LeaseWriteResult::Conflict(self.row.clone())
        };
        let vm = self.calls[i].vm;
        let is_awaited =
            self.vms[vm].awaited_call == Some(i) && self.vms[vm].holder == self.calls[i].holder;
        if is_awaited {
            self.return_result(
                vm,
                if result_returned {
                    result
                } else {
                    LeaseWriteResult::Unknown
                },
            );
        }
    }

    fn return_result(&mut self, vm: usize, result: LeaseWriteResult) {
        let now = self.clock(vm);
        let Some(i) = self.vms[vm].awaited_call.take() else {
            return;
        };
        let (sent, write) = (self.calls[i].sent, self.calls[i].write.clone());
        self.vms[vm]
            .lease
            .apply_write_result(sent, now, write, result);
    }

    /// A holder sends an order to the engine. The message may arrive at any time.
    fn send_order(&mut self, vm: usize) {
        let now = self.clock(vm);
        if self.vms[vm].paused_until > self.now {
            return;
        }
        if let Some(permit) = self.vms[vm].lease.permit(now) {
            self.orders.push(permit.term());
        }
    }

    fn deliver_order(&mut self, pick: u64) {
        if self.orders.is_empty() {
            return;
        }
        let i = usize::try_from(pick).expect("small") % self.orders.len();
        let term = self.orders.swap_remove(i);
        if self.applied.last().is_none_or(|applied| *applied <= term) {
            self.applied.push(term);
        }
    }

    fn crash(&mut self, vm: usize) {
        let holder = LeaseHolder {
            incarnation: Incarnation(self.vms[vm].holder.incarnation.0 + 1),
            ..self.vms[vm].holder.clone()
        };
        self.vms[vm].lease = Lease::new(holder.clone(), LeaseSettings::default());
        self.vms[vm].holder = holder;
        self.vms[vm].awaited_call = None;
    }

    fn check(&mut self) {
        let held = (0..VMS).filter_map(|vm| {
            let term = self.vms[vm].lease.held_term(self.clock(vm))?;
            Some((term, self.vms[vm].holder.clone()))
        });
        let held = held.collect::<Vec<_>>();
        assert!(held.len() <= 1, "two holders at {}: {held:?}", self.now);
        for (term, holder) in held {
            match self
                .holders_by_term
                .iter()
                .find(|(recorded, _)| *recorded == term)
            {
                Some((_, recorded)) => assert_eq!(*recorded, holder, "term {term} has two holders"),
                None => self.holders_by_term.push((term, holder)),
            }
        }
    }

    /// Runs without faults until some VM holds the lease.
    fn run_without_faults(&mut self) -> Option<Term> {
        for _ in 0..600 {
            self.now += 100;
            for vm in 0..VMS {
                self.run_vm(vm);
                self.deliver(0, true);
                self.return_result(vm, LeaseWriteResult::Unknown);
            }
            self.check();
        }
        let permits = (0..VMS).filter_map(|vm| self.vms[vm].lease.permit(self.clock(vm)));
        permits.map(|permit| permit.term()).max()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    /// Holders crash, are paused and resume, and lose results, while calls arrive late. Two holders
    /// at once would send conflicting orders to an engine, and with the same term their orders
    /// could not be distinguished.
    #[test]
    fn at_most_one_holder_and_no_term_is_reused(
        steps in prop::collection::vec((0_u8..16, 0_usize..VMS, 0_u64..12), 0..300),
    ) {
        let mut sim = Simulation::new();

        for (action, vm, pick) in steps {
            sim.step(action, vm, pick);
        }
        let term = sim.run_without_faults();

        let largest = sim.holders_by_term.iter().map(|(term, _)| *term).max();
        prop_assert!(term.is_some());
        prop_assert_eq!(term, largest);
        prop_assert!(sim.applied.last() <= term.as_ref());
    }
}
