use super::*;

/// Settings of the [`Claims`] service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClaimSettings {
    /// How long a completed claim is retained. Afterwards the same key counts as a new request, so
    /// this must exceed the time for which any caller retries. A day covers a shop that submits
    /// last night's orders in the morning.
    pub retention: Duration,
    /// How long a claim without a known outcome is retained. A person has to investigate such a
    /// request, and a week covers a long weekend.
    pub unknown_retention: Duration,
    /// Maximum size in bytes of a body that is stored in the row itself. 4 KB holds the
    /// confirmation of an order, and a group of 200 outcomes stays within 1 MB.
    pub max_inline_bytes: usize,
    /// Maximum size in bytes of a body that is stored in the object store. Larger bodies are
    /// recorded as too large: otherwise a few of them could exhaust the memory of a small VM during
    /// an outage of the store.
    pub max_object_bytes: usize,
    /// Maximum clock difference between VMs. A holder whose deadline has passed by this VM's clock
    /// is treated as still running for this long.
    pub max_clock_skew: Duration,
    /// How often a claim in progress on another VM is polled for a caller who waits for its
    /// outcome.
    pub poll_interval: Duration,
    /// Delay before the next transaction after one that did not run or whose outcome is unknown.
    pub retry_delay: Duration,
    /// Maximum number of changes in a transaction; 1 disables group commit.
    pub max_group_size: usize,
    /// Interval between sweeps of expired claims.
    pub sweep_interval: Duration,
    /// Delay between the pages of a sweep.
    pub sweep_page_delay: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(24 * 3600),
            unknown_retention: Duration::from_secs(7 * 24 * 3600),
            max_inline_bytes: 4 * 1024,
            max_object_bytes: 1024 * 1024,
            max_clock_skew: Duration::from_secs(5),
            poll_interval: Duration::from_millis(250),
            retry_delay: Duration::from_millis(20),
            max_group_size: 200,
            sweep_interval: Duration::from_secs(10),
            sweep_page_delay: Duration::from_millis(250),
        }
    }
}
