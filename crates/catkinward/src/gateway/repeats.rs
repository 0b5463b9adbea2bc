//! What the gateway pays for sending calls once more, and its loans of repeats.

use super::*;

/// How long a VM counts as one that shares the budget of repeats after it was last heard of. One that
/// is cut off goes on serving and repeating, so it must not be forgotten soon.
const VM_MEMORY: Duration = Duration::from_secs(60);

/// Repeats left at which others are asked for some: a few streams are lost together, and an answer takes
/// as long as some of them need to be sent again.
const FEW_LEFT: u32 = 4;

/// Repeats asked of each VM.
const WANTED: u32 = 6;

/// Wait for loans when nothing is left: an answer from another zone takes 2 to 5 ms, and the caller of a
/// broken stream waits meanwhile.
const LOAN_WAIT: Duration = Duration::from_millis(20);

/// How often others are asked, each time others, before a call is given up for want of a repeat. Where each
/// VM's share is a handful, most of those asked first have nothing to lend; 0.1 s is short against what
/// is lost with a stream.
const LOAN_ROUNDS: u32 = 5;

impl Gateway {
    /// Pays for sending a call of a service once more. If nothing is left, waits for other VMs to lend
    /// some.
    pub(crate) async fn pay_repeat(&self, service: &ServiceId) -> bool {
        for _ in 0..LOAN_ROUNDS {
            let mut came = std::pin::pin!(self.loan_came.notified());
            came.as_mut().enable();
            if self.try_pay_repeat(service) {
                return true;
            }
            // Only a bound: what matters is whether there is something to pay with afterwards.
            let _ = tokio::time::timeout(LOAN_WAIT, came).await;
        }
        let paid = self.try_pay_repeat(service);
        if !paid {
            metrics::counter!("catkin_repeats_refused_total").increment(1);
            tracing::warn!(%service, "no repeat left in the budget");
        }
        paid
    }

    fn try_pay_repeat(&self, service: &ServiceId) -> bool {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let cfg = self.repeats(&state, now);
        let budget = state.budget(service);
        let paid = budget.pay(&cfg, now);
        if budget.left(&cfg, now) <= FEW_LEFT {
            let lenders = state
                .peers
                .some_addresses(MOST_LENDERS, rand::random(), now);
            drop(state);
            self.ask_for_loans(service, lenders, now);
        }
        paid
    }

    fn ask_for_loans(&self, service: &ServiceId, lenders: Vec<SocketAddr>, now: Instant) {
        if lenders.is_empty() {
            return;
        }
        let mut loans = self.loans.lock();
        let Some(ask) = loans.ask(service, WANTED, lenders.clone(), now) else {
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
        let given = self.loans.lock().receive(loan, lender);
        if given == 0 {
            return;
        }
        let now = self.timer.now();
        let mut state = self.state.lock();
        let cfg = self.repeats(&state, now);
        state.budget(&loan.service).borrow(&cfg, given, now);
        drop(state);
        tracing::info!(service = %loan.service, number = loan.number, %lender, given,
            "repeats borrowed");
        self.loan_came.notify_waiters();
    }

    /// The budget of repeats as it is divided now.
    fn repeats(&self, state: &GatewayState, now: Instant) -> RepeatBudgetConfig {
        RepeatBudgetConfig {
            vms: u32::try_from(state.peers.count_within(VM_MEMORY, now) + 1).unwrap_or(u32::MAX),
            ..self.settings.repeats
        }
    }
}
