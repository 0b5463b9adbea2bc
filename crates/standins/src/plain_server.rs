use super::*;
use crate::{
    killable_listener::KillableListener,
    query::{bad_request, query_value},
};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, sync::Semaphore};
use volo_http::server::Server;

/// Factor of the service time under [`PlainFault::Slow`].
const SLOW_FACTOR: u32 = 10;

/// Running mock plain service, which counts the runs of each request.
#[derive(Clone)]
pub struct PlainServer {
    inner: Arc<Inner>,
}

struct Inner {
    address: SocketAddr,
    settings: PlainSettings,
    incarnation: u64,
    slots: Semaphore,
    running: AtomicU64,
    waiting: AtomicU64,
    run_counts: Mutex<RunCounts>,
    fault: Mutex<PlainFault>,
    rng: Mutex<Xoshiro256PlusPlus>,
    killed: CancellationToken,
}

/// Response body of a mock plain service; identifies the request that was run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlainResponse {
    /// [`request_digest`] of the request.
    pub digest: u64,
    /// Number of runs of the request on this upstream so far, including this one.
    pub run: u64,
}

/// Guard that counts a request in a gauge until it is dropped.
struct GaugeGuard<'a>(&'a AtomicU64);

impl<'a> GaugeGuard<'a> {
    fn new(count: &'a AtomicU64) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for GaugeGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl PlainServer {
    /// Starts a plain service that listens on `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn start(address: SocketAddr, settings: PlainSettings) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let killed = CancellationToken::new();
        let server = Self {
            inner: Arc::new(Inner {
                address: listener.local_addr()?,
                incarnation: rand::random::<u64>() >> 1,
                slots: Semaphore::new(settings.capacity),
                running: AtomicU64::new(0),
                waiting: AtomicU64::new(0),
                run_counts: Mutex::default(),
                fault: Mutex::default(),
                rng: Mutex::new(Xoshiro256PlusPlus::seed_from_u64(settings.seed)),
                killed: killed.clone(),
                settings,
            }),
        };
        tokio::spawn(Server::new(server.clone()).run(KillableListener::new(listener, killed)));
        Ok(server)
    }

    /// Returns the listening address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Sets the fault of all further requests; [`PlainFault::None`] ends it.
    pub fn set_fault(&self, fault: PlainFault) {
        *self.inner.fault.lock() = fault;
    }

    /// Returns the number of runs of each request.
    #[must_use]
    pub fn run_counts(&self) -> RunCounts {
        self.inner.run_counts.lock().clone()
    }

    /// Closes the listening socket, so that new connections are refused.
    pub fn kill(&self) {
        self.inner.killed.cancel();
    }

    async fn serve(&self, req: Request) -> Response {
        let fault = *self.inner.fault.lock();
        if matches!(fault, PlainFault::Refuse | PlainFault::Leave) {
            return refusal(fault);
        }
        let key = req.headers().get("idempotency-key").cloned();
        let query = req.uri().query().unwrap_or_default().to_owned();
        let Ok(body) = req.into_body().into_bytes().await else {
            return refusal(fault);
        };
        let waiting = GaugeGuard::new(&self.inner.waiting);
        let slot = self.inner.slots.acquire().await;
        drop(waiting);
        let _running = GaugeGuard::new(&self.inner.running);
        let digest = request_digest(&query, &body);
        let key = key.as_ref().and_then(|key| key.to_str().ok());
        let run = self
            .inner
            .run_counts
            .lock()
            .add(key.unwrap_or_default(), digest);
        tokio::time::sleep(self.service_time(fault)).await;
        drop(slot);
        match fault {
            PlainFault::LoseAnswer => std::future::pending().await,
            PlainFault::BreakOff => truncated_response(),
            _ => Response::new(json_bytes(&PlainResponse { digest, run }).into()),
        }
    }

    fn service_time(&self, fault: PlainFault) -> Duration {
        let settings = &self.inner.settings;
        let uniform: f64 = self.inner.rng.lock().random_range(1e-9..1.0);
        let mean = match fault {
            PlainFault::Slow => settings.service_time * SLOW_FACTOR,
            _ => settings.service_time,
        };
        mean.mul_f64(1.0 - settings.spread - settings.spread * uniform.ln())
    }

    fn load(&self) -> Response {
        let count = |n: &AtomicU64| u32::try_from(n.load(Ordering::Relaxed)).unwrap_or(u32::MAX);
        let load = engine::UpstreamLoad {
            loading: None,
            capacity: u32::try_from(self.inner.settings.capacity).unwrap_or(u32::MAX),
            decoded_tokens: None,
            highest_term: None,
            incarnation: self.inner.incarnation,
            leaving: *self.inner.fault.lock() == PlainFault::Leave,
            models: Vec::new(),
            prefilled_tokens: None,
            role: None,
            running: count(&self.inner.running),
            waiting: count(&self.inner.waiting),
        };
        Response::new(json_bytes(&load).into())
    }

    fn handle_fault(&self, req: &Request) -> Response {
        let Some(fault) = query_value(req, "kind").and_then(|kind| kind.parse().ok()) else {
            return bad_request();
        };
        self.set_fault(fault);
        Response::new(Body::empty())
    }
}

impl volo::Service<ServerContext, Request> for PlainServer {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _: &mut ServerContext, req: Request) -> Result<Response, Infallible> {
        Ok(match (req.method(), req.uri().path()) {
            (&Method::GET, "/v1/load") => self.load(),
            (&Method::GET, "/stats") => Response::new(json_bytes(&self.run_counts()).into()),
            (&Method::POST, "/fault") => self.handle_fault(&req),
            _ => self.serve(req).await,
        })
    }
}

fn refusal(fault: PlainFault) -> Response {
    let kind = match fault {
        PlainFault::Leave => engine::EngineRefusalKind::Leaving,
        PlainFault::Refuse => engine::EngineRefusalKind::Full,
        _ => engine::EngineRefusalKind::Malformed,
    };
    let body = engine::EngineRefusal {
        highest_term: None,
        attempt: None,
        kind,
        request_id: None,
    };
    let mut response = Response::new(json_bytes(&body).into());
    *response.status_mut() = StatusCode::CONFLICT;
    response
}

fn truncated_response() -> Response {
    let reset = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
    let frames = [
        Ok(http_body::Frame::data(Bytes::from_static(b"{"))),
        Err(reset.into()),
    ];
    Response::new(Body::from_stream(futures::stream::iter(frames)))
}
