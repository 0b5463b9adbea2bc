use super::*;
use crate::{
    engine_event::AttemptError,
    http_client::HttpError,
    upstream_observer::{UpstreamObserver, load_call},
    upstream_state::{UpstreamState, read_report},
};

/// One request's hold on an upstream: counted there until it is dropped.
///
/// It is made from an [`Eligible`] only, and orders are sent to handles only, so that no work goes
/// to an upstream that may get none.
pub struct UpstreamHandle {
    known: Arc<UpstreamObserver>,
    state: Arc<UpstreamState>,
    incarnation: Incarnation,
    /// None for a request that runs there already and is only held.
    eligible: Option<Eligible>,
    sent: Instant,
    /// Whether its answer is still due.
    awaits: AtomicBool,
    asked: PendingReport,
    run: Option<TrackedRunId>,
}

impl UpstreamHandle {
    /// A hold for new work.
    pub(crate) fn new(
        known: &Arc<UpstreamObserver>,
        state: &Arc<UpstreamState>,
        eligible: Eligible,
        run: Option<TrackedRunId>,
    ) -> Self {
        let mut handle = Self::held(known, state, eligible.incarnation());
        handle.eligible = Some(eligible);
        handle.awaits.store(true, Ordering::Relaxed);
        handle.state.record.lock().response_awaited(handle.sent);
        handle.run = run;
        handle
    }

    /// A hold for a request that runs there already.
    pub(crate) fn held(
        known: &Arc<UpstreamObserver>,
        state: &Arc<UpstreamState>,
        incarnation: Incarnation,
    ) -> Self {
        let now = known.timer.now();
        let mut record = state.record.lock();
        record.record_dispatch();
        Self {
            known: known.clone(),
            state: state.clone(),
            incarnation,
            eligible: None,
            sent: now,
            awaits: AtomicBool::new(false),
            asked: record.report_requested(now),
            run: None,
        }
    }

    /// Checks that the upstream may get new work now.
    ///
    /// # Errors
    ///
    /// If the hold is not for new work, or the proof that the upstream may get it is too old.
    pub(crate) fn check_eligible(&self) -> Result<(), AttemptError> {
        let now = self.known.timer.now();
        match &self.eligible {
            Some(eligible) if eligible.is_valid(now) => Ok(()),
            _ => Err(AttemptError::NotEligible),
        }
    }

    /// The upstream's id.
    #[must_use]
    pub fn id(&self) -> &UpstreamId {
        &self.state.entry.id
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.state.entry.address
    }

    /// Notes that it failed this request.
    pub fn failed(&self) {
        self.state
            .record
            .lock()
            .record_failure(self.known.timer.now());
    }

    /// Notes that it has begun to answer.
    pub fn answered(&self) {
        let now = self.known.timer.now();
        let mut record = self.state.record.lock();
        record.record_response(self.incarnation, self.sent, now);
        self.awaits_no_more(&mut record);
        drop(record);
        if let Some(run) = self.run {
            self.known.poison.lock().response_started(run);
        }
    }

    fn awaits_no_more(&self, record: &mut UpstreamRecord) {
        if self.awaits.swap(false, Ordering::Relaxed) {
            record.response_ended(self.sent);
        }
    }

    /// Takes the load report that came with the reply.
    pub(crate) fn reported(&self, load: engine::UpstreamLoad) {
        self.known
            .reported(&self.state, self.asked, read_report(load));
    }

    /// Notes some tokens delivered.
    pub fn progressed(&self) {
        if let Some(run) = self.run {
            self.known.poison.lock().progressed(run);
        }
    }

    /// Notes that it served this request to its end.
    pub fn succeeded(&self) {
        let now = self.known.timer.now();
        self.state
            .record
            .lock()
            .evidence
            .record_response(self.incarnation, now);
        if let Some(run) = self.run {
            self.known.poison.lock().finished(run);
        }
    }

    /// Takes in why the upstream did not take the request, or broke off its answer, and finds out
    /// whether it died; only a death bears on whether the request is poisoned.
    ///
    /// This comes before the handle is dropped: only a request that is still counted as running
    /// there is known to have been there when the upstream died.
    pub(crate) async fn lost(&self, fault: &AttemptError) {
        match fault {
            AttemptError::Refused { kind } => self.refused(*kind),
            AttemptError::NotEligible | AttemptError::Held { .. } => {}
            AttemptError::Unproven => {
                self.failed();
                // Nothing was sent, so the request was not there when the upstream died.
                self.forget_run();
                self.find_out().await;
            }
            AttemptError::Http(fault) if fault.never_connected() => {
                self.failed();
                // No connection was made, so the request was not there when the upstream died.
                self.forget_run();
                self.find_out().await;
            }
            AttemptError::Http(HttpError::Call { .. } | HttpError::Body { .. })
            | AttemptError::Broken => {
                self.failed();
                self.find_out().await;
            }
            _ => self.failed(),
        }
    }

    /// Takes in that it refused the request.
    pub(crate) fn refused(&self, kind: engine::EngineRefusalKind) {
        if kind == engine::EngineRefusalKind::Leaving {
            let source = LeavingSource::Refusal;
            self.known
                .note_leaving(&self.state, self.incarnation, source);
        }
    }

    /// Asks the upstream whether it lives, if its request is a suspect; called right before the order
    /// is sent.
    ///
    /// A request that kills its upstream may do so before any answer is read, and then looks like one
    /// that was sent to an upstream that was dead already. Only this proof tells them apart.
    ///
    /// # Errors
    ///
    /// If it does not answer, or another process of it does.
    pub(crate) async fn prove_alive(&self) -> Result<(), AttemptError> {
        let Some(run) = self.run else {
            return Ok(());
        };
        if !self.known.poison.lock().needs_liveness_check(run) {
            return Ok(());
        }
        let asked = self
            .state
            .record
            .lock()
            .report_requested(self.known.timer.now());
        let load = self
            .known
            .connections
            .call_json(load_call(self.address()))
            .await
            .map_err(|fault| {
                tracing::info!(upstream = %self.id(), %fault, "no proof that the upstream lives");
                AttemptError::Unproven
            })?;
        let report = read_report(load);
        let same = report.incarnation == self.incarnation;
        self.known.reported(&self.state, asked, report);
        if !same {
            return Err(AttemptError::Unproven);
        }
        self.known.poison.lock().liveness_confirmed(run);
        Ok(())
    }

    /// The run as it is announced to other VMs, if its request is a suspect.
    pub(crate) fn suspect_run(&self) -> Option<SuspectRun> {
        self.known.poison.lock().suspect_run(self.run?)
    }

    /// Commits the request to this upstream: its order is sent next.
    ///
    /// # Errors
    ///
    /// If deaths under the request or its run on another VM became known since the upstream was chosen.
    pub(crate) fn commit(&self) -> Result<(), AttemptError> {
        let Some(run) = self.run else {
            return Ok(());
        };
        let now = self.known.timer.now();
        let committed = self.known.poison.lock().commit(run, now);
        committed.map_err(|hold| AttemptError::Held { hold })
    }

    async fn find_out(&self) {
        let _probing = self.state.probing.lock().await;
        let current = self.state.record.lock().evidence.incarnation();
        if current == Some(self.incarnation) {
            self.known.find_out(&self.state, self.incarnation).await;
        }
    }

    fn forget_run(&self) {
        if let Some(run) = self.run {
            self.known.poison.lock().abandoned(run);
        }
    }
}

impl Drop for UpstreamHandle {
    fn drop(&mut self) {
        let mut record = self.state.record.lock();
        record.record_end();
        self.awaits_no_more(&mut record);
        drop(record);
        self.forget_run();
    }
}
