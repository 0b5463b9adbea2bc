use super::*;

/// Settings of an [`OrderPlanner`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrderSettings {
    /// How often the lease holder reads the state of its engines.
    pub poll_interval: Duration,
    /// Number of engines of a scope that load at the same time; derived from the limit of the
    /// weight store.
    pub max_concurrent_loads: usize,
    /// Maximum age of a report that orders may be based on.
    pub report_max_age: Duration,
    /// How long no stream must have run on an old version before the last engines unload it. Longer
    /// than the delay of reports, and longer than a request that was accepted under the old bundle
    /// waits for its first engine.
    pub idle_before_unload: Duration,
    /// Timeout of a load, for engines that do not report loads in progress.
    pub load_timeout: Duration,
    /// How long an unreachable engine is assumed to run streams on the models that it held. After
    /// this time the streams are past every deadline.
    pub unreachable_timeout: Duration,
    /// Delay before an order without a visible effect is sent again.
    pub resend_after: Duration,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_secs(1),
            max_concurrent_loads: 1,
            report_max_age: Duration::from_secs(3),
            idle_before_unload: Duration::from_secs(15),
            load_timeout: Duration::from_secs(300),
            unreachable_timeout: Duration::from_secs(3600),
            resend_after: Duration::from_secs(3),
        }
    }
}
