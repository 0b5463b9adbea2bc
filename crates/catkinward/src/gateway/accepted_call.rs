use super::*;

/// A call with all that was settled when it was accepted: it keeps to that configuration.
#[derive(Clone, Debug)]
pub(crate) struct AcceptedCall {
    pub(crate) call: Arc<Call>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceId,
    pub(crate) team: Option<TeamId>,
    /// Its rank among calls: the team's, else the route's; 0 is the highest.
    pub(crate) priority: u8,
    /// When its time is over: the caller's or the route's, whichever is first.
    pub(crate) deadline: Instant,
    pub(crate) digest: u64,
}

/// How long a connection for a call that may be repeated may have been idle: the upstreams close
/// theirs after some seconds, and one that was closed meanwhile costs a repeat.
const IDLE_FOR_REPEATABLE: Duration = Duration::from_secs(4);

/// How long a connection for other calls may have been idle. An error on a connection that its
/// upstream was about to close would leave it open whether the call has run.
const IDLE_FOR_ONCE: Duration = Duration::from_millis(800);

/// Part of the route's timeout that a caller has at its first try, mostly: some are less patient than
/// others, by a sixth or so. One that comes back after its VM fell silent has far less.
const FIRST_TRY_PART: f64 = 0.7;

impl AcceptedCall {
    pub(crate) fn max_idle(&self) -> Duration {
        if self.route.kind.may_retry() {
            IDLE_FOR_REPEATABLE
        } else {
            IDLE_FOR_ONCE
        }
    }

    /// Whether the caller has tried before: it has events already, or less time left than a first try
    /// has.
    pub(crate) fn comes_back(&self) -> bool {
        let patience = self.deadline.since(self.call.arrived);
        self.call.last_event.is_some() || patience < self.route.timeout.mul_f64(FIRST_TRY_PART)
    }

    pub(crate) fn time_left(&self, now: Instant) -> Duration {
        self.deadline.since(now)
    }
}
