use super::*;
use std::sync::atomic::AtomicUsize;

/// Weight store that counts concurrent model loads by the mock engines of one process.
#[derive(Clone, Debug, Default)]
pub struct WeightStore {
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    loading: AtomicUsize,
    max_loading: AtomicUsize,
}

/// Guard that counts one load until it is dropped.
#[derive(Debug)]
pub(crate) struct LoadGuard {
    counts: Arc<Counts>,
}

impl WeightStore {
    /// Returns the largest number of concurrent loads so far.
    #[must_use]
    pub fn max_concurrent_loads(&self) -> usize {
        self.counts.max_loading.load(Ordering::Relaxed)
    }

    pub(crate) fn begin_load(&self) -> LoadGuard {
        let loading = self.counts.loading.fetch_add(1, Ordering::Relaxed) + 1;
        self.counts
            .max_loading
            .fetch_max(loading, Ordering::Relaxed);
        LoadGuard {
            counts: self.counts.clone(),
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.counts.loading.fetch_sub(1, Ordering::Relaxed);
    }
}
