//! A lease on a scope, held through one row of the table service.
//!
//! No clock of one VM is compared with that of another. A holder counts its lease from before it sent
//! the write that extends it. Another VM counts from after it first read that write, and waits out
//! the whole duration and a margin; so it counts from later, and takes the lease only after the
//! holder has given it up. What is left is a holder that is paused between its last look at the clock
//! and its order: its term is then old, and engines that check the term refuse it; the state of the
//! others is read back and corrected.

use super::*;

/// One process's view of a lease.
#[derive(Clone, Debug)]
pub struct Lease {
    cfg: LeaseSettings,
    me: LeaseHolder,
    row: LeaseRow,
    /// When the row's version was first seen.
    seen: Option<Instant>,
    /// When the row was last read or written.
    looked: Option<Instant>,
    /// Term held, and from when its duration counts.
    held: Option<(Term, Instant)>,
    /// When the first write on this version of the row was sent whose answer was lost. It may take
    /// effect for as long as the version stays: forgotten too early, a lease that it brings would be
    /// counted from a later write, and a second VM would hold it before this one gives it up.
    doubt: Option<Instant>,
    /// Whether the row has to be read to settle a lost answer.
    unsettled: bool,
    /// Term that must be exceeded.
    floor: Term,
    /// Whether it is wanted.
    wanted: bool,
}

impl Lease {
    /// A lease not held yet.
    #[must_use]
    pub fn new(me: LeaseHolder, cfg: LeaseSettings) -> Self {
        Self {
            cfg,
            me,
            row: LeaseRow::default(),
            seen: None,
            looked: None,
            held: None,
            doubt: None,
            unsettled: false,
            floor: Term::default(),
            wanted: true,
        }
    }

    /// Says whether this process shall try to hold the lease, and give it back if not.
    pub fn want(&mut self, wanted: bool) {
        self.wanted = wanted;
    }

    /// Notes that an engine knows a term as large as this one, from a lease of former times; the
    /// next write takes a larger one, or the engine would refuse all orders.
    pub fn exceed(&mut self, term: Term) {
        self.floor = self.floor.max(term);
    }

    /// The term held, if the lease has not lapsed.
    #[must_use]
    pub fn held(&self, now: Instant) -> Option<Term> {
        let (term, since) = self.held?;
        (now < since.after(self.cfg.duration)).then_some(term)
    }

    /// Right to give an order, if it can be answered before the lease lapses and the row was looked
    /// at recently.
    ///
    /// A holder that was paused has not looked at the row for longer than it lets pass between two
    /// renewals; it has to do that first, since another one may have taken the lease meanwhile.
    #[must_use]
    pub fn permit(&self, now: Instant) -> Option<OrderPermit> {
        let term = self.held(now)?;
        let (_, since) = self.held?;
        let until = now.after(self.cfg.order_timeout);
        let in_time = until < since.after(self.cfg.duration);
        let paused = now.since(self.looked?) > self.cfg.renew_after * 2;
        (in_time && !paused && term > self.floor).then_some(OrderPermit { term, until })
    }

    /// What is to be done now.
    #[must_use]
    pub fn step(&self, now: Instant) -> LeaseStep {
        let Some((seen, looked)) = self.seen.zip(self.looked) else {
            return LeaseStep::Read;
        };
        if self.unsettled {
            return LeaseStep::Read;
        }
        if let Some(term) = self.held(now) {
            return self.step_of_holder(now, term);
        }
        if !self.wanted {
            return LeaseStep::Wait(self.cfg.read_period);
        }
        let lapses = self.lapses(seen);
        if lapses <= now {
            return self.write(self.next_term(), self.cfg.duration);
        }
        let read = looked.after(self.cfg.read_period);
        if read <= now {
            return LeaseStep::Read;
        }
        LeaseStep::Wait(read.min(lapses).since(now))
    }

    fn step_of_holder(&self, now: Instant, term: Term) -> LeaseStep {
        let (_, since) = self.held.expect("it is held");
        if !self.wanted {
            return self.write(term, Duration::ZERO);
        }
        if term <= self.floor {
            return self.write(self.floor.next(), self.cfg.duration);
        }
        let due = since.after(self.cfg.renew_after);
        if due <= now {
            return self.write(term, self.cfg.duration);
        }
        LeaseStep::Wait(due.since(now))
    }

    /// Takes the row as read; `now` is the time after the answer came.
    pub fn read(&mut self, now: Instant, row: LeaseRow) {
        if self.seen.is_none() || row.version != self.row.version {
            self.seen = Some(now);
        }
        self.looked = Some(now);
        self.unsettled = false;
        let changed = row.version != self.row.version;
        let doubt = if changed { self.doubt.take() } else { None };
        self.row = row;
        let mine = self.row.record.as_ref().filter(|r| r.holder == self.me);
        self.held = match (mine, self.held, doubt) {
            (Some(record), _, Some(sent)) if changed && !record.duration.is_zero() => {
                // The write whose answer was lost took effect at some time after it was sent.
                Some((record.term, sent))
            }
            (Some(_), held, _) => held,
            (None, ..) => None,
        };
    }

    /// Takes the answer to a write that was sent at `sent`.
    pub fn written(
        &mut self,
        sent: Instant,
        now: Instant,
        write: LeaseWrite,
        answer: LeaseWriteResult,
    ) {
        match answer {
            LeaseWriteResult::Written => {
                self.doubt = None;
                self.unsettled = false;
                self.seen = Some(now);
                self.looked = Some(now);
                self.held = (!write.record.duration.is_zero()).then_some((write.record.term, sent));
                self.row = LeaseRow {
                    version: write.expected + 1,
                    record: Some(write.record),
                };
            }
            LeaseWriteResult::Conflict(row) => self.read(now, row),
            LeaseWriteResult::NotRun => {}
            LeaseWriteResult::Unknown => {
                self.doubt = self.doubt.or(Some(sent));
                self.unsettled = true;
            }
        }
    }

    /// When a lease whose row was first seen at `seen` may be taken.
    fn lapses(&self, seen: Instant) -> Instant {
        match &self.row.record {
            Some(record) if record.duration.is_zero() => seen,
            Some(record) => seen.after(record.duration + self.cfg.margin),
            None if self.row.version == 0 => seen,
            None => seen.after(self.cfg.duration + self.cfg.margin),
        }
    }

    fn next_term(&self) -> Term {
        let last = self.row.record.as_ref().map(|record| record.term);
        last.unwrap_or_default().max(self.floor).next()
    }

    fn write(&self, term: Term, duration: Duration) -> LeaseStep {
        LeaseStep::Write(LeaseWrite {
            expected: self.row.version,
            record: LeaseRecord {
                holder: self.me.clone(),
                term,
                duration,
            },
        })
    }
}
