//! Admission control: which requests are queued, dispatched or refused on arrival.
//!
//! Under sustained overload, a queue without refusals grows until every response is late, and the
//! upstreams do only wasted work. A request is therefore refused on arrival if its estimated wait
//! does not let it start by its latest start, which is its deadline less the mean service time. The
//! wait is estimated from how fast the team's backlog drains, or else by Little's law over the slots
//! of the lane. A refused request has not run. `Retry-After` is the wait beyond what the deadline
//! allows, after which a request with the same deadline would be admitted. An admitted request that
//! still cannot start is refused at its latest start rather than at its deadline.
//!
//! The estimated wait may take 60 percent of the time until the latest start. Service times and
//! shares vary: with 75 percent the requests of a hot team expired in the queue, and 1 in 100
//! refusals came after 1.97 s. With 60 percent the p99 of refusals is 0 ms in every row of
//! `docs/LOAD.md` and as many requests are served. The length limit keeps the queue within some
//! megabytes and is reached only with deadlines of many minutes.

use super::*;

/// Number of teams whose first request is considered in one pass over the queue. A request that no
/// upstream can take while others can be dispatched is rare: its model is not loaded yet, or its
/// digest is suspected of crashing upstreams.
const MAX_TEAMS_TRIED: usize = 4;

/// Settings of an [`AdmissionQueue`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// Maximum number of queued requests in a lane.
    pub max_queue_len: usize,
    /// Largest estimated wait of an admitted request, in percent of the time until its latest start.
    pub max_wait_percent: u32,
    /// Settings of the concurrency limit of each upstream.
    pub limit: ConcurrencyLimitConfig,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            max_queue_len: 10_000,
            max_wait_percent: 60,
            limit: ConcurrencyLimitConfig::default(),
        }
    }
}

/// The properties of a request that decide on its admission.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The calling team and its weight.
    pub team: QueueTeam,
    /// Lane in which the request is queued.
    pub lane: Lane,
    /// Work relative to other requests of the lane: 1 for a call, more for a longer generation.
    pub cost: u32,
    /// Time at which the caller stops waiting for a response.
    pub deadline: Instant,
}

/// Position of an admitted request, used to withdraw it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueuePosition {
    lane: Lane,
    ticket: Ticket,
}

/// The queued requests of one service and the slots of its upstreams.
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    cfg: AdmissionConfig,
    lanes: [LaneQueue<T>; Lane::COUNT],
    /// Sorted by upstream.
    upstreams: Vec<(UpstreamId, UpstreamSlots)>,
}

impl<T> AdmissionQueue<T> {
    /// Creates an empty queue without upstreams.
    #[must_use]
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            cfg,
            lanes: [LaneQueue::default(), LaneQueue::default()],
            upstreams: Vec::new(),
        }
    }

    /// Replaces the set of upstreams and keeps the state of those that stay.
    pub fn set_upstreams(&mut self, ids: impl IntoIterator<Item = UpstreamId>) {
        let mut ids = ids.into_iter().collect::<Vec<_>>();
        ids.sort();
        ids.dedup();
        let cfg = self.cfg.limit;
        let mut known = std::mem::take(&mut self.upstreams);
        self.upstreams = ids
            .into_iter()
            .map(
                |id| match known.binary_search_by(|(other, _)| other.cmp(&id)) {
                    Ok(i) => (id, std::mem::take(&mut known[i].1)),
                    Err(_) => (id, UpstreamSlots::new(cfg)),
                },
            )
            .collect();
    }

    /// Applies a load report of an upstream; `share` is this VM's share of the reported capacity.
    pub fn record_report(
        &mut self,
        upstream: &UpstreamId,
        report: CapacityReport,
        share: CapacityShare,
    ) {
        if let Ok(i) = self.find(upstream) {
            self.upstreams[i].1.record_report(report, share);
        }
    }

    /// Queues a request if it is expected to start in time.
    ///
    /// # Errors
    ///
    /// Returns the request as not run if it cannot start in time or the queue is full.
    pub fn offer(
        &mut self,
        now: Instant,
        arrival: &Arrival,
        request: Queued<T>,
    ) -> Result<QueuePosition, NotRun<T>> {
        let lane = arrival.lane;
        for (_, slots) in &mut self.upstreams {
            slots.record_arrival(now, lane);
        }
        let latest = match self.check_admission(now, arrival) {
            Ok(latest) => latest,
            Err((reason, retry_after)) => return Err(request.refuse(reason, retry_after)),
        };
        let queue = &mut self.lanes[lane.index()];
        let ticket = queue.push(arrival, latest, request);
        if lane == Lane::Quick && queue.queue.is_below_share(ticket) {
            for (_, slots) in &mut self.upstreams {
                slots.record_below_share(now);
            }
        }
        Ok(QueuePosition { lane, ticket })
    }

    /// Returns the latest start of a request that would be admitted now.
    ///
    /// # Errors
    ///
    /// Returns the reason for a refusal and the time after which the caller may retry.
    pub fn check_admission(
        &self,
        now: Instant,
        arrival: &Arrival,
    ) -> Result<Instant, (RefusalReason, Duration)> {
        let wait = self.estimated_wait(now, arrival);
        let latest = self.latest_start(arrival);
        let allowed = latest.since(now) * self.cfg.max_wait_percent / 100;
        if self.queue_len(arrival.lane) >= self.cfg.max_queue_len {
            return Err((RefusalReason::QueueFull, wait));
        }
        if latest <= now || wait > allowed {
            let retry_after = wait.saturating_sub(allowed);
            return Err((RefusalReason::DeadlineTooNear, retry_after));
        }
        Ok(latest)
    }

    /// Number of queued requests in a lane.
    #[must_use]
    pub fn queue_len(&self, lane: Lane) -> usize {
        self.lanes[lane.index()].queue.len()
    }

    /// Sorted list of the upstreams without a free slot for this lane.
    #[must_use]
    pub fn full_upstreams(&self, now: Instant, lane: Lane) -> Vec<UpstreamId> {
        self.upstreams
            .iter()
            .filter(|(_, slots)| !slots.has_free_slot(now, lane))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns whether an upstream has a free slot for this lane.
    #[must_use]
    pub fn has_free_slot(&self, now: Instant, lane: Lane, upstream: &UpstreamId) -> bool {
        self.find(upstream)
            .is_ok_and(|i| self.upstreams[i].1.has_free_slot(now, lane))
    }

    /// Dequeues the next request of a lane and takes a slot of `upstream` for it.
    pub fn dispatch(
        &mut self,
        now: Instant,
        lane: Lane,
        upstream: &UpstreamId,
    ) -> Option<Dispatched<T>> {
        let request = self.lanes[lane.index()].queue.pop(now)?;
        self.acquire_slot(now, lane, upstream);
        Some(request.dispatch())
    }

    /// Dequeues the next request of a lane for which `choose` finds an upstream, and takes a slot
    /// there. `choose` receives the request and the list of full upstreams.
    pub fn dispatch_where<C>(
        &mut self,
        now: Instant,
        lane: Lane,
        choose: impl Fn(&T, &[UpstreamId]) -> Option<(UpstreamId, C)>,
    ) -> Option<(Dispatched<T>, C)> {
        let full = self.full_upstreams(now, lane);
        let options = PopOptions {
            teams: MAX_TEAMS_TRIED,
            below_share_only: false,
        };
        if let Some(dispatched) = self.dispatch_next(now, lane, &full, options, &choose) {
            return Some(dispatched);
        }
        if lane != Lane::Quick {
            return None;
        }
        let without_extra_slots = self.without_extra_slots();
        let options = PopOptions {
            below_share_only: true,
            ..options
        };
        self.dispatch_next(now, lane, &without_extra_slots, options, &choose)
    }

    fn dispatch_next<C>(
        &mut self,
        now: Instant,
        lane: Lane,
        full: &[UpstreamId],
        options: PopOptions,
        choose: impl Fn(&T, &[UpstreamId]) -> Option<(UpstreamId, C)>,
    ) -> Option<(Dispatched<T>, C)> {
        if full.len() == self.upstreams.len() {
            return None;
        }
        let queue = &mut self.lanes[lane.index()].queue;
        let (request, (upstream, choice)) =
            queue.pop_where(now, options, |request| choose(request.request(), full))?;
        self.acquire_slot(now, lane, &upstream);
        Some((request.dispatch(), choice))
    }

    /// Upstreams whose extra slots, reserved for teams below their fair share, are in use as well.
    fn without_extra_slots(&self) -> Vec<UpstreamId> {
        self.upstreams
            .iter()
            .filter(|(_, slots)| !slots.has_extra_slot())
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Takes a slot of an upstream regardless of its limit. A generation that resumes after a lost
    /// upstream uses this, because it was accepted earlier and must not be refused now.
    pub fn acquire_slot(&mut self, now: Instant, lane: Lane, upstream: &UpstreamId) {
        let cfg = self.cfg.limit;
        let i = self.find(upstream).unwrap_or_else(|i| {
            let slots = UpstreamSlots::new(cfg);
            self.upstreams.insert(i, (upstream.clone(), slots));
            i
        });
        self.upstreams[i].1.acquire(now, lane);
    }

    /// Releases a slot; `held` is how long the request occupied it, `None` if it got no response.
    pub fn release_slot(&mut self, lane: Lane, upstream: &UpstreamId, held: Option<Duration>) {
        if let Ok(i) = self.find(upstream) {
            self.upstreams[i].1.release(lane);
        }
        if let Some(held) = held {
            self.lanes[lane.index()].service_time.record_sample(held);
        }
    }

    /// Records the latency until the first part of a response.
    pub fn record_latency(&mut self, upstream: &UpstreamId, latency: Duration) {
        if let Ok(i) = self.find(upstream) {
            self.upstreams[i].1.record_latency(latency);
        }
    }

    /// Records that an upstream refused a request because it is full, or did not respond in time.
    pub fn record_overload(&mut self, upstream: &UpstreamId) {
        if let Ok(i) = self.find(upstream) {
            self.upstreams[i].1.record_overload();
        }
    }

    /// Removes a queued request whose caller has disconnected.
    pub fn withdraw(&mut self, position: QueuePosition) -> Option<NotRun<T>> {
        let queue = &mut self.lanes[position.lane.index()].queue;
        let request = queue.remove(position.ticket)?;
        Some(request.refuse(RefusalReason::CallerLeft, Duration::ZERO))
    }

    /// Removes the requests that can no longer be served in time.
    pub fn expire(&mut self, now: Instant) -> Vec<NotRun<T>> {
        let reason = if self.upstreams.is_empty() {
            RefusalReason::NoUpstream
        } else {
            RefusalReason::DeadlineTooNear
        };
        let mut expired = Vec::new();
        for lane in &mut self.lanes {
            let retry_after = lane.service_time.mean().unwrap_or_default();
            while let Some(request) = lane.take_expired(now) {
                expired.push(request.refuse(reason, retry_after));
            }
        }
        expired
    }

    /// Earliest time at which a queued request of any lane may expire.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        self.lanes.iter().filter_map(LaneQueue::next_expiry).min()
    }

    /// Drops the state of all teams of empty lanes. Otherwise the teams of every bundle that was
    /// ever in force would stay in memory.
    pub fn evict_idle_teams(&mut self) {
        for lane in &mut self.lanes {
            lane.queue.evict_teams_if_empty();
        }
    }

    /// The slots of each upstream, for metrics.
    pub fn slots(&self) -> impl Iterator<Item = (&UpstreamId, &UpstreamSlots)> {
        self.upstreams.iter().map(|(id, slots)| (id, slots))
    }

    fn estimated_wait(&self, now: Instant, arrival: &Arrival) -> Duration {
        let lane = &self.lanes[arrival.lane.index()];
        let shares = self.upstreams.iter();
        let slots = shares
            .map(|(_, slots)| slots.lane_limit(now, arrival.lane))
            .sum();
        if lane.queue.is_empty() && self.any_free_slot(now, arrival.lane) {
            return Duration::ZERO;
        }
        let observed = lane.queue.observed_wait(&arrival.team.id);
        observed.unwrap_or_else(|| {
            let requests_ahead = lane.queue.requests_ahead(&arrival.team);
            lane.service_time.wait(requests_ahead + 1, slots)
        })
    }

    fn latest_start(&self, arrival: &Arrival) -> Instant {
        let service_time = self.lanes[arrival.lane.index()].service_time.mean();
        Instant(
            arrival
                .deadline
                .0
                .saturating_sub(service_time.unwrap_or_default()),
        )
    }

    fn any_free_slot(&self, now: Instant, lane: Lane) -> bool {
        self.upstreams
            .iter()
            .any(|(_, slots)| slots.has_free_slot(now, lane))
    }

    fn find(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.upstreams.binary_search_by(|(other, _)| other.cmp(id))
    }
}
