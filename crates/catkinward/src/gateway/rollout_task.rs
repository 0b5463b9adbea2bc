//! Drives the rollouts: reports to their owners, takes over those that have none, and decides those of its own.

use super::{rollouts::OwnedRollout, *};

/// How often a running rollout is looked after.
const ROLLOUT_TICK: Duration = Duration::from_millis(100);

/// How often a VM reports in a small fleet.
const REPORT_PERIOD: Duration = Duration::from_millis(400);

/// Reports that an owner takes from each of many VMs: one in so long for each live VM.
const REPORT_SPACING: Duration = Duration::from_millis(4);

/// Bound of a call of the store.
const STORE_BOUND: Duration = Duration::from_millis(900);

/// How often an owner asks the store whether it still is the owner.
const CONFIRM_PERIOD: Duration = Duration::from_secs(1);

/// Wait after the store did not answer, or another VM was faster.
const STORE_RETRY: Duration = Duration::from_millis(300);

/// Wait before a new version is to take over once more, in which requests go on as before.
const COMPLETE_RETRY: Duration = Duration::from_millis(500);

/// How often the end of a rollout is sent to all VMs: datagrams get lost.
const END_SENT: u32 = 3;

/// Looks after rollouts for good.
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

/// What an owner has to do at the store.
enum Due {
    Nothing,
    /// To ask whether it still is the owner.
    Confirm {
        term: u64,
    },
    /// To write how the rollout has ended.
    End {
        record: RolloutRecord,
        /// Version that the row must have.
        version: u64,
    },
}

struct Driver {
    gateway: Arc<Gateway>,
    store: RolloutStore,
    /// When the next report is due.
    report_at: Instant,
}

impl Driver {
    /// Goes on until no rollout runs any more.
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
                        // Failures of a moment are reported together.
                        tokio::time::sleep(ROLLOUT_TICK / 4).await;
                        self.report_at = Instant::default();
                    }
                }
            }
        }
    }

    /// Rollouts that are not settled, or whose end this VM has yet to write.
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

    /// Reports if it is time; whether it did.
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

    /// Whether it is this VM's turn to take a rollout over.
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

    /// Claims a rollout without an owner, or learns who owns it or how it has ended.
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
            owner: self.gateway.vm_incarnation.to_string().into(),
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

    /// Takes in what the store says of a rollout that others own or have ended; `false` if nobody looks after it.
    fn learn(&self, rollout: &Rollout, record: &RolloutRecord, now_ms: u64, now: Instant) -> bool {
        let left = Duration::from_millis(record.deadline_ms.saturating_sub(now_ms));
        if record.owner.as_ref() == self.gateway.vm_incarnation.to_string()
            && !record.progress.phase.is_final()
        {
            // The answer to its own claim was lost.
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

    /// Begins to own a rollout.
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

    /// Sets how far a rollout is, and tells all VMs.
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

    /// Decides a rollout of its own, and writes what was decided.
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

    /// Decides a rollout of its own; returns what is due at the store.
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
            tracing::warn!(%service, order = own.order, by = rollout.order.written, "rollout replaced by another order");
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
            // Decided by the owner before, which did not come to write it.
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
                    owner: self.gateway.vm_incarnation.to_string().into(),
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

    /// Asks the store whether this VM still owns a rollout.
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

    /// Finds out what became of a write without an answer, or one that met another row or order.
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
                    // The record is as it was, so it is the order that has changed.
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
            tracing::warn!(%service, order = rollout.order.written, ?written, "rollout without order");
            if !matches!(written, Ok(Ok(_))) {
                return self.retry_without_order(service);
            }
            // On a conflict another order is in force, and the status is that of its rollout.
        }
        self.ended(rollout, progress);
    }

    fn retry_without_order(&self, service: &ServiceId) {
        let now = self.gateway.timer.now();
        self.change(service, |own| own.not_before = now.after(STORE_RETRY));
        self.wait_before_claim(service);
    }

    /// Lets requests go on as before while the end of a rollout cannot be written.
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
        tracing::warn!(%service, "rollout replaced by another order");
        self.disown(service);
    }

    fn disown(&self, service: &ServiceId) {
        let mut owned = self.gateway.owned_rollouts.lock();
        owned.retain(|(s, _)| s != service);
    }

    /// Ends rollouts whose order was withdrawn: those of its own in the store, and those of others at their owners.
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

    /// What is wrong with an order. Later owners do not look at the versions: the old one may be down.
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

    /// Has the rollout claimed a little later, and by then perhaps by another VM.
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
                tracing::warn!(%service, fault, "rollout record not read");
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
                tracing::warn!(service = %rollout.order.service, fault, "rollout record not written");
                None
            }
        }
    }
}
