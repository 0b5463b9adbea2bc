//! Retry budgets of services and budget loans between VMs.

use super::*;

/// How long a VM that was last seen counts as one that shares the retry budget. A partitioned VM
/// continues to serve and to retry, so it must not be dropped early.
const VM_MEMORY: Duration = Duration::from_secs(60);

/// Time after the start in which this VM takes no share of the slack. It knows few other VMs at
/// first and would take the shares of all the others; VMs that restart together would exceed the
/// budget several times over. The live VMs are known after some six heartbeats.
const SETTLED_AFTER: Duration = Duration::from_secs(3);

/// Number of remaining retries at which loans are requested. A reply takes as long as sending a
/// stream again, so the next lost stream does not have to wait for it.
const FEW_LEFT: u32 = 2;

/// Retries requested from each VM beyond those that calls wait for, since several streams are lost
/// together.
const WANTED_BEYOND: u32 = 1;

/// Wait for loans when no retries remain: a reply from another zone takes 2 to 5 ms, and the caller
/// of a broken stream waits in the meantime.
const LOAN_WAIT: Duration = Duration::from_millis(20);

/// Number of request rounds, each to other VMs, before the interval grows to [`SLOW_WAIT`]. Where
/// the share of a VM is a handful of retries, most of the first VMs have none to lend.
const QUICK_ROUNDS: u32 = 5;

/// Interval of the later rounds. By then retries are missing on all VMs; calls that are not late
/// yet take precedence.
const SLOW_WAIT: Duration = Duration::from_millis(150);

/// How long a stream waits for retry budget before it fails. Engines keep the copy of its KV cache
/// for some four seconds, and after a failure the retry of its caller repeats the whole prefill.
pub(crate) const STREAM_PATIENCE: Duration = Duration::from_millis(2500);

/// How long a plain call waits for retry budget: about the time in which its response is of full
/// use.
pub(crate) const CALL_PATIENCE: Duration = Duration::from_millis(100);

impl Gateway {
    /// Takes a retry of a service from the budget. If none remain, waits up to `patience` for loans
    /// from other VMs or for the budget's window to advance.
    pub(crate) async fn pay_repeat(&self, service: &ServiceId, patience: Duration) -> bool {
        if self.try_pay_repeat(service, 1) {
            return true;
        }
        let waiting = Waiting::begin(&self.waiting_repeats);
        let until = tokio::time::Instant::now() + patience;
        for round in 0.. {
            let mut came = std::pin::pin!(self.loan_came.notified());
            came.as_mut().enable();
            if self.try_pay_repeat(service, waiting.count()) {
                return true;
            }
            let wait = if round < QUICK_ROUNDS {
                LOAN_WAIT
            } else {
                SLOW_WAIT
            };
            let now = tokio::time::Instant::now();
            if now >= until {
                break;
            }
            // Either way the budget is checked again.
            let _ = tokio::time::timeout_at(until.min(now + wait), came).await;
        }
        metrics::counter!("catkin_repeats_refused_total").increment(1);
        tracing::warn!(%service, "retry budget exhausted");
        false
    }

    /// Takes a retry if any remain, and requests loans for `waiting` calls if few remain.
    fn try_pay_repeat(&self, service: &ServiceId, waiting: u32) -> bool {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let cfg = self.repeats(&state, now);
        let budget = state.budget(service);
        let paid = budget.try_take(&cfg, now);
        if budget.remaining(&cfg, now) <= FEW_LEFT {
            let lenders = state
                .peers
                .sample_addresses(MAX_LENDERS, rand::random(), now);
            drop(state);
            self.ask_for_loans(service, waiting + WANTED_BEYOND, lenders, now);
        }
        paid
    }

    fn ask_for_loans(
        &self,
        service: &ServiceId,
        wanted: u32,
        lenders: Vec<SocketAddr>,
        now: Instant,
    ) {
        if lenders.is_empty() || !self.settings.policy.loans {
            return;
        }
        let mut loans = self.loans.lock();
        let Some(ask) = loans.request(service, wanted, lenders.clone(), now) else {
            return;
        };
        drop(loans);
        tracing::info!(%service, number = ask.number, lenders = lenders.len(),
            "retries requested from other VMs");
        for lender in lenders {
            self.outbox.send(lender, PeerDatagram::LoanAsk(ask.clone()));
        }
    }

    /// Lends retries to another VM.
    pub(crate) fn lend(&self, ask: LoanAsk, borrower: SocketAddr) {
        if self.waiting_repeats.load(Ordering::Relaxed) > 0 {
            // The remaining and the new retries are for the calls that wait here.
            return;
        }
        let now = self.timer.now();
        let mut state = self.state.lock();
        let cfg = self.repeats(&state, now);
        let given = state.budget(&ask.service).lend(&cfg, ask.wanted, now);
        drop(state);
        if given == 0 {
            return;
        }
        tracing::info!(service = %ask.service, number = ask.number, %borrower, given, "retries lent");
        let loan = Loan {
            service: ask.service,
            number: ask.number,
            given,
        };
        self.outbox.send(borrower, PeerDatagram::Loan(loan));
    }

    /// Adds retries that another VM has lent.
    pub(crate) fn borrow(&self, loan: &Loan, lender: SocketAddr) {
        let now = self.timer.now();
        let given = self.loans.lock().receive(loan, lender, now);
        if given == 0 {
            return;
        }
        let mut state = self.state.lock();
        let cfg = self.repeats(&state, now);
        state.budget(&loan.service).borrow(&cfg, given, now);
        drop(state);
        tracing::info!(service = %loan.service, number = loan.number, %lender, given,
            "retries borrowed");
        self.loan_came.notify_waiters();
    }

    /// The budget settings with the current number of VMs and slack.
    fn repeats(&self, state: &GatewayState, now: Instant) -> RouteRetryBudgetConfig {
        let alone = self.settings.seeds.is_empty();
        let settled = alone || now.since(self.started) >= SETTLED_AFTER;
        RouteRetryBudgetConfig {
            slack: if settled {
                self.settings.repeats.slack
            } else {
                0.0
            },
            vms: u32::try_from(state.peers.count_within(VM_MEMORY, now) + 1).unwrap_or(u32::MAX),
            ..self.settings.repeats
        }
    }
}

/// Counts a call that waits for retry budget until it is dropped.
struct Waiting<'a> {
    count: &'a AtomicU32,
}

impl<'a> Waiting<'a> {
    fn begin(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self { count }
    }

    fn count(&self) -> u32 {
        self.count.load(Ordering::Relaxed)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}
