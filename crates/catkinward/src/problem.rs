use super::*;
use crate::http_client::json_bytes;

/// Kinds of error responses to callers. The outcome is derived from the kind, so that no code can
/// report `not_run` for a request that may have run.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, EnumString, IntoStaticStr, strum::Display, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum ProblemKind {
    /// The call was sent to an upstream and the response was lost: the call may have run.
    AnswerLost,
    /// The upstream's response exceeds the size limit: the call has run.
    AnswerTooLarge,
    /// The request body exceeds the size limit.
    BodyTooLarge,
    /// The request body was not complete before the deadline.
    BodyTooSlow,
    /// The caller cancelled the generation, or disconnected and did not reconnect within the grace period.
    Cancelled,
    /// The deadline passed before the response was complete.
    Deadline,
    /// The VM is shutting down and accepts no new requests.
    Draining,
    /// Too many calls for one item are in flight.
    HotKey,
    /// A caller requested to resume a generation without the idempotency key of its request.
    KeyAbsent,
    /// The idempotency key belongs to another request.
    KeyConflict,
    /// The same call is in flight under its key and was not complete at the deadline.
    KeyInUse,
    /// The request does not have the documented form.
    Malformed,
    /// The API has no such path.
    NoSuchPath,
    /// Other requests hold the memory for request bodies.
    NoMemory,
    /// The bundle has no service of that name and kind.
    NoSuchService,
    /// No upstream is available for the service.
    NoUpstream,
    /// The idempotency key could not be claimed in time.
    NotClaimed,
    /// The VM has no bundle yet.
    NotReady,
    /// The request cannot be served before its deadline.
    Overloaded,
    /// Upstreams crashed while running this request; it is not retried.
    Poisoned,
    /// Upstreams crashed earlier while running the same request; it was not run this time.
    PoisonedNotRun,
    /// No progress replica includes the caller's resume point.
    ProgressLost,
    /// Another VM has taken the generation over, because its caller reconnected there.
    Superseded,
    /// The team's limit is reached.
    TeamLimit,
    /// The team is not allowed to call this service.
    TeamNotAllowed,
    /// The bearer key belongs to no team.
    UnknownKey,
    /// The upstream refused the call and reported that nothing ran.
    UpstreamRefused,
    /// No connection to the upstream could be opened.
    UpstreamUnreachable,
}

impl ProblemKind {
    /// Returns the HTTP status of the response.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::AnswerLost | Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::AnswerTooLarge => StatusCode::BAD_GATEWAY,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::Cancelled | Self::KeyConflict | Self::KeyInUse | Self::Superseded => {
                StatusCode::CONFLICT
            }
            Self::Draining
            | Self::NoMemory
            | Self::NoUpstream
            | Self::NotClaimed
            | Self::NotReady
            | Self::Overloaded
            | Self::UpstreamRefused
            | Self::UpstreamUnreachable => StatusCode::SERVICE_UNAVAILABLE,
            Self::HotKey | Self::TeamLimit => StatusCode::TOO_MANY_REQUESTS,
            Self::KeyAbsent | Self::Malformed => StatusCode::BAD_REQUEST,
            Self::ProgressLost => StatusCode::GONE,
            Self::NoSuchPath | Self::NoSuchService => StatusCode::NOT_FOUND,
            Self::Poisoned | Self::PoisonedNotRun => StatusCode::UNPROCESSABLE_ENTITY,
            Self::TeamNotAllowed => StatusCode::FORBIDDEN,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
        }
    }

    /// Returns the outcome of the request that is reported to the caller.
    #[must_use]
    pub fn outcome(self) -> caller::Outcome {
        match self {
            Self::AnswerLost | Self::AnswerTooLarge | Self::KeyInUse | Self::Superseded => {
                caller::Outcome::Unknown
            }
            Self::Cancelled | Self::Deadline | Self::Poisoned | Self::ProgressLost => {
                caller::Outcome::Failed
            }
            Self::BodyTooLarge
            | Self::BodyTooSlow
            | Self::Draining
            | Self::HotKey
            | Self::KeyAbsent
            | Self::KeyConflict
            | Self::Malformed
            | Self::NoMemory
            | Self::NoSuchPath
            | Self::NoSuchService
            | Self::NoUpstream
            | Self::NotClaimed
            | Self::NotReady
            | Self::Overloaded
            | Self::PoisonedNotRun
            | Self::TeamLimit
            | Self::TeamNotAllowed
            | Self::UnknownKey
            | Self::UpstreamRefused
            | Self::UpstreamUnreachable => caller::Outcome::NotRun,
        }
    }

    /// Returns the delay after which a retry may succeed, or `None` if a retry will not help.
    #[must_use]
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Draining
            | Self::HotKey
            | Self::KeyInUse
            | Self::NoMemory
            | Self::NoUpstream
            | Self::NotClaimed
            | Self::NotReady
            | Self::Overloaded
            | Self::Superseded
            | Self::UpstreamRefused
            | Self::UpstreamUnreachable => Some(Duration::from_secs(1)),
            _ => None,
        }
    }

    fn title(self) -> &'static str {
        match self {
            Self::AnswerLost => "the upstream's answer was lost; the call may have run",
            Self::AnswerTooLarge => "the upstream's answer is too large; the call has run",
            Self::BodyTooLarge => "the request body is too large",
            Self::BodyTooSlow => "the request body did not come in time",
            Self::Cancelled => "the generation was cancelled",
            Self::Deadline => "the deadline passed before the whole answer was there",
            Self::Draining => "this VM is shutting down",
            Self::HotKey => "too many calls for this item are under way",
            Self::KeyAbsent => "to come back, send the idempotency key of the request",
            Self::KeyInUse => "the same call still runs; come back with its key",
            Self::KeyConflict => "the idempotency key was used for another request",
            Self::Malformed => "the request is not of the documented form",
            Self::NoMemory => "there is no memory for the request body",
            Self::NoSuchPath => "there is no such path",
            Self::NoSuchService => "there is no such service",
            Self::NoUpstream => "no upstream can take the call",
            Self::NotClaimed => "the idempotency key could not be claimed in time",
            Self::NotReady => "this VM has no configuration bundle yet",
            Self::Overloaded => "the call cannot be served before its deadline",
            Self::Poisoned => "upstreams died under this request",
            Self::PoisonedNotRun => "upstreams died under this same request before",
            Self::ProgressLost => "what was delivered before is not known any more; start anew",
            Self::Superseded => "another VM goes on with this generation; come back with its key",
            Self::TeamLimit => "the team's limit is reached",
            Self::TeamNotAllowed => "this team may not call this service",
            Self::UnknownKey => "the bearer key is not known",
            Self::UpstreamRefused => "the upstream refused the call",
            Self::UpstreamUnreachable => "the upstream cannot be reached",
        }
    }
}

impl From<BodyRefusal> for ProblemKind {
    fn from(refusal: BodyRefusal) -> Self {
        match refusal {
            BodyRefusal::TooLarge => Self::BodyTooLarge,
            BodyRefusal::Truncated => Self::Malformed,
            BodyRefusal::TimedOut | BodyRefusal::Displaced => Self::BodyTooSlow,
            BodyRefusal::NoMemory => Self::NoMemory,
        }
    }
}

/// An error response to a caller.
#[derive(Clone, Debug)]
pub(crate) struct Problem {
    pub(crate) kind: ProblemKind,
    pub(crate) request_id: Option<RequestId>,
    pub(crate) next_index: Option<TokenIndex>,
    /// Delay before a retry, which overrides the default of the kind.
    pub(crate) retry_after: Option<Duration>,
}

impl Problem {
    /// Returns the error response for a request that has not run.
    pub(crate) fn not_run<T>(not_run: &NotRun<T>) -> Self {
        let kind = match not_run.reason() {
            RefusalReason::HotKey => ProblemKind::HotKey,
            RefusalReason::NoUpstream => ProblemKind::NoUpstream,
            RefusalReason::NotClaimed => ProblemKind::NotClaimed,
            RefusalReason::CrashingPart | RefusalReason::Poisoned => ProblemKind::PoisonedNotRun,
            RefusalReason::TeamLimit => ProblemKind::TeamLimit,
            RefusalReason::UpstreamRefused => ProblemKind::UpstreamRefused,
            RefusalReason::UpstreamUnreachable => ProblemKind::UpstreamUnreachable,
            RefusalReason::BackOff
            | RefusalReason::CallerLeft
            | RefusalReason::DeadlineTooNear
            | RefusalReason::Limit
            | RefusalReason::Overloaded
            | RefusalReason::QueueFull
            | RefusalReason::ShuttingDown => ProblemKind::Overloaded,
        };
        let retry_after = Some(not_run.retry_after()).filter(|after| !after.is_zero());
        Self {
            retry_after,
            ..kind.into()
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        self.retry_after.or(self.kind.retry_after())
    }

    /// Returns the response body in its schema.
    pub(crate) fn body(&self) -> caller::Problem {
        caller::Problem {
            type_: format!("catkinward:{}", self.kind),
            title: self.kind.title().to_owned(),
            status: self.kind.status().as_u16(),
            outcome: self.kind.outcome(),
            request_id: self.request_id.as_ref().map(ToString::to_string),
            next_index: self.next_index.map(|index| index.0),
            retry_after_ms: self
                .retry_after()
                .and_then(|after| after.as_millis().try_into().ok()),
        }
    }

    /// Returns the HTTP response.
    pub(crate) fn response(&self) -> Response {
        let mut response = Response::new(Body::from(json_bytes(&self.body())));
        *response.status_mut() = self.kind.status();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static("application/problem+json"),
        );
        if let Some(after) = self.retry_after() {
            // `Retry-After` has a resolution of seconds, so the delay is rounded up.
            let seconds = after.as_millis().div_ceil(1000).max(1);
            let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
            headers.insert(header::RETRY_AFTER, seconds.into());
        }
        response
    }
}

impl From<ProblemKind> for Problem {
    fn from(kind: ProblemKind) -> Self {
        Self {
            kind,
            request_id: None,
            next_index: None,
            retry_after: None,
        }
    }
}
