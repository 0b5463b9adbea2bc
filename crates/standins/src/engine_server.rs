use super::*;
use crate::{
    engine_batch::EngineBatch,
    engine_models::EngineModels,
    killable_listener::KillableListener,
    query::{bad_request, query_number, query_value},
    sequence::{Sequence, write_event},
};
use tokio::net::TcpListener;
use volo_http::server::Server;

/// Interval of heartbeat events on a stream that has no new token.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Time from the last load report of an engine with broken streams to the end of its process.
const EXIT_DELAY: Duration = Duration::from_millis(20);

/// Running mock engine.
#[derive(Clone)]
pub struct EngineServer {
    inner: Arc<Inner>,
}

struct Inner {
    address: SocketAddr,
    settings: EngineSettings,
    incarnation: u64,
    batch: Arc<EngineBatch>,
    models: EngineModels,
    leaving: AtomicBool,
    last_load_report: Mutex<Option<(tokio::time::Instant, engine::UpstreamLoad)>>,
    killed: CancellationToken,
    /// Cancelled when all streams are interrupted, at the latest with `killed`.
    broken: CancellationToken,
    /// Cancelled when the listener closes, at the latest with `killed`.
    closed: CancellationToken,
    /// Streams opened in an earlier epoch receive nothing more.
    epoch: watch::Sender<u64>,
}

/// Position of one reader in the event stream of a sequence.
struct Reader {
    server: EngineServer,
    sequence: Arc<Sequence>,
    changes: watch::Receiver<()>,
    next: u32,
    epoch: u64,
    attempt: u64,
    ended: bool,
}

impl EngineServer {
    /// Starts an engine that listens on `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn start(address: SocketAddr, settings: EngineSettings) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let killed = CancellationToken::new();
        let server = Self {
            inner: Arc::new(Inner {
                address: listener.local_addr()?,
                batch: Arc::new(EngineBatch::new(settings.clone())),
                models: EngineModels::new(settings.clone()),
                settings,
                incarnation: rand::random::<u64>() >> 1,
                leaving: AtomicBool::new(false),
                last_load_report: Mutex::default(),
                broken: killed.child_token(),
                closed: killed.child_token(),
                killed,
                epoch: watch::Sender::new(0),
            }),
        };
        let inner = &server.inner;
        let batch = inner.batch.clone();
        tokio::spawn(batch.run(inner.killed.clone(), inner.broken.clone()));
        let listener = KillableListener::new(listener, inner.closed.clone());
        tokio::spawn(Server::new(server.clone()).run(listener));
        Ok(server)
    }

    /// Returns the listening address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Kills the engine, as if its process died: streams are interrupted and new connections
    /// are refused.
    pub fn kill(&self) {
        self.inner.killed.cancel();
    }

    /// Waits until the engine is killed or a poison request crashes it.
    pub async fn wait_killed(&self) {
        self.inner.killed.cancelled().await;
    }

    /// Injects or ends a fault.
    pub fn inject(&self, fault: EngineFault) {
        match fault {
            EngineFault::Die => self.kill(),
            EngineFault::Leave => self.leave(true),
            EngineFault::Pause => self.pause(true),
            EngineFault::Resume => self.pause(false),
            EngineFault::Silence => self.silence(),
            EngineFault::Stay => self.leave(false),
        }
    }

    /// Suspends or resumes all work, as a stopped process does.
    pub fn pause(&self, paused: bool) {
        self.inner.batch.paused.send_replace(paused);
    }

    /// Sends nothing more on streams that are open now; later ones are served.
    pub fn silence(&self) {
        self.inner.epoch.send_modify(|epoch| *epoch += 1);
    }

    /// Sets whether the engine is leaving: it then reports that in its load reports and refuses new
    /// requests.
    pub fn leave(&self, leaving: bool) {
        self.inner.leaving.store(leaving, Ordering::Relaxed);
    }

    /// Returns the numbers of tokens decoded and of prompt and prefix tokens prefilled.
    #[must_use]
    pub fn token_counts(&self) -> (u64, u64) {
        let batch = &self.inner.batch;
        (
            batch.decoded.load(Ordering::Relaxed),
            batch.prefilled.load(Ordering::Relaxed),
        )
    }

    async fn generate(&self, req: Request) -> Response {
        let Ok(body) = req.into_body().into_bytes().await else {
            return refusal(engine::EngineRefusalKind::Malformed);
        };
        let Ok(request) = serde_json::from_slice::<engine::EngineGenerate>(&body) else {
            return refusal(engine::EngineRefusalKind::Malformed);
        };
        if self.inner.leaving.load(Ordering::Relaxed) {
            return refusal(engine::EngineRefusalKind::Leaving);
        }
        if !self
            .inner
            .models
            .is_loaded(&request.model, &request.version)
        {
            return refusal(engine::EngineRefusalKind::ModelNotLoaded);
        }
        if request.prompt.starts_with(UNANSWERED_POISON) {
            self.kill();
            return std::future::pending().await;
        }
        let from = u32::try_from(request.prefix.len()).unwrap_or(u32::MAX);
        match self.inner.batch.add(Sequence::new(request)) {
            Some(sequence) => self.stream(sequence, from),
            None => refusal(engine::EngineRefusalKind::StaleAttempt),
        }
    }

    fn reattach(&self, req: &Request) -> Response {
        let id = stream_id(req);
        let from = u32::try_from(query_number(req, "from")).unwrap_or(u32::MAX);
        let found = self.inner.batch.find(id, query_number(req, "attempt"));
        match found.filter(|sequence| sequence.is_readable_from(from)) {
            Some(sequence) => {
                sequence.raise_attempt(query_number(req, "as"));
                self.stream(sequence, from)
            }
            None => refusal(engine::EngineRefusalKind::NoSuchStream),
        }
    }

    fn cancel(&self, req: &Request) -> Response {
        let attempt = query_number(req, "attempt");
        self.inner.batch.cancel(stream_id(req), attempt);
        Response::new(Body::empty())
    }

    async fn load(&self) -> Response {
        if self.inner.broken.is_cancelled() {
            self.inner.closed.cancel();
            // The answer arrives after new connections are refused.
            tokio::time::sleep(EXIT_DELAY).await;
            let killed = self.inner.killed.clone();
            tokio::spawn(async move {
                tokio::time::sleep(EXIT_DELAY).await;
                killed.cancel();
            });
        }
        let now = tokio::time::Instant::now();
        let mut last_load_report = self.inner.last_load_report.lock();
        let cached = last_load_report
            .take()
            .filter(|(at, _)| now - *at < self.inner.settings.load_lag);
        let (_, load) =
            last_load_report.insert(cached.unwrap_or_else(|| (now, self.current_load())));
        Response::new(json_bytes(load).into())
    }

    fn current_load(&self) -> engine::UpstreamLoad {
        let (running, waiting) = self.inner.batch.running_and_waiting();
        let (decoded, prefilled) = self.token_counts();
        let (loaded, loading) = self.inner.models.loaded_and_loading();
        engine::UpstreamLoad {
            capacity: to_u32(self.inner.settings.capacity),
            decoded_tokens: Some(decoded),
            highest_term: self.inner.models.highest_term(),
            incarnation: self.inner.incarnation,
            leaving: self.inner.leaving.load(Ordering::Relaxed),
            loading: Some(engine::ModelList { models: loading }),
            models: loaded
                .into_iter()
                .map(|m| self.with_stream_count(m))
                .collect(),
            prefilled_tokens: Some(prefilled),
            role: Some(self.inner.models.role()),
            running: to_u32(running),
            waiting: to_u32(waiting),
        }
    }

    fn with_stream_count(&self, model: engine::LoadedModel) -> engine::LoadedModel {
        let streams = self
            .inner
            .batch
            .active_streams(&model.model, &model.version);
        engine::LoadedModel {
            streams: Some(to_u32(streams)),
            ..model
        }
    }

    /// Returns the loaded models.
    #[must_use]
    pub fn loaded_models(&self) -> Vec<engine::LoadedModel> {
        self.inner.models.loaded_and_loading().0
    }

    /// Returns the counts of orders that this engine has received.
    #[must_use]
    pub fn order_counts(&self) -> engine::OrderCounts {
        self.inner.models.counts()
    }

    /// Applies an order despite injected faults, such as one that the network delayed.
    ///
    /// # Errors
    ///
    /// If the engine refuses the order.
    pub fn apply_order(&self, order: engine::EngineOrder) -> Result<(), engine::EngineRefusalKind> {
        for model in self.inner.models.apply(order)? {
            self.inner.batch.cancel_model(&model.model, &model.version);
        }
        Ok(())
    }

    async fn handle_order(&self, req: Request) -> Response {
        let Ok(body) = req.into_body().into_bytes().await else {
            return refusal(engine::EngineRefusalKind::Malformed);
        };
        let Ok(order) = serde_json::from_slice(&body) else {
            return refusal(engine::EngineRefusalKind::Malformed);
        };
        match self.apply_order(order) {
            Ok(()) => Response::new(Body::empty()),
            Err(kind) => refusal_of_order(kind, self.inner.models.highest_term()),
        }
    }

    fn handle_fault(&self, req: &Request) -> Response {
        let Some(fault) = query_value(req, "kind").and_then(|kind| kind.parse().ok()) else {
            return bad_request();
        };
        self.inject(fault);
        Response::new(Body::empty())
    }

    fn stream(&self, sequence: Arc<Sequence>, from: u32) -> Response {
        sequence.state.lock().detached_since = None;
        let reader = Reader {
            server: self.clone(),
            changes: sequence.changes.subscribe(),
            next: from,
            epoch: *self.inner.epoch.borrow(),
            attempt: sequence.attempt(),
            sequence,
            ended: false,
        };
        let frames = futures::stream::unfold(reader, |mut reader| async {
            let frame = reader.read().await?;
            Some((
                frame.map(|text| http_body::Frame::data(Bytes::from(text))),
                reader,
            ))
        });
        let mut response = Response::new(Body::from_stream(sync_wrapper::SyncStream::new(frames)));
        response.headers_mut().insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static("text/event-stream"),
        );
        response
    }
}

impl volo::Service<ServerContext, Request> for EngineServer {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _: &mut ServerContext, req: Request) -> Result<Response, Infallible> {
        if req.uri().path() == "/fault" {
            return Ok(self.handle_fault(&req));
        }
        let mut paused = self.inner.batch.paused.subscribe();
        let _ = paused.wait_for(|paused| !*paused).await;
        Ok(match (req.method(), req.uri().path()) {
            (&Method::POST, "/v1/generate") => self.generate(req).await,
            (&Method::GET, "/v1/load") => self.load().await,
            (&Method::POST, "/v1/orders") => self.handle_order(req).await,
            (&Method::GET, "/orders") => Response::new(json_bytes(&self.order_counts()).into()),
            (&Method::GET, "/stats") => Response::new(json_bytes(&self.inner.batch.runs()).into()),
            (&Method::GET, path) if path.starts_with(STREAMS_PATH) => self.reattach(&req),
            (&Method::DELETE, path) if path.starts_with(STREAMS_PATH) => self.cancel(&req),
            _ => refusal(engine::EngineRefusalKind::Malformed),
        })
    }
}

/// Path prefix of running streams, followed by the request id.
const STREAMS_PATH: &str = "/v1/streams/";

impl Reader {
    async fn read(&mut self) -> Option<Result<String, volo_http::error::BoxError>> {
        if self.ended {
            return None;
        }
        loop {
            self.changes.borrow_and_update();
            if self.epoch != *self.server.inner.epoch.borrow() {
                std::future::pending::<()>().await;
            }
            if self.attempt != self.sequence.attempt() {
                return None;
            }
            let (text, next, ended) = self.sequence.events_from(self.next);
            (self.next, self.ended) = (next, ended);
            if !text.is_empty() {
                return Some(Ok(text));
            }
            let broken = self.server.inner.broken.clone();
            tokio::select! {
                _ = self.changes.changed() => {}
                () = broken.cancelled() => {
                    return Some(Err(std::io::Error::from(std::io::ErrorKind::ConnectionReset).into()));
                }
                () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {
                    if !*self.server.inner.batch.paused.borrow() {
                        let mut text = String::new();
                        write_event(&mut text, "heartbeat", &());
                        return Some(Ok(text));
                    }
                }
            }
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        if self.sequence.changes.receiver_count() <= 1 {
            self.sequence.state.lock().detached_since = Some(tokio::time::Instant::now());
        }
    }
}

fn refusal(kind: engine::EngineRefusalKind) -> Response {
    refusal_of_order(kind, None)
}

fn refusal_of_order(kind: engine::EngineRefusalKind, highest_term: Option<u64>) -> Response {
    let body = engine::EngineRefusal {
        attempt: None,
        highest_term,
        kind,
        request_id: None,
    };
    let mut response = Response::new(json_bytes(&body).into());
    *response.status_mut() = StatusCode::CONFLICT;
    response
}

fn stream_id(req: &Request) -> &str {
    req.uri()
        .path()
        .strip_prefix(STREAMS_PATH)
        .unwrap_or_default()
}

fn to_u32(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
