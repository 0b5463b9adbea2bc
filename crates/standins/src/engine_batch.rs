use super::*;
use crate::{prefix_cache::PrefixCache, sequence::Sequence};

/// Prompt prefix that crashes the engine when it decodes the request.
pub const POISON: &str = "poison:";

/// Prompt prefix that crashes the engine on receipt of the request, before it responds.
pub const UNANSWERED_POISON: &str = "poison-unanswered:";

/// Prompt prefix that crashes the engine when it decodes the request. Unlike with [`POISON`], the engine
/// breaks its streams first and answers one load request before it exits.
pub const LINGERING_POISON: &str = "poison-lingering:";

/// Continuous batching of a mock engine: all running sequences decode one token per step.
pub(crate) struct EngineBatch {
    settings: EngineSettings,
    sequences: Mutex<Vec<Arc<Sequence>>>,
    cache: Mutex<PrefixCache>,
    runs: Mutex<RunCounts>,
    pub(crate) decoded: AtomicU64,
    pub(crate) prefilled: AtomicU64,
    pub(crate) paused: watch::Sender<bool>,
}

impl EngineBatch {
    pub(crate) fn new(settings: EngineSettings) -> Self {
        Self {
            runs: Mutex::default(),
            cache: Mutex::new(PrefixCache::new(settings.prefix_cache)),
            settings,
            sequences: Mutex::default(),
            decoded: AtomicU64::new(0),
            prefilled: AtomicU64::new(0),
            paused: watch::Sender::new(false),
        }
    }

    /// Adds an attempt and cancels older ones of the same request. Returns `None` if an attempt with
    /// the same or a larger number exists.
    pub(crate) fn add(&self, sequence: Sequence) -> Option<Arc<Sequence>> {
        let mut sequences = self.sequences.lock();
        let is_same_request =
            |s: &&Arc<Sequence>| s.request.request_id == sequence.request.request_id;
        if sequences
            .iter()
            .filter(is_same_request)
            .any(|s| s.attempt() >= sequence.attempt())
        {
            return None;
        }
        sequences
            .iter()
            .filter(is_same_request)
            .for_each(|s| s.cancel());
        let digest = request_digest("", sequence.request.prompt.as_bytes());
        let id = &sequence.request.request_id;
        self.runs.lock().add(id, digest);
        let cached = self.cache.lock().insert(&sequence.request.prompt);
        sequence.state.lock().prefill_left -= cached;
        let sequence = Arc::new(sequence);
        sequences.push(sequence.clone());
        Some(sequence)
    }

    pub(crate) fn find(&self, request_id: &str, attempt: u64) -> Option<Arc<Sequence>> {
        self.sequences
            .lock()
            .iter()
            .find(|s| s.request.request_id == request_id && s.attempt() == attempt)
            .cloned()
    }

    /// Cancels all attempts of a request with numbers up to `attempt`.
    pub(crate) fn cancel(&self, request_id: &str, attempt: u64) {
        self.sequences
            .lock()
            .iter()
            .filter(|s| s.request.request_id == request_id && s.attempt() <= attempt)
            .for_each(|s| s.cancel());
    }

    /// Cancels all attempts on a model version that has been unloaded.
    pub(crate) fn cancel_model(&self, model: &str, version: &str) {
        self.sequences
            .lock()
            .iter()
            .filter(|s| s.request.model == model && s.request.version == version)
            .for_each(|s| s.cancel());
    }

    /// Returns the number of unfinished sequences on a model version.
    pub(crate) fn active_streams(&self, model: &str, version: &str) -> usize {
        self.sequences
            .lock()
            .iter()
            .filter(|s| s.request.model == model && s.request.version == version)
            .filter(|s| s.state.lock().finish.is_none())
            .count()
    }

    /// Returns the numbers of attempts started, by request id and digest of the prompt.
    pub(crate) fn runs(&self) -> RunCounts {
        self.runs.lock().clone()
    }

    /// Returns the numbers of sequences that are being decoded and that wait for a batch slot.
    pub(crate) fn running_and_waiting(&self) -> (usize, usize) {
        let unfinished = self
            .sequences
            .lock()
            .iter()
            .filter(|s| s.state.lock().finish.is_none())
            .count();
        let running = unfinished.min(self.settings.capacity);
        (running, unfinished - running)
    }

    /// Runs decode steps until the engine is killed. A poison prompt in the batch kills it; a lingering one
    /// breaks its streams.
    pub(crate) async fn run(self: Arc<Self>, killed: CancellationToken, broken: CancellationToken) {
        let mut paused = self.paused.subscribe();
        while !killed.is_cancelled() {
            let _ = paused.wait_for(|paused| !*paused).await;
            let batch = self.next_batch();
            let time = self.prefill(&batch) + self.step_time(batch.len());
            tokio::select! {
                () = tokio::time::sleep(time) => {}
                () = killed.cancelled() => return,
            }
            if *self.paused.borrow() {
                continue;
            }
            if batch.iter().any(|s| s.request.prompt.starts_with(POISON)) {
                return killed.cancel();
            }
            if batch
                .iter()
                .any(|s| s.request.prompt.starts_with(LINGERING_POISON))
            {
                return broken.cancel();
            }
            for sequence in &batch {
                sequence.step(self.settings.seed);
            }
            self.decoded
                .fetch_add(batch.len().try_into().unwrap_or(0), Ordering::Relaxed);
        }
    }

    fn next_batch(&self) -> Vec<Arc<Sequence>> {
        let now = tokio::time::Instant::now();
        let grace = self.settings.detach_grace;
        let mut sequences = self.sequences.lock();
        sequences.retain(|sequence| {
            let detached_since = sequence.state.lock().detached_since;
            let abandoned = detached_since.is_some_and(|since| now - since > grace);
            if abandoned {
                sequence.cancel();
            }
            !abandoned
        });
        let mut batch: Vec<_> = sequences
            .iter()
            .filter(|sequence| sequence.state.lock().finish.is_none())
            .cloned()
            .collect();
        // The sort is stable: sequences of equal priority stay in order of arrival.
        batch.sort_by_key(|sequence| std::cmp::Reverse(sequence.request.priority));
        batch.truncate(self.settings.capacity);
        batch
    }

    fn prefill(&self, batch: &[Arc<Sequence>]) -> Duration {
        let tokens = batch
            .iter()
            .map(|sequence| std::mem::take(&mut sequence.state.lock().prefill_left))
            .sum::<usize>();
        self.prefilled
            .fetch_add(tokens.try_into().unwrap_or(0), Ordering::Relaxed);
        self.settings.prefill_per_token * u32::try_from(tokens).unwrap_or(u32::MAX)
    }

    fn step_time(&self, batch: usize) -> Duration {
        let further = u32::try_from(batch.saturating_sub(1)).unwrap_or(u32::MAX);
        self.settings.step + self.settings.step_per_sequence * further
    }
}
