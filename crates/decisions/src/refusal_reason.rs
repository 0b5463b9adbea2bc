use super::*;

/// Why a request is refused that has not run.
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
    /// Its caller left while it waited.
    CallerLeft,
    /// It cannot start before its deadline.
    DeadlineTooNear,
    /// Too many requests for one key are under way.
    HotKey,
    /// Its idempotency key could not be claimed in time.
    NotClaimed,
    /// No upstream may be given work.
    NoUpstream,
    /// Upstreams died under the same request before.
    Poisoned,
    /// The queue holds as many requests as it may.
    QueueFull,
    /// The VM shuts down before it could be served in whole.
    ShuttingDown,
    /// The team's limit is reached.
    TeamLimit,
    /// The upstream refused it and says that nothing ran.
    UpstreamRefused,
    /// No connection to the upstream could be opened.
    UpstreamUnreachable,
}
