use super::*;
use crate::{
    queued_request::QueuedRequest, read_leader::CoalescedRead, slot_guard::SlotGuard,
    upstream_handle::UpstreamHandle,
};
use strum::IntoEnumIterator;
use tokio::sync::oneshot;

/// Selects an upstream for a request, excluding those given; `None` if none is available now.
pub(crate) type ChooseUpstream = Box<dyn Fn(&[UpstreamId]) -> Option<UpstreamHandle> + Send + Sync>;

/// Queue, concurrency slots and retry budget of one service.
pub(crate) struct AdmissionPool {
    pub(crate) service: ServiceId,
    pub(crate) timer: Arc<Timer>,
    pub(crate) retry_budget: Mutex<LocalRetryBudget>,
    pub(crate) hedge: Mutex<Hedge>,
    pub(crate) hot_keys: Mutex<HotKeys>,
    pub(crate) reads: Mutex<ReadCoalescer<oneshot::Sender<CoalescedRead>>>,
    queue: Mutex<AdmissionQueue<PendingRequest>>,
}

/// Why a request was refused a slot; it has not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Refusal {
    pub(crate) reason: RefusalReason,
    pub(crate) retry_after: Duration,
}

/// A queued request: how its upstream is selected, and the channel that receives the result.
pub(crate) struct PendingRequest {
    choose: ChooseUpstream,
    tx: oneshot::Sender<Result<SlotGuard, Refusal>>,
    queued_at: Instant,
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

    /// Checks whether a request would be admitted now.
    ///
    /// # Errors
    ///
    /// If it would be refused, which is counted as a refusal.
    pub(crate) fn check(&self, arrival: &Arrival) -> Result<(), Refusal> {
        let checked = self.queue.lock().check_admission(self.timer.now(), arrival);
        checked.map(|_| ()).map_err(|(reason, retry_after)| {
            self.count_refusal(reason);
            Refusal {
                reason,
                retry_after,
            }
        })
    }

    /// Queues a request for a slot.
    ///
    /// # Errors
    ///
    /// Fails immediately if the request could not start in time.
    pub(crate) fn offer(
        self: &Arc<Self>,
        arrival: &Arrival,
        choose: ChooseUpstream,
    ) -> Result<QueuedRequest, Refusal> {
        let (tx, rx) = oneshot::channel();
        let now = self.timer.now();
        let pending = PendingRequest {
            choose,
            tx,
            queued_at: now,
        };
        let offer_result = self.queue.lock().offer(now, arrival, Queued::new(pending));
        match offer_result {
            Ok(position) => {
                self.dispatch();
                Ok(QueuedRequest::new(self.clone(), position, rx))
            }
            Err(not_run) => Err(self.count_as_refusal(&not_run)),
        }
    }

    /// Takes a slot without queueing, for a further attempt of a request that was admitted before.
    /// With `allow_full`, an upstream without free capacity is used if no other is available.
    pub(crate) fn take_slot(
        self: &Arc<Self>,
        lane: Lane,
        allow_full: bool,
        choose: impl Fn(&[UpstreamId]) -> Option<UpstreamHandle>,
    ) -> Option<SlotGuard> {
        let now = self.timer.now();
        let mut queue = self.queue.lock();
        let upstream = choose(&queue.full_upstreams(now, lane))
            .or_else(|| if allow_full { choose(&[]) } else { None })?;
        queue.acquire_slot(now, lane, upstream.id());
        drop(queue);
        Some(SlotGuard::new(self.clone(), lane, upstream))
    }

    /// Takes a slot for a request that already runs on an upstream.
    pub(crate) fn hold_slot(self: &Arc<Self>, lane: Lane, upstream: UpstreamHandle) -> SlotGuard {
        let now = self.timer.now();
        self.queue.lock().acquire_slot(now, lane, upstream.id());
        SlotGuard::new(self.clone(), lane, upstream)
    }

    /// Assigns free slots to queued requests and refuses those whose latest start time has passed.
    pub(crate) fn dispatch(self: &Arc<Self>) {
        let now = self.timer.now();
        let mut dispatched = Vec::new();
        let mut queue = self.queue.lock();
        let expired = queue.expire(now);
        for lane in Lane::iter() {
            while queue.queue_len(lane) > 0 {
                let next = queue.dispatch_where(now, lane, |pending, taken| {
                    let upstream = (pending.choose)(taken)?;
                    Some((upstream.id().clone(), upstream))
                });
                let Some((pending, upstream)) = next else {
                    break;
                };
                dispatched.push((pending.done().into_request(), lane, upstream));
            }
        }
        drop(queue);
        // Slot guards are created and sent outside the lock: a guard whose receiver has been
        // dropped releases its slot through this queue, which takes the same lock.
        for (pending, lane, upstream) in dispatched {
            let waited = now.since(pending.queued_at).as_secs_f64();
            metrics::histogram!("catkin_queue_wait_seconds", "service" => self.label())
                .record(waited);
            let _ = pending
                .tx
                .send(Ok(SlotGuard::new(self.clone(), lane, upstream)));
        }
        for not_run in expired {
            let refusal = self.count_as_refusal(&not_run);
            let _ = not_run.into_request().tx.send(Err(refusal));
        }
    }

    pub(crate) fn queued_count(&self) -> usize {
        let queue = self.queue.lock();
        Lane::iter().map(|lane| queue.queue_len(lane)).sum()
    }

    pub(crate) fn withdraw(&self, position: QueuePosition) {
        if let Some(not_run) = self.queue.lock().withdraw(position) {
            self.count_as_refusal(&not_run);
        }
    }

    pub(crate) fn release_slot(
        self: &Arc<Self>,
        lane: Lane,
        upstream: &UpstreamId,
        held_for: Option<Duration>,
    ) {
        self.queue.lock().release_slot(lane, upstream, held_for);
        self.dispatch();
    }

    pub(crate) fn record_latency(&self, upstream: &UpstreamId, latency: Duration) {
        self.queue.lock().record_latency(upstream, latency);
    }

    pub(crate) fn record_overload(&self, upstream: &UpstreamId) {
        self.queue.lock().record_overload(upstream);
    }

    pub(crate) fn apply_reports<'a>(
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
        self.update_gauges(&queue);
        drop(queue);
        self.dispatch();
    }

    /// Counts a refusal that is about to be sent to the caller.
    pub(crate) fn count_refusal(&self, reason: RefusalReason) {
        metrics::counter!(
            "catkin_refusals_total",
            "service" => self.label(),
            "reason" => <&str>::from(reason)
        )
        .increment(1);
    }

    pub(crate) fn increment_counter(&self, name: &'static str) {
        metrics::counter!(name, "service" => self.label()).increment(1);
    }

    fn count_as_refusal(&self, not_run: &NotRun<PendingRequest>) -> Refusal {
        self.count_refusal(not_run.reason());
        Refusal {
            reason: not_run.reason(),
            retry_after: not_run.retry_after(),
        }
    }

    fn update_gauges(&self, queue: &AdmissionQueue<PendingRequest>) {
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
