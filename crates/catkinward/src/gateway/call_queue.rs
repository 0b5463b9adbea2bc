//! First sends of streams of scheduled services wait here until an upstream has room.
//!
//! One task hands out the room while calls wait. It begins the run of a call before it selects for the
//! next one, so that two calls never get the same room. The lock of the queues is taken before that of the
//! gateway's state.

use super::{
    accepted_call::AcceptedCall, reply_log::millis, run_guard::RunGuard, scheduling::RoomSelection,
    state::cached_tokens, *,
};
use catkin_decisions::{
    Admission, DispatchQueue, DispatchTicket, OverloadCause, OverloadRefusal, QueueLimits,
    QueueTeam, StreamArrival,
};
use tokio::sync::oneshot;

/// Longest time between two attempts to start waiting calls: room also appears without a notification, for
/// example when a heartbeat of another VM is too old.
const MAX_DISPATCH_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest time between two attempts. A selection among 180 upstreams takes some 0.1 ms on a VM of 0.12
/// cores, and with many streams the notifications are more frequent than that.
const MIN_DISPATCH_INTERVAL: Duration = Duration::from_millis(5);

/// Name that stands for callers without a team.
const NO_TEAM: &str = "none";

/// Room for a stream, or the reason why it gets none.
pub(crate) enum RoomGrant {
    /// The run on an upstream with room, which counts there from now on.
    Run(RunGuard),
    /// No upstream may be selected.
    NoUpstream,
    /// The stream is refused and has not run.
    Refused {
        reason: RefusalReason,
        retry_after: Duration,
    },
}

/// The waiting streams of all services.
#[derive(Default)]
pub(crate) struct CallQueues {
    /// Sorted by service.
    queues: Vec<(ServiceId, DispatchQueue<WaitingStream>)>,
    /// Whether the task that starts waiting calls runs.
    is_dispatching: bool,
}

impl CallQueues {
    fn queue(&mut self, service: &ServiceId) -> &mut DispatchQueue<WaitingStream> {
        let index = match self.queues.binary_search_by(|(s, _)| s.cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                // The platform does not state the memory of a VM, so the limits are those of a small one.
                let queue = DispatchQueue::new(QueueLimits::for_vm(Some(0)));
                self.queues.insert(index, (service.clone(), queue));
                index
            }
        };
        &mut self.queues[index].1
    }
}

/// What ends the wait of a stream.
enum Selection {
    Upstream(Arc<UpstreamEntry>),
    NoUpstream,
}

struct WaitingStream {
    accepted: AcceptedCall,
    cached: Vec<(UpstreamIncarnation, u32)>,
    since: Instant,
    grant: oneshot::Sender<RoomGrant>,
}

/// Removes a call from the queue if its future is dropped because the caller has left.
struct WithdrawGuard<'a> {
    gateway: &'a Gateway,
    service: ServiceId,
    ticket: DispatchTicket,
}

impl Drop for WithdrawGuard<'_> {
    fn drop(&mut self) {
        let mut queues = self.gateway.call_queues.lock();
        let withdrawn = queues.queue(&self.service).withdraw(self.ticket);
        drop(queues);
        drop(withdrawn);
    }
}

impl Gateway {
    /// Waits until an upstream has room for a stream that was not sent yet.
    pub(crate) async fn wait_for_room(
        self: &Arc<Self>,
        accepted: &AcceptedCall,
        cached: &[(UpstreamIncarnation, u32)],
    ) -> RoomGrant {
        let (ticket, granted) = match self.enter_queue(accepted, cached) {
            Ok(queued) => queued,
            Err(granted) => return granted,
        };
        let _withdraw = WithdrawGuard {
            gateway: self,
            service: accepted.service.clone(),
            ticket,
        };
        // The sender is dropped without a grant only when the runtime shuts down.
        let time_left = accepted.time_left(self.timer.now());
        match tokio::time::timeout(time_left, granted).await {
            Ok(granted) => granted.unwrap_or_else(|_| shutting_down()),
            Err(_) => RoomGrant::Refused {
                reason: RefusalReason::Overloaded,
                retry_after: Duration::ZERO,
            },
        }
    }

    /// Queues a stream, or decides on it at once.
    fn enter_queue(
        self: &Arc<Self>,
        accepted: &AcceptedCall,
        cached: &[(UpstreamIncarnation, u32)],
    ) -> Result<(DispatchTicket, oneshot::Receiver<RoomGrant>), RoomGrant> {
        let now = self.timer.now();
        let arrival = self.stream_arrival(accepted);
        let mut queues = self.call_queues.lock();
        let queue = queues.queue(&accepted.service);
        if queue.is_first(&arrival, now) {
            match self.select_with_room(accepted, &[], cached) {
                RoomSelection::Upstream(entry) => {
                    queue.record_start(&arrival, now);
                    let run = self.begin_first_run(accepted, entry, cached);
                    return Err(RoomGrant::Run(run));
                }
                RoomSelection::NoUpstream => return Err(RoomGrant::NoUpstream),
                RoomSelection::NoRoom => {}
            }
        }
        // Under the lock, so that the shutdown finds every call that is queued.
        if self.leaving.lock().is_some() {
            return Err(shutting_down());
        }
        let (grant, granted) = oneshot::channel();
        let waiting = WaitingStream {
            accepted: accepted.clone(),
            cached: cached.to_vec(),
            since: now,
            grant,
        };
        let offered = queue.offer(arrival, waiting, now);
        let admission =
            offered.map_err(|refusal| self.refuse_overload(accepted, &refusal, Duration::ZERO))?;
        let is_dispatching = std::mem::replace(&mut queues.is_dispatching, true);
        drop(queues);
        self.log_queued(accepted, &admission, now);
        if !is_dispatching {
            tokio::spawn(dispatch_calls(self.clone()));
        }
        Ok((admission.ticket, granted))
    }

    /// Refuses all waiting calls, because this VM shuts down.
    pub(crate) fn refuse_waiting_calls(&self) {
        let mut refused = Vec::new();
        for (_, queue) in &mut self.call_queues.lock().queues {
            refused.extend(queue.remove_all());
        }
        for waiting in refused {
            count_queue_refusal(&waiting.accepted, RefusalReason::ShuttingDown.into());
            grant(waiting, shutting_down());
        }
    }

    /// Sets the gauges of the queues.
    pub(crate) fn set_queue_gauges(&self) {
        for (service, queue) in &self.call_queues.lock().queues {
            for (priority, len) in queue.len_by_priority() {
                #[expect(clippy::cast_precision_loss, reason = "at most 1,000 calls wait")]
                metrics::gauge!("catkin_queue_calls", "service" => service.to_string(),
                    "priority" => priority.to_string())
                .set(len as f64);
            }
        }
    }

    /// Starts the waiting calls for which there is room, and refuses those that can no longer complete;
    /// returns whether calls still wait.
    fn dispatch_waiting(self: &Arc<Self>) -> bool {
        let now = self.timer.now();
        let mut expired = Vec::new();
        let mut queues = self.call_queues.lock();
        for (_, queue) in &mut queues.queues {
            expired.extend(queue.expire(now));
            while let Some((waiting, selected)) =
                queue.next(now, |waiting| self.select_for_waiting(waiting))
            {
                let granted = match selected {
                    Selection::Upstream(entry) => {
                        self.log_dispatched(&waiting, now);
                        let (accepted, cached) = (&waiting.accepted, &waiting.cached);
                        RoomGrant::Run(self.begin_first_run(accepted, entry, cached))
                    }
                    Selection::NoUpstream => RoomGrant::NoUpstream,
                };
                grant(waiting, granted);
            }
        }
        queues.is_dispatching = queues.queues.iter().any(|(_, queue)| !queue.is_empty());
        let calls_wait = queues.is_dispatching;
        drop(queues);
        for waiting in expired {
            let waited = now.since(waiting.since);
            let refusal = OverloadRefusal {
                cause: OverloadCause::Expired,
                // The caller has waited as long as it could, so any VM with room serves it now or never.
                retry_after: Duration::from_millis(100),
                ahead: 0,
                rate: None,
                time_left: Duration::ZERO,
            };
            let refused = self.refuse_overload(&waiting.accepted, &refusal, waited);
            grant(waiting, refused);
        }
        calls_wait
    }

    /// Upstream with room for a waiting call. Its wait ends as well if the service has no upstream any more. Limits and
    /// back-offs that exclude all of them for a moment do not end it.
    fn select_for_waiting(&self, waiting: &WaitingStream) -> Option<Selection> {
        let WaitingStream {
            accepted, cached, ..
        } = waiting;
        if !self.is_scheduled(&accepted.service) {
            let entry = self.select(accepted, &[], cached);
            return entry.map(Selection::Upstream);
        }
        match self.select_with_room(accepted, &[], cached) {
            RoomSelection::Upstream(entry) => Some(Selection::Upstream(entry)),
            RoomSelection::NoUpstream if self.zones_with(&accepted.service) == 0 => {
                Some(Selection::NoUpstream)
            }
            RoomSelection::NoRoom | RoomSelection::NoUpstream => None,
        }
    }

    fn begin_first_run(
        self: &Arc<Self>,
        accepted: &AcceptedCall,
        entry: Arc<UpstreamEntry>,
        cached: &[(UpstreamIncarnation, u32)],
    ) -> RunGuard {
        let prompt = accepted.call.prompt.as_ref().map_or(0, |p| p.tokens);
        let tokens = prompt.saturating_sub(cached_tokens(cached, &entry.id));
        let path = self.path_to(&entry, &UnopenedConnections::default());
        RunGuard::begin(self, entry, accepted.call.size(), tokens, path)
    }

    fn stream_arrival(&self, accepted: &AcceptedCall) -> StreamArrival {
        let (route, call) = (&accepted.route, &accepted.call);
        let size = call.size();
        let duration = self.state.lock().stream_durations.min_remaining(0);
        let team = accepted.team.clone();
        StreamArrival {
            priority: accepted.priority,
            team: QueueTeam {
                id: team.unwrap_or_else(|| NO_TEAM.parse().expect("a valid name")),
                weight: 1,
            },
            target: accepted.first_attempt().after(route.target_latency),
            deadline: accepted.deadline,
            prefill: prefill_time(size.prompt),
            duration: duration.unwrap_or_default(),
            tokens: size.tokens(),
            bytes: call.body.len(),
        }
    }

    fn refuse_overload(
        &self,
        accepted: &AcceptedCall,
        refusal: &OverloadRefusal,
        waited: Duration,
    ) -> RoomGrant {
        let cause: &str = refusal.cause.into();
        count_queue_refusal(accepted, cause);
        if self.log.admits(LineKind::Limited, self.timer.now()) {
            tracing::info!(request = %accepted.call.id, priority = accepted.priority,
                reason = "overloaded", cause, ahead = refusal.ahead,
                starts_per_second = refusal.rate, expected_ms = millis(refusal.retry_after),
                allowed_ms = millis(refusal.time_left), waited_ms = millis(waited),
                "call refused: no room in time");
        }
        RoomGrant::Refused {
            reason: RefusalReason::Overloaded,
            retry_after: refusal.retry_after,
        }
    }

    fn log_queued(&self, accepted: &AcceptedCall, admission: &Admission, now: Instant) {
        if self.log.admits(LineKind::Queued, now) {
            tracing::info!(request = %accepted.call.id, priority = accepted.priority, ahead = admission.ahead,
                expected_ms = admission.expected.map(millis), "call queued");
        }
    }

    fn log_dispatched(&self, waiting: &WaitingStream, now: Instant) {
        let waited = now.since(waiting.since);
        metrics::histogram!("catkin_queue_wait_seconds").record(waited.as_secs_f64());
        if self.log.admits(LineKind::Queued, now) {
            tracing::info!(request = %waiting.accepted.call.id, waited_ms = millis(waited),
                "call dispatched");
        }
    }
}

/// Lets the next queued call start the task again if it ends by a panic.
struct DispatchGuard<'a>(&'a Gateway);

impl Drop for DispatchGuard<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.0.call_queues.lock().is_dispatching = false;
        }
    }
}

/// Starts waiting calls as upstreams get room, until none waits.
async fn dispatch_calls(gateway: Arc<Gateway>) {
    let _running = DispatchGuard(&gateway);
    loop {
        // After the timeout the calls are tried as well.
        let _ = tokio::time::timeout(MAX_DISPATCH_INTERVAL, gateway.room_changed.notified()).await;
        if !gateway.dispatch_waiting() {
            return;
        }
        tokio::time::sleep(MIN_DISPATCH_INTERVAL).await;
    }
}

fn count_queue_refusal(accepted: &AcceptedCall, reason: &'static str) {
    metrics::counter!("catkin_queue_refused_total",
        "service" => accepted.service.to_string(),
        "priority" => accepted.priority.to_string(), "reason" => reason)
    .increment(1);
}

fn grant(waiting: WaitingStream, granted: RoomGrant) {
    // The caller may have left; a run that was begun for it then ends here.
    drop(waiting.grant.send(granted));
}

fn shutting_down() -> RoomGrant {
    RoomGrant::Refused {
        reason: RefusalReason::ShuttingDown,
        retry_after: SHUTDOWN_RETRY_DELAY,
    }
}
