//! HTTP calls to other processes.

use super::*;
use volo_http::client::{Client, ClientBuilder};

/// What can go wrong with an HTTP call.
#[derive(Debug, Display, StdError)]
pub enum HttpError {
    /// The client could not be built.
    #[display("cannot build an HTTP client: {source}")]
    Build {
        /// Why not.
        source: volo_http::error::ClientError,
    },
    /// The call failed before its answer's headers came.
    #[display("no answer from {address}: {source}")]
    Call {
        /// Who was called.
        address: SocketAddr,
        /// Why.
        source: volo_http::error::ClientError,
    },
    /// No answer within the bound.
    #[display("no answer from {address} within {} ms", bound.as_millis())]
    Timeout {
        /// Who was called.
        address: SocketAddr,
        /// How long was waited.
        bound: Duration,
    },
    /// The body of the answer broke off.
    #[display("the answer of {address} broke off")]
    Body {
        /// Who was called.
        address: SocketAddr,
    },
    /// The answer has another form than agreed.
    #[display("the answer of {address} cannot be read: {source}")]
    Form {
        /// Who was called.
        address: SocketAddr,
        /// Why.
        source: serde_json::Error,
    },
    /// The answer has an unexpected status.
    #[display("{address} answered with status {status}")]
    Status {
        /// Who was called.
        address: SocketAddr,
        /// The status.
        status: StatusCode,
    },
}

impl HttpError {
    /// Whether no connection was had, so that no byte of the call has left.
    ///
    /// The HTTP library gives a failed connect the kind of a failed request. They differ in their
    /// source: that of a failed connect is the system's own error, that of a request which failed on
    /// a connection is one of the protocol.
    #[must_use]
    pub fn never_connected(&self) -> bool {
        use std::error::Error as _;
        use volo_http::error::client::ErrorKind;
        match self {
            Self::Build { .. } => true,
            Self::Call { source, .. } => {
                let connect = *source.kind() == ErrorKind::Connect;
                connect
                    || source
                        .source()
                        .is_some_and(<dyn std::error::Error>::is::<io::Error>)
            }
            _ => false,
        }
    }
}

/// One call, to be filled in by update syntax.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// Who is called.
    pub address: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Bound until the answer's headers.
    pub bound: Duration,
    /// True to use a connection of its own. Kept connections may have gone silent, and an error on
    /// one that the other end has just closed does not prove that the call did not run.
    pub fresh: bool,
}

impl Default for HttpCall {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            method: Method::GET,
            path: "/".to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            bound: Duration::from_secs(2),
            fresh: false,
        }
    }
}

/// Connections to other processes: kept ones and fresh ones.
pub struct Connections {
    kept: Client,
    fresh: Client,
    clock: Option<Arc<ProcessClock>>,
}

/// How long a connection may take to open.
const CONNECT_BOUND: Duration = Duration::from_secs(1);

/// How long an unused connection is kept.
const IDLE_BOUND: Duration = Duration::from_secs(10);

impl Connections {
    /// Builds both clients; each call carries a reading of `clock`, which takes in what comes back.
    ///
    /// # Errors
    ///
    /// If the library cannot.
    pub fn with_clock(clock: Arc<ProcessClock>) -> Result<Self> {
        Ok(Self {
            clock: Some(clock),
            ..Self::new()?
        })
    }

    /// Builds both clients.
    ///
    /// # Errors
    ///
    /// If the library cannot.
    pub fn new() -> Result<Self> {
        let client = |idle| {
            let mut builder = ClientBuilder::new();
            builder.set_connect_timeout(CONNECT_BOUND);
            builder.set_pool_idle_timeout(IDLE_BOUND);
            builder.set_max_idle_per_host(idle);
            builder
                .build()
                .map_err(|source| HttpError::Build { source })
        };
        Ok(Self {
            kept: client(64)?,
            fresh: client(0)?,
            clock: None,
        })
    }

    /// Makes a call and returns the answer as soon as its headers are there.
    ///
    /// # Errors
    ///
    /// If there is no answer within the call's bound.
    pub async fn call(&self, call: HttpCall) -> Result<Response, HttpError> {
        let HttpCall { address, bound, .. } = call;
        let client = if call.fresh { &self.fresh } else { &self.kept };
        let mut req = client
            .request(call.method, format!("http://{address}{}", call.path))
            .body(Body::from(call.body));
        req.headers_mut().extend(call.headers);
        if call.fresh {
            // Without this the library hands a connection that has just become free to a call that
            // waits for a new one, also where the pool keeps none.
            let close = header::HeaderValue::from_static("close");
            req.headers_mut().insert(header::CONNECTION, close);
        }
        if let Some(clock) = &self.clock {
            clock.stamp(req.headers_mut());
        }
        match tokio::time::timeout(bound, req.send()).await {
            Ok(Ok(response)) => {
                if let Some(clock) = &self.clock {
                    clock.observe_headers(response.headers());
                }
                Ok(response)
            }
            Ok(Err(source)) => Err(HttpError::Call { address, source }),
            Err(_) => Err(HttpError::Timeout { address, bound }),
        }
    }

    /// Makes a call and reads the whole answer within the call's bound.
    ///
    /// # Errors
    ///
    /// If the whole answer is not there in time.
    pub async fn call_whole(&self, call: HttpCall) -> Result<(StatusCode, Bytes), HttpError> {
        let HttpCall { address, bound, .. } = call;
        let whole = async {
            let response = self.call(call).await?;
            let status = response.status();
            let body = response
                .into_body()
                .into_bytes()
                .await
                .map_err(|_| HttpError::Body { address })?;
            Ok((status, body))
        };
        tokio::time::timeout(bound, whole)
            .await
            .unwrap_or(Err(HttpError::Timeout { address, bound }))
    }

    /// Makes a call whose answer is JSON with a status of success.
    ///
    /// # Errors
    ///
    /// If there is no such answer in time.
    pub async fn call_json<T: serde::de::DeserializeOwned>(
        &self,
        call: HttpCall,
    ) -> Result<T, HttpError> {
        let address = call.address;
        let (status, body) = self.call_whole(call).await?;
        if !status.is_success() {
            return Err(HttpError::Status { address, status });
        }
        serde_json::from_slice(&body).map_err(|source| HttpError::Form { address, source })
    }
}

/// Bytes of a value as JSON.
///
/// # Panics
///
/// Never: border types have text keys only.
#[must_use]
pub fn json_bytes<T: serde::Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value)
        .expect("border types have text keys only")
        .into()
}
