//! Memory for the requests of callers, and reading a body within it.

use super::*;
use crate::gateway::{CallLog, LineKind};
use catkin_decisions::{CallerMemoryAccount, SMALL_REQUEST};
use futures::{Stream, StreamExt};

/// Memory that a header takes beside its name and its value, in bytes.
const FIELD_BYTES: usize = 64;

/// Returns the memory that headers take, in bytes.
#[must_use]
pub fn headers_size(headers: &HeaderMap) -> usize {
    let fields = headers.iter();
    let sizes = fields.map(|(name, value)| FIELD_BYTES + name.as_str().len() + value.len());
    sizes.sum()
}

/// A request whose body is to be read.
#[derive(Clone, Debug)]
pub struct UnreadBody<'a> {
    /// Id of the request, for the log, if it has one.
    pub request: Option<&'a RequestId>,
    /// Team of the caller, for the log.
    pub team: Option<&'a TeamId>,
    /// Size of the head, in bytes.
    pub head: usize,
    /// Size of the body as the head announces it, in bytes.
    pub announced: Option<u64>,
    /// Maximum size of the body, in bytes.
    pub limit: usize,
    /// How many times the body stands in memory while the request is served.
    pub copies: usize,
    /// Time for the whole body. Without one, a caller that sends its body byte by byte would hold a connection forever
    /// and delay the shutdown of the process.
    pub timeout: Duration,
}

impl UnreadBody<'_> {
    /// Memory that the request takes with a body of this size, in bytes.
    fn cost(&self, body: usize) -> usize {
        self.head.saturating_add(body.saturating_mul(self.copies))
    }
}

/// Memory that the requests of callers take, from their body on until their calls have ended.
#[derive(Debug)]
pub struct CallerMemory {
    pub(crate) account: Mutex<CallerMemoryAccount>,
    /// Notifies requests that some were displaced.
    pub(crate) displaced: Notify,
    pub(crate) timer: Arc<Timer>,
    log: CallLog,
}

impl CallerMemory {
    /// Creates memory that no request holds.
    #[must_use]
    pub fn new(settings: CallerMemorySettings, timer: Arc<Timer>) -> Arc<Self> {
        #[expect(clippy::cast_precision_loss)]
        metrics::gauge!("catkin_caller_memory_limit_bytes").set(settings.limit.0 as f64);
        Arc::new(Self {
            account: Mutex::new(CallerMemoryAccount::new(settings)),
            displaced: Notify::new(),
            timer,
            log: CallLog::default(),
        })
    }

    /// Reads a body and holds its memory.
    ///
    /// # Errors
    ///
    /// Returns why the body is refused.
    pub async fn receive<E>(
        self: &Arc<Self>,
        unread: UnreadBody<'_>,
        parts: impl Stream<Item = Result<Bytes, E>>,
    ) -> Result<ReceivedBody, BodyRefusal> {
        let reading = self.read(&unread, parts);
        let read = tokio::time::timeout(unread.timeout, reading).await;
        let read = read.unwrap_or(Err(BodyRefusal::TimedOut));
        if let Err(refusal) = &read {
            self.record_refusal(&unread, *refusal);
        }
        read
    }

    async fn read<E>(
        self: &Arc<Self>,
        unread: &UnreadBody<'_>,
        parts: impl Stream<Item = Result<Bytes, E>>,
    ) -> Result<ReceivedBody, BodyRefusal> {
        let announced = unread
            .announced
            .map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        if announced.is_some_and(|bytes| bytes > unread.limit) {
            return Err(BodyRefusal::TooLarge);
        }
        let first =
            announced.unwrap_or(SMALL_REQUEST.0.saturating_sub(unread.head) / unread.copies);
        let mut memory = RequestMemory::new(self);
        memory.take(unread.cost(first)).await?;
        let mut body = Vec::with_capacity(first);
        let mut parts = std::pin::pin!(parts);
        loop {
            let part = tokio::select! {
                biased;
                () = memory.wait_until_displaced() => return Err(BodyRefusal::Displaced),
                part = parts.next() => part,
            };
            let Some(part) = part else {
                break;
            };
            let part = part.map_err(|_| BodyRefusal::Truncated)?;
            if body.len() + part.len() > unread.limit {
                return Err(BodyRefusal::TooLarge);
            }
            if body.len() + part.len() > body.capacity() {
                memory.take(unread.cost(unread.limit)).await?;
                // A buffer that grows step by step is copied at each step.
                body.reserve_exact(unread.limit - body.len());
            }
            // A part that is kept until the end takes more memory than its bytes if it is short.
            body.extend_from_slice(&part);
            memory.record_received(body.len());
        }
        body.shrink_to_fit();
        memory.complete(unread.cost(body.len()));
        Ok(ReceivedBody {
            bytes: body,
            memory,
        })
    }

    fn record_refusal(&self, unread: &UnreadBody<'_>, refusal: BodyRefusal) {
        let reason: &str = refusal.into();
        metrics::counter!("catkin_caller_bodies_refused_total", "reason" => reason).increment(1);
        if !self.log.admits(LineKind::Limited, self.timer.now()) {
            return;
        }
        let account = self.account.lock();
        let (held, waiting) = (account.held(), account.waiting());
        let memory_limit = account.settings().limit;
        drop(account);
        tracing::warn!(
            request = unread.request.map(RequestId::as_str),
            team = unread.team.map(TeamId::as_str),
            reason,
            announced = unread.announced,
            limit = unread.limit,
            held = held.0,
            waiting,
            memory_limit = memory_limit.0,
            "body of a request refused"
        );
    }
}

/// A complete body, with its memory.
#[derive(Debug)]
pub struct ReceivedBody {
    bytes: Vec<u8>,
    memory: RequestMemory,
}

impl ReceivedBody {
    /// Drops the bytes and keeps the memory, for what was made of them.
    #[must_use]
    pub fn into_memory(self) -> RequestMemory {
        self.memory
    }
}

impl From<ReceivedBody> for Bytes {
    /// Returns bytes that hold the memory until the last of them is dropped.
    fn from(body: ReceivedBody) -> Self {
        Self::from_owner(body)
    }
}

impl AsRef<[u8]> for ReceivedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
