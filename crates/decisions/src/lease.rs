//! A lease on a scope, held through one row of the platform store.
//!
//! No clock of one VM is compared with the clock of another. A holder counts the duration of its
//! lease from before it sent the write that renews it. Another VM counts from after it first read
//! that write, and waits for the whole duration and a margin. It therefore counts from a later
//! time, and acquires the lease only after it has expired for the holder.
//!
//! The remaining case is a holder that is paused between its last check of the clock and its order.
//! Its term is then outdated: engines that check terms reject the order, and the state of the other
//! engines is read back and corrected.

use super::*;

/// State of a lease as one process sees it.
#[derive(Clone, Debug)]
pub struct Lease {
    cfg: LeaseSettings,
    me: LeaseHolder,
    row: LeaseRow,
    /// When this version of the row was first seen.
    seen: Option<Instant>,
    /// When the row was last read or written.
    looked: Option<Instant>,
    /// Term held, and the time from which its duration counts.
    held: Option<(Term, Instant)>,
    /// When the first write on this version of the row was sent whose result was lost. It may take
    /// effect as long as the version stays the same. If it were cleared earlier, a lease acquired
    /// by that write would be counted from a later write, and a second VM would hold the lease
    /// before it expires here.
    doubt: Option<Instant>,
    /// Whether the row has to be read to resolve a write whose result was lost.
    unsettled: bool,
    /// The next term must be greater than this one.
    floor: Term,
    /// Whether this process should hold the lease.
    wanted: bool,
}

impl Lease {
    /// Creates a lease that is not held.
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

    /// Sets whether this process should hold the lease. If it should not, a held lease is released.
    pub fn want(&mut self, wanted: bool) {
        self.wanted = wanted;
    }

    /// Records that an engine has seen this term, from a lease whose row is lost. The next write
    /// uses a greater term; otherwise the engine would reject all orders.
    pub fn exceed(&mut self, term: Term) {
        self.floor = self.floor.max(term);
    }

    /// The term held, unless the lease has expired.
    #[must_use]
    pub fn held(&self, now: Instant) -> Option<Term> {
        let (term, since) = self.held?;
        (now < since.after(self.cfg.duration)).then_some(term)
    }

    /// Returns a permit for one order if the order can be answered before the lease expires and the
    /// row was read or written recently.
    ///
    /// A gap of more than two renewal intervals since then means that the holder was paused. It has
    /// to read the row first, since another VM may have acquired the lease.
    #[must_use]
    pub fn permit(&self, now: Instant) -> Option<OrderPermit> {
        let term = self.held(now)?;
        let (_, since) = self.held?;
        let until = now.after(self.cfg.order_timeout);
        let in_time = until < since.after(self.cfg.duration);
        let paused = now.since(self.looked?) > self.cfg.renew_after * 2;
        (in_time && !paused && term > self.floor).then_some(OrderPermit { term, until })
    }

    /// The next action for this lease.
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
        let (_, since) = self.held.expect("only called while the lease is held");
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

    /// Applies the row as read; `now` is the time after the response arrived.
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
                // The write whose result was lost took effect at some time after it was sent.
                Some((record.term, sent))
            }
            (Some(_), held, _) => held,
            (None, ..) => None,
        };
    }

    /// Applies the result of a write that was sent at `sent`.
    pub fn written(&mut self, sent: Instant, now: Instant, write: LeaseWrite, answer: LeaseAnswer) {
        match answer {
            LeaseAnswer::Written => {
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
            LeaseAnswer::Conflict(row) => self.read(now, row),
            LeaseAnswer::NotRun => {}
            LeaseAnswer::Unknown => {
                self.doubt = self.doubt.or(Some(sent));
                self.unsettled = true;
            }
        }
    }

    /// When a lease whose row was first seen at `seen` may be acquired.
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
