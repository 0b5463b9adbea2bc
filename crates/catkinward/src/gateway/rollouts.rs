//! Rollouts on the call path: selects canary requests, records responses by version, and exchanges
//! reports and grants with the owners of rollouts.

use super::{accepted_call::AcceptedCall, *};

/// Maximum time a call waits for a rollout to complete.
const MAX_COMPLETION_WAIT: Duration = Duration::from_millis(500);

/// Maximum number of routes in one report. A route takes some 200 bytes, and a report must fit in a datagram.
const MAX_REPORTED_ROUTES: usize = 3;

/// Maximum number of undersampled routes named in a grant.
const MAX_GRANT_ROUTES: usize = 4;

/// Time after the last confirmed ownership during which an owner still grants exposures.
const OWNERSHIP_TTL: Duration = Duration::from_secs(4);

/// A rollout that this VM owns.
pub(crate) struct OwnedRollout {
    /// Its order, at the position at which it was last read.
    pub(crate) order: RolloutOrder,
    pub(crate) owner: RolloutOwner,
    /// Time when the store last confirmed that this VM is the owner.
    pub(crate) confirmed_at: Instant,
    /// Time since which requests have waited for the rollout to complete.
    pub(crate) completing_since: Option<Instant>,
    /// Final phase that was decided but is not yet in the store.
    pub(crate) decided_end: Option<RolloutPhase>,
    /// Error found when the order was validated.
    pub(crate) order_error: Option<RolloutOrderError>,
    /// Earliest time of the next store call.
    pub(crate) next_store_call: Instant,
    /// Earliest time of the next attempt to complete the rollout, after a failed write.
    pub(crate) next_completion: Instant,
}

impl OwnedRollout {
    /// Decides the next step; returns a new phase that must be sent to the VMs, if there is one.
    pub(crate) fn advance(
        &mut self,
        rollout: &Rollout,
        slots: VersionSlots,
        now: Instant,
    ) -> Option<RolloutPhase> {
        let step = match self.order_error {
            Some(RolloutOrderError::VersionInUse) => OwnerStep::Complete,
            Some(error) => OwnerStep::RollBack(RollbackReason::Fault(error)),
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
                tracing::warn!(%service, %to, order = %written, term, answers, bad, ?reason,
                    "rollout rolled back");
                self.decided_end = Some(RolloutPhase::RolledBack);
                self.next_store_call = now;
                Some(RolloutPhase::RolledBack)
            }
            OwnerStep::Complete
                if self.completing_since.is_none() && now >= self.next_completion =>
            {
                tracing::info!(%service, %to, order = %written, term, answers, bad,
                    "rollout completing");
                self.completing_since = Some(now);
                self.next_store_call = now;
                Some(RolloutPhase::Completing)
            }
            OwnerStep::Complete | OwnerStep::Wait => None,
        }
    }

    /// Phase that the store should hold now; `None` while requests wait for the rollout to complete.
    pub(crate) fn phase_to_write(&self, now: Instant) -> Option<RolloutPhase> {
        match (self.decided_end, self.completing_since) {
            (Some(phase), _) => Some(phase),
            (None, Some(since)) => {
                (now.since(since) >= COMPLETION_WAIT).then_some(RolloutPhase::Completed)
            }
            (None, None) => Some(RolloutPhase::Running),
        }
    }
}

impl Gateway {
    /// Applies a rollout order read from the operator's table, and sends it to the VMs of the zone if it is new.
    pub fn apply_rollout_order(&self, order: RolloutOrder) {
        let notice = RolloutNotice {
            left_ms: u32::try_from(order.duration.as_millis()).unwrap_or(u32::MAX),
            progress: RolloutProgress::UNOWNED,
            owner: None,
            owner_age_ms: 0,
            order,
        };
        if self.apply_rollout_notice(&notice) {
            let now = self.timer.now();
            let state = self.state.lock();
            let zone = state.peers.addresses_in(&self.settings.zone, now);
            drop(state);
            self.send_notice(&notice, &zone);
        } else if self.state.lock().rollouts.is_restored(&notice.order) {
            let RolloutOrder {
                service,
                to,
                written,
                ..
            } = &notice.order;
            tracing::warn!(%service, %to, order = %written,
                "rollout order of an older copy of the store: it was withdrawn or replaced");
        }
    }

    /// Withdraws the rollout of a service whose order is gone as of position `at` of the operator's table.
    pub fn withdraw_rollout_order(&self, service: &ServiceId, at: StorePosition) {
        let withdrawn = self.state.lock().rollouts.withdraw(service, at);
        self.end_withdrawn_rollout(withdrawn);
    }

    fn end_withdrawn_rollout(&self, withdrawn: Option<Rollout>) {
        if let Some(rollout) = withdrawn {
            let RolloutOrder {
                service,
                to,
                written,
                ..
            } = &rollout.order;
            tracing::warn!(%service, %to, order = %written, "rollout order withdrawn");
            self.withdrawn_rollouts.lock().push(rollout);
            self.rollouts_changed.notify_one();
        }
    }

    /// Withdraws the rollouts of all services that are not in `with_order`, the complete set of services with an
    /// order as of a position of the operator's table.
    pub fn reconcile_rollout_orders(&self, with_order: &[ServiceId], at: StorePosition) {
        let mut state = self.state.lock();
        let services = state.rollouts.iter_mut().map(|r| r.order.service.clone());
        let services = services.collect::<Vec<_>>();
        drop(state);
        for service in services.iter().filter(|s| !with_order.contains(s)) {
            let withdrawn = self.state.lock().rollouts.withdraw_missing(service, at);
            self.end_withdrawn_rollout(withdrawn);
        }
    }

    /// Merges another VM's state of a rollout; returns whether it changed this VM's state.
    pub(crate) fn apply_rollout_notice(&self, notice: &RolloutNotice) -> bool {
        let now = self.timer.now();
        let changed_state = self.state.lock().rollouts.merge(notice, now);
        if changed_state {
            let phase: &str = notice.progress.phase.into();
            tracing::info!(service = %notice.order.service, to = %notice.order.to, phase,
                order = %notice.order.written, term = notice.progress.term, owner = ?notice.owner,
                left_ms = notice.left_ms, "rollout");
            self.rollout_phases.send_modify(|count| *count += 1);
            self.rollouts_changed.notify_one();
        }
        changed_state
    }

    /// Sends a rollout notice to the given addresses.
    pub(crate) fn send_notice(&self, notice: &RolloutNotice, to: &[SocketAddr]) {
        for address in to {
            self.outbox
                .send(*address, PeerDatagram::Rollout(notice.clone()));
        }
    }

    /// Waits while a rollout of the service completes, so that the call is not interrupted with the old version.
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
        // After the timeout the call proceeds with the current state.
        let _ = tokio::time::timeout(MAX_COMPLETION_WAIT, async {
            while completing() && phases.changed().await.is_ok() {}
        })
        .await;
    }

    /// Counts a call of a service under rollout. Returns an upstream of the new version if the call is a
    /// canary request.
    pub(crate) fn select_canary_upstream(
        &self,
        accepted: &AcceptedCall,
    ) -> Option<Arc<UpstreamEntry>> {
        let now = self.timer.now();
        let mut state = self.state.lock();
        let rollout = state.rollouts.get_mut(&accepted.service)?;
        if rollout.progress.phase.is_final() {
            return None;
        }
        let permit = rollout.count_request(&accepted.route.name, now)?;
        let order = rollout.order.clone();
        let usable = state.directory.usable(&accepted.service, now);
        let new = usable.filter(|entry| entry.version.as_ref() == Some(&order.to));
        let canaries = Rollouts::canary_upstreams(&order, new.collect());
        let canaries = canaries
            .into_iter()
            .map(|entry| entry.id.clone())
            .collect::<Vec<_>>();
        drop(state);
        let entry = self.select_for_send(
            accepted,
            &[],
            &[],
            Candidates::Only(&canaries),
            |candidates, context| {
                let live = candidates.iter().filter(|c| !c.suspect).cloned();
                select_upstream(&live.collect::<Vec<_>>(), context).cloned()
            },
        );
        if entry.is_none()
            && let Some(rollout) = self.state.lock().rollouts.get_mut(&accepted.service)
        {
            rollout.grants.return_grant(permit);
        }
        entry
    }

    /// Records an upstream's response as a sample of the rollout.
    pub(crate) fn record_rollout_response(
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

    /// Sends this VM's reports to the owners of rollouts; those for its own rollouts are applied directly.
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
                    vm: self.vm_incarnation.clone(),
                    requests: rollout.grants.requests(),
                    spent: rollout.grants.spent(),
                    evidence: rollout.take_unreported(MAX_REPORTED_ROUTES),
                },
            ));
        }
        for (owner, report) in reports {
            if self.owns_rollout(&report.service) {
                if let Some(grant) = self.record_report(&report) {
                    self.apply_grant(&grant, None);
                }
            } else if let Some(owner) = owner {
                self.outbox.send(owner, PeerDatagram::RolloutReport(report));
            }
        }
    }

    /// Handles another VM's report. If this VM is no longer the owner, it replies with its state of the rollout.
    pub(crate) fn handle_report(&self, report: &RolloutReport, from: SocketAddr) {
        if let Some(grant) = self.record_report(report) {
            self.outbox.send(from, PeerDatagram::RolloutGrant(grant));
            return;
        }
        let now = self.timer.now();
        let mut state = self.state.lock();
        let rollout = state.rollouts.get_mut(&report.service);
        let notice = rollout.map(|rollout| rollout.notice(now));
        drop(state);
        let differs = |notice: &RolloutNotice| {
            (notice.progress.term, notice.order.written) != (report.term, report.written)
        };
        if let Some(notice) = notice.filter(differs) {
            self.send_notice(&notice, &[from]);
        }
    }

    /// Adds a report to its rollout and returns the grant, if this VM owns the rollout.
    fn record_report(&self, report: &RolloutReport) -> Option<RolloutGrant> {
        let now = self.timer.now();
        let mut owned = self.owned_rollouts.lock();
        let index = owned
            .binary_search_by(|(service, _)| service.cmp(&report.service))
            .ok()?;
        let owned = &mut owned[index].1;
        let is_addressed = (owned.owner.term, owned.order.written) == (report.term, report.written);
        if !is_addressed || now.since(owned.confirmed_at) >= OWNERSHIP_TTL {
            return None;
        }
        let judge = &mut owned.owner.judge;
        for (route, judged) in judge.record_report(&report.vm, &report.evidence) {
            if judged.new_bad > 0 {
                log_failed_responses(report, &route, &judged);
            }
        }
        if matches!(owned.owner.judge.verdict(), RolloutVerdict::Bad { .. }) {
            self.rollouts_changed.notify_one();
        }
        let ends = owned.decided_end.is_some() || owned.completing_since.is_some();
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
        undersampled_routes.truncate(MAX_GRANT_ROUTES);
        let mut state = self.state.lock();
        let rollout = state.rollouts.get_mut(&report.service)?;
        rollout.owner_last_seen = now;
        Some(RolloutGrant {
            notice: rollout.notice(now),
            granted,
            undersampled_routes,
        })
    }

    /// Applies an owner's grant; `from` is the owner's address if it is another VM.
    pub(crate) fn apply_grant(&self, grant: &RolloutGrant, from: Option<SocketAddr>) {
        if from.is_some() {
            self.apply_rollout_notice(&grant.notice);
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
    pub(crate) fn owns_rollout(&self, service: &ServiceId) -> bool {
        let owned = self.owned_rollouts.lock();
        owned.binary_search_by(|(s, _)| s.cmp(service)).is_ok()
    }
}

/// Logs a report with failed responses of a new version, and the baseline that they were compared with.
fn log_failed_responses(report: &RolloutReport, route: &str, judged: &JudgedReport) {
    tracing::info!(service = %report.service, route, vm = %report.vm.vm, new = judged.new, new_bad = judged.new_bad,
        old = judged.old, old_bad = judged.old_bad, old_successes = judged.old_successes, old_slow = judged.old_slow, usual = judged.expected_bad, slowest = judged.max_good_bucket, sum = judged.sum,
        "rollout: failed responses reported");
}
