use super::*;
use crate::{
    engine_event::AttemptError,
    http_client::HttpError,
    upstream_observer::{UpstreamObserver, liveness_probe},
    upstream_state::{UpstreamState, read_report},
};

/// Delay before the second probe of an upstream that interrupted a suspect request and answered the
/// first probe: a process that is about to exit may still answer after its streams broke off.
const SUSPECT_RECHECK_DELAY: Duration = Duration::from_millis(30);

/// Handle of one request on an upstream. The request counts as running there until the handle is
/// dropped.
///
/// A handle for new work requires an [`Eligible`], and orders are only sent through handles, so no
/// new work is sent to an upstream that must not receive any.
pub struct UpstreamHandle {
    observer: Arc<UpstreamObserver>,
    state: Arc<UpstreamState>,
    incarnation: Incarnation,
    /// `None` for a request that is already running on the upstream.
    eligible: Option<Eligible>,
    sent: Instant,
    /// Whether the response is still outstanding.
    awaits_response: AtomicBool,
    requested: PendingReport,
    run: Option<TrackedRunId>,
}

impl UpstreamHandle {
    /// Creates a handle for new work.
    pub(crate) fn new(
        observer: &Arc<UpstreamObserver>,
        state: &Arc<UpstreamState>,
        eligible: Eligible,
        run: Option<TrackedRunId>,
    ) -> Self {
        let mut handle = Self::for_running(observer, state, eligible.incarnation());
        handle.eligible = Some(eligible);
        handle.awaits_response.store(true, Ordering::Relaxed);
        handle.state.record.lock().response_awaited(handle.sent);
        handle.run = run;
        handle
    }

    /// Creates a handle for a request that is already running on the upstream.
    pub(crate) fn for_running(
        observer: &Arc<UpstreamObserver>,
        state: &Arc<UpstreamState>,
        incarnation: Incarnation,
    ) -> Self {
        let now = observer.timer.now();
        let mut record = state.record.lock();
        record.record_dispatch();
        Self {
            observer: observer.clone(),
            state: state.clone(),
            incarnation,
            eligible: None,
            sent: now,
            awaits_response: AtomicBool::new(false),
            requested: record.report_requested(now),
            run: None,
        }
    }

    /// Checks that the upstream may receive new work now.
    ///
    /// # Errors
    ///
    /// If the handle is not for new work, or its [`Eligible`] has expired.
    pub(crate) fn check_eligible(&self) -> Result<(), AttemptError> {
        let now = self.observer.timer.now();
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
    pub fn record_failure(&self) {
        self.state
            .record
            .lock()
            .record_failure(self.observer.timer.now());
    }

    /// Records that the upstream has started its response.
    pub fn record_response_start(&self) {
        let now = self.observer.timer.now();
        let mut record = self.state.record.lock();
        record.record_response(self.incarnation, self.sent, now);
        self.settle_response(&mut record);
        drop(record);
        if let Some(run) = self.run {
            self.observer.poison.lock().response_started(run);
        }
    }

    fn settle_response(&self, record: &mut UpstreamRecord) {
        if self.awaits_response.swap(false, Ordering::Relaxed) {
            record.response_ended(self.sent);
        }
    }

    /// Records the load report that came with the response.
    pub(crate) fn record_report(&self, load: engine::UpstreamLoad) {
        self.observer
            .record_report(&self.state, self.requested, read_report(load));
    }

    /// Records that some tokens have been delivered.
    pub fn record_progress(&self) {
        if let Some(run) = self.run {
            self.observer.poison.lock().progressed(run);
        }
    }

    /// Records that the upstream completed this request.
    pub fn record_success(&self) {
        let now = self.observer.timer.now();
        self.state
            .record
            .lock()
            .evidence
            .record_response(self.incarnation, now);
        if let Some(run) = self.run {
            self.observer.poison.lock().completed(run);
        }
    }

    /// Records why the upstream refused the request or interrupted its response, and probes whether
    /// the upstream crashed. Only a crash counts towards quarantining the request.
    ///
    /// Call this before the handle is dropped: a crash is only recorded for requests that count as
    /// running on the upstream.
    pub(crate) async fn record_error(&self, error: &AttemptError) {
        match error {
            AttemptError::Refused { kind } => self.record_refusal(*kind),
            AttemptError::NotEligible | AttemptError::Blocked { .. } => {}
            AttemptError::LivenessUnproven => {
                self.record_failure();
                // Nothing was sent, so the request was not running there if the upstream crashed.
                self.record_never_ran();
                self.probe().await;
            }
            AttemptError::Http(error) if error.never_connected() => {
                self.record_failure();
                let responded = !self.awaits_response.load(Ordering::Relaxed);
                tracing::info!(upstream = %self.id(), responded,
                    "run not counted: no connection was made");
                // No connection was made, so the request was not running there if the upstream
                // crashed.
                self.record_never_ran();
                self.probe().await;
            }
            AttemptError::Http(HttpError::Call { .. } | HttpError::TruncatedBody { .. })
            | AttemptError::Broken => {
                self.record_failure();
                self.probe().await;
            }
            // The end of the connection may be lost, or may not have been read yet. Requests that are
            // no suspects are not delayed by the probe.
            AttemptError::Silent { .. } => {
                self.record_failure();
                if let Some(run) = self.run {
                    self.observer.poison.lock().fell_silent(run);
                }
                if self.is_on_probation() {
                    self.probe().await;
                }
            }
            _ => self.record_failure(),
        }
    }

    /// As [`Self::record_error`], for an attempt to reattach to the running request. If no connection
    /// can be made, the request was running there nevertheless.
    pub(crate) async fn record_reattach_error(&self, error: &AttemptError) {
        match error {
            AttemptError::Http(error) if error.never_connected() => {
                self.record_failure();
                self.probe().await;
            }
            error => self.record_error(error).await,
        }
    }

    /// Records that the upstream refused the request.
    pub(crate) fn record_refusal(&self, kind: engine::EngineRefusalKind) {
        if kind == engine::EngineRefusalKind::Leaving {
            let source = LeavingSource::Refusal;
            self.observer
                .record_leaving(&self.state, self.incarnation, source);
        }
    }

    /// Probes the upstream of a suspect request immediately before the order is sent.
    ///
    /// # Errors
    ///
    /// If the upstream does not answer, or a different process answers.
    pub(crate) async fn probe_liveness(&self) -> Result<(), AttemptError> {
        let Some(run) = self.run else {
            return Ok(());
        };
        if !self.observer.poison.lock().needs_liveness_check(run) {
            return Ok(());
        }
        // A request may crash its upstream before any response is read, which looks the same as a
        // request sent to an upstream that was already dead. Only this probe distinguishes the two
        // cases.
        let requested = self
            .state
            .record
            .lock()
            .report_requested(self.observer.timer.now());
        let load = self
            .observer
            .connections
            .call_json(liveness_probe(self.address()))
            .await
            .map_err(|error| {
                tracing::info!(upstream = %self.id(), fault = %error,
                    "liveness probe before a suspect request failed");
                AttemptError::LivenessUnproven
            })?;
        let report = read_report(load);
        let is_same_process = report.incarnation == self.incarnation;
        self.observer.record_report(&self.state, requested, report);
        if !is_same_process {
            return Err(AttemptError::LivenessUnproven);
        }
        self.observer.poison.lock().liveness_confirmed(run);
        Ok(())
    }

    /// Returns the run as announced to other VMs, if the request is a suspect.
    pub(crate) fn suspect_run(&self) -> Option<SuspectRun> {
        self.observer.poison.lock().suspect_run(self.run?)
    }

    /// Commits the request to this upstream; its order is sent next.
    ///
    /// # Errors
    ///
    /// If a crash under the request or its run on another VM was recorded since the selection.
    pub(crate) fn commit(&self) -> Result<(), AttemptError> {
        let Some(run) = self.run else {
            return Ok(());
        };
        let now = self.observer.timer.now();
        let committed = self.observer.poison.lock().commit(run, now);
        committed.map_err(|block| AttemptError::Blocked { block })
    }

    async fn probe(&self) {
        let _probing = self.state.probing.lock().await;
        let current = self.state.record.lock().evidence.incarnation();
        if current != Some(self.incarnation) {
            return;
        }
        let has_crashed = self.observer.probe(&self.state, self.incarnation).await;
        if !has_crashed && self.is_on_probation() {
            tokio::time::sleep(SUSPECT_RECHECK_DELAY).await;
            self.observer.probe(&self.state, self.incarnation).await;
        }
    }

    fn is_on_probation(&self) -> bool {
        let poison = self.observer.poison.lock();
        self.run.is_some_and(|run| poison.needs_liveness_check(run))
    }

    /// Records that the request was not sent, or that the upstream did not accept it.
    pub(crate) fn record_never_ran(&self) {
        if let Some(run) = self.run {
            self.observer.poison.lock().never_ran(run);
        }
    }
}

impl Drop for UpstreamHandle {
    fn drop(&mut self) {
        let mut record = self.state.record.lock();
        record.record_end();
        self.settle_response(&mut record);
        drop(record);
        if let Some(run) = self.run {
            let now = self.observer.timer.now();
            self.observer.poison.lock().abandoned(run, now);
        }
    }
}
