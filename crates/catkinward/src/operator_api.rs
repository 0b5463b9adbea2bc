use super::*;
use crate::{http_client::json_bytes, operator_problem::OperatorProblem};

/// HTTP service for operators, served on a separate address.
#[derive(Clone)]
pub(crate) struct OperatorApi {
    node: Arc<Node>,
    key: KeyHash,
}

impl volo::Service<ServerContext, Request> for OperatorApi {
    type Response = Response;
    type Error = Infallible;

    async fn call(&self, _: &mut ServerContext, req: Request) -> Result<Response, Infallible> {
        let mut response = match self.route(&req) {
            Ok(response) => response,
            Err(problem) => problem.response(),
        };
        self.node.timeline.clock().stamp(response.headers_mut());
        Ok(response)
    }
}

impl OperatorApi {
    pub(crate) fn new(node: Arc<Node>, key: KeyHash) -> Self {
        Self { node, key }
    }

    fn route(&self, req: &Request) -> Result<Response, OperatorProblem> {
        self.check_key(req.headers())?;
        // The clock observes readings of authenticated clients only, since a reading can advance it.
        self.node.timeline.clock().observe_headers(req.headers());
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/v1/status") => Ok(json_response(&self.status())),
            (&Method::GET, "/v1/timeline") => {
                let query = timeline_query(req.uri().query().unwrap_or_default())?;
                Ok(json_response(&self.timeline(&query)))
            }
            _ => Err(OperatorProblem::NoSuchPath),
        }
    }

    fn check_key(&self, headers: &HeaderMap) -> Result<(), OperatorProblem> {
        // Digests are compared instead of keys, so that response times reveal nothing about the key.
        headers
            .get(header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "))
            .filter(|key| KeyHash::of(key) == self.key)
            .map(|_| ())
            .ok_or(OperatorProblem::UnknownKey)
    }

    fn timeline(&self, query: &TimelineQuery) -> operator::TimelineReply {
        let timeline = &self.node.timeline;
        let extract = timeline.extract(query);
        operator::TimelineReply {
            availability_zone: timeline.zone().to_string(),
            events: extract.records.iter().map(to_api_event).collect(),
            overwritten: extract.overwritten,
            vm: timeline.vm().to_string(),
        }
    }

    fn status(&self) -> operator::StatusReply {
        let node = &self.node;
        let bundle = node.bundle.current();
        let no_bundle = bundle.version == BundleVersion::default();
        operator::StatusReply {
            availability_zone: node.settings.zone.to_string(),
            bundle_digest: (!no_bundle).then(|| bundle.digest.to_string()),
            bundle_version: bundle.version.0,
            draining: node.drain.has_begun(),
            in_flight: u64::try_from(node.drain.in_flight()).unwrap_or(u64::MAX),
            ready: !no_bundle && !node.drain.has_begun(),
            upstreams: node.upstreams.statuses(),
            vm: node.settings.vm.to_string(),
        }
    }
}

fn timeline_query(query: &str) -> Result<TimelineQuery, OperatorProblem> {
    let mut filter = TimelineQuery::default();
    for (name, value) in form_urlencoded::parse(query.as_bytes()) {
        match &*name {
            "request" => set_once(&mut filter.request, &value)?,
            "upstream" => set_once(&mut filter.upstream, &value)?,
            "since" => set_once(&mut filter.since, &value)?,
            _ => return Err(OperatorProblem::MalformedQuery),
        }
    }
    Ok(filter)
}

fn set_once<T: FromStr>(field: &mut Option<T>, value: &str) -> Result<(), OperatorProblem> {
    let value = value.parse().map_err(|_| OperatorProblem::MalformedQuery)?;
    match field.replace(value) {
        Some(_) => Err(OperatorProblem::MalformedQuery),
        None => Ok(()),
    }
}

fn to_api_event(record: &TimelineRecord) -> operator::TimelineEvent {
    let event = &record.event;
    operator::TimelineEvent {
        attempt: event.attempt.map(|attempt| attempt.0),
        bundle: event.bundle.map(|version| version.0),
        detail: event.detail.as_deref().map(str::to_owned),
        kind: event.kind.to_string(),
        request: event.request.as_ref().map(ToString::to_string),
        term: event.term.map(|term| term.0),
        time: record.time.to_string(),
        upstream: event.upstream.as_ref().map(ToString::to_string),
    }
}

fn json_response<T: serde::Serialize>(value: &T) -> Response {
    let mut response = Response::new(Body::from(json_bytes(value)));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    response
}
