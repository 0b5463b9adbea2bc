use super::*;

/// Settings of the [`Claims`] service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClaimSettings {
    /// How long an ended claim is kept. After that the same key is a new request, so it must be
    /// longer than any caller goes on sending a request again; a day covers a shop that sends last
    /// night's orders in the morning.
    pub retention: Duration,
    /// How long a claim without a known outcome is kept. Somebody has to look at such a request, and
    /// a week covers a long weekend.
    pub unknown_retention: Duration,
    /// Longest body kept in the row itself. 4 KB holds an order's confirmation, and a group of 200
    /// ends stays within 1 MB.
    pub inline_max: usize,
    /// Longest body kept in the object store. Longer ones are recorded as too large, or a few of
    /// them would take the memory of a small VM while the store is out.
    pub object_max: usize,
    /// How far clocks of VMs may differ. A holder that this VM believes to be past its deadline is
    /// believed to be at work for so long still.
    pub clocks_differ: Duration,
    /// How often a claim in progress on another VM is looked at for a caller who waits for it.
    pub poll_period: Duration,
    /// Wait before the next transaction after one that did not run.
    pub retry_pause: Duration,
    /// Most changes in a transaction; 1 switches group commit off.
    pub group_max: usize,
    /// How often expired claims are looked for.
    pub sweep_period: Duration,
    /// Pause between the pages of a sweep.
    pub sweep_pause: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(24 * 3600),
            unknown_retention: Duration::from_secs(7 * 24 * 3600),
            inline_max: 4 * 1024,
            object_max: 1024 * 1024,
            clocks_differ: Duration::from_secs(5),
            poll_period: Duration::from_millis(250),
            retry_pause: Duration::from_millis(20),
            group_max: 200,
            sweep_period: Duration::from_secs(10),
            sweep_pause: Duration::from_millis(250),
        }
    }
}
