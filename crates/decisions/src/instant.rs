use super::*;

/// Time since an arbitrary origin, the same for all decisions of a process.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Instant(pub Duration);

impl Instant {
    /// The `n`th smallest of some times, counted from 1; `None` if there are fewer.
    pub(crate) fn nth_smallest(times: impl Iterator<Item = Self>, n: usize) -> Option<Self> {
        let mut times = times.collect::<Vec<_>>();
        times.sort_unstable();
        times.get(n.checked_sub(1)?).copied()
    }

    /// Time from `earlier` to this instant; zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// This instant moved back by `duration`, at most to the origin.
    #[must_use]
    pub fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration))
    }

    /// This instant moved on by `duration`.
    #[must_use]
    pub fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration))
    }
}
