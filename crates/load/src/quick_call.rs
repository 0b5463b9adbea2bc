use super::*;
use crate::fleet_bundle::{PLAIN_SERVICE, team_key};
use catkin_standins::PlainResponse;
use catkinward::http_client::{Connections, HttpCall};

/// Deadline that a caller sends with its request; it matches the `catkin-deadline-ms` header below.
pub(crate) const DEADLINE: Duration = Duration::from_secs(1);

/// Extra time that a caller keeps reading, so that a late response does not count as lost.
const LATE_RESPONSE_GRACE: Duration = Duration::from_secs(2);

/// A call of the plain service.
#[derive(Clone, Debug)]
pub(crate) struct QuickCall {
    /// Scheduled time, relative to the start of the run.
    pub(crate) scheduled: Duration,
    pub(crate) team: usize,
    /// Query string that identifies the item.
    pub(crate) query: String,
    /// Whether this is a non-idempotent write.
    pub(crate) write: bool,
}

/// Outcome of a plain call as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum QuickOutcome {
    /// The response to the caller's own request was received.
    Answered,
    /// A response to another request, or an unreadable one, was received.
    Crossed,
    /// A problem reported that the request did not run.
    NotRun,
    /// Another typed problem was received.
    Failed,
    /// Neither a response nor a typed problem was received.
    Lost,
}

/// A plain call with its outcome.
#[derive(Clone, Debug)]
pub(crate) struct QuickResult {
    pub(crate) call: QuickCall,
    pub(crate) outcome: QuickOutcome,
    /// Time from the scheduled start to the end of the call.
    pub(crate) latency: Duration,
}

impl QuickResult {
    pub(crate) fn met_deadline(&self) -> bool {
        self.outcome == QuickOutcome::Answered && self.latency <= DEADLINE
    }
}

impl QuickCall {
    /// Returns the request digest under which the upstream counts the runs.
    pub(crate) fn digest(&self) -> u64 {
        request_digest(&self.query, b"")
    }

    /// Makes the call to a router, or directly to an upstream.
    pub(crate) async fn make(
        self,
        connections: &Connections,
        address: SocketAddr,
        through_router: bool,
        start: Instant,
    ) -> QuickResult {
        let scheduled = start + self.scheduled;
        let call = self.http_call(address, through_router);
        let outcome = match connections.call_complete(call).await {
            Err(_) => QuickOutcome::Lost,
            Ok((status, body)) if status.is_success() => {
                match serde_json::from_slice::<PlainResponse>(&body) {
                    Ok(answer) if answer.digest == self.digest() => QuickOutcome::Answered,
                    _ => QuickOutcome::Crossed,
                }
            }
            Ok((_, body)) => match serde_json::from_slice::<caller::Problem>(&body) {
                Ok(problem) if problem.outcome == caller::Outcome::NotRun => QuickOutcome::NotRun,
                Ok(_) => QuickOutcome::Failed,
                // The upstream itself refused the call, so it did not run.
                Err(_) => QuickOutcome::NotRun,
            },
        };
        QuickResult {
            call: self,
            outcome,
            latency: scheduled.elapsed(),
        }
    }

    fn http_call(&self, address: SocketAddr, through_router: bool) -> HttpCall {
        let mut headers = http::HeaderMap::new();
        if let Ok(value) = format!("Bearer {}", team_key(self.team)).parse() {
            headers.insert(http::header::AUTHORIZATION, value);
        }
        headers.insert("catkin-deadline-ms", http::HeaderValue::from_static("1000"));
        let service = if through_router {
            format!("/v1/services/{PLAIN_SERVICE}")
        } else {
            String::new()
        };
        HttpCall {
            address,
            method: if self.write {
                Method::POST
            } else {
                Method::GET
            },
            path: format!("{service}/items?{}", self.query),
            headers,
            timeout: DEADLINE + LATE_RESPONSE_GRACE,
            ..HttpCall::default()
        }
    }
}
