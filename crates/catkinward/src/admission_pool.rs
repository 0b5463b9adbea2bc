use super::*;
use crate::{
    queued_request::QueuedRequest, read_leader::CoalescedRead, slot_guard::SlotGuard,
    upstream_handle::UpstreamHandle,
};
use strum::IntoEnumIterator;
use tokio::sync::oneshot;

/// Finds an upstream for a request, none of those given; `None` if there is none now.
pub(crate) type ChooseUpstream = Box<dyn Fn(&[UpstreamId]) -> Option<UpstreamHandle> + Send + Sync>;

/// Queue, places and budgets of one service.
pub(crate) struct AdmissionPool {
    pub(crate) service: ServiceId,
    pub(crate) timer: Arc<Timer>,
    pub(crate) retry_budget: Mutex<LocalRetryBudget>,
    pub(crate) hedge: Mutex<Hedge>,
    pub(crate) hot_keys: Mutex<HotKeys>,
    pub(crate) reads: Mutex<ReadCoalescer<oneshot::Sender<CoalescedRead>>>,
    queue: Mutex<AdmissionQueue<Waiting>>,
}

/// Why a request got no place; it has not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Refusal {
    pub(crate) reason: RefusalReason,
    pub(crate) retry_after: Duration,
}

/// A request in the queue: how its upstream is chosen, and whom to tell.
pub(crate) struct Waiting {
    choose: ChooseUpstream,
    tx: oneshot::Sender<Result<SlotGuard, Refusal>>,
    since: Instant,
}

impl AdmissionPool {
    pub(crate) fn new(service: ServiceId, timer: Arc<Timer>) -> Self {
        Self {
            service,
            timer,
            retry_budget: Mutex::default(),
            hedge: Mutex::default(),
            hot_keys: Mutex::default(),
            reads: Mutex::default(),
            queue: Mutex::new(AdmissionQueue::new(AdmissionConfig::default())),
        }
    }

    /// Whether a request would be let in now.
    ///
    /// # Errors
    ///
    /// If it would be refused, which is counted as a refusal.
    pub(crate) fn check(&self, arrival: &Arrival) -> Result<(), Refusal> {
        let checked = self.queue.lock().check(self.timer.now(), arrival);
        checked.map(|_| ()).map_err(|(reason, retry_after)| {
            self.count_refusal(reason);
            Refusal {
                reason,
                retry_after,
            }
        })
    }

    /// Lets a request wait for a place.
    ///
    /// # Errors
    ///
    /// At once, if it could not start in time.
    pub(crate) fn offer(
        self: &Arc<Self>,
        arrival: &Arrival,
        choose: ChooseUpstream,
    ) -> Result<QueuedRequest, Refusal> {
        let (tx, rx) = oneshot::channel();
        let now = self.timer.now();
        let waiting = Waiting {
            choose,
            tx,
            since: now,
        };
        let offered = self.queue.lock().offer(now, arrival, Queued::new(waiting));
        match offered {
            Ok(place) => {
                self.pump();
                Ok(QueuedRequest::new(self.clone(), place, rx))
            }
            Err(not_run) => Err(self.refusal(&not_run)),
        }
    }

    /// Takes a place without waiting, for a further attempt of a request that was admitted before.
    /// With `must`, an upstream without room will do.
    pub(crate) fn take(
        self: &Arc<Self>,
        lane: Lane,
        must: bool,
        choose: impl Fn(&[UpstreamId]) -> Option<UpstreamHandle>,
    ) -> Option<SlotGuard> {
        let now = self.timer.now();
        let mut queue = self.queue.lock();
        let upstream = choose(&queue.full_upstreams(now, lane))
            .or_else(|| if must { choose(&[]) } else { None })?;
        queue.acquire_slot(now, lane, upstream.id());
        drop(queue);
        Some(SlotGuard::new(self.clone(), lane, upstream))
    }

    /// Takes a place for a request that runs at an upstream already.
    pub(crate) fn hold(self: &Arc<Self>, lane: Lane, upstream: UpstreamHandle) -> SlotGuard {
        let now = self.timer.now();
        self.queue.lock().acquire_slot(now, lane, upstream.id());
        SlotGuard::new(self.clone(), lane, upstream)
    }

    /// Gives places to those who wait, and tells those whose time is over.
    pub(crate) fn pump(self: &Arc<Self>) {
        let now = self.timer.now();
        let mut placed = Vec::new();
        let mut queue = self.queue.lock();
        let expired = queue.expire(now);
        for lane in Lane::iter() {
            while queue.queue_len(lane) > 0 {
                let next = queue.dispatch_where(now, lane, |waiting, taken| {
                    let upstream = (waiting.choose)(taken)?;
                    Some((upstream.id().clone(), upstream))
                });
                let Some((waiting, upstream)) = next else {
                    break;
                };
                placed.push((waiting.done().into_request(), lane, upstream));
            }
        }
        drop(queue);
        // Places are made and given outside the lock: one whose receiver has left gives itself back
        // through this very queue.
        for (waiting, lane, upstream) in placed {
            let waited = now.since(waiting.since).as_secs_f64();
            metrics::histogram!("catkin_queue_wait_seconds", "service" => self.label())
                .record(waited);
            let _ = waiting
                .tx
                .send(Ok(SlotGuard::new(self.clone(), lane, upstream)));
        }
        for not_run in expired {
            let refusal = self.refusal(&not_run);
            let _ = not_run.into_request().tx.send(Err(refusal));
        }
    }

    pub(crate) fn waiting(&self) -> usize {
        let queue = self.queue.lock();
        Lane::iter().map(|lane| queue.queue_len(lane)).sum()
    }

    pub(crate) fn withdraw(&self, place: QueuePosition) {
        if let Some(not_run) = self.queue.lock().withdraw(place) {
            self.refusal(&not_run);
        }
    }

    pub(crate) fn leave(
        self: &Arc<Self>,
        lane: Lane,
        upstream: &UpstreamId,
        held: Option<Duration>,
    ) {
        self.queue.lock().release_slot(lane, upstream, held);
        self.pump();
    }

    pub(crate) fn answered(&self, upstream: &UpstreamId, latency: Duration) {
        self.queue.lock().record_latency(upstream, latency);
    }

    pub(crate) fn overloaded(&self, upstream: &UpstreamId) {
        self.queue.lock().record_overload(upstream);
    }

    pub(crate) fn take_reports<'a>(
        self: &Arc<Self>,
        reports: impl Iterator<Item = &'a (UpstreamId, CapacityReport)>,
        share: impl Fn(&UpstreamId) -> CapacityShare,
    ) {
        let reports = reports.collect::<Vec<_>>();
        let mut queue = self.queue.lock();
        queue.evict_idle_teams();
        queue.set_upstreams(reports.iter().map(|(id, _)| id.clone()));
        for (id, report) in reports {
            queue.record_report(id, *report, share(id));
        }
        self.publish(&queue);
        drop(queue);
        self.pump();
    }

    /// Counts a refusal, which is about to be told.
    pub(crate) fn count_refusal(&self, reason: RefusalReason) {
        metrics::counter!(
            "catkin_refusals_total",
            "service" => self.label(),
            "reason" => <&str>::from(reason)
        )
        .increment(1);
    }

    pub(crate) fn count(&self, name: &'static str) {
        metrics::counter!(name, "service" => self.label()).increment(1);
    }

    fn refusal(&self, not_run: &NotRun<Waiting>) -> Refusal {
        self.count_refusal(not_run.reason());
        Refusal {
            reason: not_run.reason(),
            retry_after: not_run.retry_after(),
        }
    }

    fn publish(&self, queue: &AdmissionQueue<Waiting>) {
        for lane in Lane::iter() {
            let count = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
            let in_flight = queue.slots().map(|(_, slots)| slots.in_flight(lane));
            let labels = [("service", self.label()), ("lane", lane.to_string())];
            metrics::gauge!("catkin_queue_length", &labels).set(count(queue.queue_len(lane)));
            metrics::gauge!("catkin_in_flight", &labels).set(in_flight.sum::<u32>());
        }
        let limits = queue.slots().map(|(_, slots)| slots.limit());
        metrics::gauge!("catkin_concurrency_limit", "service" => self.label())
            .set(limits.sum::<u32>());
    }

    fn label(&self) -> String {
        self.service.to_string()
    }
}
