//! Memory for the requests of callers, and reading a body within it.

use super::*;
use crate::gateway::{CallLog, LineKind};
use catkin_decisions::{CallerMemoryAccount, MemoryHolder, SMALL_REQUEST};
use futures::{Stream, StreamExt};

/// Interval at which a waiting request asks for memory.
const WAIT_INTERVAL: Duration = Duration::from_millis(50);

/// Retry delay for a caller whose request got no memory: by then stalled requests have given way.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time for which a refused body is read and discarded.
const MAX_DISCARD_TIME: Duration = Duration::from_secs(2);

/// Least that a part of a discarded body counts, in bytes: short parts take as long to read.
const MIN_PART_BYTES: usize = 256;

/// Reads the rest of a refused body, up to the largest legal size. A connection that is closed with unread bytes is
/// reset, and the response may be lost.
pub async fn discard_body<E>(parts: impl Stream<Item = Result<Bytes, E>>, max_bytes: usize) {
    let mut parts = std::pin::pin!(parts);
    let reading = async {
        let mut discarded = 0;
        while let Some(Ok(part)) = parts.next().await {
            discarded += part.len().max(MIN_PART_BYTES);
            if discarded > max_bytes {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(MAX_DISCARD_TIME, reading).await;
}

/// Reason why the body of a request is refused. The request has not run and will not run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, StdError, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum BodyRefusal {
    /// The body exceeds the size limit.
    #[display("the body exceeds the size limit")]
    TooLarge,
    /// The connection closed before the end of the body, or the body is malformed.
    #[display("the body is truncated or malformed")]
    Truncated,
    /// The body did not arrive within its time limit.
    #[display("the body did not arrive in time")]
    TimedOut,
    /// The body made no progress, or took too long, while other requests waited for memory.
    #[display("the body stalled while others waited for memory")]
    Displaced,
    /// Other requests hold the memory.
    #[display("there is no memory for the body")]
    NoMemory,
}

impl BodyRefusal {
    /// Delay after which a retry may succeed, if it depends on other requests.
    #[must_use]
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NoMemory => Some(RETRY_DELAY),
            Self::TooLarge | Self::Truncated | Self::TimedOut | Self::Displaced => None,
        }
    }
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
    account: Mutex<CallerMemoryAccount>,
    /// Notifies requests that some were displaced.
    displaced: Notify,
    timer: Arc<Timer>,
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

fn report_held(held: MemorySize) {
    #[expect(clippy::cast_precision_loss)]
    metrics::gauge!("catkin_caller_memory_bytes").set(held.0 as f64);
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

/// Memory that one request holds or waits for, until it is dropped.
#[derive(Debug)]
pub struct RequestMemory {
    memory: Arc<CallerMemory>,
    holder: MemoryHolder,
}

impl RequestMemory {
    fn new(memory: &Arc<CallerMemory>) -> Self {
        Self {
            memory: memory.clone(),
            holder: memory.account.lock().enter(),
        }
    }

    /// Takes memory in place of what is held, when there is enough.
    async fn take(&mut self, bytes: usize) -> Result<(), BodyRefusal> {
        if self.try_take(bytes) {
            return Ok(());
        }
        let (timer, began) = (&self.memory.timer, self.memory.timer.now());
        let mut ticks = timer.subscribe(WAIT_INTERVAL);
        let mut last = began;
        if !self.memory.account.lock().wait(self.holder, bytes) {
            return Err(BodyRefusal::NoMemory);
        }
        while let Some(now) = ticks.recv().await {
            // After a pause of this process nobody has made progress, because nothing was read.
            if now.since(last) < self.stall_timeout() {
                self.displace_others(now);
            }
            last = now;
            if self.try_take(bytes) {
                return Ok(());
            }
            let mut account = self.memory.account.lock();
            let has_waited = now.since(began) >= account.settings().wait_timeout;
            if has_waited || !account.is_waiting(self.holder) {
                account.stop_waiting(self.holder);
                return Err(BodyRefusal::NoMemory);
            }
        }
        Err(BodyRefusal::NoMemory)
    }

    fn stall_timeout(&self) -> Duration {
        self.memory.account.lock().settings().stall_timeout
    }

    fn try_take(&self, bytes: usize) -> bool {
        let now = self.memory.timer.now();
        let mut account = self.memory.account.lock();
        let taken = account.take(self.holder, bytes, now);
        report_held(account.held());
        taken
    }

    /// Displaces unfinished requests in favour of the first one that waits, if that is this one.
    fn displace_others(&self, now: Instant) {
        let mut account = self.memory.account.lock();
        if account.first_waiting() != Some(self.holder) {
            return;
        }
        let displaced = account.displaced(now);
        for holder in &displaced {
            account.leave(*holder);
        }
        drop(account);
        if !displaced.is_empty() {
            self.memory.displaced.notify_waiters();
        }
    }

    /// Waits until the memory is taken away.
    async fn wait_until_displaced(&self) {
        loop {
            let changed = self.memory.displaced.notified();
            if !self.memory.account.lock().holds(self.holder) {
                return;
            }
            changed.await;
        }
    }

    fn record_received(&self, received: usize) {
        let now = self.memory.timer.now();
        let mut account = self.memory.account.lock();
        account.record_received(self.holder, received, now);
    }

    fn complete(&self, bytes: usize) {
        let mut account = self.memory.account.lock();
        account.complete(self.holder, bytes);
        report_held(account.held());
    }
}

impl Drop for RequestMemory {
    fn drop(&mut self) {
        let mut account = self.memory.account.lock();
        account.leave(self.holder);
        report_held(account.held());
    }
}
