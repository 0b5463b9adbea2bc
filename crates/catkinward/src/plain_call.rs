use super::*;
use crate::{plain_headers::passed_on, problem::ProblemKind};

/// Header by which a caller says that its call must not be repeated although the bundle allows it.
/// There is none for the other direction.
const IDEMPOTENT_HEADER: &str = "catkin-idempotent";

/// Header with the caller's deadline in milliseconds from now; plain services get what is left.
pub(crate) const DEADLINE_HEADER: &str = "catkin-deadline-ms";

/// Header with the key under which a non-idempotent call is made at most once.
const KEY_HEADER: &str = "idempotency-key";

/// A call of a plain service, fixed for its whole life.
#[derive(Clone, Debug)]
pub(crate) struct PlainCall {
    pub(crate) id: RequestId,
    pub(crate) team: QueueTeam,
    pub(crate) service: ServiceId,
    pub(crate) method: Method,
    /// Path within the service, with the query.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
    pub(crate) idempotent: bool,
    pub(crate) key: Option<IdempotencyKey>,
}

impl PlainCall {
    /// Whether it only reads, so that its answer may be given to another like it.
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

    /// Key of the calls that get the same answer: all that is passed on but the deadline.
    pub(crate) fn read_key(&self) -> CallKey {
        let headers = self
            .headers
            .iter()
            .filter(|(name, _)| *name != DEADLINE_HEADER)
            .flat_map(|(name, value)| [name.as_str().as_bytes(), value.as_bytes()]);
        let parts = self.address_parts().into_iter().chain(headers);
        CallKey::new(self.team.id.clone(), parts)
    }

    /// Key of the calls for the same item, whatever is said in their headers and bodies.
    pub(crate) fn item_key(&self) -> CallKey {
        CallKey::new(self.team.id.clone(), self.address_parts())
    }

    /// Digest of all that makes it this call, by which a key used for another one is found.
    pub(crate) fn digest(&self) -> RequestDigest {
        let parts = self.address_parts().into_iter().chain([&*self.body]);
        let mut bytes = Vec::with_capacity(self.body.len() + 256);
        for part in parts {
            bytes.extend((part.len() as u64).to_le_bytes());
            bytes.extend(part);
        }
        RequestDigest::of(&self.team.id, &bytes)
    }

    fn address_parts(&self) -> [&[u8]; 3] {
        [
            self.service.as_str().as_bytes(),
            self.method.as_str().as_bytes(),
            self.path.as_bytes(),
        ]
    }
}

/// Splits `/v1/services/SERVICE/PATH` into service and path; the path begins with `/`.
pub(crate) fn split_path(path: &str) -> Option<(&str, &str)> {
    let rest = path.strip_prefix("/v1/services/")?;
    let end = rest.find('/').unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    (!service.is_empty()).then_some((service, if path.is_empty() { "/" } else { path }))
}

/// Whether a call may be repeated: the bundle's rules say so, and the caller does not forbid it.
///
/// A path that an upstream may read as another one never may: `/tiles/../orders` would pass for a
/// read by its prefix, and a repeat would order twice.
pub(crate) fn is_idempotent(
    kind: &ServiceKind,
    method: &Method,
    path: &str,
    headers: &HeaderMap,
) -> bool {
    let forbidden = headers
        .get_all(IDEMPOTENT_HEADER)
        .iter()
        .any(|value| value != "true");
    !forbidden && is_plain_path(path) && kind.idempotent(method.as_str(), path)
}

fn is_plain_path(path: &str) -> bool {
    !path.contains(['%', '\\', ';'])
        && !path.contains("//")
        && path.split('/').all(|part| part != "." && part != "..")
}

/// Headers for the plain service.
pub(crate) fn headers_for_upstream(headers: &HeaderMap) -> HeaderMap {
    let mut headers = passed_on(headers);
    headers.remove(DEADLINE_HEADER);
    headers.remove(IDEMPOTENT_HEADER);
    headers
}

/// The idempotency key, if there is one.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, ProblemKind> {
    let mut keys = headers.get_all(KEY_HEADER).iter();
    let Some(key) = keys.next() else {
        return Ok(None);
    };
    let text = key.to_str().map_err(|_| ProblemKind::Malformed)?;
    if keys.next().is_some() {
        return Err(ProblemKind::Malformed);
    }
    text.parse().map(Some).map_err(|_| ProblemKind::Malformed)
}
