use super::*;

/// Guard of a run of a call on an upstream: the run counts as in flight there until the guard is
/// dropped. Placement uses the counts, so a leaked count would make the upstream appear busy for ever.
pub(crate) struct RunGuard {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) entry: Arc<UpstreamEntry>,
    pub(crate) path: SendPath,
    /// The run among those that wait for their first event, if it does.
    waiting: Option<WaitingRun>,
    /// Changes when the runs on the upstream fail over.
    pub(crate) failed_over: watch::Receiver<FailOver>,
    /// The run in the room of the upstream.
    run: RoomRun,
    /// Whether the upstream has sent data of the response.
    has_data: bool,
}

/// Signal to the runs on an upstream that it may have failed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailOver {
    /// Number of signals so far.
    count: u64,
    process_ended: bool,
}

/// Why the runs on an upstream fail over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FailOverReason {
    /// It did not answer a health check; it may go on.
    Unresponsive,
    /// Its process has ended, so none of its runs goes on.
    ProcessEnded,
}

impl FailOver {
    pub(crate) fn signal(&mut self, reason: FailOverReason) {
        self.count += 1;
        self.process_ended |= reason == FailOverReason::ProcessEnded;
    }

    fn reason(self) -> FailOverReason {
        if self.process_ended {
            FailOverReason::ProcessEnded
        } else {
            FailOverReason::Unresponsive
        }
    }
}

impl RunGuard {
    /// Counts a run of a call of `size`, with the prompt tokens that its upstream has to prefill. A run over a path through another VM
    /// says nothing about the own one, so its silence starts no health check.
    pub(crate) fn begin(
        gateway: &Arc<Gateway>,
        entry: Arc<UpstreamEntry>,
        size: CallSize,
        prompt_tokens: u32,
        path: SendPath,
    ) -> Self {
        let now = gateway.timer.now();
        let mut state = gateway.state.lock();
        let is_scheduled = state.scheduling(&entry.service, now).is_scheduled;
        let peer_prefill = if is_scheduled && prompt_tokens > 0 {
            state.peers.view(now).prefill_left(&entry.id)
        } else {
            Duration::ZERO
        };
        let upstream = state.upstream(&entry, now);
        if path.is_direct() {
            upstream.health.call_started(now);
        }
        let prefill = if is_scheduled {
            let speed = upstream.room.speed();
            speed.prefill_time(f64::from(prompt_tokens), now)
        } else {
            prefill_time(prompt_tokens)
        };
        upstream.load.call_started_with(prefill, now);
        let run = upstream
            .room
            .run_started(size, prompt_tokens, peer_prefill, now);
        let failed_over = upstream.failed_over.subscribe();
        drop(state);
        if prompt_tokens > 0 {
            gateway.dispatches.record(&entry);
        }
        Self {
            gateway: gateway.clone(),
            entry,
            path,
            waiting: None,
            failed_over,
            run,
            has_data: false,
        }
    }

    /// Counts the run as one that waits for its first event. It `resumes` a stream if its caller has received events.
    pub(crate) fn waits_for_event(mut self, resumes: bool) -> Self {
        if self.path.is_direct() {
            let now = self.gateway.timer.now();
            let run = WaitingRun { sent: now, resumes };
            self.waiting = Some(run);
            let mut state = self.gateway.state.lock();
            state.upstream(&self.entry, now).health.waiting.add(run);
        }
        self
    }

    /// Records that data of the response has arrived: with the first event, the prompt is prefilled.
    pub(crate) fn record_data(&mut self) {
        if std::mem::replace(&mut self.has_data, true) {
            return;
        }
        let now = self.gateway.timer.now();
        let mut state = self.gateway.state.lock();
        if let Some(upstream) = state.existing_upstream(&self.entry.id) {
            upstream.room.first_event(self.run, now);
            if let Some(run) = self.waiting.take() {
                upstream.health.waiting.remove(run);
            }
        }
        drop(state);
        self.gateway.room_may_have_changed();
    }

    /// Waits until the runs on the upstream fail over.
    pub(crate) async fn failed_over(&mut self) -> FailOverReason {
        while self.failed_over.changed().await.is_ok() {
            let reason = self.failed_over.borrow_and_update().reason();
            // Own health checks say nothing about a path through another VM.
            if self.path.is_direct() || reason == FailOverReason::ProcessEnded {
                return reason;
            }
        }
        // The upstream no longer exists.
        std::future::pending().await
    }

    /// Waits until the process of the upstream has ended.
    pub(crate) async fn process_ended(&mut self) {
        while self.failed_over().await != FailOverReason::ProcessEnded {}
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let now = self.gateway.timer.now();
        let mut state = self.gateway.state.lock();
        let upstream = state.upstream(&self.entry, now);
        if self.path.is_direct() {
            upstream.health.call_ended();
        }
        if let Some(run) = self.waiting {
            upstream.health.waiting.remove(run);
        }
        upstream.load.call_ended();
        upstream.room.run_ended(self.run);
        drop(state);
        self.gateway.room_may_have_changed();
    }
}
