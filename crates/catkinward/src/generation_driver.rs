use super::*;
use crate::{
    engine_client,
    engine_event::{AttemptError, EngineEvent},
    generation::GenerationOutcome,
    generation_admission::SUSPECT_PATIENCE,
    peer_exchange::ExchangeResult,
    problem::{Problem, ProblemKind},
    progress_replicator::ProgressReplicator,
    queued_request::QueuedRequest,
    running_attempt::{AttemptGuard, RunningAttempt},
    slot_guard::SlotGuard,
};

/// Bound until an engine answers an order with the headers of its stream.
const START_BOUND: Duration = Duration::from_millis(500);

/// Tokens after which the upstream's watch over suspects hears of progress.
const PROGRESS_TOKENS: u32 = 8;

/// How often one that waits for any upstream looks again.
const RETRY_PERIOD: Duration = Duration::from_millis(50);

/// Runs a generation to its end, over as many attempts as it takes.
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
        node.limits
            .give_back(&request.team, LimitKind::Tokens, unused);
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

/// Brings a generation to its end; how it meets losses stands in `recovery`.
pub(crate) struct Driver {
    pub(crate) node: Arc<Node>,
    pub(crate) generation: Arc<Generation>,
    /// Upstreams that this generation has been on since one was last found wanting.
    pub(crate) avoid: Vec<UpstreamId>,
    keeper: ProgressReplicator,
}

impl Driver {
    pub(crate) fn new(node: Arc<Node>, generation: Arc<Generation>) -> Self {
        Self {
            avoid: Vec::new(),
            keeper: ProgressReplicator::new(node.clone(), generation.clone()),
            node,
            generation,
        }
    }

    async fn run(&mut self, waiting: Option<QueuedRequest>) -> GenerationOutcome {
        if let Some(attempt) = Box::pin(self.go_on_with_left_running()).await {
            match self.follow(attempt).await {
                Ok(finish) => return GenerationOutcome::Whole(finish),
                Err(fault) => {
                    tracing::warn!(id = %self.generation.request.id, %fault, "attempt lost");
                }
            }
        }
        let mut place = match self.first_place(waiting).await {
            Ok(place) => place,
            Err(kind) => return GenerationOutcome::Failed(kind),
        };
        loop {
            let fault = match self.start(place).await {
                Ok(attempt) => match self.follow(attempt).await {
                    Ok(finish) => return GenerationOutcome::Whole(finish),
                    Err(fault) => fault,
                },
                Err(fault) => fault,
            };
            tracing::warn!(id = %self.generation.request.id, %fault, "attempt lost");
            place = match self.wait_for_upstream().await {
                Ok(next) => next,
                Err(kind) => return GenerationOutcome::Failed(kind),
            };
        }
    }

    /// The place that a new generation waits for in the queue, or that one which was taken over
    /// takes by itself.
    async fn first_place(
        &mut self,
        waiting: Option<QueuedRequest>,
    ) -> Result<SlotGuard, ProblemKind> {
        let Some(waiting) = waiting else {
            return self.wait_for_upstream().await;
        };
        let queued = Queued::new(());
        tokio::select! {
            granted = waiting.granted() => granted.map_err(|refusal| {
                let not_run = queued.refuse(refusal.reason, refusal.retry_after);
                Problem::not_run(&not_run).kind
            }),
            () = self.until_poisoned() => Err(self.poisoned()),
        }
    }

    /// Waits until upstreams have died under this request elsewhere. It will get no upstream then,
    /// and its team's other requests would wait behind it until its deadline.
    async fn until_poisoned(&self) {
        let (upstreams, body) = (&self.node.upstreams, self.generation.request.body);
        loop {
            upstreams.check_suspect(body).await;
            if upstreams.refuses(body) {
                return;
            }
            let wait = if upstreams.suspects(body) {
                RETRY_PERIOD
            } else {
                SUSPECT_PATIENCE
            };
            tokio::time::sleep(wait).await;
        }
    }

    /// Waits until an upstream can take the generation.
    ///
    /// # Errors
    ///
    /// Once its deadline is over, or upstreams died under it.
    async fn wait_for_upstream(&mut self) -> Result<SlotGuard, ProblemKind> {
        let start = self.node.timer.now();
        loop {
            let now = self.node.timer.now();
            if now >= self.generation.request.deadline {
                return Err(ProblemKind::Deadline);
            }
            let body = self.generation.request.body;
            self.node.upstreams.check_suspect(body).await;
            if self.is_poisoned().await {
                return Err(self.poisoned());
            }
            if let Some(place) = self.choose(now.since(start) > SUSPECT_PATIENCE) {
                return Ok(place);
            }
            self.avoid.clear();
            tokio::time::sleep(RETRY_PERIOD).await;
        }
    }

    /// Whether upstreams died under this request, here and by what other VMs know.
    ///
    /// Its caller sends it again as soon as it is refused. If that came to a VM that has not heard of the
    /// deaths, more upstreams would be lost to it: one sees two `upstream died` at one VM, `generation
    /// ended` with `Poisoned`, and `upstream died` at another VM before `a peer tells of a death`. So the
    /// others are told first. They also tell whom they hold to be the cause, as this request may have run
    /// beside it.
    async fn is_poisoned(&self) -> bool {
        let body = self.generation.request.body;
        let upstreams = &self.node.upstreams;
        if !upstreams.refuses(body) {
            return false;
        }
        let (Some(peers), true) = (&self.node.peers, self.generation.attempts() > Attempt(0))
        else {
            return true;
        };
        let (marks, start) = (upstreams.poison_marks_of(body), self.node.timer.now());
        let deaths = marks.len();
        let ExchangeResult {
            asked, answered, ..
        } = peers.confer(marks).await;
        let (refused, took) = (upstreams.refuses(body), self.node.timer.now().since(start));
        tracing::info!(id = %self.generation.request.id, %body, deaths, asked, answered, refused,
            took_ms = %took.as_millis(), "peers were asked about deaths under a request");
        refused
    }

    /// Announces the run of a suspect to the other VMs.
    async fn announce(&self, upstream: &SlotGuard) {
        let (Some(peers), Some(run)) = (&self.node.peers, upstream.suspect_run()) else {
            return;
        };
        let (body, start) = (run.digest, self.node.timer.now());
        let marks = self.node.upstreams.poison_marks_of(body);
        let tally = peers.announce(run, marks).await;
        let ExchangeResult {
            asked,
            awaited,
            answered,
        } = tally;
        let took = self.node.timer.now().since(start);
        tracing::info!(id = %self.generation.request.id, %body, upstream = %upstream.id(), asked,
            awaited, answered, took_ms = %took.as_millis(), "run of a suspect announced to peers");
    }

    /// How a poisoned request ends: as not run only if no attempt was ever sent.
    fn poisoned(&self) -> ProblemKind {
        match self.generation.attempts() {
            Attempt(0) => ProblemKind::PoisonedNotRun,
            _ => ProblemKind::Poisoned,
        }
    }

    pub(crate) fn choose(&self, urgent: bool) -> Option<SlotGuard> {
        let request = &self.generation.request;
        // A caller who has had part of the answer waits in the middle of it: an upstream without
        // room will do.
        let must = self.generation.next_index() > TokenIndex(0);
        let pool = self.node.admission.pool(&request.service);
        pool.take(request.lane(), must, |taken| {
            let want = UpstreamQuery {
                avoid: &[&self.avoid, taken].concat(),
                urgent,
                ..request.want()
            };
            self.node.upstreams.choose(&want).ok()
        })
    }

    /// Starts an attempt and makes it the live one.
    async fn start(&mut self, upstream: SlotGuard) -> Result<RunningAttempt, AttemptError> {
        let (reserved, order) = self.generation.reserve();
        self.generation.adopt(reserved);
        self.open(upstream, &order).await
    }

    pub(crate) async fn open(
        &mut self,
        upstream: SlotGuard,
        order: &engine::EngineGenerate,
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
        let mut guard = AttemptGuard::new(connections, upstream.address(), order);
        let suspect = upstream.suspect_run();
        let started = async {
            self.announce(&upstream).await;
            upstream.commit()?;
            upstream.prove_alive().await?;
            engine_client::start_attempt(connections, &upstream, order, START_BOUND).await
        };
        let stream = match started.await {
            Ok(stream) => stream,
            Err(fault) => {
                if let (Some(run), Some(peers), true) =
                    (suspect, &self.node.peers, fault.never_ran())
                {
                    peers.withdraw(run).await;
                }
                let found = Box::pin(self.find_started(&upstream, order, &fault)).await;
                if !fault.may_have_started() {
                    guard.release();
                }
                found.ok_or(fault)?
            }
        };
        Ok(RunningAttempt {
            upstream,
            stream,
            guard,
        })
    }

    /// Hands on tokens until the end, recovering what can be recovered.
    async fn follow(&mut self, mut attempt: RunningAttempt) -> Result<Finish, AttemptError> {
        loop {
            let fault = match self.relay_events(&mut attempt).await {
                Ok(finish) => return Ok(finish),
                Err(fault) => fault,
            };
            attempt.upstream.lost(&fault).await;
            self.record(
                EventKind::Suspected,
                attempt.stream.attempt(),
                attempt.upstream.id(),
                Some(fault.to_string().into()),
            );
            tracing::warn!(
                id = %self.generation.request.id,
                upstream = %attempt.upstream.id(),
                %fault,
                "stream lost"
            );
            if !matches!(fault, AttemptError::Silent { .. } | AttemptError::Broken) {
                return Err(fault);
            }
            // Boxed, as what is rare must not take memory in each stream's task.
            attempt = Box::pin(self.recover(attempt)).await?;
        }
    }

    async fn relay_events(&mut self, attempt: &mut RunningAttempt) -> Result<Finish, AttemptError> {
        self.generation.runs_on(attempt.upstream.id());
        let mut went_on = false;
        let mut stalls = StallDetector::default();
        loop {
            let waiting = self.node.timer.now();
            let mut event = attempt.stream.next(stalls.timeout()).await?;
            stalls.record_gap(self.node.timer.now().since(waiting));
            let mut finish = None;
            // All that has come already goes on together, with one round of copies.
            loop {
                let index = self.generation.next_index();
                finish = finish.or(self.relay_event(attempt, event)?);
                if !went_on && self.generation.next_index() > index {
                    went_on = true;
                    self.record_progress(attempt, index);
                }
                match attempt.stream.ready() {
                    Some(Ok(next)) if finish.is_none() => event = next,
                    _ => break,
                }
            }
            self.keeper.release().await;
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
                attempt.upstream.begun();
                if token.index.0 % PROGRESS_TOKENS == 0 {
                    attempt.upstream.progressed();
                }
                self.generation.token(token)?;
            }
            EngineEvent::End(end) => {
                if let Delivery::End(finish) = self.generation.end(&end)? {
                    attempt.guard.release();
                    attempt.upstream.ended();
                    attempt.upstream.succeeded();
                    return Ok(Some(finish));
                }
            }
        }
        Ok(None)
    }

    /// Records the first token that an attempt delivers over one connection.
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
