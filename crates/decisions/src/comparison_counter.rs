use std::cell::Cell;

/// Counts the comparisons made by a table, so that tests can detect work that grows faster than the table
/// without measuring time.
#[derive(Clone, Debug, Default)]
pub(crate) struct ComparisonCounter(Cell<u64>);

impl ComparisonCounter {
    /// Counts one comparison and returns its outcome.
    pub(crate) fn record<T>(&self, outcome: T) -> T {
        self.0.set(self.0.get() + 1);
        outcome
    }

    /// Number of comparisons counted since creation.
    pub(crate) fn count(&self) -> u64 {
        self.0.get()
    }
}
