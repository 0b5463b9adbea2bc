//! What the gateway pays for sending calls once more, and its loans of repeats.

use super::*;

/// How long a VM counts as one that shares the budget of repeats after it was last heard of. One that
/// is cut off goes on serving and repeating, so it must not be forgotten soon.
const VM_MEMORY: Duration = Duration::from_secs(60);

/// Time after the start in which this VM takes no part of the slack. It knows a few others at first, and
/// would take the part of all the others for its own; restarted together, the VMs would repeat several times
/// what they may. Who lives is known after some six notes.
const SETTLED_AFTER: Duration = Duration::from_secs(3);

/// Repeats left at which others are asked for some: an answer takes as long as a stream needs to be sent
/// again, so the next one that is lost need not wait for it.
const FEW_LEFT: u32 = 2;

/// Repeats asked of each VM beyond those that calls wait for: several streams are lost together.
const WANTED_BEYOND: u32 = 1;

/// Wait for loans when nothing is left: an answer from another zone takes 2 to 5 ms, and the caller of a
/// broken stream waits meanwhile.
const LOAN_WAIT: Duration = Duration::from_millis(20);

/// How often others are asked so, each time others, before the pace goes down to [`SLOW_WAIT`]. Where each
/// VM's share is a handful, most of those asked first have nothing to lend.
const QUICK_ROUNDS: u32 = 5;

/// The pace afterwards. What is missing then is missing everywhere; calls that are not late yet go first.
const SLOW_WAIT: Duration = Duration::from_millis(150);

/// How long a stream waits for a repeat before it is given up. Engines keep the copy of its memory for some
/// four seconds, and a stream that is given up is read again as a whole for its caller's next try.
pub(crate) const STREAM_PATIENCE: Duration = Duration::from_millis(2500);

/// How long a plain call waits for one: about the time in which its answer is of full use.
pub(crate) const CALL_PATIENCE: Duration = Duration::from_millis(100);

impl Gateway {
    /// Pays for sending a call of a service once more. If nothing is left, waits for other VMs to lend
    /// some, or for the window to go on, for as long as `patience`.
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
            // Only a bound: what matters is whether there is something to pay with afterwards.
            let _ = tokio::time::timeout_at(until.min(now + wait), came).await;
        }
        metrics::counter!("catkin_repeats_refused_total").increment(1);
        tracing::warn!(%service, "no repeat left in the budget");
        false
    }

    /// Pays if anything is left, and asks for loans if little is, for as many calls as wait.
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
        tracing::info!(%service, number = ask.number, lenders = lenders.len(), "asked for repeats");
        for lender in lenders {
            self.outbox.send(lender, PeerDatagram::LoanAsk(ask.clone()));
        }
    }

    /// Lends repeats to another VM.
    pub(crate) fn lend(&self, ask: LoanAsk, borrower: SocketAddr) {
        if self.waiting_repeats.load(Ordering::Relaxed) > 0 {
            // What is left or comes in is for the calls that wait here.
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
        tracing::info!(service = %ask.service, number = ask.number, %borrower, given, "repeats lent");
        let loan = Loan {
            service: ask.service,
            number: ask.number,
            given,
        };
        self.outbox.send(borrower, PeerDatagram::Loan(loan));
    }

    /// Takes in repeats that another VM gives.
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
            "repeats borrowed");
        self.loan_came.notify_waiters();
    }

    /// The budget of repeats as it is divided now.
    fn repeats(&self, state: &GatewayState, now: Instant) -> SharedRetryBudgetConfig {
        let alone = self.settings.seeds.is_empty();
        let settled = alone || now.since(self.started) >= SETTLED_AFTER;
        SharedRetryBudgetConfig {
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

/// A call that waits for a repeat, counted until it is dropped.
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
