use super::*;
use tokio::time::Instant;
use volo_http::client::sse::SseReader;

/// HTTP client of the router's caller API.
#[derive(Clone)]
pub struct CallerClient {
    connections: Arc<Connections>,
    /// Address of the router.
    pub address: SocketAddr,
    /// Bearer key of the team.
    pub key: Arc<str>,
}

/// Error of a call that returned no answer or an incomplete one.
#[derive(Debug, Display, Error, From)]
pub enum CallError {
    /// The HTTP call failed.
    #[display("{_0}")]
    Http(HttpError),
    /// The connection was closed before the end of the response.
    #[display("connection closed before the end of the response")]
    #[from(skip)]
    Broken,
    /// An event or an error body does not have the documented form.
    #[display("invalid event or error body: {_0}")]
    Form(serde_json::Error),
    /// The HTTP client could not be created.
    #[display("{_0}")]
    Client(catkinward::Error),
}

/// Timeout for the response headers.
const HEADERS_TIMEOUT: Duration = Duration::from_secs(30);

impl CallerClient {
    /// Creates a client of the router at `address`.
    ///
    /// # Errors
    ///
    /// If the HTTP client cannot be created.
    pub fn new(address: SocketAddr, key: &str) -> Result<Self, CallError> {
        Ok(Self {
            connections: Arc::new(Connections::new()?),
            address,
            key: key.into(),
        })
    }

    /// Streams a generation into `answer`, after its last event if it already contains tokens.
    ///
    /// # Errors
    ///
    /// If the stream is interrupted; `answer` then contains the received part.
    pub async fn stream(
        &self,
        request: &caller::CompletionRequest,
        idempotency_key: Option<&str>,
        answer: &mut Answer,
        mut on_token: impl FnMut(&Answer),
    ) -> Result<(), CallError> {
        let start = *answer.started.get_or_insert_with(Instant::now);
        answer.problem = None;
        let mut headers = self.headers(idempotency_key);
        if let Some(Ok(last)) = answer.last_event_id.as_deref().map(str::parse) {
            headers.insert("last-event-id", last);
        }
        let call = HttpCall {
            address: self.address,
            method: Method::POST,
            path: "/v1/completions".to_owned(),
            headers,
            body: json_bytes(request),
            timeout: HEADERS_TIMEOUT,
            new_connection: true,
        };
        let response = self.connections.call(call).await?;
        if !response.status().is_success() {
            let body = response.into_body().into_bytes().await;
            let body = body.map_err(|_| CallError::Broken)?;
            answer.problem = Some(serde_json::from_slice(&body)?);
            return Ok(());
        }
        answer.accepted = true;
        let mut reader = SseReader::into_sse(response).map_err(|_| CallError::Broken)?;
        loop {
            let event = reader.read().await.map_err(|_| CallError::Broken)?;
            let event = event.ok_or(CallError::Broken)?;
            let data = event.data().unwrap_or_default();
            if data == "[DONE]" {
                return Ok(());
            }
            if event.event() == "error" {
                answer.problem = Some(serde_json::from_str(data)?);
                return Ok(());
            }
            let id = event.id().map(str::to_owned);
            answer.record_event(serde_json::from_str(data)?, id, start.elapsed());
            on_token(answer);
        }
    }

    /// Returns the number of peers that the router reports at `/readyz`; 0 if it reports none.
    ///
    /// # Errors
    ///
    /// If the router does not respond.
    pub async fn peers(&self) -> Result<usize, CallError> {
        let call = HttpCall {
            address: self.address,
            path: "/readyz".to_owned(),
            ..HttpCall::default()
        };
        let (_, body) = self.connections.call_complete(call).await?;
        let text = String::from_utf8_lossy(&body);
        let peers = text.lines().find_map(|line| line.strip_prefix("peers "));
        Ok(peers
            .and_then(|count| count.parse().ok())
            .unwrap_or_default())
    }

    fn headers(&self, idempotency_key: Option<&str>) -> http::HeaderMap {
        let mut headers = http::HeaderMap::new();
        if let Ok(value) = format!("Bearer {}", self.key).parse() {
            headers.insert(header::AUTHORIZATION, value);
        }
        if let Some(Ok(key)) = idempotency_key.map(str::parse) {
            headers.insert("idempotency-key", key);
        }
        headers
    }
}

impl Answer {
    fn record_event(&mut self, event: caller::CompletionEvent, id: Option<String>, at: Duration) {
        self.request_id = Some(event.id);
        self.last_event_id = id.or(self.last_event_id.take());
        for choice in event.choices {
            self.text.push_str(&choice.text);
            self.finish = self.finish.take().or(choice.finish_reason);
        }
        self.arrivals
            .extend(std::iter::repeat_n(at, event.tokens.len()));
        self.ids.extend(event.tokens);
        self.usage = event.usage.or(self.usage.take());
    }
}
