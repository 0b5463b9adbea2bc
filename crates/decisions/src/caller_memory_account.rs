//! Memory that the requests of callers take: unfinished bodies, and complete ones until their calls have ended.
//!
//! Load pattern: many callers send large bodies at once, and most stop just short of the end and stay connected. Small
//! requests are always read; their sum is bounded by the number of connections. A larger one takes its memory before
//! its body is read, so that bodies which are read do not run out of memory halfway. While others wait, an unfinished
//! request that makes no progress, or takes too long, gives its memory up. The smallest waiting request is first.

use super::*;

number_newtype!(
    /// Identifies a request in a [`CallerMemoryAccount`].
    MemoryHolder,
    "memory holder"
);

#[derive(Clone, Debug)]
struct HeldMemory {
    holder: MemoryHolder,
    bytes: usize,
    /// `None` for a complete request.
    receiving: Option<Receiving>,
}

impl HeldMemory {
    fn new(holder: MemoryHolder, bytes: usize, now: Instant) -> Self {
        let receiving = Receiving {
            began: now,
            received: 0,
            progress: (now, 0),
        };
        Self {
            holder,
            bytes,
            receiving: Some(receiving),
        }
    }

    /// Changes the size of a request whose size was not announced. It has waited, which does not count as a stall.
    fn grow(&mut self, bytes: usize, now: Instant) {
        self.bytes = bytes;
        if let Some(receiving) = &mut self.receiving {
            receiving.progress = (now, receiving.received);
        }
    }

    fn is_large(&self) -> bool {
        self.bytes > SMALL_REQUEST.0
    }
}

/// Progress of an unfinished request.
#[derive(Clone, Debug)]
struct Receiving {
    began: Instant,
    received: usize,
    /// When the last progress was made, and what had been received then.
    progress: (Instant, usize),
}

impl Receiving {
    fn gives_way(&self, settings: &CallerMemorySettings, now: Instant) -> bool {
        now.since(self.progress.0) >= settings.stall_timeout
            || now.since(self.began) >= settings.receive_timeout
    }
}

/// Memory of the requests that are held, and the requests that wait for memory.
#[derive(Clone, Debug)]
pub struct CallerMemoryAccount {
    settings: CallerMemorySettings,
    /// Sorted by holder.
    held: Vec<HeldMemory>,
    /// Sorted by size.
    waiting: Vec<(usize, MemoryHolder)>,
    last: MemoryHolder,
}

impl CallerMemoryAccount {
    /// Creates an account without requests.
    #[must_use]
    pub fn new(settings: CallerMemorySettings) -> Self {
        Self {
            settings,
            held: Vec::new(),
            waiting: Vec::new(),
            last: MemoryHolder::default(),
        }
    }

    /// Settings of the account.
    #[must_use]
    pub fn settings(&self) -> &CallerMemorySettings {
        &self.settings
    }

    /// Memory that all requests hold.
    #[must_use]
    pub fn held(&self) -> MemorySize {
        MemorySize(self.held.iter().map(|held| held.bytes).sum())
    }

    /// Number of requests that wait for memory.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes a name for a request.
    pub fn enter(&mut self) -> MemoryHolder {
        self.last = self.last.next();
        self.last
    }

    /// Gives a request memory for `bytes`, in place of what it holds, if there is enough and no smaller request waits.
    pub fn take(&mut self, holder: MemoryHolder, bytes: usize, now: Instant) -> bool {
        let is_large = bytes > SMALL_REQUEST.0;
        let is_first = self
            .waiting
            .first()
            .is_none_or(|first| (bytes, holder) <= *first);
        if is_large && !(is_first && self.fits(self.others(holder), bytes)) {
            return false;
        }
        self.stop_waiting(holder);
        match self.position(holder) {
            Ok(index) => self.held[index].grow(bytes, now),
            Err(index) => self.held.insert(index, HeldMemory::new(holder, bytes, now)),
        }
        true
    }

    /// Makes a request wait for memory for `bytes`. If too many wait, the largest one no longer does; returns whether
    /// this one waits.
    pub fn wait(&mut self, holder: MemoryHolder, bytes: usize) -> bool {
        let entry = (bytes, holder);
        if let Err(index) = self.waiting.binary_search(&entry) {
            self.waiting.insert(index, entry);
        }
        self.waiting.truncate(self.settings.max_waiting);
        self.is_waiting(holder)
    }

    /// Withdraws a request that waits for memory. It keeps what it holds.
    pub fn stop_waiting(&mut self, holder: MemoryHolder) {
        self.waiting.retain(|(_, waiting)| *waiting != holder);
    }

    /// The waiting request that gets memory next.
    #[must_use]
    pub fn first_waiting(&self) -> Option<MemoryHolder> {
        self.waiting.first().map(|(_, holder)| *holder)
    }

    /// Whether a request holds memory.
    #[must_use]
    pub fn holds(&self, holder: MemoryHolder) -> bool {
        self.position(holder).is_ok()
    }

    /// Whether a request waits for memory.
    #[must_use]
    pub fn is_waiting(&self, holder: MemoryHolder) -> bool {
        self.waiting.iter().any(|(_, waiting)| *waiting == holder)
    }

    /// Records how many bytes of an unfinished request have been received.
    pub fn record_received(&mut self, holder: MemoryHolder, received: usize, now: Instant) {
        let progress = self.settings.progress;
        let Ok(index) = self.position(holder) else {
            return;
        };
        let held = &mut self.held[index];
        if let Some(receiving) = &mut held.receiving {
            receiving.received = received;
            if received >= receiving.progress.1 + progress {
                receiving.progress = (now, received);
            }
        }
    }

    /// Records that a request is complete and holds `bytes` until its call has ended.
    pub fn complete(&mut self, holder: MemoryHolder, bytes: usize) {
        if let Ok(index) = self.position(holder) {
            self.held[index].bytes = bytes;
            self.held[index].receiving = None;
        }
    }

    /// Unfinished requests that give their memory up so that the first waiting one gets it; the oldest first. Empty if
    /// that would not be enough.
    #[must_use]
    pub fn displaced(&self, now: Instant) -> Vec<MemoryHolder> {
        let Some((wanted, first)) = self.waiting.first().copied() else {
            return Vec::new();
        };
        let mut others = self.others(first);
        let mut displaced = Vec::new();
        for held in self.held.iter().filter(|held| held.is_large()) {
            if self.fits(others, wanted) {
                break;
            }
            let receiving = held.receiving.as_ref();
            let gives_way = receiving.is_some_and(|r| r.gives_way(&self.settings, now));
            if held.holder != first && gives_way {
                others -= held.bytes;
                displaced.push(held.holder);
            }
        }
        if !self.fits(others, wanted) {
            displaced.clear();
        }
        displaced
    }

    /// Removes a request.
    pub fn leave(&mut self, holder: MemoryHolder) {
        if let Ok(index) = self.position(holder) {
            self.held.remove(index);
        }
        self.stop_waiting(holder);
    }

    /// Memory that large requests hold, without that of one holder.
    fn others(&self, holder: MemoryHolder) -> usize {
        let large = |held: &&HeldMemory| held.is_large() && held.holder != holder;
        self.held.iter().filter(large).map(|held| held.bytes).sum()
    }

    /// Whether a request of this size is read while others hold so much.
    fn fits(&self, others: usize, bytes: usize) -> bool {
        others == 0 || others + bytes <= self.settings.limit.0
    }

    fn position(&self, holder: MemoryHolder) -> Result<usize, usize> {
        self.held.binary_search_by(|held| held.holder.cmp(&holder))
    }
}
