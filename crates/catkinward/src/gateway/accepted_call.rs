use super::*;

/// A call with everything that was determined when it was accepted. The call keeps the
/// configuration of that moment.
#[derive(Clone, Debug)]
pub(crate) struct AcceptedCall {
    pub(crate) call: Arc<Call>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceId,
    pub(crate) team: Option<TeamId>,
    /// Priority of the call: that of the caller's team, otherwise that of the route; 0 is the
    /// highest. If the service is scheduled and its routes have different priorities, it combines both
    /// ([`ranked_priority`]).
    pub(crate) priority: u8,
    /// Deadline of the caller or of the route, whichever is earlier.
    pub(crate) deadline: Instant,
    /// What the call has in common with others that may crash the upstreams which run it.
    pub(crate) attributes: Arc<CallAttributes>,
}

/// Maximum idle time of a connection for a call that may be retried. Upstreams close idle
/// connections after some seconds, and using one that was closed in the meantime costs a retry.
const RETRYABLE_MAX_IDLE: Duration = Duration::from_secs(4);

/// Maximum idle time of a connection for a call that may not be retried. An error on a connection
/// that its upstream was about to close would leave it unknown whether the call has run.
const NON_RETRYABLE_MAX_IDLE: Duration = Duration::from_millis(800);

/// Minimum share of the route's timeout that a caller allows on its first attempt. Callers'
/// timeouts differ by about a sixth; one that retries after its VM stopped responding has far less
/// time left.
const FIRST_ATTEMPT_SHARE: f64 = 0.7;

/// Share of the route's timeout that every caller allows on its first attempt: callers' timeouts differ by about a sixth.
const LEAST_TIMEOUT_SHARE: f64 = 0.84;

impl AcceptedCall {
    /// When the caller sent its first attempt, at the latest. One that returns has less time left than callers have at
    /// first.
    pub(crate) fn first_attempt(&self) -> Instant {
        let least_timeout = self.route.timeout.mul_f64(LEAST_TIMEOUT_SHARE);
        self.deadline.before(least_timeout).min(self.call.arrived)
    }

    pub(crate) fn max_idle(&self) -> Duration {
        if self.route.kind.may_retry() {
            RETRYABLE_MAX_IDLE
        } else {
            NON_RETRYABLE_MAX_IDLE
        }
    }

    /// Whether this is not the caller's first attempt: it already has events, or less time left than a first
    /// attempt has.
    pub(crate) fn is_reconnect(&self) -> bool {
        let allowed = self.deadline.since(self.call.arrived);
        self.call.last_event.is_some() || allowed < self.route.timeout.mul_f64(FIRST_ATTEMPT_SHARE)
    }

    pub(crate) fn time_left(&self, now: Instant) -> Duration {
        self.deadline.since(now)
    }
}
