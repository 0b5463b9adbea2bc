use std::cell::Cell;

/// Counts the comparisons that a table makes, so that work which grows faster than the table shows up without
/// a clock.
#[derive(Clone, Debug, Default)]
pub(crate) struct ComparisonCounter(Cell<u64>);

impl ComparisonCounter {
    /// Counts one comparison and hands on its outcome.
    pub(crate) fn note<T>(&self, outcome: T) -> T {
        self.0.set(self.0.get() + 1);
        outcome
    }

    /// Comparisons so far.
    pub(crate) fn count(&self) -> u64 {
        self.0.get()
    }
}
