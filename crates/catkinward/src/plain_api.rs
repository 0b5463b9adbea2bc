//! HTTP API for calls of plain services.

use super::*;
use crate::{
    caller_api::{Caller, CallerApi, new_request_id},
    plain_call::{
        DEADLINE_HEADER, PlainCall, headers_for_upstream, idempotency_key, is_idempotent,
        split_path,
    },
    plain_calls::call_plain,
    problem::{Problem, ProblemKind},
};

impl CallerApi {
    /// Handles a request for `/v1/services/{service}/...`.
    pub(crate) async fn handle_plain(&self, req: Request) -> Result<Response, Problem> {
        let _in_flight = self.node.drain.enter();
        let (parts, body) = req.into_parts();
        let caller = self.authenticate(&parts.headers)?;
        let call = self.accept_plain(&caller, &parts)?;
        let until_deadline = call.deadline.since(self.node.timer.now());
        let reading = self.read_body(&caller, &parts, body, Some(&call.id), 1);
        let body = tokio::time::timeout(until_deadline, reading)
            .await
            .map_err(|_| ProblemKind::BodyTooSlow)??;
        self.record(EventKind::Accepted, &call, call.service.as_str());
        let call = PlainCall {
            body: body.into(),
            ..call
        };
        let response = call_plain(self.node.clone(), call.clone()).await;
        match &response {
            Ok(response) => self.record(EventKind::Whole, &call, response.status.as_str()),
            Err(problem) if problem.kind.outcome() != caller::Outcome::NotRun => {
                self.record(EventKind::Failed, &call, problem.kind.into());
            }
            Err(_) => {}
        }
        Ok(response?.response())
    }

    fn accept_plain(
        &self,
        caller: &Caller,
        parts: &http::request::Parts,
    ) -> Result<PlainCall, Problem> {
        let (name, path) = split_path(parts.uri.path()).ok_or(ProblemKind::NoSuchPath)?;
        let service = caller
            .bundle
            .service(name)
            .filter(|service| matches!(service.kind, ServiceKind::Plain { .. }))
            .ok_or(ProblemKind::NoSuchService)?;
        if !service.allows(&caller.team) {
            return Err(ProblemKind::TeamNotAllowed.into());
        }
        let deadline = match parts.headers.get(DEADLINE_HEADER) {
            Some(ms) => parse_deadline(ms).ok_or(ProblemKind::Malformed)?,
            None => service.deadline,
        };
        Ok(PlainCall {
            id: new_request_id(),
            team: caller.queue_team(),
            service: service.id.clone(),
            method: parts.method.clone(),
            path: match parts.uri.query() {
                Some(query) => format!("{path}?{query}"),
                None => path.to_owned(),
            },
            headers: headers_for_upstream(&parts.headers),
            body: Bytes::new(),
            deadline: self.node.timer.now().after(deadline),
            idempotent: is_idempotent(&service.kind, &parts.method, path, &parts.headers),
            key: idempotency_key(&parts.headers)?,
        })
    }

    fn record(&self, kind: EventKind, call: &PlainCall, detail: &str) {
        self.node.timeline.record(Event {
            request: Some(call.id.clone()),
            detail: Some(detail.into()),
            ..Event::new(kind)
        });
    }
}

fn parse_deadline(ms: &header::HeaderValue) -> Option<Duration> {
    ms.to_str().ok()?.parse().ok().map(Duration::from_millis)
}
