//! Background task for rollouts. It sends this VM's reports to the owners of rollouts, takes over
//! rollouts without an owner, and decides the rollouts that this VM owns.

use super::{rollouts::OwnedRollout, *};

/// Interval at which running rollouts are processed.
const ROLLOUT_TICK: Duration = Duration::from_millis(100);

/// Minimum interval between the reports of a VM.
const REPORT_PERIOD: Duration = Duration::from_millis(400);

/// Time for each live VM in the interval between reports, which bounds the rate at which an owner of a
/// large fleet receives them.
const REPORT_SPACING: Duration = Duration::from_millis(4);

/// Timeout of a platform store call.
const STORE_BOUND: Duration = Duration::from_millis(900);

/// Interval at which an owner checks in the store that it still is the owner.
const CONFIRM_PERIOD: Duration = Duration::from_secs(1);

/// Delay after the store did not answer, or after another VM wrote the record first.
const STORE_RETRY: Duration = Duration::from_millis(300);

/// Delay before another attempt to complete a rollout. Requests are served as before meanwhile.
const COMPLETE_RETRY: Duration = Duration::from_millis(500);

/// Number of times the end of a rollout is sent to all VMs, because datagrams may be lost.
const END_SENT: u32 = 3;

/// Runs the rollout task; it does not return.
pub async fn follow_rollouts(gateway: Arc<Gateway>, store: RolloutStore) {
    let mut driver = Driver {
        gateway,
        store,
        report_at: Instant::default(),
    };
    loop {
        driver.gateway.rollouts_changed.notified().await;
        driver.run().await;
    }
}

/// Store access that an owned rollout needs now.
enum Due {
    Nothing,
    /// Check that this VM still is the owner.
    Confirm {
        term: u64,
    },
    /// Write the end of the rollout.
    End {
        record: RolloutRecord,
        /// Version that the row must have.
        version: u64,
    },
}

struct Driver {
    gateway: Arc<Gateway>,
    store: RolloutStore,
    /// Time of the next report.
    report_at: Instant,
}

impl Driver {
    /// Processes rollouts until none is running.
    async fn run(&mut self) {
        let mut ticks = self.gateway.timer.subscribe(ROLLOUT_TICK);
        loop {
            self.end_withdrawn().await;
            let running = self.running();
            if running.is_empty() {
                return;
            }
            let reported = self.report(&running);
            for rollout in running {
                if self.gateway.owns(&rollout.order.service) {
                    self.drive(&rollout).await;
                } else if self.is_due(&rollout) {
                    self.take_over(&rollout).await;
                }
            }
            let gateway = self.gateway.clone();
            tokio::select! {
                tick = ticks.recv() => if tick.is_none() { return },
                () = gateway.rollouts_changed.notified() => {
                    if !reported {
                        // Failed responses that come shortly after one another go into one report.
                        tokio::time::sleep(ROLLOUT_TICK / 4).await;
                        self.report_at = Instant::default();
                    }
                }
            }
        }
    }

    /// Rollouts whose end is not stored, and those that this VM owns.
    fn running(&self) -> Vec<Rollout> {
        let mut state = self.gateway.state.lock();
        let mut rollouts = state
            .rollouts
            .iter_mut()
            .map(|r| r.clone())
            .collect::<Vec<_>>();
        drop(state);
        rollouts.retain(|r| !r.progress.is_end_stored() || self.gateway.owns(&r.order.service));
        rollouts
    }

    /// Sends reports if they are due; returns whether it did.
    fn report(&mut self, running: &[Rollout]) -> bool {
        let now = self.gateway.timer.now();
        if now < self.report_at || running.is_empty() {
            return false;
        }
        let vms = self.gateway.state.lock().peers.live_count(now);
        let spaced = REPORT_SPACING * u32::try_from(vms).unwrap_or(u32::MAX);
        self.report_at = now.after(REPORT_PERIOD.max(spaced));
        self.gateway.report_rollouts();
        true
    }

    /// Whether this VM is the one that should take over the rollout now.
    fn is_due(&self, rollout: &Rollout) -> bool {
        let now = self.gateway.timer.now();
        let gateway = &self.gateway;
        let state = gateway.state.lock();
        if !state.is_current() {
            return false;
        }
        let mut vms = state.peers.live_names(now);
        vms.push(gateway.settings.vm.clone());
        drop(state);
        let key = format!("{} {}", rollout.order.service, rollout.order.written);
        let rank = rank_among(&key, &gateway.settings.vm, &vms);
        rollout.needs_owner(rank, now)
    }

    /// Claims a rollout without an owner, or reads from the store who owns it or how it ended.
    async fn take_over(&mut self, rollout: &Rollout) {
        let service = &rollout.order.service;
        let Some(stored) = self.read(service).await else {
            self.wait_before_claim(service);
            return;
        };
        let now = self.gateway.timer.now();
        let record = stored.record.filter(|r| r.written == rollout.order.written);
        if let Some(record) = &record
            && self.learn(rollout, record, stored.now_ms, now)
        {
            return;
        }
        let left = match &record {
            Some(record) => Duration::from_millis(record.deadline_ms.saturating_sub(stored.now_ms)),
            None => rollout.deadline.since(now),
        };
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let record = RolloutRecord {
            written: rollout.order.written,
            to: rollout.order.to.clone(),
            progress: RolloutProgress {
                term: record.map_or(0, |record| record.progress.term) + 1,
                number: 0,
                phase: RolloutPhase::Running,
                stored: false,
            },
            owner: self.gateway.life.to_string().into(),
            address: self.gateway.own_address(),
            deadline_ms: stored.now_ms.saturating_add(left_ms),
        };
        match self.write(rollout, &record, stored.version).await {
            Some(RolloutWriteResult::Done(version)) => self.begin(rollout, &record, version, left),
            Some(RolloutWriteResult::Conflict) if rollout.progress.phase.is_final() => {
                self.end_without_order(rollout).await;
            }
            Some(RolloutWriteResult::Conflict) | None => self.wait_before_claim(service),
        }
    }

    /// Applies the stored record of a rollout that another VM owns or has ended. Returns `false` if the
    /// record names no other active owner, so that this VM may claim the rollout.
    fn learn(&self, rollout: &Rollout, record: &RolloutRecord, now_ms: u64, now: Instant) -> bool {
        let left = Duration::from_millis(record.deadline_ms.saturating_sub(now_ms));
        if record.owner.as_ref() == self.gateway.life.to_string()
            && !record.progress.phase.is_final()
        {
            // The response to this VM's own claim was lost.
            return false;
        }
        let known = rollout.progress.term >= record.progress.term;
        if known && !record.progress.phase.is_final() {
            return false;
        }
        self.gateway.take_rollout(&RolloutNotice {
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
    fn begin(&self, rollout: &Rollout, record: &RolloutRecord, version: u64, left: Duration) {
        let gateway = &self.gateway;
        let service = rollout.order.service.clone();
        let Some(settings) = gateway.state.lock().rollouts.settings() else {
            return;
        };
        let now = gateway.timer.now();
        let term = record.progress.term;
        let owned = OwnedRollout {
            order: rollout.order.written,
            owner: RolloutOwner::new(term, version, record.deadline_ms, settings.limit),
            confirmed: now,
            completing: None,
            ending: None,
            fault: self.fault(rollout, term),
            not_before: now.after(CONFIRM_PERIOD),
            not_complete_before: now,
        };
        let mut all = gateway.owned_rollouts.lock();
        match all.binary_search_by(|(s, _)| s.cmp(&service)) {
            Ok(index) => all[index].1 = owned,
            Err(index) => all.insert(index, (service.clone(), owned)),
        }
        drop(all);
        tracing::info!(%service, to = %rollout.order.to, order = rollout.order.written, term,
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
        gateway.take_rollout(&notice);
        for _ in 0..times {
            gateway.send_notice(&notice, &peers);
        }
    }

    /// Decides the next step of an owned rollout and writes the decision to the store.
    async fn drive(&mut self, rollout: &Rollout) {
        match self.decide(rollout) {
            Due::Nothing => {}
            Due::Confirm { term } => self.confirm(rollout, term).await,
            Due::End { record, version } => match self.write(rollout, &record, version).await {
                Some(RolloutWriteResult::Done(_)) => self.ended(rollout, record.progress),
                Some(RolloutWriteResult::Conflict) | None => {
                    self.read_back(rollout, &record, version).await;
                }
            },
        }
    }

    /// Decides the next step of an owned rollout; returns the store access that it needs.
    fn decide(&self, rollout: &Rollout) -> Due {
        let service = &rollout.order.service;
        let now = self.gateway.timer.now();
        let slots = self.slots(rollout);
        let mut all = self.gateway.owned_rollouts.lock();
        let Ok(index) = all.binary_search_by(|(s, _)| s.cmp(service)) else {
            return Due::Nothing;
        };
        let own = &mut all[index].1;
        let term = own.owner.term;
        if rollout.order.written > own.order {
            tracing::warn!(%service, order = own.order, by = rollout.order.written, "rollout superseded by another order");
            all.remove(index);
            return Due::Nothing;
        }
        if rollout.progress.term > term && !rollout.progress.phase.is_final() {
            tracing::warn!(%service, term, by = rollout.progress.term, "rollout owned by another VM");
            all.remove(index);
            return Due::Nothing;
        }
        let is_rolled_back = rollout.progress.phase == RolloutPhase::RolledBack;
        if is_rolled_back && own.ending.is_none() {
            // The previous owner decided to roll back but did not write it.
            own.ending = Some(RolloutPhase::RolledBack);
            own.not_before = now;
        }
        let mut announced = None;
        if own.ending.is_none() {
            announced = own.advance(rollout, slots, now);
        }
        let phase = own.phase_to_write(now);
        let progress = |phase: RolloutPhase| RolloutProgress {
            term,
            number: rollout.progress.number + 1,
            phase,
            stored: phase.is_final(),
        };
        let due = match phase {
            _ if now < own.not_before => Due::Nothing,
            None => Due::Nothing,
            Some(RolloutPhase::Running) => Due::Confirm { term },
            Some(phase) => Due::End {
                version: own.owner.version,
                record: RolloutRecord {
                    written: rollout.order.written,
                    to: rollout.order.to.clone(),
                    progress: progress(phase),
                    owner: self.gateway.life.to_string().into(),
                    address: self.gateway.own_address(),
                    deadline_ms: own.owner.deadline_ms,
                },
            },
        };
        drop(all);
        if let Some(phase) = announced {
            let times = if phase.is_final() { END_SENT } else { 1 };
            let progress = RolloutProgress {
                stored: false,
                ..progress(phase)
            };
            self.announce(service, progress, times);
        }
        due
    }

    /// Checks in the store that this VM still owns a rollout.
    async fn confirm(&mut self, rollout: &Rollout, term: u64) {
        let service = &rollout.order.service;
        let read = self.read(service).await;
        let now = self.gateway.timer.now();
        match read.map(|stored| stored.record) {
            Some(Some(record)) if record.written == rollout.order.written => {
                if record.progress.term != term {
                    return self.step_down(rollout, &record);
                }
                self.change(service, |own| {
                    own.confirmed = now;
                    own.not_before = now.after(CONFIRM_PERIOD);
                });
            }
            Some(_) => self.step_down_for_another_order(service),
            None => self.change(service, |own| own.not_before = now.after(STORE_RETRY)),
        }
    }

    /// Resolves a write that got no response or a conflict by reading the record again.
    async fn read_back(&mut self, rollout: &Rollout, record: &RolloutRecord, expected: u64) {
        let service = &rollout.order.service;
        let read = self.read(service).await;
        let now = self.gateway.timer.now();
        let Some(stored) = read else {
            return self.retry_end(rollout, now);
        };
        match stored.record {
            Some(found) if found.progress == record.progress && found.owner == record.owner => {
                self.ended(rollout, record.progress);
            }
            Some(found) if found.progress.term > record.progress.term => {
                self.step_down(rollout, &found);
            }
            Some(found) if found.written == rollout.order.written => {
                if stored.version == expected {
                    // The record is unchanged, so the conflict is due to a changed order.
                    return self.end_without_order(rollout).await;
                }
                self.change(service, |own| {
                    own.owner.version = stored.version;
                    own.not_before = now;
                });
            }
            _ => self.step_down_for_another_order(service),
        }
    }

    /// Ends a rollout whose order was withdrawn or replaced.
    async fn end_without_order(&mut self, rollout: &Rollout) {
        let service = &rollout.order.service;
        let Some(stored) = self.read(service).await else {
            return self.retry_without_order(service);
        };
        let record = stored
            .record
            .filter(|record| record.written == rollout.order.written);
        let progress = RolloutProgress {
            phase: RolloutPhase::RolledBack,
            stored: true,
            number: rollout.progress.number + 1,
            ..record.as_ref().map_or(rollout.progress, |r| r.progress)
        };
        if let Some(record) = record.filter(|record| !record.progress.phase.is_final()) {
            let write = RolloutWrite {
                service: service.clone(),
                record: RolloutRecord { progress, ..record },
                expected: stored.version,
                order: 0,
            };
            let written = tokio::time::timeout(STORE_BOUND, (self.store.write)(write)).await;
            tracing::warn!(%service, order = rollout.order.written, ?written, "ending rollout whose order no longer exists");
            if !matches!(written, Ok(Ok(_))) {
                return self.retry_without_order(service);
            }
            // A conflict means that another order is in force; the stored status belongs to its rollout.
        }
        self.ended(rollout, progress);
    }

    fn retry_without_order(&self, service: &ServiceId) {
        let now = self.gateway.timer.now();
        self.change(service, |own| own.not_before = now.after(STORE_RETRY));
        self.wait_before_claim(service);
    }

    /// Returns the rollout to the running phase while its end cannot be written, so that requests are
    /// served as before.
    fn retry_end(&self, rollout: &Rollout, now: Instant) {
        let service = &rollout.order.service;
        let mut was_completing = false;
        self.change(service, |own| {
            was_completing = own.completing.take().is_some();
            own.not_before = now.after(STORE_RETRY);
            own.not_complete_before = now.after(COMPLETE_RETRY);
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

    fn ended(&self, rollout: &Rollout, progress: RolloutProgress) {
        let service = &rollout.order.service;
        let phase: &str = progress.phase.into();
        tracing::info!(%service, to = %rollout.order.to, order = rollout.order.written, phase, "rollout ended");
        metrics::counter!("catkin_rollouts_total", "service" => service.to_string(), "end" => phase)
            .increment(1);
        self.send_end(rollout, progress);
        self.disown(service);
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
        gateway.take_rollout(&notice);
        for _ in 0..END_SENT {
            gateway.send_notice(&notice, &peers);
        }
    }

    fn step_down(&self, rollout: &Rollout, record: &RolloutRecord) {
        let service = &rollout.order.service;
        tracing::warn!(%service, owner = &*record.owner, term = record.progress.term, "rollout owned by another VM");
        self.disown(service);
        self.gateway.take_rollout(&RolloutNotice {
            order: rollout.order.clone(),
            left_ms: rollout.notice(self.gateway.timer.now()).left_ms,
            progress: record.progress,
            owner: Some(record.address),
            owner_age_ms: 0,
        });
    }

    fn step_down_for_another_order(&self, service: &ServiceId) {
        tracing::warn!(%service, "rollout superseded by another order");
        self.disown(service);
    }

    fn disown(&self, service: &ServiceId) {
        let mut owned = self.gateway.owned_rollouts.lock();
        owned.retain(|(s, _)| s != service);
    }

    /// Ends rollouts whose order was withdrawn. Owned ones are ended in the store; for others the owners
    /// are notified.
    async fn end_withdrawn(&mut self) {
        let withdrawn = std::mem::take(&mut *self.gateway.withdrawn_rollouts.lock());
        for rollout in withdrawn {
            if !self.gateway.owns(&rollout.order.service) {
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
            self.end_without_order(&rollout).await;
            if self.gateway.owns(&rollout.order.service) {
                self.gateway.withdrawn_rollouts.lock().push(rollout);
                return;
            }
        }
    }

    /// Validates an order. Only the first owner checks the versions of the upstreams, because the old
    /// version may be down by the time a later owner takes over.
    fn fault(&self, rollout: &Rollout, term: u64) -> Option<RolloutOrderError> {
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
            if entry.version.as_ref() == Some(&rollout.order.to) {
                slots.new += entry.slots;
            } else {
                slots.old += entry.slots;
            }
        }
        slots
    }

    fn change(&self, service: &ServiceId, change: impl FnOnce(&mut OwnedRollout)) {
        let mut owned = self.gateway.owned_rollouts.lock();
        if let Ok(index) = owned.binary_search_by(|(s, _)| s.cmp(service)) {
            change(&mut owned[index].1);
        }
    }

    /// Delays the next claim of the rollout; another VM may claim it first.
    fn wait_before_claim(&self, service: &ServiceId) {
        let now = self.gateway.timer.now();
        let mut state = self.gateway.state.lock();
        if let Some(rollout) = state.rollouts.get_mut(service) {
            rollout.owner_last_seen = rollout
                .owner_last_seen
                .max(now.before(OWNER_TIMEOUT).after(STORE_RETRY));
            if rollout.progress.term == 0 {
                rollout.owner_last_seen = now;
            }
        }
    }

    async fn read(&self, service: &ServiceId) -> Option<StoredRecord> {
        let read = tokio::time::timeout(STORE_BOUND, (self.store.read)(service.clone())).await;
        match read.unwrap_or(Err(FeedError::NoAnswer)) {
            Ok(stored) => Some(stored),
            Err(fault) => {
                let fault: &str = fault.into();
                tracing::warn!(%service, fault, "cannot read the rollout record");
                None
            }
        }
    }

    async fn write(
        &self,
        rollout: &Rollout,
        record: &RolloutRecord,
        expected: u64,
    ) -> Option<RolloutWriteResult> {
        let write = RolloutWrite {
            service: rollout.order.service.clone(),
            record: record.clone(),
            expected,
            order: rollout.order.written,
        };
        let written = tokio::time::timeout(STORE_BOUND, (self.store.write)(write)).await;
        match written.unwrap_or(Err(FeedError::NoAnswer)) {
            Ok(written) => Some(written),
            Err(fault) => {
                let fault: &str = fault.into();
                tracing::warn!(service = %rollout.order.service, fault, "cannot write the rollout record");
                None
            }
        }
    }
}
