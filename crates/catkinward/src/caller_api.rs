use super::*;
use crate::{
    event_stream::event_stream,
    generation::GenerationOutcome,
    generation_driver,
    generation_lookup::find_or_create,
    generation_request::GenerationRequest,
    http_client::{json_bytes, large_json_bytes},
    metrics_endpoint::metrics_response,
    problem::{Problem, ProblemKind},
    queued_request::QueuedRequest,
};
use http_body_util::BodyDataStream;

/// Header with the caller's deadline, in milliseconds from receipt of the request.
const DEADLINE_HEADER: &str = "catkin-deadline-ms";

/// Header with the key that identifies a reconnecting caller.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header with the id of the last event that a reconnecting caller received.
const LAST_EVENT_ID: &str = "last-event-id";

/// Copies of a prompt: in the generation, and in the order to an engine while it is sent.
const PROMPT_COPIES: usize = 2;

/// Time for the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// How often a generation is checked for a connected caller.
const ABANDONED_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The HTTP service for callers.
#[derive(Clone)]
pub(crate) struct CallerApi {
    pub(crate) node: Arc<Node>,
}

/// An authenticated caller.
pub(crate) struct Caller {
    pub(crate) bundle: Arc<Bundle>,
    pub(crate) team: TeamId,
}

impl Caller {
    /// Returns the team with its weight for fair queueing.
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
        // Readiness checks and unknown paths are not requests, and a failed generation has already
        // recorded its end.
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
            (&Method::GET, "/readyz") => self.readiness(),
            (&Method::GET, "/metrics") => Ok(metrics_response()),
            (&Method::POST, "/v1/completions") => self.handle_completion(req).await,
            (_, path) if path.starts_with("/v1/services/") => self.handle_plain(req).await,
            _ => Err(ProblemKind::NoSuchPath.into()),
        }
    }

    fn readiness(&self) -> Result<Response, Problem> {
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

    pub(crate) fn authenticate(&self, headers: &HeaderMap) -> Result<Caller, Problem> {
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

    async fn handle_completion(&self, req: Request) -> Result<Response, Problem> {
        let in_flight = self.node.drain.enter().ok_or(ProblemKind::Draining)?;
        let (parts, body) = req.into_parts();
        let caller = self.authenticate(&parts.headers)?;
        let body = self
            .read_body(&caller, &parts, body, None, PROMPT_COPIES)
            .await?;
        let completion: caller::CompletionRequest =
            serde_json::from_slice(body.as_ref()).map_err(|_| ProblemKind::Malformed)?;
        let stream = completion.stream;
        let memory = body.into_memory();
        let request = self.build_request(&caller, &parts.headers, completion, memory)?;
        let resume_point = match header_text(&parts.headers, LAST_EVENT_ID) {
            Some(last) => last.parse().map_err(|_| ProblemKind::Malformed)?,
            None => ResumePoint::default(),
        };
        let generation = match header_text(&parts.headers, IDEMPOTENCY_KEY) {
            Some(key) => {
                let request = request.with_key(key);
                self.find_or_begin_keyed(request, &resume_point, caller.queue_team())
                    .await?
            }
            None if resume_point.next > TokenIndex(0) => return Err(ProblemKind::KeyAbsent.into()),
            None => self.begin(Generation::new(request), caller.queue_team())?,
        };
        if !stream {
            return complete_response(&generation).await;
        }
        let vm = &self.node.settings.vm;
        let body = event_stream(generation, resume_point.next, vm, in_flight);
        Ok(event_response(body))
    }

    /// Returns the generation for an idempotency key: one that runs here, one taken over from
    /// another VM, or a new one.
    async fn find_or_begin_keyed(
        &self,
        request: GenerationRequest,
        resume_point: &ResumePoint,
        team: QueueTeam,
    ) -> Result<Arc<Generation>, Problem> {
        let running = self.node.generations.with_id(&request.id);
        if running
            .iter()
            .any(|other| other.request.body != request.body)
        {
            return Err(ProblemKind::KeyConflict.into());
        }
        if let Some(running) = running
            .into_iter()
            .find(|other| other.can_resume_at(resume_point))
        {
            return Ok(running);
        }
        let generation = find_or_create(&self.node, request, resume_point).await?;
        self.begin(generation, team)
    }

    /// Admits and starts a generation, unless it has already ended.
    fn begin(&self, generation: Generation, team: QueueTeam) -> Result<Arc<Generation>, Problem> {
        if generation.outcome().is_some() {
            return Ok(Arc::new(generation));
        }
        let generation = self.node.generations.add(generation);
        self.admit(&generation, team)?;
        Ok(generation)
    }

    fn build_request(
        &self,
        caller: &Caller,
        headers: &HeaderMap,
        completion: caller::CompletionRequest,
        memory: RequestMemory,
    ) -> Result<GenerationRequest, Problem> {
        let service = caller
            .bundle
            .service(&completion.model)
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
        let json = large_json_bytes(&completion, &completion.prompt);
        let digest = RequestDigest::of(&caller.team, &json);
        drop(json);
        Ok(GenerationRequest {
            engine_id: id.clone(),
            id,
            resumable: None,
            body: digest,
            team: caller.team.clone(),
            service: service.id.clone(),
            bundle: caller.bundle.version,
            model: self.node.upstreams.serving_model(&service.id, model),
            recovery: *recovery,
            prompt: completion.prompt.into(),
            memory: Arc::new(memory),
            max_tokens: completion.max_tokens.get(),
            seed: completion.seed.unwrap_or_else(rand::random),
            temperature: completion.temperature,
            stop: completion.stop,
            deadline: self.node.timer.now().after(deadline),
        })
    }

    /// Queues a generation for its first slot, or refuses it immediately. A generation that was
    /// taken over from another VM was admitted there, so it starts without queueing.
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
            let cancelling = async {
                cancel_if_abandoned(&node, &generation).await;
                std::future::pending::<()>().await;
            };
            tokio::select! {
                () = generation_driver::drive(node.clone(), generation.clone(), waiting) => {}
                () = cancelling => {}
            }
            if let (Some(peers), Some(update)) =
                (&node.peers, generation.progress_from(TokenIndex(0)))
            {
                peers.store_own_replica(&update);
            }
            node.generations.remove(&generation);
        });
    }

    /// Reads the body of a request; `request` is its id, if it has one, and the body stands in memory `copies` times.
    pub(crate) async fn read_body(
        &self,
        caller: &Caller,
        parts: &http::request::Parts,
        mut body: Body,
        request: Option<&RequestId>,
        copies: usize,
    ) -> Result<ReceivedBody, Problem> {
        use http_body::Body as _;
        let limit = self.node.settings.body_limit;
        let unread = UnreadBody {
            request,
            team: Some(&caller.team),
            head: headers_size(&parts.headers),
            announced: body.size_hint().exact(),
            limit,
            copies,
            timeout: BODY_TIMEOUT,
        };
        let received = BodyDataStream::new(&mut body);
        let received = self.node.caller_memory.receive(unread, received).await;
        received.map_err(|refusal| {
            discard_body(body, &parts.headers, limit);
            ProblemKind::from(refusal).into()
        })
    }
}

/// Cancels a generation whose caller has disconnected and not reconnected within the grace period,
/// so that it uses no more engine time. Returns when the generation ends.
async fn cancel_if_abandoned(node: &Node, generation: &Generation) {
    let mut unread_since = None;
    while generation.outcome().is_none() {
        tokio::time::sleep(ABANDONED_CHECK_INTERVAL).await;
        if generation.has_reader() {
            unread_since = None;
            continue;
        }
        let now = node.timer.now();
        let since = *unread_since.get_or_insert(now);
        if now.since(since) > node.settings.caller_grace {
            generation.cancel();
            return;
        }
    }
}

async fn complete_response(generation: &Generation) -> Result<Response, Problem> {
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
