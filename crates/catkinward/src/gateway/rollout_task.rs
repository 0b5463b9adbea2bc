//! Background task for rollouts. It sends this VM's reports to the owners of rollouts, takes over
//! rollouts without an owner, and decides the rollouts that this VM owns.

use super::{rollouts::OwnedRollout, *};

/// Interval at which running rollouts are processed.
const ROLLOUT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum interval between the reports of a VM.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Interval between the reports of a VM, per live VM. The interval grows with the fleet, which bounds the
/// rate at which an owner receives reports.
const REPORT_INTERVAL_PER_VM: Duration = Duration::from_millis(4);

/// Timeout of a platform store call.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);

/// Interval at which an owner checks in the store that it still is the owner.
const OWNERSHIP_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Delay before the next store access after the store did not answer or another VM wrote the record
/// first.
const STORE_BACKOFF: Duration = Duration::from_millis(300);

/// Delay before another attempt to complete a rollout. Requests are served as before meanwhile.
const COMPLETION_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Number of times the end of a rollout is sent to all VMs, because datagrams may be lost.
const END_ANNOUNCEMENTS: u32 = 3;

/// Runs the rollout task; it does not return.
pub async fn follow_rollouts(gateway: Arc<Gateway>, store: RolloutStore) {
    let mut task = RolloutTask {
        gateway,
        store,
        next_report_at: Instant::default(),
    };
    loop {
        task.gateway.rollouts_changed.notified().await;
        task.run().await;
    }
}

/// Store access that an owned rollout needs now.
enum StoreAction {
    Nothing,
    /// Check that this VM still is the owner.
    Confirm {
        term: u64,
    },
    /// Write the end of the rollout.
    End {
        record: RolloutRecord,
        /// Position of the row as last read.
        position: StorePosition,
    },
}

struct RolloutTask {
    gateway: Arc<Gateway>,
    store: RolloutStore,
    /// Time of the next report to the owners of the running rollouts.
    next_report_at: Instant,
}

impl RolloutTask {
    /// Processes rollouts until none is running.
    async fn run(&mut self) {
        let mut ticks = self.gateway.timer.subscribe(ROLLOUT_POLL_INTERVAL);
        loop {
            self.end_withdrawn().await;
            let running = self.running();
            if running.is_empty() && self.gateway.withdrawn_rollouts.lock().is_empty() {
                return;
            }
            let reported = self.report(&running);
            for rollout in running {
                if self.gateway.owns_rollout(&rollout.order.service) {
                    self.drive(&rollout).await;
                } else if self.should_take_over(&rollout) {
                    self.take_over(&rollout).await;
                }
            }
            let gateway = self.gateway.clone();
            tokio::select! {
                tick = ticks.recv() => if tick.is_none() { return },
                () = gateway.rollouts_changed.notified() => {
                    if !reported {
                        // Failed responses that come shortly after one another go into one report.
                        tokio::time::sleep(ROLLOUT_POLL_INTERVAL / 4).await;
                        self.next_report_at = Instant::default();
                    }
                }
            }
        }
    }

    /// Returns the rollouts whose end is not stored yet, and those that this VM owns.
    fn running(&self) -> Vec<Rollout> {
        let mut state = self.gateway.state.lock();
        let mut rollouts = state
            .rollouts
            .iter_mut()
            .map(|r| r.clone())
            .collect::<Vec<_>>();
        drop(state);
        rollouts
            .retain(|r| !r.progress.is_end_stored() || self.gateway.owns_rollout(&r.order.service));
        rollouts
    }

    /// Sends this VM's counts of requests and responses to the owners of the running rollouts if a
    /// report is due; returns whether one was due.
    fn report(&mut self, running: &[Rollout]) -> bool {
        let now = self.gateway.timer.now();
        if now < self.next_report_at || running.is_empty() {
            return false;
        }
        let vms = self.gateway.state.lock().peers.live_count(now);
        let spaced = REPORT_INTERVAL_PER_VM * u32::try_from(vms).unwrap_or(u32::MAX);
        self.next_report_at = now.after(MIN_REPORT_INTERVAL.max(spaced));
        self.gateway.report_rollouts();
        true
    }

    /// Whether this VM is the one that should take over the rollout now.
    fn should_take_over(&self, rollout: &Rollout) -> bool {
        let now = self.gateway.timer.now();
        let gateway = &self.gateway;
        let state = gateway.state.lock();
        if !state.is_current() {
            return false;
        }
        let mut vms = state.peers.live_names(now);
        vms.push(gateway.settings.vm.clone());
        drop(state);
        let key = format!("{} {}", rollout.order.service, rollout.order.to);
        let rank = rank_among(&key, &gateway.settings.vm, &vms);
        rollout.needs_owner(rank, now)
    }

    /// Claims a rollout without an owner, or reads from the store who owns it or how it ended.
    async fn take_over(&mut self, rollout: &Rollout) {
        let service = &rollout.order.service;
        let Some(stored) = self.read(service).await else {
            self.delay_claim(service);
            return;
        };
        let Some(precondition) = RolloutPrecondition::new(stored.position, rollout.order.written)
        else {
            let era = stored.position.era;
            tracing::info!(%service, order = %rollout.order.written, %era,
                "rollout is not claimed before its order is read in this era of the store");
            if let Some(rollout) = self.gateway.state.lock().rollouts.get_mut(service) {
                rollout.missing_in = Some(era);
            }
            return self.delay_claim(service);
        };
        let now = self.gateway.timer.now();
        let record = stored.record.filter(|r| r.is_of(&rollout.order));
        if let Some(record) = &record
            && self.apply_stored_record(rollout, record, stored.now_ms, now)
        {
            return;
        }
        let left = match &record {
            Some(record) => Duration::from_millis(record.deadline_ms.saturating_sub(stored.now_ms)),
            None => rollout.deadline.since(now),
        };
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        // An end that was decided or announced is written at once: operators must not read that the rollout runs
        // again.
        let phase = rollout.progress.phase;
        let phase = if phase.is_final() {
            phase
        } else {
            RolloutPhase::Running
        };
        let stored_term = record.map_or(0, |record| record.progress.term);
        let record = RolloutRecord {
            written: rollout.order.written,
            to: rollout.order.to.clone(),
            progress: RolloutProgress {
                term: stored_term.max(rollout.progress.term) + 1,
                number: 0,
                phase,
                stored: phase.is_final(),
            },
            owner: self.gateway.vm_incarnation.to_string().into(),
            address: self.gateway.own_address(),
            deadline_ms: stored.now_ms.saturating_add(left_ms),
        };
        match self.write(rollout, &record, precondition).await {
            Some(RolloutWriteResult::Done(_)) if phase.is_final() => {
                self.finish(rollout, record.progress);
            }
            Some(RolloutWriteResult::Done(at)) => self.start_owning(rollout, &record, at, left),
            Some(RolloutWriteResult::Conflict) if rollout.progress.phase.is_final() => {
                self.end_without_order(rollout).await;
            }
            Some(RolloutWriteResult::Conflict) | None => self.delay_claim(service),
        }
    }

    /// Applies the stored record of a rollout that another VM owns or has ended. Returns `false` if the
    /// record names no other active owner, so that this VM may claim the rollout.
    fn apply_stored_record(
        &self,
        rollout: &Rollout,
        record: &RolloutRecord,
        now_ms: u64,
        now: Instant,
    ) -> bool {
        let left = Duration::from_millis(record.deadline_ms.saturating_sub(now_ms));
        if record.owner.as_ref() == self.gateway.vm_incarnation.to_string()
            && !record.progress.phase.is_final()
        {
            // The response to this VM's own claim was lost.
            return false;
        }
        let known = rollout.progress.term >= record.progress.term;
        if known && !record.progress.phase.is_final() {
            return false;
        }
        if record.progress.phase.is_final() && rollout.progress.phase > record.progress.phase {
            // The store has returned from a copy without the end that was announced.
            return false;
        }
        self.gateway.apply_rollout_notice(&RolloutNotice {
            order: rollout.order.clone(),
            left_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
            progress: record.progress,
            owner: Some(record.address),
            owner_age_ms: 0,
        });
        let mut state = self.gateway.state.lock();
        if let Some(rollout) = state.rollouts.get_mut(&rollout.order.service) {
            rollout.owner_last_seen = now;
        }
        true
    }

    /// Starts to own a rollout after its claim was written.
    fn start_owning(
        &self,
        rollout: &Rollout,
        record: &RolloutRecord,
        position: StorePosition,
        left: Duration,
    ) {
        let gateway = &self.gateway;
        let service = rollout.order.service.clone();
        let Some(settings) = gateway.state.lock().rollouts.settings() else {
            return;
        };
        let now = gateway.timer.now();
        let term = record.progress.term;
        let owned = OwnedRollout {
            order: rollout.order.clone(),
            owner: RolloutOwner::new(term, position, record.deadline_ms, settings.limit),
            confirmed_at: now,
            completing_since: None,
            decided_end: None,
            order_error: self.validate_order(rollout, term),
            next_store_call: now.after(OWNERSHIP_CHECK_INTERVAL),
            next_completion: now,
        };
        let mut all = gateway.owned_rollouts.lock();
        match all.binary_search_by(|(s, _)| s.cmp(&service)) {
            Ok(index) => all[index].1 = owned,
            Err(index) => all.insert(index, (service.clone(), owned)),
        }
        drop(all);
        tracing::info!(%service, to = %rollout.order.to, order = %rollout.order.written, term,
            left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX), "rollout owned");
        self.announce(&service, record.progress, 1);
    }

    /// Sets the progress of a rollout and sends it to all VMs, `times` times.
    fn announce(&self, service: &ServiceId, progress: RolloutProgress, times: u32) {
        let gateway = &self.gateway;
        let now = gateway.timer.now();
        let mut state = gateway.state.lock();
        let Some(rollout) = state.rollouts.get_mut(service) else {
            return;
        };
        let notice = RolloutNotice {
            progress,
            owner: Some(gateway.own_address()),
            owner_age_ms: 0,
            ..rollout.notice(now)
        };
        let peers = state.peers.live_addresses(now);
        drop(state);
        gateway.apply_rollout_notice(&notice);
        for _ in 0..times {
            gateway.send_notice(&notice, &peers);
        }
    }

    /// Decides the next step of an owned rollout and writes the decision to the store.
    async fn drive(&mut self, rollout: &Rollout) {
        match self.decide(rollout) {
            StoreAction::Nothing => {}
            StoreAction::Confirm { term } => self.check_ownership(rollout, term).await,
            StoreAction::End { record, position } => {
                let precondition = RolloutPrecondition::new(position, rollout.order.written);
                let written = match precondition {
                    Some(precondition) => self.write(rollout, &record, precondition).await,
                    None => None,
                };
                match written {
                    Some(RolloutWriteResult::Done(_)) => self.finish(rollout, record.progress),
                    Some(RolloutWriteResult::Conflict) | None => {
                        self.read_back(rollout, &record, position).await;
                    }
                }
            }
        }
    }

    /// Decides the next step of an owned rollout; returns the store access that it needs.
    fn decide(&self, rollout: &Rollout) -> StoreAction {
        let service = &rollout.order.service;
        let now = self.gateway.timer.now();
        let slots = self.slots(rollout);
        let mut all = self.gateway.owned_rollouts.lock();
        let Ok(index) = all.binary_search_by(|(s, _)| s.cmp(service)) else {
            return StoreAction::Nothing;
        };
        let owned = &mut all[index].1;
        let term = owned.owner.term;
        if !rollout.order.is_same(&owned.order) {
            tracing::warn!(%service, order = %owned.order.written, by = %rollout.order.written, "rollout superseded by another order");
            all.remove(index);
            return StoreAction::Nothing;
        }
        owned.order.written = rollout.order.written;
        if rollout.progress.term > term && !rollout.progress.phase.is_final() {
            tracing::warn!(%service, term, by = rollout.progress.term, "rollout owned by another VM");
            all.remove(index);
            return StoreAction::Nothing;
        }
        let is_rolled_back = rollout.progress.phase == RolloutPhase::RolledBack;
        if is_rolled_back && owned.decided_end.is_none() {
            // The previous owner decided to roll back but did not write it.
            owned.decided_end = Some(RolloutPhase::RolledBack);
            owned.next_store_call = now;
        }
        let mut announced = None;
        if owned.decided_end.is_none() {
            announced = owned.advance(rollout, slots, now);
        }
        let phase = owned.phase_to_write(now);
        let progress = |phase: RolloutPhase| RolloutProgress {
            term,
            number: rollout.progress.number + 1,
            phase,
            stored: phase.is_final(),
        };
        let action = match phase {
            _ if now < owned.next_store_call => StoreAction::Nothing,
            None => StoreAction::Nothing,
            Some(RolloutPhase::Running) => StoreAction::Confirm { term },
            Some(phase) => StoreAction::End {
                position: owned.owner.position,
                record: RolloutRecord {
                    written: rollout.order.written,
                    to: rollout.order.to.clone(),
                    progress: progress(phase),
                    owner: self.gateway.vm_incarnation.to_string().into(),
                    address: self.gateway.own_address(),
                    deadline_ms: owned.owner.deadline_ms,
                },
            },
        };
        drop(all);
        if let Some(phase) = announced {
            let times = if phase.is_final() {
                END_ANNOUNCEMENTS
            } else {
                1
            };
            let progress = RolloutProgress {
                stored: false,
                ..progress(phase)
            };
            self.announce(service, progress, times);
        }
        action
    }

    /// Checks in the store that this VM still owns a rollout.
    async fn check_ownership(&mut self, rollout: &Rollout, term: u64) {
        let service = &rollout.order.service;
        let read = self.read(service).await;
        let now = self.gateway.timer.now();
        let retry = |owned: &mut OwnedRollout| owned.next_store_call = now.after(STORE_BACKOFF);
        let Some(stored) = read else {
            return self.update(service, retry);
        };
        let name = self.gateway.vm_incarnation.to_string();
        let mut claim = RolloutClaim::OtherOrder;
        self.update(service, |owned| {
            claim = owned.owner.check_claim(&name, &rollout.order, &stored);
        });
        match (claim, &stored.record) {
            (RolloutClaim::Confirmed, _) => self.update(service, |owned| {
                owned.owner.position = stored.position;
                owned.confirmed_at = now;
                owned.next_store_call = now.after(OWNERSHIP_CHECK_INTERVAL);
            }),
            (RolloutClaim::OwnedByOther, Some(record)) => self.step_down(rollout, record),
            (RolloutClaim::OwnedByOther | RolloutClaim::OtherOrder, _) => {
                self.yield_to_other_order(service);
            }
            (RolloutClaim::Lost, _) => self.restore_claim(rollout, term, stored.position).await,
            (RolloutClaim::OrderUnknown, _) => {
                tracing::info!(%service, order = %rollout.order.written, term, era = %stored.position.era,
                    "rollout waits for its order, which the store has lost");
                self.update(service, |owned| {
                    owned.next_store_call = now.after(OWNERSHIP_CHECK_INTERVAL);
                });
            }
        }
    }

    /// Writes this VM's claim again after the store has lost it.
    async fn restore_claim(&mut self, rollout: &Rollout, term: u64, position: StorePosition) {
        let service = &rollout.order.service;
        let mut deadline_ms = 0;
        self.update(service, |owned| deadline_ms = owned.owner.deadline_ms);
        let record = RolloutRecord {
            written: rollout.order.written,
            to: rollout.order.to.clone(),
            progress: RolloutProgress {
                term,
                phase: RolloutPhase::Running,
                stored: false,
                ..rollout.progress
            },
            owner: self.gateway.vm_incarnation.to_string().into(),
            address: self.gateway.own_address(),
            deadline_ms,
        };
        let written = match RolloutPrecondition::new(position, rollout.order.written) {
            Some(precondition) => self.write(rollout, &record, precondition).await,
            None => None,
        };
        tracing::warn!(%service, order = %rollout.order.written, term, ?written,
            "rollout record lost by the store is written again");
        let now = self.gateway.timer.now();
        self.update(service, |owned| {
            if let Some(RolloutWriteResult::Done(position)) = written {
                owned.owner.position = position;
                owned.confirmed_at = now;
                owned.next_store_call = now.after(OWNERSHIP_CHECK_INTERVAL);
            } else {
                owned.next_store_call = now.after(STORE_BACKOFF);
            }
        });
    }

    /// Resolves a write that got no response or a conflict by reading the record again.
    async fn read_back(
        &mut self,
        rollout: &Rollout,
        record: &RolloutRecord,
        expected: StorePosition,
    ) {
        let service = &rollout.order.service;
        let read = self.read(service).await;
        let now = self.gateway.timer.now();
        let Some(stored) = read else {
            return self.resume_running(rollout, now);
        };
        if stored.position.era != rollout.order.written.era {
            // The end can be written only after the order has been read in this era.
            self.update(service, |owned| owned.owner.position = stored.position);
            return self.resume_running(rollout, now);
        }
        match stored.record {
            Some(found) if found.progress == record.progress && found.owner == record.owner => {
                self.finish(rollout, record.progress);
            }
            Some(found) if found.progress.term > record.progress.term => {
                self.step_down(rollout, &found);
            }
            Some(found) if found.is_of(&rollout.order) => {
                if stored.position == expected {
                    // The record is unchanged, so the conflict is due to a changed order.
                    self.end_without_order(rollout).await;
                    return;
                }
                self.update(service, |owned| {
                    owned.owner.position = stored.position;
                    owned.next_store_call = now;
                });
            }
            _ if stored.position.era > expected.era => self.update(service, |owned| {
                owned.owner.position = stored.position;
                owned.next_store_call = now;
            }),
            _ => self.yield_to_other_order(service),
        }
    }

    /// Ends a rollout whose order was withdrawn or replaced; returns whether no further attempt is needed.
    async fn end_without_order(&mut self, rollout: &Rollout) -> bool {
        let service = &rollout.order.service;
        let Some(stored) = self.read(service).await else {
            self.retry_without_order(service);
            return false;
        };
        let record = stored.record.filter(|record| record.is_of(&rollout.order));
        let phase = rollout.progress.phase.max(RolloutPhase::RolledBack);
        let progress = RolloutProgress {
            phase,
            stored: true,
            number: rollout.progress.number + 1,
            ..record.as_ref().map_or(rollout.progress, |r| r.progress)
        };
        if let Some(record) = record.filter(|record| !record.progress.phase.is_final()) {
            let write = RolloutWrite {
                service: service.clone(),
                record: RolloutRecord { progress, ..record },
                precondition: RolloutPrecondition::without_order(stored.position),
            };
            let written = tokio::time::timeout(STORE_TIMEOUT, (self.store.write)(write)).await;
            tracing::warn!(%service, order = %rollout.order.written, ?written, "ending rollout whose order no longer exists");
            if !matches!(written, Ok(Ok(_))) {
                self.retry_without_order(service);
                return false;
            }
            // A conflict means that another order is in force; the stored status belongs to its rollout.
        }
        self.finish(rollout, progress);
        true
    }

    fn retry_without_order(&self, service: &ServiceId) {
        let now = self.gateway.timer.now();
        self.update(service, |r| r.next_store_call = now.after(STORE_BACKOFF));
        self.delay_claim(service);
    }

    /// Returns the rollout to the running phase while its end cannot be written, so that requests are
    /// served as before.
    fn resume_running(&self, rollout: &Rollout, now: Instant) {
        let service = &rollout.order.service;
        let mut was_completing = false;
        self.update(service, |owned| {
            was_completing = owned.completing_since.take().is_some();
            owned.next_store_call = now.after(STORE_BACKOFF);
            owned.next_completion = now.after(COMPLETION_RETRY_DELAY);
        });
        if was_completing {
            let progress = RolloutProgress {
                number: rollout.progress.number + 2,
                phase: RolloutPhase::Running,
                ..rollout.progress
            };
            self.announce(service, progress, 1);
        }
    }

    fn finish(&self, rollout: &Rollout, progress: RolloutProgress) {
        let service = &rollout.order.service;
        let phase: &str = progress.phase.into();
        tracing::info!(%service, to = %rollout.order.to, order = %rollout.order.written, phase, "rollout ended");
        metrics::counter!("catkin_rollouts_total", "service" => service.to_string(), "end" => phase)
            .increment(1);
        self.send_end(rollout, progress);
        self.remove_owned(service);
    }

    /// Sends the end of a rollout to all VMs.
    fn send_end(&self, rollout: &Rollout, progress: RolloutProgress) {
        let gateway = &self.gateway;
        let now = gateway.timer.now();
        let notice = RolloutNotice {
            progress,
            ..rollout.notice(now)
        };
        let peers = gateway.state.lock().peers.live_addresses(now);
        gateway.apply_rollout_notice(&notice);
        for _ in 0..END_ANNOUNCEMENTS {
            gateway.send_notice(&notice, &peers);
        }
    }

    fn step_down(&self, rollout: &Rollout, record: &RolloutRecord) {
        let service = &rollout.order.service;
        tracing::warn!(%service, owner = &*record.owner, term = record.progress.term, "rollout owned by another VM");
        self.remove_owned(service);
        self.gateway.apply_rollout_notice(&RolloutNotice {
            order: rollout.order.clone(),
            left_ms: rollout.notice(self.gateway.timer.now()).left_ms,
            progress: record.progress,
            owner: Some(record.address),
            owner_age_ms: 0,
        });
    }

    fn yield_to_other_order(&self, service: &ServiceId) {
        tracing::warn!(%service, "rollout superseded by another order");
        self.remove_owned(service);
    }

    fn remove_owned(&self, service: &ServiceId) {
        let mut owned = self.gateway.owned_rollouts.lock();
        owned.retain(|(s, _)| s != service);
    }

    /// Ends rollouts whose order was withdrawn. Owned ones are ended in the store; for others the owners
    /// are notified.
    async fn end_withdrawn(&mut self) {
        let withdrawn = std::mem::take(&mut *self.gateway.withdrawn_rollouts.lock());
        for rollout in withdrawn {
            let is_owned = self.gateway.owns_rollout(&rollout.order.service);
            if !is_owned && !rollout.progress.phase.is_final() {
                self.send_end(
                    &rollout,
                    RolloutProgress {
                        number: rollout.progress.number + 1,
                        phase: RolloutPhase::RolledBack,
                        stored: rollout.progress.term == 0,
                        ..rollout.progress
                    },
                );
                continue;
            }
            if !self.end_without_order(&rollout).await {
                self.gateway.withdrawn_rollouts.lock().push(rollout);
            }
        }
    }

    /// Validates an order. Only the first owner checks the versions of the upstreams, because the old
    /// version may be down by the time a later owner takes over.
    fn validate_order(&self, rollout: &Rollout, term: u64) -> Option<RolloutOrderError> {
        let config = self.gateway.config()?;
        let now = self.gateway.timer.now();
        let state = self.gateway.state.lock();
        let service = &rollout.order.service;
        let upstreams = state.directory.usable(service, now);
        let versions = upstreams
            .filter(|_| term == 1)
            .filter_map(|entry| entry.version.clone());
        let known = config.service(service).is_some();
        rollout
            .order
            .check(known, &versions.collect::<Vec<_>>())
            .err()
    }

    fn slots(&self, rollout: &Rollout) -> VersionSlots {
        let now = self.gateway.timer.now();
        let state = self.gateway.state.lock();
        let mut slots = VersionSlots::default();
        for entry in state.directory.usable(&rollout.order.service, now) {
            let version = if entry.version.as_ref() == Some(&rollout.order.to) {
                &mut slots.new
            } else {
                &mut slots.old
            };
            *version = version.saturating_add(entry.slots);
        }
        slots
    }

    fn update(&self, service: &ServiceId, update: impl FnOnce(&mut OwnedRollout)) {
        let mut owned = self.gateway.owned_rollouts.lock();
        if let Ok(index) = owned.binary_search_by(|(s, _)| s.cmp(service)) {
            update(&mut owned[index].1);
        }
    }

    /// Delays the next claim of the rollout; another VM may claim it first.
    fn delay_claim(&self, service: &ServiceId) {
        let now = self.gateway.timer.now();
        let mut state = self.gateway.state.lock();
        if let Some(rollout) = state.rollouts.get_mut(service) {
            rollout.owner_last_seen = rollout
                .owner_last_seen
                .max(now.before(OWNER_TIMEOUT).after(STORE_BACKOFF));
            if rollout.progress.term == 0 {
                rollout.owner_last_seen = now;
            }
        }
    }

    async fn read(&self, service: &ServiceId) -> Option<StoredRecord> {
        let read = tokio::time::timeout(STORE_TIMEOUT, (self.store.read)(service.clone())).await;
        match read.unwrap_or(Err(FeedError::NoAnswer)) {
            Ok(stored) => Some(stored),
            Err(error) => {
                let fault: &str = error.into();
                tracing::warn!(%service, fault, "cannot read the rollout record");
                None
            }
        }
    }

    async fn write(
        &self,
        rollout: &Rollout,
        record: &RolloutRecord,
        precondition: RolloutPrecondition,
    ) -> Option<RolloutWriteResult> {
        let write = RolloutWrite {
            service: rollout.order.service.clone(),
            record: record.clone(),
            precondition,
        };
        let written = tokio::time::timeout(STORE_TIMEOUT, (self.store.write)(write)).await;
        match written.unwrap_or(Err(FeedError::NoAnswer)) {
            Ok(written) => Some(written),
            Err(error) => {
                let fault: &str = error.into();
                tracing::warn!(service = %rollout.order.service, fault, "cannot write the rollout record");
                None
            }
        }
    }
}
