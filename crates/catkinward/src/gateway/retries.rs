//! Retry budgets of services and budget loans between VMs.

use super::{reply_log::millis, *};
use std::collections::BTreeMap;

/// How long a VM that was last seen counts as one that shares the retry budget. A partitioned VM
/// continues to serve and to retry, so it must not be dropped early.
const VM_RETENTION: Duration = Duration::from_secs(60);

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
/// for some four seconds, and after a failure the retry of its caller needs the whole prefill again.
pub(crate) const STREAM_RETRY_TIMEOUT: Duration = Duration::from_millis(2500);

/// How long a plain call waits for retry budget: about the time in which its response is of full
/// use.
pub(crate) const CALL_RETRY_TIMEOUT: Duration = Duration::from_millis(100);

impl Gateway {
    /// Takes a retry of a service from the budget. If none remain, waits up to `max_wait` for loans
    /// from other VMs or for the budget's window to advance.
    pub(crate) async fn take_retry(&self, service: &ServiceId, max_wait: Duration) -> bool {
        self.take_ranked_retry(service, max_wait, None).await
    }

    /// Takes a retry like [`Self::take_retry`]. A ranked call that would have to wait takes none once it can no longer
    /// complete, and none while more urgent calls of its service wait here.
    pub(crate) async fn take_ranked_retry(
        &self,
        service: &ServiceId,
        max_wait: Duration,
        rank: Option<RetryRank>,
    ) -> bool {
        if self.may_take_retry(service, rank) && self.try_take_retry(service, 1) {
            return true;
        }
        let waiting = WaitingCall::begin(&self.waiting_retries);
        let _ranked = rank.map(|rank| RankedCall::begin(&self.waiting_ranks, service, rank));
        let until = tokio::time::Instant::now() + max_wait;
        for round in 0.. {
            let mut arrived = std::pin::pin!(self.loan_arrived.notified());
            arrived.as_mut().enable();
            if rank.is_some_and(|rank| self.timer.now() > rank.latest_start) {
                metrics::counter!("catkin_retries_too_late_total").increment(1);
                break;
            }
            if self.may_take_retry(service, rank) && self.try_take_retry(service, waiting.count()) {
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
            let _ = tokio::time::timeout_at(until.min(now + wait), arrived).await;
        }
        metrics::counter!("catkin_repeats_refused_total").increment(1);
        self.log_exhausted(service);
        false
    }

    /// Whether no more urgent call of the service waits for a retry at this VM.
    fn may_take_retry(&self, service: &ServiceId, rank: Option<RetryRank>) -> bool {
        rank.is_none_or(|rank| !self.waiting_ranks.lock().has_above(service, rank.priority))
    }

    fn log_exhausted(&self, service: &ServiceId) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let cfg = self.budget_config(&state, now);
        let usage = state.budget(service).usage(&cfg, now);
        drop(state);
        tracing::warn!(%service, calls = usage.calls, retries = usage.retries,
            borrowed = usage.borrowed, own_part = usage.own_part, vms = cfg.vms,
            age_ms = millis(now.since(self.started)), "retry budget exhausted");
    }

    /// Takes a retry if any remain, and requests loans for `waiting` calls if none remain afterwards.
    fn try_take_retry(&self, service: &ServiceId, waiting: u32) -> bool {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let cfg = self.budget_config(&state, now);
        let budget = state.budget(service);
        let taken = budget.try_take(&cfg, now);
        if budget.remaining(&cfg, now) == 0 {
            let lenders = state
                .peers
                .sample_addresses(MAX_LENDERS, rand::random(), now);
            drop(state);
            self.request_loans(service, waiting, lenders, now);
        }
        taken
    }

    fn request_loans(
        &self,
        service: &ServiceId,
        wanted: u32,
        lenders: Vec<SocketAddr>,
        now: Instant,
    ) {
        if lenders.is_empty() || !self.settings.policy.loans {
            return;
        }
        let mut loan_requests = self.loan_requests.lock();
        let Some(ask) = loan_requests.request(service, wanted, lenders.clone(), now) else {
            return;
        };
        drop(loan_requests);
        tracing::info!(%service, number = ask.number, lenders = lenders.len(),
            "retries requested from other VMs");
        for lender in lenders {
            self.outbox.send(lender, PeerDatagram::LoanAsk(ask.clone()));
        }
    }

    /// Lends retries to another VM.
    pub(crate) fn lend(&self, ask: LoanAsk, borrower: SocketAddr) {
        if self.waiting_retries.load(Ordering::Relaxed) > 0 {
            // The remaining and the new retries are for the calls that wait here.
            return;
        }
        let now = self.timer.now();
        let mut state = self.state.lock();
        let cfg = self.budget_config(&state, now);
        let lent = state.budget(&ask.service).lend(&cfg, ask.wanted, now);
        drop(state);
        let given = lent.count;
        if given == 0 {
            return;
        }
        tracing::info!(service = %ask.service, number = ask.number, %borrower, given,
            "retries lent");
        let loan = Loan {
            service: ask.service,
            number: ask.number,
            given,
            usable_buckets: lent.usable_buckets,
        };
        self.outbox.send(borrower, PeerDatagram::Loan(loan));
    }

    /// Adds retries that another VM has lent.
    pub(crate) fn borrow(&self, loan: &Loan, lender: SocketAddr) {
        let now = self.timer.now();
        let given = self.loan_requests.lock().receive(loan, lender, now);
        if given == 0 {
            return;
        }
        let mut state = self.state.lock();
        let cfg = self.budget_config(&state, now);
        state
            .budget(&loan.service)
            .borrow(&cfg, loan.retries(), now);
        drop(state);
        tracing::info!(service = %loan.service, number = loan.number, %lender, given,
            "retries borrowed");
        self.loan_arrived.notify_waiters();
    }

    /// The budget settings with the current number of VMs and slack.
    fn budget_config(&self, state: &GatewayState, now: Instant) -> SharedRetryBudgetConfig {
        SharedRetryBudgetConfig {
            vms: u32::try_from(state.peers.count_within(VM_RETENTION, now) + 1).unwrap_or(u32::MAX),
            ..self.settings.retry_budget
        }
    }
}

/// Which calls of a scheduled service get retries first when they are scarce.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryRank {
    /// Priority of the call; 0 is the highest.
    pub(crate) priority: u8,
    /// When the call must be sent at the latest to complete before its deadline.
    pub(crate) latest_start: Instant,
}

/// Number of calls that wait for retry budget, by service and priority.
#[derive(Debug, Default)]
pub(crate) struct WaitingRanks(BTreeMap<(ServiceId, u8), u32>);

impl WaitingRanks {
    /// Whether calls of a higher priority wait.
    fn has_above(&self, service: &ServiceId, priority: u8) -> bool {
        let above = (service.clone(), 0)..(service.clone(), priority);
        self.0.range(above).next().is_some()
    }
}

/// Counts a ranked call that waits for retry budget until it is dropped.
struct RankedCall<'a> {
    ranks: &'a Mutex<WaitingRanks>,
    key: (ServiceId, u8),
}

impl<'a> RankedCall<'a> {
    fn begin(ranks: &'a Mutex<WaitingRanks>, service: &ServiceId, rank: RetryRank) -> Self {
        let key = (service.clone(), rank.priority);
        *ranks.lock().0.entry(key.clone()).or_default() += 1;
        Self { ranks, key }
    }
}

impl Drop for RankedCall<'_> {
    fn drop(&mut self) {
        let mut ranks = self.ranks.lock();
        if let Some(count) = ranks.0.get_mut(&self.key) {
            *count -= 1;
            if *count == 0 {
                ranks.0.remove(&self.key);
            }
        }
    }
}

/// Counts a call that waits for retry budget until it is dropped.
struct WaitingCall<'a> {
    count: &'a AtomicU32,
}

impl<'a> WaitingCall<'a> {
    fn begin(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self { count }
    }

    fn count(&self) -> u32 {
        self.count.load(Ordering::Relaxed)
    }
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}
