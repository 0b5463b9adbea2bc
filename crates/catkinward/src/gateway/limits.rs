//! Limits that upstreams state in their responses, this VM's part of each, and upstreams that bear few rejections.

use super::{accepted_call::AcceptedCall, reply_log::millis, *};

/// What this VM knows of those that share the limits of a service.
struct LimitSharers {
    own: VmDemand,
    /// The other VMs, if all of them advertise their demand to this one.
    others: Option<Vec<VmDemand>>,
    zone_vms: Vec<Arc<str>>,
    zones: u32,
    is_known: bool,
}

impl LimitSharers {
    fn part(&self, upstream: &UpstreamIncarnation, limit: RequestRate) -> LimitPart {
        let view = match &self.others {
            _ if !self.is_known => FleetView::Unknown,
            Some(others) => FleetView::Complete {
                own: self.own.clone(),
                others,
            },
            None => FleetView::Zone {
                own: &self.own.vm,
                zone_vms: &self.zone_vms,
                zones: self.zones,
            },
        };
        limit_part(upstream.as_str(), limit, &view)
    }
}

/// Time after the start in which this VM does not know how many others share a limit. The live VMs are known
/// after some six heartbeats.
const PEER_DISCOVERY_TIME: Duration = Duration::from_secs(3);

impl Gateway {
    /// Records whether the response of an upstream names a limit.
    pub(crate) fn limit_stated(
        &self,
        entry: &Arc<UpstreamEntry>,
        limit: Option<Result<RequestRate, RequestRateError>>,
    ) {
        let limit = match limit.transpose() {
            Ok(limit) => limit,
            Err(error) => {
                tracing::warn!(upstream = %entry.id, %error, "limit of an upstream cannot be read");
                return;
            }
        };
        let at = self.timer.now();
        self.apply_limit(entry, LimitStatement { limit, at }, "response");
    }

    /// Records whether the response of an upstream says that it is brittle, and whether it rejected the request.
    pub(crate) fn brittleness_stated(
        &self,
        entry: &Arc<UpstreamEntry>,
        bearable: Option<u32>,
        rejected: bool,
    ) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let brittleness = &mut state.upstream(entry, now).brittleness;
        if rejected {
            brittleness.record_rejection(now);
        }
        let changed = brittleness.apply(bearable);
        drop(state);
        if changed && self.log.admits(LineKind::Belief, now) {
            tracing::info!(upstream = %entry.id, bearable, "brittleness of an upstream");
        }
    }

    /// Applies what another VM relays of an upstream's limit.
    pub(crate) fn limit_relayed(&self, relayed: &PeerLimit) {
        let now = self.timer.now();
        let state = self.state.lock();
        let entry = state.directory.get_usable(&relayed.upstream, now).cloned();
        drop(state);
        if let Some(entry) = entry {
            let statement = LimitStatement {
                limit: relayed.limit,
                at: now.before(Duration::from_millis(relayed.age_ms.into())),
            };
            self.apply_limit(&entry, statement, "peer");
        }
    }

    fn apply_limit(&self, entry: &Arc<UpstreamEntry>, statement: LimitStatement, source: &str) {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let Some(change) = state.upstream(entry, now).limit.apply(statement) else {
            return;
        };
        let sharers = self.limit_sharers(&mut state, &entry.service, now);
        drop(state);
        if !self.log.admits(LineKind::Belief, now) {
            return;
        }
        let change: &str = change.into();
        let part = statement
            .limit
            .map(|limit| sharers.part(&entry.id, limit))
            .unwrap_or_default();
        let age_ms = millis(now.since(statement.at));
        tracing::info!(upstream = %entry.id, change, source, age_ms,
            limit = statement.limit.map(tracing::field::display),
            part = part.rate, sharers = part.sharers, "limit of an upstream");
    }

    fn limit_sharers(
        &self,
        state: &mut GatewayState,
        service: &ServiceId,
        now: Instant,
    ) -> LimitSharers {
        let zone = &self.settings.zone;
        let alone = self.settings.seeds.is_empty();
        let mut zone_vms = state.peers.live_in(zone, now).collect::<Vec<_>>();
        zone_vms.push(self.settings.vm.clone());
        let demand = state.demand(service);
        let rate = if alone {
            demand.rate(now)
        } else {
            demand.known_to_others(now)
        };
        LimitSharers {
            own: VmDemand {
                vm: self.settings.vm.clone(),
                rate,
            },
            others: state.peers.demands(service, now),
            zone_vms,
            zones: u32::try_from(state.peers.zone_count(zone)).unwrap_or(u32::MAX),
            is_known: alone || now.since(self.started) >= PEER_DISCOVERY_TIME,
        }
    }

    /// Upstreams of the call's service whose limit leaves no room for it.
    pub(crate) fn upstreams_without_room(
        &self,
        state: &mut GatewayState,
        accepted: &AcceptedCall,
        now: Instant,
    ) -> Vec<UpstreamIncarnation> {
        let mut full = state.brittle_without_room(&accepted.service, now);
        full.extend(self.limited_without_room(state, accepted, now));
        if !full.is_empty() {
            metrics::counter!("catkin_limited_choices_total").increment(1);
            if self.log.admits(LineKind::Limited, now) {
                tracing::info!(request = %accepted.call.id, reason = "limit",
                    upstreams = full.len(), "upstreams left out of the choice");
            }
        }
        full
    }

    fn limited_without_room(
        &self,
        state: &mut GatewayState,
        accepted: &AcceptedCall,
        now: Instant,
    ) -> Vec<UpstreamIncarnation> {
        let service = &accepted.service;
        if state.limited_upstreams(service).next().is_none() {
            return Vec::new();
        }
        let sharers = self.limit_sharers(state, service, now);
        let request = LimitedRequest {
            priority: accepted.priority,
            random: rand::random(),
            now,
        };
        let full = state.limited_upstreams(service).filter_map(|upstream| {
            let part = sharers.part(&upstream.id, upstream.limit.limit()?);
            let has_room = upstream.limit.has_room(&part, &request);
            (!has_room).then(|| upstream.id.clone())
        });
        full.collect()
    }

    /// Takes room for a call on an upstream that is selected for other reasons; returns whether there was any.
    pub(crate) fn take_room(&self, accepted: &AcceptedCall, entry: &UpstreamEntry) -> bool {
        let now = self.timer.now();
        let mut state = self.state.lock();
        if self
            .upstreams_without_room(&mut state, accepted, now)
            .contains(&entry.id)
            || state.back_offs.is_in_force(&entry.id, now)
        {
            return false;
        }
        if let Some(upstream) = state.existing_upstream(&entry.id) {
            upstream.limit.record_sent();
        }
        true
    }

    /// Time after which the caller of a refused call returns, if usable upstreams were left out because of their
    /// limits; `None` otherwise.
    pub(crate) fn limit_retry_after(&self, accepted: &AcceptedCall) -> Option<Duration> {
        let now = self.timer.now();
        let service = &accepted.service;
        let mut state = self.state.lock();
        let limited = state.limited_upstreams(service);
        let limited = limited.filter(|upstream| !upstream.health.is_suspect());
        let mut limited = limited
            .filter_map(|upstream| Some((upstream.id.clone(), upstream.limit.limit()?)))
            .collect::<Vec<_>>();
        limited.retain(|(id, _)| state.directory.get_usable(id, now).is_some());
        if limited.is_empty() {
            return None;
        }
        let sharers = self.limit_sharers(&mut state, service, now);
        let parts = limited.iter().map(|(id, limit)| sharers.part(id, *limit));
        let rate = parts.map(|part| part.rate + part.trial_rate).sum();
        let retry_after = state.limit_queue(service).retry_after(rate, now);
        metrics::counter!("catkin_limit_refusals_total").increment(1);
        Some(retry_after)
    }
}
