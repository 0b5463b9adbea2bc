use super::*;

/// Reason why a request is refused without having run.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    EnumString,
    IntoStaticStr,
    strum::Display,
    strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// The upstreams asked for a back-off.
    BackOff,
    /// The caller disconnected while the request was queued.
    CallerLeft,
    /// Upstreams crashed under other requests with a part of the same prompt.
    CrashingPart,
    /// The request cannot start in time for its deadline.
    DeadlineTooNear,
    /// Too many requests with the same call key are in flight.
    HotKey,
    /// No upstream has room within the limit that it named.
    Limit,
    /// The idempotency key could not be claimed in time.
    NotClaimed,
    /// No upstream accepts work.
    NoUpstream,
    /// The upstreams have no room for the request in time.
    Overloaded,
    /// Upstreams crashed earlier while they ran the same request.
    Poisoned,
    /// The queue has reached its maximum length.
    QueueFull,
    /// The VM shuts down before the request could be completed.
    ShuttingDown,
    /// The team has reached its rate limit.
    TeamLimit,
    /// The upstream refused the request and reported that it did not run.
    UpstreamRefused,
    /// No connection to the upstream could be opened.
    UpstreamUnreachable,
}
