//! Limits on what upstreams may send, and on the memory that it takes.
//!
//! An upstream in trouble may send bytes without end, in a head or in a body. Where a limit is reached, the
//! connection is closed, and a call counts as one that may have run.

use super::*;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A limit on the bytes that are read from an upstream at one place.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ReceiveLimit {
    /// Head of a response, and of each interim response before it.
    Head,
    /// Interim responses before a response.
    InterimResponses,
    /// Chunk sizes, extensions and trailers between two parts of a body.
    Framing,
    /// Body of a buffered response.
    Response,
    /// Event of a stream, or data of a stream without an event for the caller.
    Event,
    /// Memory for the unfinished responses and events of one upstream. Responses wait for it, events fail.
    UpstreamMemory,
    /// The same for all upstreams.
    Memory,
    /// Load report of an engine.
    Report,
    /// Cache events of an engine.
    CacheEvents,
    /// Response to a request for a KV copy.
    CopyResponse,
}

impl ReceiveLimit {
    /// The limit, in bytes; of interim responses their number.
    #[must_use]
    pub const fn max(self) -> usize {
        match self {
            Self::Head => 32 << 10,
            Self::InterimResponses => 16,
            // Includes what the HTTP library reads ahead of the part that it gives out.
            Self::Framing => 128 << 10,
            // Responses of plain services have some kilobytes.
            Self::Response => 8 << 20,
            Self::UpstreamMemory => 4 << 20,
            Self::Memory => 6 << 20,
            Self::Event => catkin_decisions::MAX_EVENT_BYTES,
            // A run is listed in some 60 bytes, a part of a prompt in some 50.
            Self::Report => 256 << 10,
            Self::CacheEvents => 1 << 20,
            Self::CopyResponse => 64 << 10,
        }
    }
}

/// Bytes of an unfinished response or event that do not count in the memory of its upstream: more than nearly all
/// have, so that many can be read at once.
const UNCOUNTED_BYTES: usize = 64 << 10;

/// Least that a part of a body counts: parts of a few bytes take the same time to read.
const MIN_PART_BYTES: usize = 256;

/// What a part of a body counts towards the limits, in bytes.
pub(crate) fn counted_len(part: &[u8]) -> usize {
    part.len().max(MIN_PART_BYTES)
}

/// Memory that unfinished responses and events take, by upstream.
#[derive(Debug)]
pub(crate) struct ReceiveMemory {
    /// Upstreams with a count above zero, sorted.
    held: Mutex<Vec<(UpstreamIncarnation, usize)>>,
    /// Permit of the one response that is read on while the memory is used up, so that responses which share it do not
    /// wait for each other.
    overflow: Arc<Semaphore>,
    /// Number of responses that wait for it.
    waiting: AtomicU32,
}

impl Default for ReceiveMemory {
    fn default() -> Self {
        Self {
            held: Mutex::default(),
            overflow: Arc::new(Semaphore::new(1)),
            waiting: AtomicU32::new(0),
        }
    }
}

impl ReceiveMemory {
    /// Changes the count of an upstream; fails if that exceeds a limit.
    fn replace(
        &self,
        upstream: &UpstreamIncarnation,
        before: usize,
        after: usize,
    ) -> Result<(), ReceiveLimit> {
        if before == after {
            return Ok(());
        }
        let mut held = self.held.lock();
        let all = held.iter().map(|(_, bytes)| bytes).sum::<usize>();
        let position = held.binary_search_by(|(id, _)| id.cmp(upstream));
        let own = position.map_or(0, |index| held[index].1);
        let counts = [
            (own, ReceiveLimit::UpstreamMemory),
            (all, ReceiveLimit::Memory),
        ];
        for (count, limit) in counts {
            if after > before && count + after - before > limit.max() {
                return Err(limit);
            }
        }
        let own = own + after - before;
        match position {
            Ok(index) if own == 0 => {
                held.remove(index);
            }
            Ok(index) => held[index].1 = own,
            Err(index) => held.insert(index, (upstream.clone(), own)),
        }
        Ok(())
    }
}

/// Counts the bytes of one unfinished response or event until it is dropped.
pub(crate) struct HeldBytes {
    gateway: Arc<Gateway>,
    entry: Arc<UpstreamEntry>,
    counted: usize,
}

impl HeldBytes {
    pub(crate) fn new(gateway: &Arc<Gateway>, entry: &Arc<UpstreamEntry>) -> Self {
        Self {
            gateway: gateway.clone(),
            entry: entry.clone(),
            counted: 0,
        }
    }

    /// Records the bytes of a stream that are held now. Fails, and logs the upstream and the limit, if they are too many.
    pub(crate) fn record_event(&mut self, bytes: usize) -> Result<(), ReceiveLimit> {
        self.check(bytes, ReceiveLimit::Event)?;
        let replaced = self.replace(bytes);
        if let Err(limit) = replaced {
            self.gateway.receive_limit_exceeded(&self.entry, limit);
        }
        replaced
    }

    fn check(&self, bytes: usize, limit: ReceiveLimit) -> Result<(), ReceiveLimit> {
        if bytes > limit.max() {
            self.gateway.receive_limit_exceeded(&self.entry, limit);
            return Err(limit);
        }
        Ok(())
    }

    fn replace(&mut self, bytes: usize) -> Result<(), ReceiveLimit> {
        let counted = bytes.saturating_sub(UNCOUNTED_BYTES);
        let memory = &self.gateway.receive_memory;
        memory.replace(&self.entry.id, self.counted, counted)?;
        self.counted = counted;
        Ok(())
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        // Counting down never fails.
        let _ = self.replace(0);
    }
}

/// Counts the bytes of one unfinished response until it is dropped.
pub(crate) struct HeldResponse {
    bytes: HeldBytes,
    overflow: Option<OwnedSemaphorePermit>,
}

impl HeldResponse {
    pub(crate) fn new(gateway: &Arc<Gateway>, entry: &Arc<UpstreamEntry>) -> Self {
        Self {
            bytes: HeldBytes::new(gateway, entry),
            overflow: None,
        }
    }

    /// Records how many bytes are held now. While the memory is used up, waits until this is the one response that is
    /// read on. Fails, and logs the upstream and the limit, if they are too many.
    pub(crate) async fn record(&mut self, bytes: usize) -> Result<(), ReceiveLimit> {
        self.bytes.check(bytes, ReceiveLimit::Response)?;
        if self.overflow.is_none() && self.bytes.replace(bytes).is_err() {
            let waiting = WaitingResponse::new(&self.bytes.gateway);
            let overflow = self.bytes.gateway.receive_memory.overflow.clone();
            self.overflow = overflow.acquire_owned().await.ok();
            drop(waiting);
        }
        Ok(())
    }
}

/// Counts a response that waits for memory until it is dropped.
struct WaitingResponse(Arc<Gateway>);

impl WaitingResponse {
    fn new(gateway: &Arc<Gateway>) -> Self {
        let waiting = &gateway.receive_memory.waiting;
        waiting.fetch_add(1, Ordering::Relaxed);
        Self(gateway.clone())
    }
}

impl Drop for WaitingResponse {
    fn drop(&mut self) {
        let waiting = &self.0.receive_memory.waiting;
        waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Size from which an answer counts in the memory until its caller has read it, in bytes.
pub const LARGE_ANSWER_BYTES: usize = UNCOUNTED_BYTES + 1;

/// A complete response that counts until it has been written to its caller.
struct UnreadAnswer {
    bytes: Vec<u8>,
    _memory: HeldResponse,
}

impl AsRef<[u8]> for UnreadAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns the body of a complete response. A large one counts in the memory until it is dropped.
pub(crate) fn complete_answer(bytes: Vec<u8>, memory: HeldResponse) -> Bytes {
    if bytes.len() < LARGE_ANSWER_BYTES {
        return bytes.into();
    }
    Bytes::from_owner(UnreadAnswer {
        bytes,
        _memory: memory,
    })
}

/// Time without a written byte after which an answer gives its memory up while others wait for it.
const UNREAD_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

impl Gateway {
    /// Time without a written byte after which a caller's connection with a large answer is closed; `None` while no
    /// other answer waits for memory.
    pub fn unread_answer_timeout(&self) -> Option<Duration> {
        let waiting = self.receive_memory.waiting.load(Ordering::Relaxed);
        (waiting > 0).then_some(UNREAD_ANSWER_TIMEOUT)
    }

    /// Records that a caller's connection is closed because it does not read its answer while others wait for memory.
    pub fn unread_answer_closed(&self) {
        metrics::counter!("catkin_unread_answers_closed_total").increment(1);
        if self.log.admits(LineKind::Limited, self.timer.now()) {
            let waiting = self.receive_memory.waiting.load(Ordering::Relaxed);
            tracing::warn!(
                waiting,
                "caller's connection closed: its answer is not read"
            );
        }
    }

    /// Records that an upstream sent more than is read from it.
    pub(crate) fn receive_limit_exceeded(&self, entry: &UpstreamEntry, limit: ReceiveLimit) {
        let (name, max): (&str, _) = (limit.into(), limit.max());
        metrics::counter!("catkin_receive_limits_exceeded_total", "limit" => name).increment(1);
        if self.log.admits(LineKind::Belief, self.timer.now()) {
            tracing::error!(upstream = %entry.id, address = %entry.address, limit = name, max,
                "upstream sends more than the limit; its connection is closed");
        }
    }
}
