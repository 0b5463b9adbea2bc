use super::*;
use std::sync::atomic::AtomicUsize;

/// The weight store from which stand-in engines of one process load models; it counts how many do so
/// at once.
#[derive(Clone, Debug, Default)]
pub struct WeightStore {
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    loading: AtomicUsize,
    most: AtomicUsize,
}

/// One load, until it is dropped.
#[derive(Debug)]
pub(crate) struct WeightStoreLocation {
    counts: Arc<Counts>,
}

impl WeightStore {
    /// The most loads there ever were at once.
    #[must_use]
    pub fn most_at_once(&self) -> usize {
        self.counts.most.load(Ordering::Relaxed)
    }

    pub(crate) fn enter(&self) -> WeightStoreLocation {
        let loading = self.counts.loading.fetch_add(1, Ordering::Relaxed) + 1;
        self.counts.most.fetch_max(loading, Ordering::Relaxed);
        WeightStoreLocation {
            counts: self.counts.clone(),
        }
    }
}

impl Drop for WeightStoreLocation {
    fn drop(&mut self) {
        self.counts.loading.fetch_sub(1, Ordering::Relaxed);
    }
}
