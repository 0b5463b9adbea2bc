//! HTTP calls to other processes.

use super::*;
use volo_http::client::{Client, ClientBuilder};

/// Error of an HTTP call.
#[derive(Debug, Display, StdError)]
pub enum HttpError {
    /// The client could not be built.
    #[display("cannot build an HTTP client: {source}")]
    Build {
        /// Error of the HTTP library.
        source: volo_http::error::ClientError,
    },
    /// The call failed before the response headers arrived.
    #[display("no answer from {address}: {source}")]
    Call {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the HTTP library.
        source: volo_http::error::ClientError,
    },
    /// The call timed out.
    #[display("no answer from {address} within {} ms", timeout.as_millis())]
    Timeout {
        /// Address of the server.
        address: SocketAddr,
        /// Timeout of the call.
        timeout: Duration,
    },
    /// The connection ended before the response body was complete.
    #[display("the answer of {address} broke off")]
    TruncatedBody {
        /// Address of the server.
        address: SocketAddr,
    },
    /// The response body cannot be parsed as the expected type.
    #[display("the answer of {address} cannot be read: {source}")]
    Form {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// The response status is not a success.
    #[display("{address} answered with status {status}")]
    Status {
        /// Address of the server.
        address: SocketAddr,
        /// Status of the response.
        status: StatusCode,
    },
}

impl HttpError {
    /// Returns whether no connection was opened, so that no byte of the call was sent.
    ///
    /// The HTTP library reports a failed connect with the kind of a failed request. Only the source
    /// differs: an I/O error of the operating system for a failed connect, a protocol error for a
    /// request that failed on an open connection.
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

/// Parameters of an HTTP call; construct it with struct update syntax from the default.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// Address of the server.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Request headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Timeout until the response headers arrive.
    pub timeout: Duration,
    /// Opens a new connection for this call instead of using one of the pool. A pooled connection may
    /// be dead without notice, and an error on one that the server has just closed does not prove
    /// that the call did not run.
    pub new_connection: bool,
}

impl Default for HttpCall {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            method: Method::GET,
            path: "/".to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            timeout: Duration::from_secs(2),
            new_connection: false,
        }
    }
}

/// HTTP clients for calls to other processes: one with a connection pool, one without.
pub struct Connections {
    pooled: Client,
    unpooled: Client,
    clock: Option<Arc<ProcessClock>>,
}

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle connections of the pool are closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

impl Connections {
    /// Builds both clients. Requests carry a reading of `clock`, which observes those in responses.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP library cannot build a client.
    pub fn with_clock(clock: Arc<ProcessClock>) -> Result<Self> {
        Ok(Self {
            clock: Some(clock),
            ..Self::new()?
        })
    }

    /// Builds both clients without a clock.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP library cannot build a client.
    pub fn new() -> Result<Self> {
        let client = |max_idle| {
            let mut builder = ClientBuilder::new();
            builder.set_connect_timeout(CONNECT_TIMEOUT);
            builder.set_pool_idle_timeout(IDLE_TIMEOUT);
            builder.set_max_idle_per_host(max_idle);
            builder
                .build()
                .map_err(|source| HttpError::Build { source })
        };
        Ok(Self {
            pooled: client(64)?,
            unpooled: client(0)?,
            clock: None,
        })
    }

    /// Sends a request and returns the response once its headers have arrived.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or times out before that.
    pub async fn call(&self, call: HttpCall) -> Result<Response, HttpError> {
        let HttpCall {
            address, timeout, ..
        } = call;
        let client = if call.new_connection {
            &self.unpooled
        } else {
            &self.pooled
        };
        let mut req = client
            .request(call.method, format!("http://{address}{}", call.path))
            .body(Body::from(call.body));
        req.headers_mut().extend(call.headers);
        if call.new_connection {
            // Without this header, the library passes a connection that has just become idle to a call
            // that waits for a new one, even if the pool size is 0.
            let close = header::HeaderValue::from_static("close");
            req.headers_mut().insert(header::CONNECTION, close);
        }
        if let Some(clock) = &self.clock {
            clock.stamp(req.headers_mut());
        }
        match tokio::time::timeout(timeout, req.send()).await {
            Ok(Ok(response)) => {
                if let Some(clock) = &self.clock {
                    clock.observe_headers(response.headers());
                }
                Ok(response)
            }
            Ok(Err(source)) => Err(HttpError::Call { address, source }),
            Err(_) => Err(HttpError::Timeout { address, timeout }),
        }
    }

    /// Sends a request and reads the complete response within the timeout of the call.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is not complete in time.
    pub async fn call_complete(&self, call: HttpCall) -> Result<(StatusCode, Bytes), HttpError> {
        let HttpCall {
            address, timeout, ..
        } = call;
        let exchange = async {
            let response = self.call(call).await?;
            let status = response.status();
            let body = response
                .into_body()
                .into_bytes()
                .await
                .map_err(|_| HttpError::TruncatedBody { address })?;
            Ok((status, body))
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or(Err(HttpError::Timeout { address, timeout }))
    }

    /// Sends a request and parses the JSON body of a successful response.
    ///
    /// # Errors
    ///
    /// If the call fails or times out, the status is no success, or the body cannot be parsed.
    pub async fn call_json<T: serde::de::DeserializeOwned>(
        &self,
        call: HttpCall,
    ) -> Result<T, HttpError> {
        let address = call.address;
        let (status, body) = self.call_complete(call).await?;
        if !status.is_success() {
            return Err(HttpError::Status { address, status });
        }
        serde_json::from_slice(&body).map_err(|source| HttpError::Form { address, source })
    }
}

/// Serializes a value as JSON.
///
/// # Panics
///
/// Never for the types of `catkin_border`, since all their maps have string keys.
#[must_use]
pub fn json_bytes<T: serde::Serialize>(value: &T) -> Bytes {
    serde_json::to_vec(value)
        .expect("types of catkin_border have string keys only")
        .into()
}

/// Bytes of JSON beside a large text.
const JSON_FRAME_BYTES: usize = 4 << 10;

/// Serializes a value with a large text as JSON, in a buffer that need not grow.
///
/// # Panics
///
/// Never, like [`json_bytes`].
#[must_use]
pub(crate) fn large_json_bytes<T: serde::Serialize>(value: &T, text: &str) -> Bytes {
    let mut json = Vec::with_capacity(text.len() + JSON_FRAME_BYTES);
    serde_json::to_writer(&mut json, value).expect("types of catkin_border have string keys only");
    json.into()
}
