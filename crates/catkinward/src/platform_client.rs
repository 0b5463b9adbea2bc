use super::*;
use crate::http_client::{HttpError, json_bytes};
use catkin_decisions::{CallLimiter, CallLimiterSettings};
use futures::future::BoxFuture;

/// Settings of the platform's client.
#[derive(Clone, Copy, Debug)]
pub struct PlatformSettings {
    /// Longest wait for an answer.
    pub bound: Duration,
    /// Budget of reads, scans, VM lists and objects fetched.
    pub reads: CallLimiterSettings,
    /// Budget of transactions and objects stored.
    pub writes: CallLimiterSettings,
}

/// Transactions a second that all VMs take of the platform together, which does several hundred.
///
/// With more the platform refuses some, and which of the VMs it refuses is chance: in a run of 40
/// VMs with the parts of 8, before a platform that did 300, 290 claims were refused at their
/// deadline, and with the parts of 40 none was (example `claim_rate`).
const WRITES_PER_SECOND: u32 = 300;

/// Reads a second that all VMs take together: half of the two thousand that the platform does, so
/// that operators and the start of many VMs find room.
const READS_PER_SECOND: u32 = 1000;

/// Least calls a second of a VM, however many VMs there are: the bundle's row each second, and what
/// a lease and a claim need.
const LEAST_READS_PER_SECOND: u32 = 3;

impl PlatformSettings {
    /// Settings of one of so many VMs that share the platform.
    #[must_use]
    pub fn shared_by(vms: u32) -> Self {
        let vms = vms.max(1);
        let default = Self::default();
        let reads = (READS_PER_SECOND / vms).max(LEAST_READS_PER_SECOND);
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
            bound: Duration::from_secs(1),
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
    bound: Duration,
    reads: Mutex<CallLimiter>,
    writes: Mutex<CallLimiter>,
}

/// Which budget a call is taken from.
#[derive(Clone, Copy)]
enum Budget {
    Reads,
    Writes,
}

impl Platform {
    /// A platform at `address` that speaks HTTP with JSON.
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
                bound: cfg.bound,
                reads: Mutex::new(CallLimiter::new(cfg.reads)),
                writes: Mutex::new(CallLimiter::new(cfg.writes)),
            }),
        };
        Self {
            transact: client.call_of(|client, req| async move {
                let body = json_bytes(&req);
                client
                    .post(Budget::Writes, "/v1/table/transact", body)
                    .await
            }),
            read: client.call_of(|client, keys| async move {
                let body = json_bytes(&platform_api::ReadRequest { keys });
                client.rows("/v1/table/read", body).await
            }),
            scan: client.call_of(|client, req| async move {
                client.rows("/v1/table/scan", json_bytes(&req)).await
            }),
            put_object: client.call_of(|client, (name, body)| async move {
                client.put_object(&name, body).await
            }),
            get_object: client
                .call_of(|client, name: Arc<str>| async move { client.get_object(&name).await }),
            vms: client.call_of(|client, ()| async move {
                let call = client.http_call(Method::GET, "/v1/vms", Bytes::new());
                let body = client.call(Budget::Reads, call).await?;
                let list = parsed::<platform_api::VmList>(&body.unwrap_or_default())?;
                Ok(list.vms)
            }),
        }
    }
}

impl PlatformClient {
    fn call_of<Q, A, F>(&self, run: fn(Self, Q) -> F) -> PlatformCall<Q, A>
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
        let reply: platform_api::RowsReply = self.post(Budget::Reads, path, body).await?;
        Ok(reply.rows)
    }

    async fn post<T: serde::de::DeserializeOwned>(
        &self,
        budget: Budget,
        path: &str,
        body: Bytes,
    ) -> Result<T, PlatformError> {
        let call = self.http_call(Method::POST, path, body);
        let body = self.call(budget, call).await?;
        parsed(&body.unwrap_or_default())
    }

    async fn put_object(&self, name: &str, body: Bytes) -> Result<(), PlatformError> {
        let call = self.http_call(Method::PUT, &object_path(name), body);
        self.call(Budget::Writes, call).await.map(|_| ())
    }

    async fn get_object(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        let call = self.http_call(Method::GET, &object_path(name), Bytes::new());
        self.call(Budget::Reads, call).await
    }

    fn http_call(&self, method: Method, path: &str, body: Bytes) -> HttpCall {
        HttpCall {
            address: self.inner.address,
            method,
            path: path.to_owned(),
            body,
            bound: self.inner.bound,
            ..HttpCall::default()
        }
    }

    /// Makes a call within its budget; `None` if the platform has no such thing.
    async fn call(&self, budget: Budget, call: HttpCall) -> Result<Option<Bytes>, PlatformError> {
        let inner = &self.inner;
        let budget = match budget {
            Budget::Reads => &inner.reads,
            Budget::Writes => &inner.writes,
        };
        if !budget.lock().try_take(inner.timer.now()) {
            count(Some(&PlatformError::OutOfBudget));
            return Err(PlatformError::OutOfBudget);
        }
        let answer = match inner.connections.call_whole(call).await {
            Ok((status, body)) => of_status(status, body),
            Err(error) => Err(of_error(&error)),
        };
        count(answer.as_ref().err());
        match &answer {
            Ok(_) => budget.lock().record_response(),
            Err(fault) => {
                tracing::debug!(%fault, "platform call failed");
                budget
                    .lock()
                    .record_failure(inner.timer.now(), rand::random());
            }
        }
        answer
    }
}

fn count(fault: Option<&PlatformError>) {
    let result = fault.map_or("answered", Into::into);
    metrics::counter!("catkin_platform_calls_total", "result" => result).increment(1);
}

/// The platform answers 429 and 503 before a call has any effect; of every other failure the caller
/// cannot tell.
fn of_status(status: StatusCode, body: Bytes) -> Result<Option<Bytes>, PlatformError> {
    match status {
        StatusCode::NOT_FOUND => Ok(None),
        StatusCode::TOO_MANY_REQUESTS => Err(PlatformError::Throttled),
        StatusCode::SERVICE_UNAVAILABLE => Err(PlatformError::NotRun),
        status if status.is_success() => Ok(Some(body)),
        status if status.is_client_error() => Err(PlatformError::NotRun),
        _ => Err(PlatformError::Unknown),
    }
}

fn of_error(error: &HttpError) -> PlatformError {
    if error.never_connected() {
        PlatformError::NotRun
    } else {
        PlatformError::Unknown
    }
}

fn parsed<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|_| PlatformError::Unknown)
}

/// Object names are opaque: all but letters, digits, `-`, `_` and `.` is escaped.
fn object_path(name: &str) -> String {
    let plain = |b: &u8| b.is_ascii_alphanumeric() || b"-_.".contains(b);
    let escaped = name.bytes().map(|b| {
        if plain(&b) {
            char::from(b).to_string()
        } else {
            format!("%{b:02X}")
        }
    });
    format!("/v1/objects/{}", escaped.collect::<String>())
}
