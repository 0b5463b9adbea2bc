use super::*;
use tokio::time::Instant;
use volo_http::client::sse::SseReader;

/// A caller of the router.
#[derive(Clone)]
pub struct CallerClient {
    connections: Arc<Connections>,
    /// Router that is called.
    pub address: SocketAddr,
    /// Bearer key.
    pub key: Arc<str>,
}

/// Why a call brought no answer, or no whole one.
#[derive(Debug, Display, Error, From)]
pub enum CallError {
    /// The call failed.
    #[display("{_0}")]
    Http(HttpError),
    /// The connection broke off.
    #[display("the answer broke off")]
    #[from(skip)]
    Broken,
    /// An event is not of the documented form.
    #[display("an event cannot be read: {_0}")]
    Form(serde_json::Error),
    /// The client could not be made.
    #[display("{_0}")]
    Client(catkinward::Error),
}

/// How long a caller waits for the headers of an answer.
const HEADERS_BOUND: Duration = Duration::from_secs(30);

impl CallerClient {
    /// A caller of the router at `address`.
    ///
    /// # Errors
    ///
    /// If no client can be made.
    pub fn new(address: SocketAddr, key: &str) -> Result<Self, CallError> {
        Ok(Self {
            connections: Arc::new(Connections::new()?),
            address,
            key: key.into(),
        })
    }

    /// Asks for a streamed generation and reads it into `answer`, calling `on_token` after each
    /// event. An answer that holds tokens already is gone on with.
    ///
    /// # Errors
    ///
    /// If the stream breaks off before its end; `answer` then holds what came.
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
            timeout: HEADERS_BOUND,
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
            answer.take(serde_json::from_str(data)?, id, start.elapsed());
            on_token(answer);
        }
    }

    /// Peers that the router knows, by its readiness answer.
    ///
    /// # Errors
    ///
    /// If it does not answer.
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
    fn take(&mut self, event: caller::CompletionEvent, id: Option<String>, at: Duration) {
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
