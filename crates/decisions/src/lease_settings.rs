use super::*;

/// Settings of a [`Lease`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseSettings {
    /// How long the lease lasts after each write. An order stops for as long after a holder's death,
    /// and orders are worth minutes of loading.
    pub duration: Duration,
    /// How much longer another VM waits, for clocks that run at different speeds.
    pub margin: Duration,
    /// Age of the last write at which the holder writes again: a third of the duration, so that two
    /// lost writes cost nothing.
    pub renew_after: Duration,
    /// How often a VM that doesn't hold the lease looks at it.
    pub read_period: Duration,
    /// Longest time that an order is under way.
    pub order_timeout: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(10),
            margin: Duration::from_secs(2),
            renew_after: Duration::from_secs(3),
            read_period: Duration::from_secs(3),
            order_timeout: Duration::from_secs(2),
        }
    }
}
