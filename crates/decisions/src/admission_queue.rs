//! Admission: who waits, who is sent where there is room, and who is refused at once.
//!
//! Load pattern: more comes in than can be served. Without refusals every queue grows until all its
//! requests are answered after their callers have given up, and the upstreams work for nobody. A
//! request is refused on arrival if it cannot start before its deadline less the time it takes to
//! serve, judged by how fast its team's backlog goes down, or else by Little's law over the places
//! of its lane. It has then truly not run. `Retry-After` is the wait beyond what its deadline
//! allows: after that a request with the same deadline would be admitted. What was admitted and
//! still cannot start gets its final answer at its latest start, not at its deadline.
//!
//! Grounds for the figures: of the time until the latest start the estimate may take six tenths.
//! Service times and shares vary, and with three quarters the requests of a hot team expired in the
//! queue, so that 1 in 100 refusals came after 1.97 s; with six tenths p99 is 0 ms in every row of
//! `docs/LOAD.md`, and as much is served. The length bound keeps the queue within some megabytes
//! and is reached only by deadlines of many minutes.

use super::*;

/// Teams whose first request is tried before a pass over the queue is given up. Requests that can be
/// sent nowhere while others can are rare: a model that is not loaded yet, or a suspected digest.
const TEAMS_TRIED: usize = 4;

/// Settings of an [`AdmissionQueue`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// Most requests queued in a lane.
    pub longest_queue: usize,
    /// Percent of the time until its latest start that a request's estimated wait may take.
    pub margin_percent: u32,
    /// Settings of each upstream's limit.
    pub limit: ConcurrencyLimitConfig,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            longest_queue: 10_000,
            margin_percent: 60,
            limit: ConcurrencyLimitConfig::default(),
        }
    }
}

/// What admission needs to know of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Who asks.
    pub team: QueueTeam,
    /// What it waits beside.
    pub lane: Lane,
    /// Its share of work within its lane: 1 for a call, more for a longer generation.
    pub cost: u32,
    /// When its caller gives up.
    pub deadline: Instant,
}

/// Where an admitted request waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueuePosition {
    lane: Lane,
    ticket: Ticket,
}

/// Requests of one service that wait, and the places of its upstreams.
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    cfg: AdmissionConfig,
    lanes: [LaneQueue<T>; Lane::COUNT],
    /// Sorted by upstream.
    upstreams: Vec<(UpstreamId, UpstreamSlots)>,
}

impl<T> AdmissionQueue<T> {
    /// An empty queue without upstreams.
    #[must_use]
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            cfg,
            lanes: [LaneQueue::default(), LaneQueue::default()],
            upstreams: Vec::new(),
        }
    }

    /// Names the upstreams that there are; what is known of those that stay is kept.
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

    /// Takes an upstream's load report, of whose capacity this node has a share.
    pub fn reported(
        &mut self,
        upstream: &UpstreamId,
        report: CapacityReport,
        share: CapacityShare,
    ) {
        if let Ok(i) = self.find(upstream) {
            self.upstreams[i].1.reported(report, share);
        }
    }

    /// Admits a request to the queue.
    ///
    /// # Errors
    ///
    /// If it cannot start in time, or the queue is full: it is given back as not run.
    pub fn offer(
        &mut self,
        now: Instant,
        arrival: &Arrival,
        request: Queued<T>,
    ) -> Result<QueuePosition, NotRun<T>> {
        let lane = arrival.lane;
        for (_, places) in &mut self.upstreams {
            places.note_arrival(now, lane);
        }
        let latest = match self.check(now, arrival) {
            Ok(latest) => latest,
            Err((reason, retry_after)) => return Err(request.refuse(reason, retry_after)),
        };
        let queue = &mut self.lanes[lane.index()];
        let ticket = queue.push(arrival, latest, request);
        if lane == Lane::Quick && queue.queue.is_light(ticket) {
            for (_, places) in &mut self.upstreams {
                places.note_light(now);
            }
        }
        Ok(QueuePosition { lane, ticket })
    }

    /// Latest start of a request that would be admitted now.
    ///
    /// # Errors
    ///
    /// If it would be refused: why, and when it may come back.
    pub fn check(
        &self,
        now: Instant,
        arrival: &Arrival,
    ) -> Result<Instant, (RefusalReason, Duration)> {
        let wait = self.estimated_wait(now, arrival);
        let latest = self.latest_start(arrival);
        let allowed = latest.since(now) * self.cfg.margin_percent / 100;
        if self.waiting(arrival.lane) >= self.cfg.longest_queue {
            return Err((RefusalReason::QueueFull, wait));
        }
        if latest <= now || wait > allowed {
            let retry_after = wait.saturating_sub(allowed);
            return Err((RefusalReason::DeadlineTooNear, retry_after));
        }
        Ok(latest)
    }

    /// Requests that wait in a lane.
    #[must_use]
    pub fn waiting(&self, lane: Lane) -> usize {
        self.lanes[lane.index()].queue.len()
    }

    /// Upstreams that may not be sent a request of this lane now, sorted.
    #[must_use]
    pub fn full(&self, now: Instant, lane: Lane) -> Vec<UpstreamId> {
        self.upstreams
            .iter()
            .filter(|(_, places)| !places.has_room(now, lane))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Whether an upstream may be sent a request of this lane now.
    #[must_use]
    pub fn has_room(&self, now: Instant, lane: Lane, upstream: &UpstreamId) -> bool {
        self.find(upstream)
            .is_ok_and(|i| self.upstreams[i].1.has_room(now, lane))
    }

    /// Takes the next request of a lane out of the queue and gives it a place at `upstream`.
    pub fn dispatch(
        &mut self,
        now: Instant,
        lane: Lane,
        upstream: &UpstreamId,
    ) -> Option<Dispatched<T>> {
        let request = self.lanes[lane.index()].queue.pop(now)?;
        self.enter(now, lane, upstream);
        Some(request.dispatch())
    }

    /// Takes the next request of a lane that `choose` finds an upstream for out of the queue, and
    /// gives it a place there. `choose` gets the upstreams that are full.
    pub fn dispatch_where<P>(
        &mut self,
        now: Instant,
        lane: Lane,
        choose: impl Fn(&T, &[UpstreamId]) -> Option<(UpstreamId, P)>,
    ) -> Option<(Dispatched<T>, P)> {
        let full = self.full(now, lane);
        let tries = PopOptions {
            teams: TEAMS_TRIED,
            light_only: false,
        };
        if let Some(placed) = self.place_next(now, lane, &full, tries, &choose) {
            return Some(placed);
        }
        if lane != Lane::Quick {
            return None;
        }
        let quite_full = self.quite_full();
        let tries = PopOptions {
            light_only: true,
            ..tries
        };
        self.place_next(now, lane, &quite_full, tries, &choose)
    }

    fn place_next<P>(
        &mut self,
        now: Instant,
        lane: Lane,
        full: &[UpstreamId],
        tries: PopOptions,
        choose: impl Fn(&T, &[UpstreamId]) -> Option<(UpstreamId, P)>,
    ) -> Option<(Dispatched<T>, P)> {
        if full.len() == self.upstreams.len() {
            return None;
        }
        let queue = &mut self.lanes[lane.index()].queue;
        let (request, (upstream, place)) =
            queue.pop_where(now, tries, |request| choose(request.request(), full))?;
        self.enter(now, lane, &upstream);
        Some((request.dispatch(), place))
    }

    /// Upstreams without the extra room that teams below their share have.
    fn quite_full(&self) -> Vec<UpstreamId> {
        self.upstreams
            .iter()
            .filter(|(_, places)| !places.has_extra_room())
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Takes a place at an upstream without waiting, as for a generation that goes on after a loss:
    /// it was accepted long ago and is not refused now.
    pub fn enter(&mut self, now: Instant, lane: Lane, upstream: &UpstreamId) {
        let cfg = self.cfg.limit;
        let i = self.find(upstream).unwrap_or_else(|i| {
            let places = UpstreamSlots::new(cfg);
            self.upstreams.insert(i, (upstream.clone(), places));
            i
        });
        self.upstreams[i].1.enter(now, lane);
    }

    /// Gives a place back that a request had held for `held`, if it was answered.
    pub fn leave(&mut self, lane: Lane, upstream: &UpstreamId, held: Option<Duration>) {
        if let Ok(i) = self.find(upstream) {
            self.upstreams[i].1.leave(lane);
        }
        if let Some(held) = held {
            self.lanes[lane.index()].service_time.observe(held);
        }
    }

    /// Takes the latency until the first part of an answer.
    pub fn answered(&mut self, upstream: &UpstreamId, latency: Duration) {
        if let Ok(i) = self.find(upstream) {
            self.upstreams[i].1.answered(latency);
        }
    }

    /// Notes that an upstream refused for want of room, or did not answer in time.
    pub fn overloaded(&mut self, upstream: &UpstreamId) {
        if let Ok(i) = self.find(upstream) {
            self.upstreams[i].1.overloaded();
        }
    }

    /// Takes a request whose caller has left out of the queue.
    pub fn withdraw(&mut self, place: QueuePosition) -> Option<NotRun<T>> {
        let queue = &mut self.lanes[place.lane.index()].queue;
        let request = queue.remove(place.ticket)?;
        Some(request.refuse(RefusalReason::CallerLeft, Duration::ZERO))
    }

    /// Takes out of the queue what cannot be answered in time any more.
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

    /// When the next request of any lane has to be taken out, at the earliest.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        self.lanes.iter().filter_map(LaneQueue::next_expiry).min()
    }

    /// Forgets the teams of lanes in which nothing waits. Without it the teams of all bundles that
    /// there ever were would stay.
    pub fn forget_idle_teams(&mut self) {
        for lane in &mut self.lanes {
            lane.queue.forget_idle();
        }
    }

    /// Limit and requests in flight of each upstream, for metrics.
    pub fn places(&self) -> impl Iterator<Item = (&UpstreamId, &UpstreamSlots)> {
        self.upstreams.iter().map(|(id, places)| (id, places))
    }

    fn estimated_wait(&self, now: Instant, arrival: &Arrival) -> Duration {
        let lane = &self.lanes[arrival.lane.index()];
        let shares = self.upstreams.iter();
        let places = shares
            .map(|(_, places)| places.share(now, arrival.lane))
            .sum();
        if lane.queue.is_empty() && self.any_room(now, arrival.lane) {
            return Duration::ZERO;
        }
        let observed = lane.queue.observed_wait(&arrival.team.id);
        observed.unwrap_or_else(|| {
            let ahead = lane.queue.ahead(&arrival.team);
            lane.service_time.wait(ahead + 1, places)
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

    fn any_room(&self, now: Instant, lane: Lane) -> bool {
        self.upstreams
            .iter()
            .any(|(_, places)| places.has_room(now, lane))
    }

    fn find(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.upstreams.binary_search_by(|(other, _)| other.cmp(id))
    }
}
