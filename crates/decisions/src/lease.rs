//! A lease on a scope, held through one row of the platform store.
//!
//! No clock of one VM is compared with the clock of another. A holder counts the duration of its
//! lease from before it sent the write that renews it. Another VM counts from after it first read
//! that write, and waits for the whole duration and a margin. It therefore counts from a later
//! time, and acquires the lease only after it has expired for the holder.
//!
//! The remaining case is a holder that is paused between its last check of the clock and its order.
//! Its term is then outdated: engines that check terms refuse the order, and the state of the other
//! engines is read back and corrected.

use super::*;

/// State of a lease as one process sees it.
#[derive(Clone, Debug)]
pub struct Lease {
    cfg: LeaseSettings,
    holder: LeaseHolder,
    row: LeaseRow,
    /// When this version of the row was first seen.
    version_seen_at: Option<Instant>,
    /// When the row was last read or written.
    last_contact: Option<Instant>,
    /// Term held, and the time from which its duration counts.
    held: Option<(Term, Instant)>,
    /// When the first write on this version of the row was sent whose result was lost. It may take
    /// effect as long as the version stays the same. If it were cleared earlier, a lease acquired
    /// by that write would be counted from a later write, and a second VM would hold the lease
    /// before it expires here.
    unresolved_write: Option<Instant>,
    /// Whether the row has to be read to resolve a write whose result was lost.
    needs_read: bool,
    /// The next term must be greater than this one.
    highest_seen_term: Term,
    /// Whether this process should hold the lease.
    wanted: bool,
}

impl Lease {
    /// Creates a lease that is not held.
    #[must_use]
    pub fn new(holder: LeaseHolder, cfg: LeaseSettings) -> Self {
        Self {
            cfg,
            holder,
            row: LeaseRow::default(),
            version_seen_at: None,
            last_contact: None,
            held: None,
            unresolved_write: None,
            needs_read: false,
            highest_seen_term: Term::default(),
            wanted: true,
        }
    }

    /// Sets whether this process should hold the lease. If it should not, a held lease is released.
    pub fn set_wanted(&mut self, wanted: bool) {
        self.wanted = wanted;
    }

    /// Records that an engine has seen this term, from an earlier lease. The next write uses a
    /// greater term; otherwise the engine would refuse all orders.
    pub fn observe_term(&mut self, term: Term) {
        self.highest_seen_term = self.highest_seen_term.max(term);
    }

    /// The term held, unless the lease has expired.
    #[must_use]
    pub fn held_term(&self, now: Instant) -> Option<Term> {
        let (term, since) = self.held?;
        (now < since.after(self.cfg.duration)).then_some(term)
    }

    /// Returns a permit for one order if the order can complete before the lease expires and the
    /// row was read or written recently.
    ///
    /// A gap of more than two renewal intervals since then means that the holder was paused. It has
    /// to read the row first, since another VM may have acquired the lease.
    #[must_use]
    pub fn permit(&self, now: Instant) -> Option<OrderPermit> {
        let term = self.held_term(now)?;
        let (_, since) = self.held?;
        let deadline = now.after(self.cfg.order_timeout);
        let ends_before_expiry = deadline < since.after(self.cfg.duration);
        let was_paused = now.since(self.last_contact?) > self.cfg.renew_after * 2;
        (ends_before_expiry && !was_paused && term > self.highest_seen_term)
            .then_some(OrderPermit { term, deadline })
    }

    /// The next action for this lease.
    #[must_use]
    pub fn next_step(&self, now: Instant) -> LeaseStep {
        let Some((version_seen_at, last_contact)) = self.version_seen_at.zip(self.last_contact)
        else {
            return LeaseStep::Read;
        };
        if self.needs_read {
            return LeaseStep::Read;
        }
        if let Some(term) = self.held_term(now) {
            return self.holder_step(now, term);
        }
        if !self.wanted {
            return LeaseStep::Wait(self.cfg.poll_interval);
        }
        let expires_at = self.expires_at(version_seen_at);
        if expires_at <= now {
            return self.write(self.next_term(), self.cfg.duration);
        }
        let read = last_contact.after(self.cfg.poll_interval);
        if read <= now {
            return LeaseStep::Read;
        }
        LeaseStep::Wait(read.min(expires_at).since(now))
    }

    fn holder_step(&self, now: Instant, term: Term) -> LeaseStep {
        let (_, since) = self.held.expect("only called while the lease is held");
        if !self.wanted {
            return self.write(term, Duration::ZERO);
        }
        if term <= self.highest_seen_term {
            return self.write(self.highest_seen_term.next(), self.cfg.duration);
        }
        let due = since.after(self.cfg.renew_after);
        if due <= now {
            return self.write(term, self.cfg.duration);
        }
        LeaseStep::Wait(due.since(now))
    }

    /// Applies the row as read; `now` is the time after the response arrived.
    pub fn apply_row(&mut self, now: Instant, row: LeaseRow) {
        if self.version_seen_at.is_none() || row.version != self.row.version {
            self.version_seen_at = Some(now);
        }
        self.last_contact = Some(now);
        self.needs_read = false;
        let changed = row.version != self.row.version;
        let unresolved_write = if changed {
            self.unresolved_write.take()
        } else {
            None
        };
        self.row = row;
        let own_record = self.row.record.as_ref().filter(|r| r.holder == self.holder);
        self.held = match (own_record, self.held, unresolved_write) {
            (Some(record), _, Some(sent)) if changed && !record.duration.is_zero() => {
                // The write whose result was lost took effect at some time after it was sent.
                Some((record.term, sent))
            }
            (Some(_), held, _) => held,
            (None, ..) => None,
        };
    }

    /// Applies the result of a write that was sent at `sent`.
    pub fn apply_write_result(
        &mut self,
        sent: Instant,
        now: Instant,
        write: LeaseWrite,
        result: LeaseWriteResult,
    ) {
        match result {
            LeaseWriteResult::Written => {
                self.unresolved_write = None;
                self.needs_read = false;
                self.version_seen_at = Some(now);
                self.last_contact = Some(now);
                self.held = (!write.record.duration.is_zero()).then_some((write.record.term, sent));
                self.row = LeaseRow {
                    version: write.expected + 1,
                    record: Some(write.record),
                };
            }
            LeaseWriteResult::Conflict(row) => self.apply_row(now, row),
            LeaseWriteResult::NotRun => {}
            LeaseWriteResult::Unknown => {
                self.unresolved_write = self.unresolved_write.or(Some(sent));
                self.needs_read = true;
            }
        }
    }

    /// When a lease whose row was first seen at `version_seen_at` may be acquired.
    fn expires_at(&self, version_seen_at: Instant) -> Instant {
        match &self.row.record {
            Some(record) if record.duration.is_zero() => version_seen_at,
            Some(record) => version_seen_at.after(record.duration + self.cfg.margin),
            None if self.row.version == 0 => version_seen_at,
            None => version_seen_at.after(self.cfg.duration + self.cfg.margin),
        }
    }

    fn next_term(&self) -> Term {
        let last = self.row.record.as_ref().map(|record| record.term);
        last.unwrap_or_default().max(self.highest_seen_term).next()
    }

    fn write(&self, term: Term, duration: Duration) -> LeaseStep {
        LeaseStep::Write(LeaseWrite {
            expected: self.row.version,
            record: LeaseRecord {
                holder: self.holder.clone(),
                term,
                duration,
            },
        })
    }
}
