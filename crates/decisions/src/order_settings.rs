use super::*;

/// Settings of an [`OrderPlanner`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrderSettings {
    /// How often the holder reads its engines' states back.
    pub read_period: Duration,
    /// Engines of the scope that load at once; from the weight store's limit.
    pub loads_at_once: usize,
    /// How old a report may be to be acted on.
    pub report_bound: Duration,
    /// How long no stream must have run on an old version before the last engines give it up. Longer
    /// than reports lag, and than a request that was accepted under the old bundle waits for its
    /// first engine.
    pub quiet: Duration,
    /// How long a load may take, for engines that don't report it.
    pub load_timeout: Duration,
    /// How long an engine that cannot be asked may have streams on what it held; after that they are
    /// past every deadline.
    pub lost_after: Duration,
    /// Wait before an order is repeated whose effect is not seen.
    pub resend_after: Duration,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            read_period: Duration::from_secs(1),
            loads_at_once: 1,
            report_bound: Duration::from_secs(3),
            quiet: Duration::from_secs(15),
            load_timeout: Duration::from_secs(300),
            lost_after: Duration::from_secs(3600),
            resend_after: Duration::from_secs(3),
        }
    }
}
