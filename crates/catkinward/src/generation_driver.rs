use super::*;
use crate::{
    engine_client,
    engine_event::{AttemptError, EngineEvent},
    generation::GenerationOutcome,
    generation_admission::SUSPECT_MAX_WAIT,
    peer_exchange::ExchangeResult,
    problem::{Problem, ProblemKind},
    progress_replicator::ProgressReplicator,
    queued_request::QueuedRequest,
    running_attempt::{AttemptGuard, RunningAttempt},
    slot_guard::SlotGuard,
};

/// Timeout for an engine to respond to an order with the headers of its stream.
const START_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of tokens between progress reports to the upstream's observation of suspect requests.
const TOKENS_PER_PROGRESS_REPORT: u32 = 8;

/// Head start of the check whether an upstream crashed that left an order unanswered, over the next
/// attempt. The port of a crashed process refuses connections within a round trip.
const CHECK_HEAD_START: Duration = Duration::from_millis(25);

/// How often a generation that waits for an upstream checks again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a generation to its end, over as many attempts as needed.
pub(crate) async fn drive(
    node: Arc<Node>,
    generation: Arc<Generation>,
    waiting: Option<QueuedRequest>,
) {
    let admitted_here = waiting.is_some();
    let mut driver = Driver::new(node.clone(), generation.clone());
    let mut cancelled = generation.cancelled();
    let mut superseded = generation.superseded();
    let left = generation.request.deadline.since(node.timer.now());
    let outcome = tokio::select! {
        outcome = driver.run(waiting) => outcome,
        _ = cancelled.wait_for(|cancelled| *cancelled) => {
            GenerationOutcome::Failed(ProblemKind::Cancelled)
        }
        _ = superseded.wait_for(|superseded| *superseded) => {
            GenerationOutcome::Failed(ProblemKind::Superseded)
        }
        () = tokio::time::sleep(left) => GenerationOutcome::Failed(ProblemKind::Deadline),
    };
    tracing::info!(
        id = %generation.request.id,
        attempts = %generation.attempts(),
        tokens = %generation.next_index(),
        ?outcome,
        "generation ended"
    );
    record_end(&node, &generation, outcome);
    if admitted_here && outcome != GenerationOutcome::Failed(ProblemKind::Superseded) {
        let request = &generation.request;
        let unused = request.max_tokens.saturating_sub(generation.next_index().0);
        node.limits.refund(&request.team, LimitKind::Tokens, unused);
    }
    generation.conclude(outcome);
}

fn record_end(node: &Node, generation: &Generation, outcome: GenerationOutcome) {
    let (kind, detail): (_, &str) = match outcome {
        GenerationOutcome::Whole(finish) => (EventKind::Whole, finish.into()),
        GenerationOutcome::Failed(kind) => (EventKind::Failed, kind.into()),
    };
    node.timeline.record(Event {
        request: Some(generation.request.id.clone()),
        attempt: Some(generation.attempts()),
        bundle: Some(generation.request.bundle),
        detail: Some(detail.into()),
        ..Event::new(kind)
    });
    metrics::counter!("catkin_generations_total", "end" => detail).increment(1);
    let dropped = generation.dropped();
    let reasons = [
        (DropReason::AfterEnd, dropped.after_end),
        (DropReason::OldAttempt, dropped.old_attempt),
        (DropReason::Repeated, dropped.repeated),
    ];
    for (reason, count) in reasons.into_iter().filter(|(_, count)| *count > 0) {
        let reason: &str = reason.into();
        metrics::counter!("catkin_dropped_events_total", "reason" => reason).increment(count);
    }
}

/// Runs the attempts of a generation; recovery from lost streams is in the module `recovery`.
pub(crate) struct Driver {
    pub(crate) node: Arc<Node>,
    pub(crate) generation: Arc<Generation>,
    /// Upstreams that this generation has used since the list was last cleared, which happens when
    /// no other upstream is available.
    pub(crate) avoid: Vec<UpstreamId>,
    replicator: ProgressReplicator,
}

impl Driver {
    pub(crate) fn new(node: Arc<Node>, generation: Arc<Generation>) -> Self {
        Self {
            avoid: Vec::new(),
            replicator: ProgressReplicator::new(node.clone(), generation.clone()),
            node,
            generation,
        }
    }

    async fn run(&mut self, waiting: Option<QueuedRequest>) -> GenerationOutcome {
        if let Some(attempt) = Box::pin(self.resume_orphaned_attempt()).await {
            match self.follow(attempt).await {
                Ok(finish) => return GenerationOutcome::Whole(finish),
                Err(error) => {
                    tracing::warn!(id = %self.generation.request.id, fault = %error, "attempt lost");
                }
            }
        }
        let mut slot = match self.first_slot(waiting).await {
            Ok(slot) => slot,
            Err(kind) => return GenerationOutcome::Failed(kind),
        };
        loop {
            let error = match self.start(slot).await {
                Ok(attempt) => match self.follow(attempt).await {
                    Ok(finish) => return GenerationOutcome::Whole(finish),
                    Err(error) => error,
                },
                Err(error) => error,
            };
            tracing::warn!(id = %self.generation.request.id, fault = %error, "attempt lost");
            if error.shows_takeover() {
                return GenerationOutcome::Failed(ProblemKind::Superseded);
            }
            slot = match self.wait_for_upstream().await {
                Ok(next) => next,
                Err(kind) => return GenerationOutcome::Failed(kind),
            };
        }
    }

    /// Obtains the first slot: through the queue for a new generation, directly for one that was
    /// taken over from another VM.
    async fn first_slot(
        &mut self,
        waiting: Option<QueuedRequest>,
    ) -> Result<SlotGuard, ProblemKind> {
        let Some(waiting) = waiting else {
            return self.wait_for_upstream().await;
        };
        let queued = Queued::new(());
        tokio::select! {
            granted = waiting.wait_for_slot() => granted.map_err(|refusal| {
                let not_run = queued.refuse(refusal.reason, refusal.retry_after);
                Problem::not_run(&not_run).kind
            }),
            () = self.wait_until_poisoned() => Err(self.poisoned_kind()),
        }
    }

    /// Waits until the request is poisoned by upstream crashes on other VMs. No upstream accepts it
    /// then, and until its deadline it would block the other requests of its team in the queue.
    async fn wait_until_poisoned(&self) {
        let (upstreams, body) = (&self.node.upstreams, self.generation.request.body);
        loop {
            upstreams.check_suspect(body).await;
            if upstreams.is_refused(body) {
                return;
            }
            let delay = if upstreams.is_suspect(body) {
                RETRY_INTERVAL
            } else {
                SUSPECT_MAX_WAIT
            };
            tokio::time::sleep(delay).await;
        }
    }

    /// Waits until an upstream can accept the generation.
    ///
    /// # Errors
    ///
    /// If its deadline passes, or the request is poisoned.
    async fn wait_for_upstream(&mut self) -> Result<SlotGuard, ProblemKind> {
        let start = self.node.timer.now();
        loop {
            let now = self.node.timer.now();
            if now >= self.generation.request.deadline {
                return Err(ProblemKind::Deadline);
            }
            let body = self.generation.request.body;
            self.check_open_runs(body).await;
            if self.is_poisoned().await {
                return Err(self.poisoned_kind());
            }
            if let Some(slot) = self.choose(now.since(start) > SUSPECT_MAX_WAIT) {
                return Ok(slot);
            }
            self.avoid.clear();
            self.node.upstreams.check_suspect(body).await;
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Checks the upstreams that may still run the request. If it is no suspect, it does not wait for
    /// one that is slow to answer.
    async fn check_open_runs(&self, body: RequestDigest) {
        let upstreams = &self.node.upstreams;
        let check = upstreams.check_suspect(body);
        if upstreams.is_suspect(body) {
            check.await;
        } else {
            let _ = tokio::time::timeout(CHECK_HEAD_START, check).await;
        }
    }

    /// Returns whether the request is poisoned, by the crash records of this VM and its peers.
    async fn is_poisoned(&self) -> bool {
        let body = self.generation.request.body;
        let upstreams = &self.node.upstreams;
        if !upstreams.is_refused(body) {
            return false;
        }
        // Peers receive the records first: the caller retries a refused request at once, which would
        // crash more upstreams on a VM without them. The logs would show two crashes and `generation
        // ended` with `Poisoned` on one VM, then a crash on another before `a peer tells of a death`.
        // Peers reply with the request that they blame, as this one may have run beside it.
        let (Some(peers), true) = (&self.node.peers, self.generation.attempts() > Attempt(0))
        else {
            return true;
        };
        let (records, start) = (upstreams.poison_records_of(body), self.node.timer.now());
        let crashes = records.len();
        let ExchangeResult {
            asked, answered, ..
        } = peers.query_crash_records(records).await;
        let (refused, took) = (
            upstreams.is_refused(body),
            self.node.timer.now().since(start),
        );
        tracing::info!(id = %self.generation.request.id, %body, deaths = crashes, asked, answered,
            refused, took_ms = %took.as_millis(), "peers were asked about deaths under a request");
        refused
    }

    /// Announces the run of a suspect request to the other VMs.
    async fn announce_run(&self, upstream: &SlotGuard) {
        let (Some(peers), Some(run)) = (&self.node.peers, upstream.suspect_run()) else {
            return;
        };
        let (body, start) = (run.digest, self.node.timer.now());
        let records = self.node.upstreams.poison_records_of(body);
        let result = peers.announce(run, records).await;
        let ExchangeResult {
            asked,
            awaited,
            answered,
        } = result;
        let took = self.node.timer.now().since(start);
        tracing::info!(id = %self.generation.request.id, %body, upstream = %upstream.id(), asked,
            awaited, answered, took_ms = %took.as_millis(), "run of a suspect announced to peers");
    }

    /// Returns how a poisoned request ends: as not run only if no attempt was made.
    fn poisoned_kind(&self) -> ProblemKind {
        match self.generation.attempts() {
            Attempt(0) => ProblemKind::PoisonedNotRun,
            _ => ProblemKind::Poisoned,
        }
    }

    pub(crate) fn choose(&self, urgent: bool) -> Option<SlotGuard> {
        let request = &self.generation.request;
        // A caller that has received part of the response is waiting for the rest, so an upstream
        // without free capacity is acceptable.
        let allow_full = self.generation.next_index() > TokenIndex(0);
        let pool = self.node.admission.pool(&request.service);
        pool.take_slot(request.lane(), allow_full, |taken| {
            let query = UpstreamQuery {
                avoid: &[&self.avoid, taken].concat(),
                urgent,
                ..request.upstream_query()
            };
            self.node.upstreams.choose(&query).ok()
        })
    }

    /// Starts a new attempt and makes it the live one.
    async fn start(&mut self, upstream: SlotGuard) -> Result<RunningAttempt, AttemptError> {
        let (reserved, order) = self.generation.reserve();
        self.generation.adopt(reserved);
        self.open(upstream, order).await
    }

    pub(crate) async fn open(
        &mut self,
        upstream: SlotGuard,
        mut order: engine::EngineGenerate,
    ) -> Result<RunningAttempt, AttemptError> {
        self.avoid.push(upstream.id().clone());
        let attempt = Attempt(order.attempt);
        let kind = match attempt {
            Attempt(1) => EventKind::Dispatched,
            _ => EventKind::NewAttempt,
        };
        self.record(kind, attempt, upstream.id(), None);
        metrics::counter!("catkin_attempts_total").increment(1);
        let connections = &self.node.connections;
        let mut guard = AttemptGuard::new(connections, upstream.address(), &order);
        let suspect = upstream.suspect_run();
        let started = async {
            self.announce_run(&upstream).await;
            upstream.commit()?;
            upstream.probe_liveness().await?;
            engine_client::start_attempt(connections, &upstream, &mut order, START_TIMEOUT).await
        };
        let stream = match started.await {
            Ok(stream) => stream,
            Err(error) => {
                if let (Some(run), Some(peers), true) =
                    (suspect, &self.node.peers, error.never_ran())
                {
                    peers.withdraw(run).await;
                }
                let found = Box::pin(self.reattach_after_order(&upstream, &order, &error)).await;
                if !error.may_have_started() {
                    guard.disarm();
                    upstream.record_never_ran();
                }
                found.ok_or(error)?
            }
        };
        Ok(RunningAttempt {
            upstream,
            stream,
            guard,
        })
    }

    /// Relays tokens until the end, and recovers from lost streams where possible.
    async fn follow(&mut self, mut attempt: RunningAttempt) -> Result<Finish, AttemptError> {
        loop {
            let error = match self.relay_events(&mut attempt).await {
                Ok(finish) => return Ok(finish),
                Err(error) => error,
            };
            attempt.upstream.record_error(&error).await;
            self.record(
                EventKind::Suspected,
                attempt.stream.attempt(),
                attempt.upstream.id(),
                Some(error.to_string().into()),
            );
            tracing::warn!(
                id = %self.generation.request.id,
                upstream = %attempt.upstream.id(),
                fault = %error,
                "stream lost"
            );
            if !matches!(error, AttemptError::Silent { .. } | AttemptError::Broken) {
                return Err(error);
            }
            // Boxed, so that this rare path does not increase the memory of each stream's task.
            attempt = Box::pin(self.recover(attempt)).await?;
        }
    }

    async fn relay_events(&mut self, attempt: &mut RunningAttempt) -> Result<Finish, AttemptError> {
        self.generation.set_upstream(attempt.upstream.id());
        let mut has_progressed = false;
        let mut stalls = StallDetector::default();
        loop {
            let waiting = self.node.timer.now();
            let mut event = attempt.stream.next(stalls.timeout()).await?;
            stalls.record_gap(self.node.timer.now().since(waiting));
            let mut finish = None;
            // All events that have already arrived are relayed together, with one replication
            // round.
            loop {
                let index = self.generation.next_index();
                finish = finish.or(self.relay_event(attempt, event)?);
                if !has_progressed && self.generation.next_index() > index {
                    has_progressed = true;
                    self.record_progress(attempt, index);
                }
                match attempt.stream.try_next() {
                    Some(Ok(next)) if finish.is_none() => event = next,
                    _ => break,
                }
            }
            self.replicator.release().await;
            if let Some(finish) = finish {
                return Ok(finish);
            }
        }
    }

    fn relay_event(
        &self,
        attempt: &mut RunningAttempt,
        event: EngineEvent,
    ) -> Result<Option<Finish>, AttemptError> {
        match event {
            EngineEvent::Heartbeat => {}
            EngineEvent::Token(token) => {
                attempt.upstream.record_first_part();
                if token.index.0 % TOKENS_PER_PROGRESS_REPORT == 0 {
                    attempt.upstream.record_progress();
                }
                self.generation.token(token)?;
            }
            EngineEvent::End(end) => {
                if let Delivery::End(finish) = self.generation.end(&end)? {
                    attempt.guard.disarm();
                    attempt.upstream.record_completion();
                    attempt.upstream.record_success();
                    return Ok(Some(finish));
                }
            }
        }
        Ok(None)
    }

    /// Records the first token that an attempt delivers over a connection.
    fn record_progress(&self, attempt: &RunningAttempt, index: TokenIndex) {
        let kind = match index {
            TokenIndex(0) => EventKind::FirstToken,
            _ => EventKind::Resumed,
        };
        let detail = format!("token {index}");
        let number = attempt.stream.attempt();
        self.record(kind, number, attempt.upstream.id(), Some(detail.into()));
    }

    pub(crate) fn record(
        &self,
        kind: EventKind,
        attempt: Attempt,
        upstream: &UpstreamId,
        detail: Option<Arc<str>>,
    ) {
        self.node.timeline.record(Event {
            request: Some(self.generation.request.id.clone()),
            attempt: Some(attempt),
            upstream: Some(upstream.clone()),
            bundle: Some(self.generation.request.bundle),
            detail,
            ..Event::new(kind)
        });
    }
}
