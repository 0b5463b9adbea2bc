use super::*;
use crate::{
    event_stream::event_stream,
    generation::GenerationOutcome,
    generation_driver,
    generation_lookup::find_or_begin,
    generation_request::GenerationRequest,
    http_client::json_bytes,
    metrics_endpoint::metrics_response,
    problem::{Problem, ProblemKind},
    queued_request::QueuedRequest,
};

/// Header with the caller's deadline in milliseconds from now.
const DEADLINE_HEADER: &str = "catkin-deadline-ms";

/// Header with the key by which a caller who comes back is recognised.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header with the id of the last event that a returning caller has.
const LAST_EVENT_ID: &str = "last-event-id";

/// How often a generation without a caller is looked at.
const ABANDONED_PERIOD: Duration = Duration::from_millis(250);

/// The HTTP service that callers see.
#[derive(Clone)]
pub(crate) struct CallerApi {
    pub(crate) node: Arc<Node>,
}

/// A caller who has shown who it is.
pub(crate) struct Caller {
    pub(crate) bundle: Arc<Bundle>,
    pub(crate) team: TeamId,
}

impl Caller {
    /// The team with its weight, as it queues.
    pub(crate) fn queue_team(&self) -> QueueTeam {
        QueueTeam {
            weight: self.bundle.team(&self.team).map_or(1, |team| team.weight),
            id: self.team.clone(),
        }
    }
}

impl volo::Service<ServerContext, Request> for CallerApi {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _: &mut ServerContext, req: Request) -> Result<Response, Infallible> {
        let mut response = match self.route(req).await {
            Ok(response) => response,
            Err(problem) => {
                self.record_refusal(&problem);
                problem.response()
            }
        };
        if self.node.drain.has_begun() {
            response.headers_mut().insert(
                header::CONNECTION,
                header::HeaderValue::from_static("close"),
            );
        }
        Ok(response)
    }
}

impl CallerApi {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    fn record_refusal(&self, problem: &Problem) {
        // Readiness checks and unknown paths are no requests, and a failed generation has told of
        // its own end.
        if problem.kind.outcome() != caller::Outcome::NotRun
            || matches!(
                problem.kind,
                ProblemKind::NoSuchPath | ProblemKind::NotReady
            )
        {
            return;
        }
        self.node.timeline.record(Event {
            request: problem.request_id.clone(),
            detail: Some(<&str>::from(problem.kind).into()),
            ..Event::new(EventKind::Refused)
        });
    }

    async fn route(&self, req: Request) -> Result<Response, Problem> {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/healthz") => Ok(Response::new("ok\n".into())),
            (&Method::GET, "/readyz") => self.ready(),
            (&Method::GET, "/metrics") => Ok(metrics_response()),
            (&Method::POST, "/v1/completions") => self.complete(req).await,
            (_, path) if path.starts_with("/v1/services/") => self.plain(req).await,
            _ => Err(ProblemKind::NoSuchPath.into()),
        }
    }

    fn ready(&self) -> Result<Response, Problem> {
        if self.node.drain.has_begun() {
            return Err(ProblemKind::Draining.into());
        }
        if self.node.bundle.current().version == BundleVersion::default() {
            return Err(ProblemKind::NotReady.into());
        }
        let bundle = self.node.bundle.current().version;
        let peers = self.node.peers.as_ref();
        let peers = peers.map_or(0, |peers| peers.entries().len());
        let text = format!("ready\nbundle {bundle}\npeers {peers}\n");
        Ok(Response::new(text.into()))
    }

    pub(crate) fn caller(&self, headers: &HeaderMap) -> Result<Caller, Problem> {
        let bundle = self.node.bundle.current();
        if bundle.version == BundleVersion::default() {
            return Err(ProblemKind::NotReady.into());
        }
        let key = header_text(headers, header::AUTHORIZATION.as_str())
            .and_then(|value| value.strip_prefix("Bearer "))
            .ok_or(ProblemKind::UnknownKey)?;
        let team = bundle
            .team_by_key(&KeyHash::of(key))
            .ok_or(ProblemKind::UnknownKey)?
            .id
            .clone();
        Ok(Caller { bundle, team })
    }

    async fn complete(&self, req: Request) -> Result<Response, Problem> {
        let in_flight = self.node.drain.enter().ok_or(ProblemKind::Draining)?;
        let (parts, body) = req.into_parts();
        let caller = self.caller(&parts.headers)?;
        let body = self.read_body(body).await?;
        let order: caller::CompletionRequest =
            serde_json::from_slice(&body).map_err(|_| ProblemKind::Malformed)?;
        let request = self.accept(&caller, &parts.headers, &order)?;
        let point = match header_text(&parts.headers, LAST_EVENT_ID) {
            Some(last) => last.parse().map_err(|_| ProblemKind::Malformed)?,
            None => ResumePoint::default(),
        };
        let generation = match header_text(&parts.headers, IDEMPOTENCY_KEY) {
            Some(key) => {
                let request = request.under_key(key);
                self.keyed(request, &point, caller.queue_team()).await?
            }
            None if point.next > TokenIndex(0) => return Err(ProblemKind::KeyAbsent.into()),
            None => self.begin(Generation::new(request), caller.queue_team())?,
        };
        if !order.stream {
            return whole_answer(&generation).await;
        }
        let vm = &self.node.settings.vm;
        let body = event_stream(generation, point.next, vm, in_flight);
        Ok(event_response(body))
    }

    /// The generation of a caller who gave a key: one that runs here or was taken over, or a new
    /// one.
    async fn keyed(
        &self,
        request: GenerationRequest,
        point: &ResumePoint,
        team: QueueTeam,
    ) -> Result<Arc<Generation>, Problem> {
        let running = self.node.generations.of(&request.id);
        if running
            .iter()
            .any(|other| other.request.body != request.body)
        {
            return Err(ProblemKind::KeyConflict.into());
        }
        if let Some(running) = running.into_iter().find(|other| other.reaches(point)) {
            return Ok(running);
        }
        let generation = find_or_begin(&self.node, request, point).await?;
        self.begin(generation, team)
    }

    /// Runs a generation to its end, unless it has reached it already.
    fn begin(&self, generation: Generation, team: QueueTeam) -> Result<Arc<Generation>, Problem> {
        if generation.outcome().is_some() {
            return Ok(Arc::new(generation));
        }
        let generation = self.node.generations.add(generation);
        self.admit(&generation, team)?;
        Ok(generation)
    }

    fn accept(
        &self,
        caller: &Caller,
        headers: &HeaderMap,
        order: &caller::CompletionRequest,
    ) -> Result<GenerationRequest, Problem> {
        let service = caller
            .bundle
            .service(&order.model)
            .ok_or(ProblemKind::NoSuchService)?;
        let ServiceKind::Generation { model, recovery } = &service.kind else {
            return Err(ProblemKind::NoSuchService.into());
        };
        if !service.allows(&caller.team) {
            return Err(ProblemKind::TeamNotAllowed.into());
        }
        let deadline = match header_text(headers, DEADLINE_HEADER) {
            Some(ms) => Duration::from_millis(ms.parse().map_err(|_| ProblemKind::Malformed)?),
            None => service.deadline,
        };
        let id = new_request_id();
        Ok(GenerationRequest {
            engine_id: id.clone(),
            id,
            keyed: None,
            body: RequestDigest::of(&caller.team, &json_bytes(order)),
            team: caller.team.clone(),
            service: service.id.clone(),
            bundle: caller.bundle.version,
            model: self.node.upstreams.serving_model(&service.id, model),
            recovery: *recovery,
            prompt: order.prompt.as_str().into(),
            max_tokens: order.max_tokens.get(),
            seed: order.seed.unwrap_or_else(rand::random),
            temperature: order.temperature,
            stop: order.stop.clone(),
            deadline: self.node.timer.now().after(deadline),
        })
    }

    /// Lets a generation wait for its first place, or refuses it at once. One that was taken over
    /// from another VM was admitted there, and goes on.
    fn admit(&self, generation: &Arc<Generation>, team: QueueTeam) -> Result<(), Problem> {
        let request = &generation.request;
        if generation.attempts() > Attempt::default() {
            self.start(generation, None);
            return Ok(());
        }
        let queued = Queued::new(request.id.clone());
        let offered = generation_admission::offer(&self.node, request, team);
        match offered {
            Ok(waiting) => self.start(generation, Some(waiting)),
            Err(refusal) => {
                let not_run = queued.refuse(refusal.reason, refusal.retry_after);
                let problem = Problem::not_run(&not_run);
                generation.conclude(GenerationOutcome::Failed(problem.kind));
                self.node.generations.remove(generation);
                return Err(Problem {
                    request_id: Some(not_run.into_request()),
                    ..problem
                });
            }
        }
        Ok(())
    }

    fn start(&self, generation: &Arc<Generation>, waiting: Option<QueuedRequest>) {
        self.node.timeline.record(Event {
            request: Some(generation.request.id.clone()),
            bundle: Some(generation.request.bundle),
            detail: Some(generation.request.service.as_str().into()),
            ..Event::new(EventKind::Accepted)
        });
        let (node, generation) = (self.node.clone(), generation.clone());
        tokio::spawn(async move {
            tokio::join!(
                generation_driver::drive(node.clone(), generation.clone(), waiting),
                end_if_abandoned(&node, &generation),
            );
            node.generations.remove(&generation);
            if let (Some(peers), Some(update)) =
                (&node.peers, generation.progress_from(TokenIndex(0)))
            {
                peers.store_own_replica(&update);
            }
        });
    }

    pub(crate) async fn read_body(&self, body: Body) -> Result<Bytes, Problem> {
        let limited = http_body_util::Limited::new(body, self.node.settings.body_limit);
        http_body_util::BodyExt::collect(limited)
            .await
            .map(http_body_util::Collected::to_bytes)
            .map_err(
                |fault| match fault.downcast::<http_body_util::LengthLimitError>() {
                    Ok(_) => ProblemKind::BodyTooLarge.into(),
                    Err(_) => ProblemKind::Malformed.into(),
                },
            )
    }
}

/// Cancels a generation whose caller has gone and has not come back within the grace period, so
/// that it costs no more engine time; ends with the generation.
async fn end_if_abandoned(node: &Node, generation: &Generation) {
    let mut gone_since = None;
    while generation.outcome().is_none() {
        tokio::time::sleep(ABANDONED_PERIOD).await;
        if generation.has_reader() {
            gone_since = None;
            continue;
        }
        let now = node.timer.now();
        let since = *gone_since.get_or_insert(now);
        if now.since(since) > node.settings.caller_grace {
            generation.cancel();
            return;
        }
    }
}

async fn whole_answer(generation: &Generation) -> Result<Response, Problem> {
    let mut changes = generation.changes();
    while generation.outcome().is_none() {
        if changes.changed().await.is_err() {
            break;
        }
    }
    let (tokens, outcome) = generation.read_from(TokenIndex(0));
    let finish = match outcome {
        Some(GenerationOutcome::Whole(finish)) => finish,
        Some(GenerationOutcome::Failed(kind)) => {
            return Err(Problem {
                request_id: Some(generation.request.id.clone()),
                next_index: Some(generation.next_index()),
                ..kind.into()
            });
        }
        None => return Err(ProblemKind::Deadline.into()),
    };
    let mut joiner = Utf8Joiner::default();
    let mut text: String = tokens
        .iter_from(TokenIndex(0))
        .map(|(_, bytes)| joiner.push(bytes))
        .collect();
    text.push_str(&joiner.finish());
    let event = caller::CompletionEvent {
        choices: vec![caller::CompletionChoice {
            finish_reason: Some(finish.to_string()),
            index: 0,
            text,
        }],
        id: generation.request.id.to_string(),
        object: "text_completion".to_owned(),
        tokens: tokens.ids().to_vec(),
        usage: Some(caller::Usage {
            attempts: generation.attempts().0,
            completion_tokens: generation.next_index().0,
        }),
    };
    let mut response = Response::new(Body::from(json_bytes(&event)));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    Ok(response)
}

fn event_response(body: Body) -> Response {
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(
        header::CACHE_CONTROL,
        header::HeaderValue::from_static("no-cache"),
    );
    response
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

pub(crate) fn new_request_id() -> RequestId {
    format!("{:032x}", rand::random::<u128>())
        .parse()
        .expect("hexadecimal digits are visible ASCII")
}
