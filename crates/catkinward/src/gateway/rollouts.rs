//! Rollouts in the way of calls: what goes to a version under trial, and what came of it.

use super::{accepted_call::AcceptedCall, *};

/// How long a call waits at most for a new version to take over.
const LONGEST_HOLD: Duration = Duration::from_millis(500);

/// Routes in one report: some 200 bytes each, within a datagram.
const ROUTES_REPORTED: usize = 3;

/// Routes named in a grant.
const ROUTES_WANTED: usize = 4;

/// How long an owner grants exposures after it last read that it still is the owner.
const CONFIRMED_FOR: Duration = Duration::from_secs(4);

/// A rollout that this VM owns.
pub(crate) struct OwnedRollout {
    /// Version of the store at which its order was written.
    pub(crate) order: u64,
    pub(crate) owner: RolloutOwner,
    /// When the store last confirmed that this VM is the owner.
    pub(crate) confirmed: Instant,
    /// Since when requests wait for the new version to take over.
    pub(crate) completing: Option<Instant>,
    /// The end that was decided and is not in the store yet.
    pub(crate) ending: Option<RolloutPhase>,
    /// What is wrong with the order.
    pub(crate) fault: Option<RolloutOrderError>,
    /// Not before this time the store is called again.
    pub(crate) not_before: Instant,
    /// Not before this time the new version is to take over, after that could not be written.
    pub(crate) not_complete_before: Instant,
}

impl OwnedRollout {
    /// Decides how the rollout goes on; the phase that the VMs are to be told, if it is a new one.
    pub(crate) fn advance(
        &mut self,
        rollout: &Rollout,
        slots: VersionSlots,
        now: Instant,
    ) -> Option<RolloutPhase> {
        let step = match self.fault {
            Some(RolloutOrderError::VersionInUse) => OwnerStep::Complete,
            Some(fault) => OwnerStep::RollBack(RollbackReason::Fault(fault)),
            None => self.owner.step(rollout.deadline.since(now), slots),
        };
        let (answers, bad) = self.owner.judge.totals();
        let RolloutOrder {
            service,
            to,
            written,
            ..
        } = &rollout.order;
        let term = self.owner.term;
        match step {
            OwnerStep::RollBack(reason) => {
                tracing::warn!(%service, %to, order = written, term, answers, bad, ?reason,
                    "rollout rolled back");
                self.ending = Some(RolloutPhase::RolledBack);
                self.not_before = now;
                Some(RolloutPhase::RolledBack)
            }
            OwnerStep::Complete if self.completing.is_none() && now >= self.not_complete_before => {
                tracing::info!(%service, %to, order = written, term, answers, bad,
                    "rollout completing");
                self.completing = Some(now);
                self.not_before = now;
                Some(RolloutPhase::Completing)
            }
            OwnerStep::Complete | OwnerStep::Wait => None,
        }
    }

    /// What the store is to hold now; none while requests wait for a new version to take over.
    pub(crate) fn phase_to_write(&self, now: Instant) -> Option<RolloutPhase> {
        match (self.ending, self.completing) {
            (Some(phase), _) => Some(phase),
            (None, Some(since)) => {
                (now.since(since) >= COMPLETION_WAIT).then_some(RolloutPhase::Completed)
            }
            (None, None) => Some(RolloutPhase::Running),
        }
    }
}

impl Gateway {
    /// Takes in an order of the operator's table.
    pub fn put_rollout_order(&self, order: RolloutOrder) {
        let notice = RolloutNotice {
            left_ms: u32::try_from(order.duration.as_millis()).unwrap_or(u32::MAX),
            progress: RolloutProgress::UNOWNED,
            owner: None,
            owner_age_ms: 0,
            order,
        };
        if self.take_rollout(&notice) {
            let now = self.timer.now();
            let state = self.state.lock();
            let zone = state.peers.addresses_in(&self.settings.zone, now);
            drop(state);
            self.send_notice(&notice, &zone);
        }
    }

    /// Takes in that a service has no order any more, at a version of the operator's table.
    pub fn rollout_order_withdrawn(&self, service: &ServiceId, at: u64) {
        let withdrawn = self.state.lock().rollouts.withdraw(service, at);
        if let Some(rollout) = withdrawn {
            tracing::warn!(%service, to = %rollout.order.to, order = rollout.order.written,
                "rollout order withdrawn");
            self.withdrawn_rollouts.lock().push(rollout);
            self.rollouts_changed.notify_one();
        }
    }

    /// Takes in that all orders were read as of a version of the operator's table: the services without one.
    pub fn rollout_orders_read(&self, with_order: &[ServiceId], version: u64) {
        let mut state = self.state.lock();
        let services = state.rollouts.iter_mut().map(|r| r.order.service.clone());
        let services = services.collect::<Vec<_>>();
        drop(state);
        for service in services.iter().filter(|s| !with_order.contains(s)) {
            self.rollout_order_withdrawn(service, version);
        }
    }

    /// Takes in what another VM knows of a rollout; whether that is news.
    pub(crate) fn take_rollout(&self, notice: &RolloutNotice) -> bool {
        let now = self.timer.now();
        let news = self.state.lock().rollouts.merge(notice, now);
        if news {
            let phase: &str = notice.progress.phase.into();
            tracing::info!(service = %notice.order.service, to = %notice.order.to, phase,
                order = notice.order.written, term = notice.progress.term, owner = ?notice.owner,
                left_ms = notice.left_ms, "rollout");
            self.rollout_phases.send_modify(|count| *count += 1);
            self.rollouts_changed.notify_one();
        }
        news
    }

    /// Sends a notice of a rollout.
    pub(crate) fn send_notice(&self, notice: &RolloutNotice, to: &[SocketAddr]) {
        for address in to {
            self.outbox
                .send(*address, PeerDatagram::Rollout(notice.clone()));
        }
    }

    /// Waits while a new version is about to take over the service, so that the call is not cut off with the old
    /// one.
    pub(crate) async fn wait_for_rollout(&self, service: &ServiceId) {
        let mut phases = self.rollout_phases.subscribe();
        let completing = || {
            let mut state = self.state.lock();
            let rollout = state.rollouts.get_mut(service);
            rollout.is_some_and(|r| r.progress.phase == RolloutPhase::Completing)
        };
        if !completing() {
            return;
        }
        // Only a bound: the call goes on with what is known then.
        let _ = tokio::time::timeout(LONGEST_HOLD, async {
            while completing() && phases.changed().await.is_ok() {}
        })
        .await;
    }

    /// Counts a call of a service under rollout; an upstream of the new version, if the call is to go to one.
    pub(crate) fn place_trial(&self, accepted: &AcceptedCall) -> Option<Arc<UpstreamEntry>> {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let rollout = state.rollouts.get_mut(&accepted.service)?;
        if rollout.progress.phase.is_final() {
            return None;
        }
        let exposed = rollout.count_request(&accepted.route.name, now)?;
        let order = rollout.order.clone();
        let usable = state.directory.usable(&accepted.service, now);
        let new = usable.filter(|entry| entry.version.as_ref() == Some(&order.to));
        let focus = Rollouts::canary_upstreams(&order, new.collect());
        let focus = focus
            .into_iter()
            .map(|entry| entry.id.clone())
            .collect::<Vec<_>>();
        drop(state);
        let entry = self.choose(
            accepted,
            &[],
            &[],
            Candidates::Only(&focus),
            |candidates, who| {
                let live = candidates.iter().filter(|c| !c.suspect).cloned();
                select_upstream(&live.collect::<Vec<_>>(), who).cloned()
            },
        );
        if entry.is_none()
            && let Some(rollout) = self.state.lock().rollouts.get_mut(&accepted.service)
        {
            rollout.grants.return_grant(exposed);
        }
        entry
    }

    /// Counts an upstream's answer for the judgement of a rollout.
    pub(crate) fn rollout_answer(
        &self,
        accepted: &AcceptedCall,
        entry: &UpstreamEntry,
        outcome: ResponseOutcome,
    ) {
        let mut state = self.state.lock();
        let Some(rollout) = state.rollouts.get_mut(&accepted.service) else {
            return;
        };
        if rollout.progress.phase.is_final() {
            return;
        }
        let is_new = entry.version.as_ref() == Some(&rollout.order.to);
        let is_bad = rollout.count_response(&accepted.route.name, is_new, outcome);
        drop(state);
        let version: &str = if is_new { "new" } else { "old" };
        let result = match outcome {
            ResponseOutcome::Success(_) => "success",
            ResponseOutcome::Failure => "failure",
        };
        metrics::counter!("catkin_rollout_answers_total", "service" => accepted.service.to_string(),
            "version" => version, "result" => result)
        .increment(1);
        if is_bad {
            self.rollouts_changed.notify_one();
        }
    }

    /// This VM's reports for the owners of rollouts. Its own are taken in at once.
    pub(crate) fn report_rollouts(&self) {
        let mut reports = Vec::new();
        for rollout in self.state.lock().rollouts.iter_mut() {
            if rollout.progress.phase.is_final() || rollout.progress.term == 0 {
                continue;
            }
            reports.push((
                rollout.owner,
                RolloutReport {
                    service: rollout.order.service.clone(),
                    written: rollout.order.written,
                    term: rollout.progress.term,
                    vm: self.life.clone(),
                    requests: rollout.grants.requests(),
                    spent: rollout.grants.spent(),
                    evidence: rollout.take_unreported(ROUTES_REPORTED),
                },
            ));
        }
        for (owner, report) in reports {
            if self.owns(&report.service) {
                if let Some(grant) = self.account(&report) {
                    self.take_grant(&grant, None);
                }
            } else if let Some(owner) = owner {
                self.outbox.send(owner, PeerDatagram::RolloutReport(report));
            }
        }
    }

    /// Takes in another VM's report. A VM that is not the owner any more says what it knows.
    pub(crate) fn take_report(&self, report: &RolloutReport, from: SocketAddr) {
        if let Some(grant) = self.account(report) {
            self.outbox.send(from, PeerDatagram::RolloutGrant(grant));
            return;
        }
        let now = self.timer.now();
        let mut state = self.state.lock();
        let rollout = state.rollouts.get_mut(&report.service);
        let notice = rollout.map(|rollout| rollout.notice(now));
        drop(state);
        if let Some(notice) = notice.filter(|notice| notice.progress.term != report.term) {
            self.send_notice(&notice, &[from]);
        }
    }

    /// Enters a report into the account of its rollout and answers it, if this VM owns that.
    fn account(&self, report: &RolloutReport) -> Option<RolloutGrant> {
        let now = self.timer.now();
        let mut owned = self.owned_rollouts.lock();
        let index = owned
            .binary_search_by(|(service, _)| service.cmp(&report.service))
            .ok()?;
        let owned = &mut owned[index].1;
        if owned.owner.term != report.term || now.since(owned.confirmed) >= CONFIRMED_FOR {
            return None;
        }
        for evidence in &report.evidence {
            let judged = owned.owner.judge.record_report(&report.vm, evidence);
            if let Some(judged) = judged.filter(|judged| judged.new_bad > 0) {
                log_bad_answers(report, &evidence.route, &judged);
            }
        }
        if matches!(owned.owner.judge.verdict(), RolloutVerdict::Bad { .. }) {
            self.rollouts_changed.notify_one();
        }
        let ends = owned.ending.is_some() || owned.completing.is_some();
        let granted = if ends {
            0
        } else {
            let (requests, spent) = (report.requests, report.spent);
            owned
                .owner
                .ledger
                .record_report(&report.vm, requests, spent)
        };
        let mut undersampled_routes = owned.owner.judge.undersampled_routes();
        undersampled_routes.truncate(ROUTES_WANTED);
        let mut state = self.state.lock();
        let rollout = state.rollouts.get_mut(&report.service)?;
        rollout.owner_last_seen = now;
        Some(RolloutGrant {
            notice: rollout.notice(now),
            granted,
            undersampled_routes,
        })
    }

    /// Takes in an owner's answer; `from` is its address if it is another VM.
    pub(crate) fn take_grant(&self, grant: &RolloutGrant, from: Option<SocketAddr>) {
        if from.is_some() {
            self.take_rollout(&grant.notice);
        }
        let now = self.timer.now();
        let mut state = self.state.lock();
        let Some(rollout) = state.rollouts.get_mut(&grant.notice.order.service) else {
            return;
        };
        let same = rollout.order.written == grant.notice.order.written
            && rollout.progress.term == grant.notice.progress.term;
        if same && rollout.progress.phase == RolloutPhase::Running {
            rollout.owner_last_seen = now;
            rollout
                .undersampled_routes
                .clone_from(&grant.undersampled_routes);
            let term = rollout.progress.term;
            rollout.grants.renew(term, grant.granted, now);
        }
    }

    /// Whether this VM owns the rollout of a service.
    pub(crate) fn owns(&self, service: &ServiceId) -> bool {
        let owned = self.owned_rollouts.lock();
        owned.binary_search_by(|(s, _)| s.cmp(service)).is_ok()
    }
}

/// Logs a report with bad answers of a version under trial, and what they were held against.
fn log_bad_answers(report: &RolloutReport, route: &str, judged: &JudgedReport) {
    tracing::info!(service = %report.service, route, vm = %report.vm.vm, new = judged.new, new_bad = judged.new_bad,
        old = judged.old, old_bad = judged.old_bad, usual = judged.expected_bad, slowest = judged.max_good_bucket, sum = judged.sum,
        "rollout: bad answers reported");
}
