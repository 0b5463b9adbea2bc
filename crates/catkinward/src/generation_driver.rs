use super::*;
use crate::{
    admission_pool::{ChooseUpstream, Refusal},
    attempt_stream::AttemptStream,
    engine_client::{self, Reattach},
    engine_event::{AttemptFault, EngineEvent},
    generation::GenerationOutcome,
    generation_request::GenerationRequest,
    place::Place,
    problem::{Problem, ProblemKind},
    progress_keeper::ProgressKeeper,
    waiting_place::WaitingPlace,
};

/// Bound until an engine answers an order with the headers of its stream.
const START_BOUND: Duration = Duration::from_millis(500);

/// Bound until a probe of a running attempt is answered.
const PROBE_BOUND: Duration = Duration::from_millis(500);

/// Bound until a second attempt makes its first token or says that it is waiting.
const SECOND_BOUND: Duration = Duration::from_secs(1);

/// Tokens after which the upstream's watch over suspects hears of progress.
const PROGRESS_TOKENS: u32 = 8;

/// How long a suspected request waits for an upstream that this VM watches.
const SUSPECT_PATIENCE: Duration = Duration::from_secs(1);

/// Time that the probe of a running attempt has before a second attempt starts. A live engine answers
/// within a round trip of a few milliseconds, and the second attempt would only be cancelled again.
const HEAD_START: Duration = Duration::from_millis(25);

/// How often one that waits for any upstream looks again.
const RETRY_PERIOD: Duration = Duration::from_millis(50);

/// Lets a generation wait for its first place.
///
/// # Errors
///
/// At once, if upstreams died under the same request before, its team's limit is reached, or it
/// could not start in time.
pub(crate) fn offer(
    node: &Node,
    request: &GenerationRequest,
    team: QueueTeam,
) -> Result<WaitingPlace, Refusal> {
    let pool = node.admission.pool(&request.service);
    if node.upstreams.refuses(request.body) {
        pool.count_refusal(RefusalReason::Poisoned);
        return Err(Refusal {
            reason: RefusalReason::Poisoned,
            retry_after: Duration::ZERO,
        });
    }
    take_from_limits(node, request).map_err(|retry_after| {
        pool.count_refusal(RefusalReason::TeamLimit);
        Refusal {
            reason: RefusalReason::TeamLimit,
            retry_after,
        }
    })?;
    let offered = pool.offer(&request.arrival(team), chooser(node, request));
    offered.inspect_err(|_| {
        let limits = &node.limits;
        limits.give_back(&request.team, LimitKind::Requests, 1);
        limits.give_back(&request.team, LimitKind::Tokens, request.max_tokens);
    })
}

/// Takes a request and all tokens that it may generate from its team's limits.
fn take_from_limits(node: &Node, request: &GenerationRequest) -> Result<(), Duration> {
    let (limits, team) = (&node.limits, &request.team);
    limits.take(team, LimitKind::Requests, 1)?;
    let tokens = limits.take(team, LimitKind::Tokens, request.max_tokens);
    tokens.inspect_err(|_| limits.give_back(team, LimitKind::Requests, 1))
}

fn chooser(node: &Node, request: &GenerationRequest) -> ChooseUpstream {
    let (upstreams, request) = (node.upstreams.clone(), request.clone());
    Box::new(move |taken| {
        let want = UpstreamWant {
            avoid: taken,
            ..request.want()
        };
        upstreams.choose(&want).ok()
    })
}

/// Runs a generation to its end, over as many attempts as it takes.
pub(crate) async fn drive(
    node: Arc<Node>,
    generation: Arc<Generation>,
    waiting: Option<WaitingPlace>,
) {
    let admitted_here = waiting.is_some();
    let mut driver = Driver {
        node: node.clone(),
        generation: generation.clone(),
        avoid: Vec::new(),
        keeper: ProgressKeeper::new(node.clone(), generation.clone()),
    };
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
}

struct Driver {
    node: Arc<Node>,
    generation: Arc<Generation>,
    avoid: Vec<UpstreamId>,
    keeper: ProgressKeeper,
}

/// An attempt on its upstream. Dropping it cancels the attempt there.
struct RunningAttempt {
    node: Arc<Node>,
    id: RequestId,
    upstream: Place,
    stream: AttemptStream,
    ended: bool,
}

/// What went on first after a lost stream.
enum Raced {
    /// The old attempt, over a new connection.
    Old(Box<AttemptStream>),
    /// A second attempt on another upstream.
    Second(Box<RunningAttempt>),
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let attempt = self.stream.attempt();
        let address = self.upstream.address();
        engine_client::cancel_later(&self.node.connections, address, &self.id, attempt);
    }
}

impl Driver {
    async fn run(&mut self, waiting: Option<WaitingPlace>) -> GenerationOutcome {
        if let Some(attempt) = self.go_on_with_left_running().await {
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
    async fn first_place(&mut self, waiting: Option<WaitingPlace>) -> Result<Place, ProblemKind> {
        let Some(waiting) = waiting else {
            return self.wait_for_upstream().await;
        };
        let queued = Queued::new(());
        waiting.granted().await.map_err(|refusal| {
            let not_run = queued.refuse(refusal.reason, refusal.retry_after);
            Problem::not_run(&not_run).kind
        })
    }

    /// Goes on with the attempt of the VM before, if its engine still runs it: nothing is then
    /// computed twice.
    async fn go_on_with_left_running(&mut self) -> Option<RunningAttempt> {
        let (id, attempt) = self.generation.take_left_running()?;
        let request = &self.generation.request;
        let pool = self.node.admission.pool(&request.service);
        let upstream = pool.hold(request.lane(), self.node.upstreams.hold(&id)?);
        let (reserved, _) = self.generation.reserve();
        let reattach = Reattach {
            address: upstream.address(),
            id: &self.generation.request.engine_id,
            attempt,
            becomes: reserved.attempt(),
            from: self.generation.next_index(),
            bound: PROBE_BOUND,
        };
        let stream = engine_client::reattach(&self.node.connections, reattach).await;
        let stream = stream.inspect_err(|fault| {
            tracing::info!(id = %self.generation.request.id, upstream = %id, %fault, "not re-attached");
        });
        let stream = stream.ok()?;
        self.record(EventKind::ReAttached, reserved.attempt(), &id, None);
        self.generation.adopt(reserved).then(|| RunningAttempt {
            node: self.node.clone(),
            id: self.generation.request.engine_id.clone(),
            upstream,
            stream,
            ended: false,
        })
    }

    /// Waits until an upstream can take the generation.
    ///
    /// # Errors
    ///
    /// Once its deadline is over, or upstreams died under it.
    async fn wait_for_upstream(&mut self) -> Result<Place, ProblemKind> {
        let start = self.node.timer.now();
        loop {
            let now = self.node.timer.now();
            if now >= self.generation.request.deadline {
                return Err(ProblemKind::Deadline);
            }
            if self.node.upstreams.refuses(self.generation.request.body) {
                return Err(self.poisoned());
            }
            if let Some(place) = self.choose(now.since(start) > SUSPECT_PATIENCE) {
                return Ok(place);
            }
            self.avoid.clear();
            tokio::time::sleep(RETRY_PERIOD).await;
        }
    }

    /// How a poisoned request ends: as not run only if no attempt was ever sent.
    fn poisoned(&self) -> ProblemKind {
        match self.generation.attempts() {
            Attempt(0) => ProblemKind::PoisonedNotRun,
            _ => ProblemKind::Poisoned,
        }
    }

    fn choose(&self, urgent: bool) -> Option<Place> {
        let request = &self.generation.request;
        // A caller who has had part of the answer waits in the middle of it: an upstream without
        // room will do.
        let must = self.generation.next_index() > TokenIndex(0);
        let pool = self.node.admission.pool(&request.service);
        pool.take(request.lane(), must, |taken| {
            let want = UpstreamWant {
                avoid: &[&self.avoid, taken].concat(),
                urgent,
                ..request.want()
            };
            self.node.upstreams.choose(&want).ok()
        })
    }

    /// Starts an attempt and makes it the live one.
    async fn start(&mut self, upstream: Place) -> Result<RunningAttempt, AttemptFault> {
        let (reserved, order) = self.generation.reserve();
        self.generation.adopt(reserved);
        self.open(upstream, &order).await
    }

    async fn open(
        &mut self,
        upstream: Place,
        order: &engine::EngineGenerate,
    ) -> Result<RunningAttempt, AttemptFault> {
        self.avoid.push(upstream.id().clone());
        let attempt = Attempt(order.attempt);
        let kind = match attempt {
            Attempt(1) => EventKind::Dispatched,
            _ => EventKind::NewAttempt,
        };
        self.record(kind, attempt, upstream.id(), None);
        let connections = &self.node.connections;
        let started = engine_client::start_attempt(connections, &upstream, order, START_BOUND);
        let stream = match started.await {
            Ok(stream) => stream,
            Err(fault) => self.find_started(&upstream, order, fault).await?,
        };
        Ok(RunningAttempt {
            node: self.node.clone(),
            id: self.generation.request.engine_id.clone(),
            upstream,
            stream,
            ended: false,
        })
    }

    /// After an order that brought no stream: the engine may run it all the same, unseen. Under the
    /// policy of least work the attempt is looked for and gone on with; else, and if it is not
    /// found, it is cancelled. Without that it would run to its end for nobody.
    async fn find_started(
        &self,
        upstream: &Place,
        order: &engine::EngineGenerate,
        fault: AttemptFault,
    ) -> Result<AttemptStream, AttemptFault> {
        let full = engine::EngineRefusalKind::Full;
        if matches!(fault, AttemptFault::Refused { kind } if kind == full) {
            upstream.overloaded();
        }
        upstream.lost(&fault).await;
        if !fault.may_have_started() {
            return Err(fault);
        }
        let id = &self.generation.request.engine_id;
        let attempt = Attempt(order.attempt);
        if self.generation.request.recovery == RecoveryPolicy::LeastWork {
            let reattach = Reattach {
                address: upstream.address(),
                id,
                attempt,
                becomes: attempt,
                from: self.generation.next_index(),
                bound: PROBE_BOUND,
            };
            let found = engine_client::reattach(&self.node.connections, reattach).await;
            if let Ok(stream) = found {
                self.record(EventKind::ReAttached, attempt, upstream.id(), None);
                return Ok(stream);
            }
        }
        engine_client::cancel_later(&self.node.connections, upstream.address(), id, attempt);
        Err(fault)
    }

    /// Hands on tokens until the end, recovering what can be recovered.
    async fn follow(&mut self, mut attempt: RunningAttempt) -> Result<Finish, AttemptFault> {
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
            if !matches!(fault, AttemptFault::Silent { .. } | AttemptFault::Broken) {
                return Err(fault);
            }
            attempt = self.recover(attempt).await?;
        }
    }

    async fn relay_events(&mut self, attempt: &mut RunningAttempt) -> Result<Finish, AttemptFault> {
        self.generation.runs_on(attempt.upstream.id());
        let mut went_on = false;
        let mut stalls = StallDetector::default();
        loop {
            let waiting = self.node.timer.now();
            let mut event = attempt.stream.next(stalls.bound()).await?;
            stalls.observe(self.node.timer.now().since(waiting));
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
    ) -> Result<Option<Finish>, AttemptFault> {
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
                    attempt.ended = true;
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

    fn record(
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

    /// Goes on after a lost stream: with the same attempt if its engine still runs it, else with a
    /// new attempt elsewhere. The service's policy says whether the second waits for the first.
    async fn recover(&mut self, attempt: RunningAttempt) -> Result<RunningAttempt, AttemptFault> {
        match self.generation.request.recovery {
            RecoveryPolicy::LeastWork => self.probe(attempt).await,
            RecoveryPolicy::LeastWait => match self.choose(false) {
                Some(other) => self.race(attempt, other).await,
                None => self.probe(attempt).await,
            },
        }
    }

    async fn probe(&self, mut attempt: RunningAttempt) -> Result<RunningAttempt, AttemptFault> {
        attempt.stream = self.reattached(&attempt).await?;
        Ok(attempt)
    }

    async fn reattached(&self, attempt: &RunningAttempt) -> Result<AttemptStream, AttemptFault> {
        match self.reattach(attempt).await {
            Ok(stream) => Ok(stream),
            Err(fault) => {
                attempt.upstream.lost(&fault).await;
                Err(fault)
            }
        }
    }

    async fn reattach(&self, attempt: &RunningAttempt) -> Result<AttemptStream, AttemptFault> {
        let reattach = Reattach {
            address: attempt.upstream.address(),
            id: &attempt.id,
            attempt: attempt.stream.attempt(),
            becomes: attempt.stream.attempt(),
            from: self.generation.next_index(),
            bound: PROBE_BOUND,
        };
        let mut stream = engine_client::reattach(&self.node.connections, reattach).await?;
        stream.wait_for_progress(PROBE_BOUND).await?;
        self.record(
            EventKind::ReAttached,
            stream.attempt(),
            attempt.upstream.id(),
            None,
        );
        Ok(stream)
    }

    async fn race(
        &mut self,
        mut old: RunningAttempt,
        other: Place,
    ) -> Result<RunningAttempt, AttemptFault> {
        let (reserved, order) = self.generation.reserve();
        let second = match self.first_to_go_on(&old, other, &order).await? {
            Raced::Old(stream) => {
                old.stream = *stream;
                return Ok(old);
            }
            Raced::Second(second) => second,
        };
        self.avoid.push(second.upstream.id().clone());
        if self.generation.adopt(reserved) {
            return Ok(*second);
        }
        Err(AttemptFault::Broken)
    }

    async fn first_to_go_on(
        &self,
        old: &RunningAttempt,
        other: Place,
        order: &engine::EngineGenerate,
    ) -> Result<Raced, AttemptFault> {
        let mut probe = std::pin::pin!(self.reattached(old));
        let mut second = std::pin::pin!(self.second_attempt(other, order));
        tokio::select! {
            probed = &mut probe => return match probed {
                Ok(stream) => Ok(Raced::Old(Box::new(stream))),
                Err(_) => Ok(Raced::Second(Box::new(second.await?))),
            },
            () = tokio::time::sleep(HEAD_START) => {}
        }
        tokio::select! {
            probed = &mut probe => match probed {
                Ok(stream) => Ok(Raced::Old(Box::new(stream))),
                Err(_) => Ok(Raced::Second(Box::new(second.await?))),
            },
            started = &mut second => match started {
                Ok(second) => Ok(Raced::Second(Box::new(second))),
                Err(_) => Ok(Raced::Old(Box::new(probe.await?))),
            },
        }
    }

    async fn second_attempt(
        &self,
        upstream: Place,
        order: &engine::EngineGenerate,
    ) -> Result<RunningAttempt, AttemptFault> {
        let mut driver = Driver {
            node: self.node.clone(),
            generation: self.generation.clone(),
            avoid: Vec::new(),
            keeper: ProgressKeeper::new(self.node.clone(), self.generation.clone()),
        };
        let mut attempt = driver.open(upstream, order).await?;
        match attempt.stream.wait_for_progress(SECOND_BOUND).await {
            Ok(()) => Ok(attempt),
            Err(fault) => {
                attempt.upstream.lost(&fault).await;
                Err(fault)
            }
        }
    }
}
