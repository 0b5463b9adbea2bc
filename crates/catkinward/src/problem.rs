use super::*;
use crate::http_client::json_bytes;

/// Every error answer to a caller. What it says of the outcome is part of the kind, so that no
/// place in the code can claim `not_run` for a request that may have run.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, EnumString, IntoStaticStr, strum::Display, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum ProblemKind {
    /// The body is longer than allowed.
    BodyTooLarge,
    /// The caller, or a caller's word, ended it.
    Cancelled,
    /// The deadline passed before the whole answer was there.
    Deadline,
    /// The VM is shutting down and takes no new requests.
    Draining,
    /// A caller comes back without the idempotency key of its request.
    KeyAbsent,
    /// The idempotency key was used for another request.
    KeyConflict,
    /// The request is no JSON of the right form.
    Malformed,
    /// There is no such path.
    NoSuchPath,
    /// There is no such service, or none of that kind.
    NoSuchService,
    /// The VM has no bundle yet.
    NotReady,
    /// No copy reaches as far as the returning caller has come.
    ProgressLost,
    /// Another VM has taken the generation over, for its caller who came back there.
    Superseded,
    /// The team may not call this service.
    TeamNotAllowed,
    /// The bearer key is of no team.
    UnknownKey,
}

impl ProblemKind {
    /// HTTP status.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Cancelled | Self::KeyConflict | Self::Superseded => StatusCode::CONFLICT,
            Self::ProgressLost => StatusCode::GONE,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::Draining | Self::NotReady => StatusCode::SERVICE_UNAVAILABLE,
            Self::KeyAbsent | Self::Malformed => StatusCode::BAD_REQUEST,
            Self::NoSuchPath | Self::NoSuchService => StatusCode::NOT_FOUND,
            Self::TeamNotAllowed => StatusCode::FORBIDDEN,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
        }
    }

    /// What became of the request.
    #[must_use]
    pub fn outcome(self) -> caller::Outcome {
        match self {
            Self::Cancelled | Self::Deadline | Self::ProgressLost | Self::Superseded => {
                caller::Outcome::Failed
            }
            Self::BodyTooLarge
            | Self::Draining
            | Self::KeyAbsent
            | Self::KeyConflict
            | Self::Malformed
            | Self::NoSuchPath
            | Self::NoSuchService
            | Self::NotReady
            | Self::TeamNotAllowed
            | Self::UnknownKey => caller::Outcome::NotRun,
        }
    }

    /// When the caller may come back with some hope.
    #[must_use]
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Draining | Self::NotReady => Some(Duration::from_secs(1)),
            _ => None,
        }
    }

    fn title(self) -> &'static str {
        match self {
            Self::BodyTooLarge => "the request body is too large",
            Self::Cancelled => "the generation was cancelled",
            Self::Deadline => "the deadline passed before the whole answer was there",
            Self::Draining => "this VM is shutting down",
            Self::KeyAbsent => "to come back, send the idempotency key of the request",
            Self::KeyConflict => "the idempotency key was used for another request",
            Self::Malformed => "the request is not of the documented form",
            Self::NoSuchPath => "there is no such path",
            Self::NoSuchService => "there is no such service",
            Self::NotReady => "this VM has no configuration bundle yet",
            Self::ProgressLost => "what was delivered before is not known any more; start anew",
            Self::Superseded => "another VM goes on with this generation",
            Self::TeamNotAllowed => "this team may not call this service",
            Self::UnknownKey => "the bearer key is not known",
        }
    }
}

/// An error answer to a caller.
#[derive(Clone, Debug)]
pub(crate) struct Problem {
    pub(crate) kind: ProblemKind,
    pub(crate) request_id: Option<RequestId>,
    pub(crate) next_index: Option<TokenIndex>,
}

impl Problem {
    /// The body as the border has it.
    pub(crate) fn body(&self) -> caller::Problem {
        caller::Problem {
            type_: format!("catkinward:{}", self.kind),
            title: self.kind.title().to_owned(),
            status: self.kind.status().as_u16(),
            outcome: self.kind.outcome(),
            request_id: self.request_id.as_ref().map(ToString::to_string),
            next_index: self.next_index.map(|index| index.0),
            retry_after_ms: self
                .kind
                .retry_after()
                .and_then(|after| after.as_millis().try_into().ok()),
        }
    }

    /// The answer.
    pub(crate) fn response(&self) -> Response {
        let mut response = Response::new(Body::from(json_bytes(&self.body())));
        *response.status_mut() = self.kind.status();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static("application/problem+json"),
        );
        if let Some(after) = self.kind.retry_after() {
            headers.insert(header::RETRY_AFTER, after.as_secs().max(1).into());
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
        }
    }
}
