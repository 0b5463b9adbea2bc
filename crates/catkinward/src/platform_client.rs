use super::*;
use crate::http_client::{HttpError, json_bytes};
use catkin_decisions::{CallLimiter, CallLimiterSettings};
use futures::future::BoxFuture;

/// Settings of the client for the platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformSettings {
    /// Time within which the complete response to a call must have arrived. A call beyond its limit fails
    /// at once, so this includes no wait for the limiter.
    pub timeout: Duration,
    /// Call limit for reads, scans, VM lists and fetched objects.
    pub reads: CallLimiterSettings,
    /// Call limit for transactions and stored objects.
    pub writes: CallLimiterSettings,
}

/// Limit of the transactions per second of all VMs together; the platform executes several hundred.
///
/// The platform refuses transactions beyond its own limit, whichever VM sends them. With 40 VMs and
/// a platform limit of 300 per second, 290 claims were refused at their deadline if each VM was
/// allowed an eighth of the 300; none was if each was allowed a fortieth (example `claim_rate`).
const WRITES_PER_SECOND: u32 = 300;

/// Limit of the reads per second of all VMs together: half of the 2,000 that the platform executes. The other half
/// is reserved for operators and for many VMs that start at the same time.
const READS_PER_SECOND: u32 = 1000;

/// Lower bound on the read limit of one VM, per second, however many VMs there are: one read for the
/// bundle's row, and the rest for a lease and a claim.
const MIN_READS_PER_SECOND: u32 = 3;

impl PlatformSettings {
    /// Returns the settings of one VM if `vms` VMs share the platform.
    #[must_use]
    pub fn shared_by(vms: u32) -> Self {
        let vms = vms.max(1);
        let default = Self::default();
        let reads = (READS_PER_SECOND / vms).max(MIN_READS_PER_SECOND);
        let second = Duration::from_secs(1);
        Self {
            reads: CallLimiterSettings {
                refill_interval: second / reads,
                burst: reads,
                ..default.reads
            },
            writes: CallLimiterSettings {
                refill_interval: second * vms / WRITES_PER_SECOND,
                burst: (WRITES_PER_SECOND / vms).div_ceil(2).max(1),
                ..default.writes
            },
            ..default
        }
    }
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(1),
            reads: CallLimiterSettings {
                refill_interval: Duration::from_millis(10),
                burst: 50,
                ..CallLimiterSettings::default()
            },
            writes: CallLimiterSettings::default(),
        }
    }
}

/// The client behind the closures of a [`Platform`].
#[derive(Clone)]
struct PlatformClient {
    inner: Arc<Inner>,
}

struct Inner {
    connections: Arc<Connections>,
    timer: Arc<Timer>,
    address: SocketAddr,
    timeout: Duration,
    reads: Mutex<CallLimiter>,
    writes: Mutex<CallLimiter>,
}

/// Call limit that applies to a call.
#[derive(Clone, Copy)]
enum CallKind {
    Reads,
    Writes,
}

impl Platform {
    /// Returns a client for the platform at `address`, over HTTP with JSON.
    #[must_use]
    pub fn over_http(
        connections: Arc<Connections>,
        timer: Arc<Timer>,
        address: SocketAddr,
        cfg: PlatformSettings,
    ) -> Self {
        let client = PlatformClient {
            inner: Arc::new(Inner {
                connections,
                timer,
                address,
                timeout: cfg.timeout,
                reads: Mutex::new(CallLimiter::new(cfg.reads)),
                writes: Mutex::new(CallLimiter::new(cfg.writes)),
            }),
        };
        Self {
            transact: client.platform_call(|client, req| async move {
                let body = json_bytes(&req);
                client
                    .post(CallKind::Writes, "/v1/table/transact", body)
                    .await
            }),
            read: client.platform_call(|client, keys| async move {
                let body = json_bytes(&platform_api::ReadRequest { keys });
                client.rows("/v1/table/read", body).await
            }),
            scan: client.platform_call(|client, req| async move {
                client.rows("/v1/table/scan", json_bytes(&req)).await
            }),
            put_object: client.platform_call(|client, (name, body)| async move {
                client.put_object(&name, body).await
            }),
            get_object: client.platform_call(|client, name: Arc<str>| async move {
                client.get_object(&name).await
            }),
            vms: client.platform_call(|client, ()| async move {
                let call = client.http_call(Method::GET, "/v1/vms", Bytes::new());
                let body = client.call(CallKind::Reads, call).await?;
                let list = parse_reply::<platform_api::VmList>(&body.unwrap_or_default())?;
                Ok(list.vms)
            }),
        }
    }
}

impl PlatformClient {
    fn platform_call<Q, A, F>(&self, run: fn(Self, Q) -> F) -> PlatformCall<Q, A>
    where
        F: Future<Output = Result<A, PlatformError>> + Send + 'static,
        Q: 'static,
        A: 'static,
    {
        let client = self.clone();
        Box::new(move |q| -> BoxFuture<'static, Result<A, PlatformError>> {
            Box::pin(run(client.clone(), q))
        })
    }

    async fn rows(&self, path: &str, body: Bytes) -> Result<Vec<platform_api::Row>, PlatformError> {
        let reply: platform_api::RowsReply = self.post(CallKind::Reads, path, body).await?;
        Ok(reply.rows)
    }

    async fn post<T: serde::de::DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &str,
        body: Bytes,
    ) -> Result<T, PlatformError> {
        let call = self.http_call(Method::POST, path, body);
        let body = self.call(kind, call).await?;
        parse_reply(&body.unwrap_or_default())
    }

    async fn put_object(&self, name: &str, body: Bytes) -> Result<(), PlatformError> {
        let call = self.http_call(Method::PUT, &object_path(name), body);
        self.call(CallKind::Writes, call).await.map(|_| ())
    }

    async fn get_object(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        let call = self.http_call(Method::GET, &object_path(name), Bytes::new());
        self.call(CallKind::Reads, call).await
    }

    fn http_call(&self, method: Method, path: &str, body: Bytes) -> HttpCall {
        HttpCall {
            address: self.inner.address,
            method,
            path: path.to_owned(),
            body,
            timeout: self.inner.timeout,
            ..HttpCall::default()
        }
    }

    /// Makes a call if its limit allows. Returns `None` if the platform responds that the object or
    /// path does not exist.
    async fn call(&self, kind: CallKind, call: HttpCall) -> Result<Option<Bytes>, PlatformError> {
        let inner = &self.inner;
        let limiter = match kind {
            CallKind::Reads => &inner.reads,
            CallKind::Writes => &inner.writes,
        };
        if !limiter.lock().try_take(inner.timer.now()) {
            count_call(Some(&PlatformError::OutOfBudget));
            return Err(PlatformError::OutOfBudget);
        }
        let result = match inner.connections.call_complete(call).await {
            Ok((status, body)) => result_of_status(status, body),
            Err(error) => Err(platform_error(&error)),
        };
        count_call(result.as_ref().err());
        match &result {
            Ok(_) => limiter.lock().record_response(),
            Err(error) => {
                tracing::debug!(fault = %error, "platform call failed");
                limiter
                    .lock()
                    .record_failure(inner.timer.now(), rand::random());
            }
        }
        result
    }
}

fn count_call(error: Option<&PlatformError>) {
    let result = error.map_or("answered", Into::into);
    metrics::counter!("catkin_platform_calls_total", "result" => result).increment(1);
}

/// Converts a response. The platform sends 429, 503 and other client errors before a call has any
/// effect; after any other failure status the effect is unknown.
fn result_of_status(status: StatusCode, body: Bytes) -> Result<Option<Bytes>, PlatformError> {
    match status {
        StatusCode::NOT_FOUND => Ok(None),
        StatusCode::TOO_MANY_REQUESTS => Err(PlatformError::Throttled),
        StatusCode::SERVICE_UNAVAILABLE => Err(PlatformError::NotRun),
        status if status.is_success() => Ok(Some(body)),
        status if status.is_client_error() => Err(PlatformError::NotRun),
        _ => Err(PlatformError::Unknown),
    }
}

fn platform_error(error: &HttpError) -> PlatformError {
    if error.never_connected() {
        PlatformError::NotRun
    } else {
        PlatformError::Unknown
    }
}

fn parse_reply<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|_| PlatformError::Unknown)
}

/// Returns the path of an object. Names are opaque, so all bytes except ASCII letters, digits, `-`, `_`
/// and `.` are percent-encoded.
fn object_path(name: &str) -> String {
    let is_unreserved = |b: &u8| b.is_ascii_alphanumeric() || b"-_.".contains(b);
    let escaped = name.bytes().map(|b| {
        if is_unreserved(&b) {
            char::from(b).to_string()
        } else {
            format!("%{b:02X}")
        }
    });
    format!("/v1/objects/{}", escaped.collect::<String>())
}
