use super::*;
use crate::fleet_bundle::{PLAIN_SERVICE, team_key};
use catkin_standins::PlainResponse;
use catkinward::http_client::{Connections, HttpCall};

/// How long a caller waits for its answer.
pub(crate) const DEADLINE: Duration = Duration::from_secs(1);

/// How much longer it listens, so that a late answer is not taken for a lost one.
const LATE: Duration = Duration::from_secs(2);

/// One plain call.
#[derive(Clone, Debug)]
pub(crate) struct QuickCall {
    /// When it is due, from the start of the run.
    pub(crate) due: Duration,
    pub(crate) team: usize,
    /// Query that names what it asks for.
    pub(crate) query: String,
    /// Whether it writes and may not be repeated.
    pub(crate) write: bool,
}

/// How a plain call ended, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum QuickEnd {
    /// With the answer to its own request.
    Answered,
    /// With the answer to another request.
    Crossed,
    /// With the word that nothing ran.
    NotRun,
    /// With another typed error.
    Failed,
    /// With neither.
    Lost,
}

/// A plain call and what came of it.
#[derive(Clone, Debug)]
pub(crate) struct QuickResult {
    pub(crate) call: QuickCall,
    pub(crate) end: QuickEnd,
    /// From the time it was due to its end.
    pub(crate) took: Duration,
}

impl QuickResult {
    pub(crate) fn in_deadline(&self) -> bool {
        self.end == QuickEnd::Answered && self.took <= DEADLINE
    }
}

impl QuickCall {
    /// Digest by which the upstream counts its runs.
    pub(crate) fn digest(&self) -> u64 {
        request_digest(&self.query, b"")
    }

    /// Calls a router, or an upstream directly.
    pub(crate) async fn make(
        self,
        connections: &Connections,
        address: SocketAddr,
        through_router: bool,
        start: Instant,
    ) -> QuickResult {
        let due = start + self.due;
        let call = self.http_call(address, through_router);
        let end = match connections.call_complete(call).await {
            Err(_) => QuickEnd::Lost,
            Ok((status, body)) if status.is_success() => {
                match serde_json::from_slice::<PlainResponse>(&body) {
                    Ok(answer) if answer.digest == self.digest() => QuickEnd::Answered,
                    _ => QuickEnd::Crossed,
                }
            }
            Ok((_, body)) => match serde_json::from_slice::<caller::Problem>(&body) {
                Ok(problem) if problem.outcome == caller::Outcome::NotRun => QuickEnd::NotRun,
                Ok(_) => QuickEnd::Failed,
                // An upstream's own refusal: nothing ran.
                Err(_) => QuickEnd::NotRun,
            },
        };
        QuickResult {
            call: self,
            end,
            took: due.elapsed(),
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
            timeout: DEADLINE + LATE,
            ..HttpCall::default()
        }
    }
}
