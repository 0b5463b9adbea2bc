use super::*;

number_newtype!(
    /// Milliseconds since 1970 by a VM's clock. Clocks of VMs differ, so it decides only what is safe with
    /// any clock: how long rows are kept, and when to stop waiting for a holder.
    WallTime,
    "time"
);

impl WallTime {
    /// This time moved on by `duration`.
    #[must_use]
    pub fn after(self, duration: Duration) -> Self {
        let ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(ms))
    }
}
