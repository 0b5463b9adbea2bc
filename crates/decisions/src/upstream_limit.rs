//! Limits that upstreams in need state: how many requests a second each takes from all VMs together.
//!
//! Load pattern: an upstream in need states a limit to the VMs that get its responses. If each VM kept to
//! the whole limit, the upstream would get it as many times as there are VMs. So each VM uses a part of it
//! ([`limit_part`](crate::limit_part)) from a token bucket, prefers upstreams with room, and refuses what none has room for.
//!
//! A limit belongs to one process of an upstream. It applies until a response without one.

use super::*;

/// How long a statement is relayed to other VMs.
const RELAY_PERIOD: Duration = Duration::from_secs(5);

/// How long requests of a priority keep tokens from less urgent ones.
const URGENT_PERIOD: Duration = Duration::from_secs(1);

/// Longest time between two requests for which a VM without a part may draw a trial request.
const MAX_TRIAL_PERIOD: Duration = Duration::from_secs(1);

/// What one upstream process stated, and what this VM may send there.
#[derive(Clone, Debug, Default)]
pub struct UpstreamLimit {
    statement: Option<LimitStatement>,
    bucket: TokenBucket,
    /// The most urgent priority of a recent request, with its time.
    urgent: Option<(u8, Instant)>,
    /// When this VM last had a request for the upstream without a part of its limit.
    last_unmet: Option<Instant>,
}

/// What an upstream stated last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatement {
    /// The limit; `None` if the response named none.
    pub limit: Option<RequestRate>,
    /// When a VM received the response.
    pub at: Instant,
}

/// How a statement changed what is known.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum LimitChange {
    /// There was no limit before.
    Learned,
    /// The limit has another value.
    Changed,
    /// There is no limit any more.
    Ended,
}

/// The part of a limit that this VM may use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitPart {
    /// Requests per second.
    pub rate: f64,
    /// Maximum number of tokens; none for a VM that has no part.
    pub burst: f64,
    /// Mean rate of trial requests of a VM that has no part. They show whether the limit has ended.
    pub trial_rate: f64,
    /// Number of VMs that share the limit, including this one if it has a part.
    pub sharers: u32,
}

/// A request that is to be sent to an upstream with a limit.
#[derive(Clone, Copy, Debug)]
pub struct LimitedRequest {
    /// Priority of the request; 0 is the highest.
    pub priority: u8,
    /// Random number from 0 to 1 that draws trial requests.
    pub random: f64,
    /// Time of the decision.
    pub now: Instant,
}

impl UpstreamLimit {
    /// Applies a statement of the upstream, or one that another VM relays; returns what it changed. An older
    /// one than the last is ignored.
    pub fn apply(&mut self, statement: LimitStatement) -> Option<LimitChange> {
        if self.statement.is_some_and(|known| known.at >= statement.at) {
            return None;
        }
        let before = self.limit();
        // Most upstreams never name a limit.
        if before.is_none() && self.statement.is_none() && statement.limit.is_none() {
            return None;
        }
        self.statement = Some(statement);
        match (before, statement.limit) {
            (None, Some(_)) => {
                self.bucket = TokenBucket::empty(statement.at);
                Some(LimitChange::Learned)
            }
            (Some(_), None) => Some(LimitChange::Ended),
            (Some(before), Some(limit)) if before != limit => Some(LimitChange::Changed),
            _ => None,
        }
    }

    /// The limit in force.
    #[must_use]
    pub fn limit(&self) -> Option<RequestRate> {
        self.statement.and_then(|statement| statement.limit)
    }

    /// The last statement, if it is recent enough for other VMs.
    #[must_use]
    pub fn relayed(&self, now: Instant) -> Option<LimitStatement> {
        self.statement
            .filter(|statement| now.since(statement.at) < RELAY_PERIOD)
    }

    /// Whether a request may be sent now. Always true without a limit.
    pub fn has_room(&mut self, part: &LimitPart, request: &LimitedRequest) -> bool {
        if self.limit().is_none() {
            return true;
        }
        let now = request.now;
        if part.burst < 1.0 {
            let last = self.last_unmet.replace(now).unwrap_or(now);
            let time = now.since(last).min(MAX_TRIAL_PERIOD).as_secs_f64();
            return request.random < 1.0 - (-part.trial_rate * time).exp();
        }
        self.bucket.refill(part, now);
        let urgent = self
            .urgent
            .filter(|(_, at)| now.since(*at) < URGENT_PERIOD)
            .map_or(request.priority, |(priority, _)| {
                priority.min(request.priority)
            });
        if urgent == request.priority {
            self.urgent = Some((request.priority, now));
        }
        // One token is kept for more urgent requests, where the bucket holds several.
        let kept: f64 = if request.priority > urgent { 1.0 } else { 0.0 };
        self.bucket.tokens >= (1.0 + kept).min(part.burst)
    }

    /// Counts a request that is sent.
    pub fn record_sent(&mut self) {
        if self.limit().is_some() {
            self.bucket.tokens = (self.bucket.tokens - 1.0).max(0.0);
        }
    }
}

/// Tokens of this VM for one upstream; each request takes one.
#[derive(Clone, Copy, Debug, Default)]
struct TokenBucket {
    tokens: f64,
    /// Rate at the last refill.
    rate: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn empty(now: Instant) -> Self {
        Self {
            refilled_at: now,
            ..Self::default()
        }
    }

    /// Adds the tokens since the last refill. A part that has grown counts from now on only, since the VM
    /// that lost it may have used the tokens of the past.
    fn refill(&mut self, part: &LimitPart, now: Instant) {
        let seconds = now.since(self.refilled_at).as_secs_f64();
        let gained = seconds * self.rate.min(part.rate);
        self.tokens = (self.tokens + gained).min(part.burst);
        self.rate = part.rate;
        self.refilled_at = now;
    }
}
