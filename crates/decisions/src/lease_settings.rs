use super::*;

/// Durations and timeouts by which VMs acquire and renew a [`Lease`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseSettings {
    /// How long the lease lasts after each write. No orders are sent for this long after the holder
    /// crashes, which is short compared with the minutes that an ordered load takes.
    pub duration: Duration,
    /// How much longer than the duration another VM waits, to allow for clocks that run at
    /// different speeds.
    pub margin: Duration,
    /// Age of the last write at which the holder renews the lease. It is a third of the duration,
    /// so that the lease survives two lost writes.
    pub renew_after: Duration,
    /// How often a VM that does not hold the lease reads the row.
    pub poll_interval: Duration,
    /// Timeout of an order.
    pub order_timeout: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(10),
            margin: Duration::from_secs(2),
            renew_after: Duration::from_secs(3),
            poll_interval: Duration::from_secs(3),
            order_timeout: Duration::from_secs(2),
        }
    }
}
