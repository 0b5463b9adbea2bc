use super::*;
use crate::{
    engine_event::AttemptError,
    http_client::HttpError,
    upstream_observer::{UpstreamObserver, load_call},
    upstream_state::{UpstreamState, read_report},
};

/// Handle of one request on an upstream. The request counts as running there until the handle is
/// dropped.
///
/// A handle for new work requires an [`Eligible`], and orders are only sent through handles, so no
/// new work is sent to an upstream that must not receive any.
pub struct UpstreamHandle {
    known: Arc<UpstreamObserver>,
    state: Arc<UpstreamState>,
    incarnation: Incarnation,
    /// `None` for a request that is already running on the upstream.
    eligible: Option<Eligible>,
    sent: Instant,
    /// Whether the response is still outstanding.
    awaits: AtomicBool,
    asked: AskedReport,
    run: Option<TrackedRunId>,
}

impl UpstreamHandle {
    /// Creates a handle for new work.
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

    /// Creates a handle for a request that is already running on the upstream.
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

    /// Checks that the upstream may receive new work now.
    ///
    /// # Errors
    ///
    /// If the handle is not for new work, or its [`Eligible`] has expired.
    pub(crate) fn check_eligible(&self) -> Result<(), AttemptError> {
        let now = self.known.timer.now();
        match &self.eligible {
            Some(eligible) if eligible.is_valid(now) => Ok(()),
            _ => Err(AttemptError::NotEligible),
        }
    }

    /// Returns the id of the upstream.
    #[must_use]
    pub fn id(&self) -> &UpstreamId {
        &self.state.entry.id
    }

    /// Returns the address that the upstream listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.state.entry.address
    }

    /// Records that the upstream failed this request.
    pub fn failed(&self) {
        self.state
            .record
            .lock()
            .record_failure(self.known.timer.now());
    }

    /// Records that the upstream has started its response.
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
            record.response_settled(self.sent);
        }
    }

    /// Records the load report that came with the response.
    pub(crate) fn reported(&self, load: engine::UpstreamLoad) {
        self.known
            .reported(&self.state, self.asked, read_report(load));
    }

    /// Records that some tokens have been delivered.
    pub fn progressed(&self) {
        if let Some(run) = self.run {
            self.known.poison.lock().progressed(run);
        }
    }

    /// Records that the upstream completed this request.
    pub fn succeeded(&self) {
        let now = self.known.timer.now();
        self.state
            .record
            .lock()
            .evidence
            .record_reply(self.incarnation, now);
        if let Some(run) = self.run {
            self.known.poison.lock().finished(run);
        }
    }

    /// Records why the upstream refused the request or interrupted its response, and probes whether
    /// the upstream crashed. Only a crash counts towards quarantining the request.
    ///
    /// Call this before the handle is dropped: a crash is only recorded for requests that count as
    /// running on the upstream.
    pub(crate) async fn lost(&self, fault: &AttemptError) {
        match fault {
            AttemptError::Refused { kind } => self.refused(*kind),
            AttemptError::NotEligible | AttemptError::Held { .. } => {}
            AttemptError::Unproven => {
                self.failed();
                // Nothing was sent, so the request was not running there if the upstream crashed.
                self.forget_run();
                self.find_out().await;
            }
            AttemptError::Http(fault) if fault.never_connected() => {
                self.failed();
                // No connection was made, so the request was not running there if the upstream crashed.
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

    /// Records that the upstream refused the request.
    pub(crate) fn refused(&self, kind: engine::EngineRefusalKind) {
        if kind == engine::EngineRefusalKind::Leaving {
            let source = LeavingSource::Refusal;
            self.known
                .note_leaving(&self.state, self.incarnation, source);
        }
    }

    /// Probes whether the upstream is alive if the request is a suspect; called immediately before the
    /// order is sent.
    ///
    /// A request may crash its upstream before any response is read, which looks the same as a request
    /// sent to an upstream that was already dead. Only this probe distinguishes the two cases.
    ///
    /// # Errors
    ///
    /// If the upstream does not answer, or a different process answers.
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
                tracing::info!(upstream = %self.id(), %fault, "liveness probe before a suspect request failed");
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

    /// Returns the run as announced to other VMs, if the request is a suspect.
    pub(crate) fn suspect_run(&self) -> Option<SuspectRun> {
        self.known.poison.lock().suspect_run(self.run?)
    }

    /// Commits the request to this upstream; its order is sent next.
    ///
    /// # Errors
    ///
    /// If a crash under the request, or a run of it on another VM, has become known since the
    /// upstream was selected.
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
