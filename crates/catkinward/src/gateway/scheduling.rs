//! Which services are scheduled, and the selection of upstreams for their streams: a call waits in the VM until an
//! upstream has room.

use super::{accepted_call::AcceptedCall, *};

/// How long the answer to whether a service is scheduled is used. It depends on the reports of all upstreams.
const SCHEDULING_PERIOD: Duration = Duration::from_secs(1);

/// Outcome of the selection of an upstream for a call of a scheduled service.
#[derive(Clone, Debug)]
pub(crate) enum RoomSelection {
    /// This upstream has room.
    Upstream(Arc<UpstreamEntry>),
    /// Upstreams may be selected, but none has room.
    NoRoom,
    /// No upstream may be selected.
    NoUpstream,
}

/// Whether a service is scheduled, with what its calls are placed by.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Scheduling {
    pub(crate) is_scheduled: bool,
    /// Highest priority of the routes to the service, if they differ in it.
    pub(crate) most_urgent: Option<u8>,
    /// Configured memory of each upstream, in tokens.
    pub(crate) capacity: Option<u32>,
}

impl Scheduling {
    /// Whether the service is scheduled and its routes have different priorities.
    pub(crate) fn is_ranked(&self) -> bool {
        self.is_scheduled && self.most_urgent.is_some()
    }
}

/// Answers to whether services are scheduled, sorted by service.
#[derive(Debug, Default)]
pub(crate) struct Schedulings(Vec<(ServiceId, Scheduling, Instant)>);

impl Schedulings {
    /// Discards the answers, since another configuration is in force.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    fn get(&self, service: &ServiceId, now: Instant) -> Option<Scheduling> {
        let index = self.0.binary_search_by(|(s, ..)| s.cmp(service)).ok()?;
        let (_, scheduling, at) = &self.0[index];
        (now.since(*at) < SCHEDULING_PERIOD).then_some(*scheduling)
    }

    fn put(&mut self, service: &ServiceId, scheduling: Scheduling, now: Instant) {
        match self.0.binary_search_by(|(s, ..)| s.cmp(service)) {
            Ok(index) => self.0[index] = (service.clone(), scheduling, now),
            Err(index) => self.0.insert(index, (service.clone(), scheduling, now)),
        }
    }
}

impl GatewayState {
    /// Whether a service is scheduled: its upstreams are engines with a known memory, and either the configuration
    /// ranks its callers or an upstream has stated its current speed.
    pub(crate) fn scheduling(&mut self, service: &ServiceId, now: Instant) -> Scheduling {
        if let Some(scheduling) = self.schedulings.get(service, now) {
            return scheduling;
        }
        let scheduling = self.find_scheduling(service, now);
        self.schedulings.put(service, scheduling, now);
        scheduling
    }

    /// The services that are scheduled.
    pub(crate) fn scheduled_services(&mut self, now: Instant) -> Vec<ServiceId> {
        let Some(config) = self.config.get().cloned() else {
            return Vec::new();
        };
        let names = config.services.iter().map(|service| &service.name);
        let scheduled = names.filter(|name| self.scheduling(name, now).is_scheduled);
        scheduled.cloned().collect()
    }

    fn find_scheduling(&mut self, service: &ServiceId, now: Instant) -> Scheduling {
        let Some(config) = self.config.get().cloned() else {
            return Scheduling::default();
        };
        let spec = config.service(service).filter(|spec| spec.engine);
        let Some(capacity) = spec.and_then(|spec| spec.kv_capacity) else {
            return Scheduling::default();
        };
        let is_ranked = config.is_ranked(service);
        let is_scheduled = is_ranked
            || self.upstreams_mut().any(|upstream| {
                upstream.entry.service == *service
                    && upstream.room.states_speed(SPEED_STATEMENT_PERIOD, now)
            });
        let routes = config.routes.iter();
        let priorities = routes
            .filter(|route| route.targets.iter().any(|t| t.service == *service))
            .map(|route| route.priority);
        Scheduling {
            is_scheduled,
            most_urgent: is_ranked.then(|| priorities.min()).flatten(),
            capacity: Some(capacity),
        }
    }
}

impl Gateway {
    /// Whether calls of a service wait for room.
    pub(crate) fn is_scheduled(&self, service: &ServiceId) -> bool {
        let now = self.timer.now();
        let is_scheduled = self.state.lock().scheduling(service, now).is_scheduled;
        if is_scheduled {
            self.has_scheduled.store(true, Ordering::Relaxed);
        }
        is_scheduled
    }

    /// Notifies the queued calls that an upstream may have got room.
    pub(crate) fn room_may_have_changed(&self) {
        if self.has_scheduled.load(Ordering::Relaxed) {
            self.room_changed.notify_one();
        }
    }

    /// Selects an upstream with room for a call of a scheduled service.
    pub(crate) fn select_with_room(
        &self,
        accepted: &AcceptedCall,
        avoid: &[UpstreamIncarnation],
        cached: &[(UpstreamIncarnation, u32)],
    ) -> RoomSelection {
        self.select_by_time(accepted, avoid, cached, |candidates, context| {
            select_with_room(candidates, context).cloned()
        })
    }

    /// Selects an upstream for a stream of a scheduled service that cannot wait: the one of the least expected time
    /// if none has room.
    pub(crate) fn select_without_wait(
        &self,
        accepted: &AcceptedCall,
        avoid: &[UpstreamIncarnation],
        cached: &[(UpstreamIncarnation, u32)],
    ) -> Option<Arc<UpstreamEntry>> {
        let selection = self.select_by_time(accepted, avoid, cached, |candidates, context| {
            select_for_time(candidates, context).cloned()
        });
        match selection {
            RoomSelection::Upstream(entry) => Some(entry),
            RoomSelection::NoRoom | RoomSelection::NoUpstream => None,
        }
    }

    /// Selects among the upstreams that neither back off nor have reached a limit, and keeps room for the call there
    /// until it is sent.
    fn select_by_time(
        &self,
        accepted: &AcceptedCall,
        avoid: &[UpstreamIncarnation],
        cached: &[(UpstreamIncarnation, u32)],
        select: impl FnOnce(&[RoomCandidate], &RoomContext) -> Option<Arc<UpstreamEntry>>,
    ) -> RoomSelection {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let mut full = self.upstreams_without_room(&mut state, accepted, now);
        full.extend(self.upstreams_backing_off(&state, accepted, rand::random(), now));
        full.extend_from_slice(avoid);
        let choose = |candidates: &[RoomCandidate], context: &RoomContext| {
            if candidates.is_empty() {
                RoomSelection::NoUpstream
            } else {
                select(candidates, context).map_or(RoomSelection::NoRoom, RoomSelection::Upstream)
            }
        };
        let selection = self.with_rooms(&mut state, accepted, &full, cached, choose);
        if let RoomSelection::Upstream(entry) = &selection {
            let upstream = state.upstream(entry, now);
            upstream.limit.record_sent();
            upstream.room.reserve(accepted.call.size(), now);
        }
        selection
    }

    /// Selects the holder of a KV copy for a run of a scheduled service.
    pub(crate) fn select_holder_with_room(
        &self,
        accepted: &AcceptedCall,
        avoid: &[UpstreamIncarnation],
        run: &UpstreamEntry,
    ) -> Option<Arc<UpstreamEntry>> {
        let mut state = self.state.lock();
        self.with_rooms(&mut state, accepted, avoid, &[], |candidates, context| {
            select_copy_holder_with_room(candidates, run, context).cloned()
        })
    }

    fn with_rooms<T>(
        &self,
        state: &mut GatewayState,
        accepted: &AcceptedCall,
        avoid: &[UpstreamIncarnation],
        cached: &[(UpstreamIncarnation, u32)],
        select: impl FnOnce(&[RoomCandidate], &RoomContext) -> T,
    ) -> T {
        let now = self.timer.now();
        let service = &accepted.service;
        let scheduling = state.scheduling(service, now);
        let zone_vms = self.live_zone_vms(state, now);
        let context = RoomContext {
            placement: self.placement_context(accepted.route.kind.is_stream(), &zone_vms, now),
            size: accepted.call.size(),
            most_urgent: scheduling
                .most_urgent
                .is_none_or(|priority| accepted.route.priority <= priority),
            capacity: scheduling.capacity,
        };
        state.select_with_room(service, avoid, cached, &context, |candidates| {
            select(candidates, &context)
        })
    }

    /// Sets the gauges of the free memory of scheduled services' upstreams.
    pub(crate) fn set_room_gauges(&self, now: Instant) {
        let mut state = self.state.lock();
        let services = state.config.get().map(|config| config.services.clone());
        let mut rooms = Vec::new();
        for service in services.unwrap_or_default() {
            let scheduling = state.scheduling(&service.name, now);
            if !scheduling.is_scheduled {
                continue;
            }
            let zone_vms = self.live_zone_vms(&state, now);
            let context = RoomContext {
                placement: self.placement_context(true, &zone_vms, now),
                size: CallSize::default(),
                most_urgent: true,
                capacity: scheduling.capacity,
            };
            let free = state.select_with_room(&service.name, &[], &[], &context, |candidates| {
                let estimates = candidates.iter().map(|c| c.estimate(&context));
                estimates.map(|e| e.free_tokens).collect::<Vec<_>>()
            });
            rooms.push((service.name, free));
        }
        drop(state);
        self.has_scheduled
            .store(!rooms.is_empty(), Ordering::Relaxed);
        for (service, free) in rooms {
            let (Some(min), count) = (free.iter().min(), free.len()) else {
                continue;
            };
            #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
            let mean = free.iter().copied().map(f64::from).sum::<f64>() / count as f64;
            for (stat, tokens) in [("min", f64::from(*min)), ("mean", mean)] {
                metrics::gauge!("catkin_upstream_free_tokens",
                    "service" => service.to_string(), "stat" => stat)
                .set(tokens);
            }
        }
    }
}
