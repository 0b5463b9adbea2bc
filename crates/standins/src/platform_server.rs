use super::*;
use crate::{killable_listener::KillableListener, rate_limit::RateLimit};
use catkin_border::platform::{
    PlatformFaults, PlatformOutage, PlatformStats, ReadRequest, RowsReply, TransactRequest, VmList,
};
use catkin_decisions::Instant;
use tokio::net::TcpListener;
use volo_http::server::Server;

/// Path prefix of stored objects, followed by the object name.
const OBJECTS_PATH: &str = "/v1/objects/";

/// Running mock platform: table service, object store and VM list over HTTP.
#[derive(Clone)]
pub struct PlatformServer {
    inner: Arc<Inner>,
}

struct Inner {
    address: SocketAddr,
    start: tokio::time::Instant,
    store: Mutex<PlatformStore>,
    faults: Mutex<Faults>,
    answers_lost: AtomicU64,
    throttled: AtomicU64,
    killed: CancellationToken,
}

struct Faults {
    outage: PlatformOutage,
    delay: Duration,
    answer_delay: Duration,
    lose_answers: u32,
    lose_every: u64,
    transactions: u64,
    vm_lag: Duration,
    reads: RateLimit,
    writes: RateLimit,
}

/// Outcome of a platform call.
enum CallOutcome {
    Answer(Response),
    /// The call took effect, but its response is truncated.
    Lost,
}

impl PlatformServer {
    /// Starts a platform that listens on `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn start(address: SocketAddr, faults: PlatformFaults) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let server = Self {
            inner: Arc::new(Inner {
                address: listener.local_addr()?,
                start: tokio::time::Instant::now(),
                store: Mutex::default(),
                faults: Mutex::new(Faults::default()),
                answers_lost: AtomicU64::new(0),
                throttled: AtomicU64::new(0),
                killed: CancellationToken::new(),
            }),
        };
        server.change_faults(&faults);
        let app = Server::new(server.clone());
        let listener = KillableListener::new(listener, server.inner.killed.clone());
        tokio::spawn(app.run(listener));
        Ok(server)
    }

    /// Returns the listening address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Changes the injected faults; absent fields keep their values.
    pub fn change_faults(&self, change: &PlatformFaults) {
        self.inner.faults.lock().change(change);
    }

    /// Returns the counts of calls since the start: those that took effect, lost responses and
    /// throttled calls.
    #[must_use]
    pub fn stats(&self) -> PlatformStats {
        PlatformStats {
            answers_lost: self.inner.answers_lost.load(Ordering::Relaxed),
            throttled: self.inner.throttled.load(Ordering::Relaxed),
            ..self.inner.store.lock().stats()
        }
    }

    fn now(&self) -> Instant {
        Instant(self.inner.start.elapsed())
    }

    /// Handles a platform call with the current faults. The call runs in a separate task, so that it
    /// takes effect even if the client disconnects, as does a call that is already in the network.
    async fn platform_call(&self, method: Method, path: String, body: Bytes) -> Response {
        let server = self.clone();
        let call = tokio::spawn(async move { server.execute(&method, &path, body).await });
        match call.await {
            Ok(CallOutcome::Answer(response)) => response,
            Ok(CallOutcome::Lost) | Err(_) => truncated_response(),
        }
    }

    async fn execute(&self, method: &Method, path: &str, body: Bytes) -> CallOutcome {
        let (outage, delay) = {
            let faults = self.inner.faults.lock();
            (faults.outage, faults.delay)
        };
        match outage {
            PlatformOutage::None => {}
            PlatformOutage::Refused => return CallOutcome::Answer(status(503)),
            PlatformOutage::Silent => std::future::pending().await,
        }
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let transaction = path == "/v1/table/transact";
        if !self.admit(path) {
            self.inner.throttled.fetch_add(1, Ordering::Relaxed);
            return CallOutcome::Answer(status(429));
        }
        let response = self.apply(method, path, body);
        let (lost, answer_delay) = {
            let mut faults = self.inner.faults.lock();
            let lost = transaction && response.status().is_success() && faults.should_lose_answer();
            (lost, faults.answer_delay)
        };
        if !answer_delay.is_zero() {
            tokio::time::sleep(answer_delay).await;
        }
        if lost {
            self.inner.answers_lost.fetch_add(1, Ordering::Relaxed);
            return CallOutcome::Lost;
        }
        CallOutcome::Answer(response)
    }

    fn admit(&self, path: &str) -> bool {
        let now = self.now();
        let mut faults = self.inner.faults.lock();
        match path {
            "/v1/table/transact" => faults.writes.admit(now),
            "/v1/table/read" | "/v1/table/scan" => faults.reads.admit(now),
            _ => true,
        }
    }

    fn apply(&self, method: &Method, path: &str, body: Bytes) -> Response {
        match (method, path) {
            (&Method::POST, "/v1/table/transact") => handle_json(&body, |req: TransactRequest| {
                json(&self.inner.store.lock().transact(req))
            }),
            (&Method::POST, "/v1/table/read") => handle_json(&body, |req: ReadRequest| {
                let rows = self.inner.store.lock().read(&req.keys);
                json(&RowsReply { rows })
            }),
            (&Method::POST, "/v1/table/scan") => handle_json(&body, |req| {
                let rows = self.inner.store.lock().scan(&req);
                json(&RowsReply { rows })
            }),
            (&Method::GET, "/v1/vms") => {
                let lag = self.inner.faults.lock().vm_lag;
                let then = Instant(self.now().0.saturating_sub(lag));
                let vms = self.inner.store.lock().vms(then);
                json(&VmList { vms })
            }
            (&Method::PUT, "/v1/vms") => handle_json(&body, |list: VmList| {
                self.inner.store.lock().set_vms(self.now(), list.vms);
                status(200)
            }),
            (&Method::GET | &Method::PUT, path) if path.starts_with(OBJECTS_PATH) => {
                self.object(method, &path[OBJECTS_PATH.len()..], body)
            }
            _ => status(404),
        }
    }

    fn object(&self, method: &Method, name: &str, body: Bytes) -> Response {
        let mut store = self.inner.store.lock();
        if method == Method::PUT {
            store.put_object(name, body);
            return status(200);
        }
        match store.get_object(name) {
            Some(body) => Response::new(Body::from(body)),
            None => status(404),
        }
    }
}

impl volo::Service<ServerContext, Request> for PlatformServer {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _: &mut ServerContext, req: Request) -> Result<Response, Infallible> {
        let method = req.method().clone();
        let path = req.uri().path().to_owned();
        let Ok(body) = req.into_body().into_bytes().await else {
            return Ok(status(400));
        };
        Ok(match (&method, path.as_str()) {
            (&Method::POST, "/fault") => handle_json(&body, |change| {
                self.change_faults(&change);
                status(200)
            }),
            (&Method::GET, "/stats") => json(&self.stats()),
            // The platform itself sets the VM list, so injected faults do not apply.
            (&Method::PUT, "/v1/vms") => self.apply(&method, &path, body),
            _ => self.platform_call(method, path, body).await,
        })
    }
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            outage: PlatformOutage::None,
            delay: Duration::ZERO,
            answer_delay: Duration::ZERO,
            lose_answers: 0,
            lose_every: 0,
            transactions: 0,
            vm_lag: Duration::ZERO,
            reads: RateLimit::default(),
            writes: RateLimit::default(),
        }
    }
}

impl Faults {
    fn change(&mut self, change: &PlatformFaults) {
        let ms = |ms: Option<u64>, old| ms.map_or(old, Duration::from_millis);
        self.outage = change.outage.unwrap_or(self.outage);
        self.delay = ms(change.delay_ms, self.delay);
        self.answer_delay = ms(change.answer_delay_ms, self.answer_delay);
        self.lose_answers = change.lose_answers.unwrap_or(self.lose_answers);
        self.lose_every = change.lose_every.unwrap_or(self.lose_every);
        self.vm_lag = ms(change.vm_lag_ms, self.vm_lag);
        if let Some(rate) = change.reads_per_second {
            self.reads = RateLimit::new(rate);
        }
        if let Some(rate) = change.writes_per_second {
            self.writes = RateLimit::new(rate);
        }
    }

    fn should_lose_answer(&mut self) -> bool {
        self.transactions += 1;
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            return true;
        }
        self.lose_every > 0 && self.transactions.is_multiple_of(self.lose_every)
    }
}

fn handle_json<T: serde::de::DeserializeOwned>(
    body: &[u8],
    respond: impl FnOnce(T) -> Response,
) -> Response {
    serde_json::from_slice(body).map_or_else(|_| status(400), respond)
}

fn json<T: serde::Serialize>(value: &T) -> Response {
    Response::new(json_bytes(value).into())
}

fn status(code: u16) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::from_u16(code).unwrap_or_default();
    response
}

/// Returns a response whose body fails before its first byte.
fn truncated_response() -> Response {
    let reset = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
    let frames =
        futures::stream::iter([Err::<http_body::Frame<Bytes>, volo_http::error::BoxError>(
            reset.into(),
        )]);
    Response::new(Body::from_stream(sync_wrapper::SyncStream::new(frames)))
}
