use super::*;
use crate::{plain_headers::forwarded_headers, problem::ProblemKind};

/// Header with which a caller forbids retries that the bundle allows. No header allows retries that
/// the bundle forbids.
const IDEMPOTENT_HEADER: &str = "catkin-idempotent";

/// Header with the time until the caller's deadline in milliseconds; plain services receive the
/// remaining time.
pub(crate) const DEADLINE_HEADER: &str = "catkin-deadline-ms";

/// Header with the idempotency key; a non-idempotent call with a key runs at most once.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// A call of a plain service; it does not change after its admission.
#[derive(Clone, Debug)]
pub(crate) struct PlainCall {
    pub(crate) id: RequestId,
    pub(crate) team: QueueTeam,
    pub(crate) service: ServiceId,
    pub(crate) method: Method,
    /// Path within the service, including the query.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
    pub(crate) idempotent: bool,
    pub(crate) key: Option<IdempotencyKey>,
}

impl PlainCall {
    /// Returns whether the call is a read whose response may be shared with equal calls.
    pub(crate) fn is_read(&self) -> bool {
        self.idempotent
            && self.key.is_none()
            && self.body.is_empty()
            && matches!(self.method, Method::GET | Method::HEAD)
    }

    pub(crate) fn arrival(&self) -> Arrival {
        Arrival {
            team: self.team.clone(),
            lane: Lane::Quick,
            cost: 1,
            deadline: self.deadline,
        }
    }

    /// Key of the calls that share one response. It covers everything that is forwarded except the
    /// deadline.
    pub(crate) fn coalescing_key(&self) -> CallKey {
        let headers = self
            .headers
            .iter()
            .filter(|(name, _)| *name != DEADLINE_HEADER)
            .flat_map(|(name, value)| [name.as_str().as_bytes(), value.as_bytes()]);
        let parts = self.target_parts().into_iter().chain(headers);
        CallKey::new(self.team.id.clone(), parts)
    }

    /// Key of the calls for the same item: team, service, method and path, without headers and body.
    pub(crate) fn item_key(&self) -> CallKey {
        CallKey::new(self.team.id.clone(), self.target_parts())
    }

    /// Digest of team, service, method, path and body. It detects that an idempotency key is reused for
    /// another call.
    pub(crate) fn digest(&self) -> RequestDigest {
        let parts = self.target_parts().into_iter().chain([&*self.body]);
        let mut bytes = Vec::with_capacity(self.body.len() + 256);
        for part in parts {
            bytes.extend((part.len() as u64).to_le_bytes());
            bytes.extend(part);
        }
        RequestDigest::of(&self.team.id, &bytes)
    }

    fn target_parts(&self) -> [&[u8]; 3] {
        [
            self.service.as_str().as_bytes(),
            self.method.as_str().as_bytes(),
            self.path.as_bytes(),
        ]
    }
}

/// Splits `/v1/services/SERVICE/PATH` into the service and the path, which starts with `/`.
pub(crate) fn split_path(path: &str) -> Option<(&str, &str)> {
    let rest = path.strip_prefix("/v1/services/")?;
    let end = rest.find('/').unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    (!service.is_empty()).then_some((service, if path.is_empty() { "/" } else { path }))
}

/// Returns whether a call may be retried: the rules of the bundle allow it and the caller does not
/// forbid it. Never true for a path that an upstream may normalize to another path: `/tiles/../orders`
/// would match a read by its prefix, and a retry would place the order twice.
pub(crate) fn is_idempotent(
    kind: &ServiceKind,
    method: &Method,
    path: &str,
    headers: &HeaderMap,
) -> bool {
    let retries_forbidden = headers
        .get_all(IDEMPOTENT_HEADER)
        .iter()
        .any(|value| value != "true");
    !retries_forbidden && is_unambiguous_path(path) && kind.idempotent(method.as_str(), path)
}

fn is_unambiguous_path(path: &str) -> bool {
    !path.contains(['%', '\\', ';'])
        && !path.contains("//")
        && path.split('/').all(|part| part != "." && part != "..")
}

/// Returns the headers that are forwarded to the plain service.
pub(crate) fn headers_for_upstream(headers: &HeaderMap) -> HeaderMap {
    let mut headers = forwarded_headers(headers);
    headers.remove(DEADLINE_HEADER);
    headers.remove(IDEMPOTENT_HEADER);
    headers
}

/// Parses the idempotency key, if the caller sent one.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, ProblemKind> {
    let mut keys = headers.get_all(IDEMPOTENCY_KEY_HEADER).iter();
    let Some(key) = keys.next() else {
        return Ok(None);
    };
    let text = key.to_str().map_err(|_| ProblemKind::Malformed)?;
    if keys.next().is_some() {
        return Err(ProblemKind::Malformed);
    }
    text.parse().map(Some).map_err(|_| ProblemKind::Malformed)
}
