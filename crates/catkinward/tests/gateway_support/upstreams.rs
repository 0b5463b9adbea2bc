//! Scripted upstreams of the gateway fixture.

use super::*;

/// What a scripted upstream does with a call.
#[derive(Clone, Debug)]
pub enum Script {
    /// Sends a complete response.
    Whole(StatusCode, &'static str),
    /// Sends a response without a signature.
    Unsigned(StatusCode),
    /// States that it did not run the call.
    NotExecuted,
    /// The same, and asks for a back-off.
    BackOff(Duration),
    /// Accepts the connection after this time, and does the rest then.
    AcceptAfter(Duration, Box<Script>),
    /// Accepts the call at once, and does the rest after this time.
    AnswerAfter(Duration, Box<Script>),
    /// Responds as another incarnation.
    OtherIncarnation(Option<&'static str>),
    /// Accepts no connection.
    NoConnection,
    /// Accepts the call and breaks the connection.
    Lost,
    /// Never responds.
    Hang,
    /// Streams the parts and then ends as given.
    Stream(Vec<Part>, End),
}

/// Part of a scripted stream.
#[derive(Clone, Debug)]
pub enum Part {
    Bytes(String),
    Pause(Duration),
}

/// How a scripted stream ends: regularly, with a broken connection, or never.
#[derive(Clone, Copy, Debug)]
pub enum End {
    Whole,
    Break,
    Hang,
}

/// A call as an upstream received it.
#[derive(Clone, Debug)]
pub struct ReceivedCall {
    pub upstream: String,
    pub last_event: Option<u64>,
    pub copy_to: Option<String>,
    pub from_copy: Option<String>,
    pub time_left: Duration,
    pub max_idle: Duration,
    pub at: Instant,
}

/// Returns the process start time that an upstream reports in health checks.
pub(super) type ProcessStarts = Arc<dyn Fn(&str) -> Option<ProcessStart> + Send + Sync>;

/// Returns the load that an upstream reports in health checks.
pub(super) type ReportedLoads = Arc<dyn Fn(&str) -> LoadSample + Send + Sync>;

/// Returns what an upstream reports in health checks.
pub(super) type HealthReports = Arc<dyn Fn(&str) -> HealthReport + Send + Sync>;

pub(super) type ScriptFn = Box<dyn Fn(&UpstreamCall) -> Script + Send + Sync>;

/// Record of the requests that upstreams received.
#[derive(Clone, Default)]
pub struct Observed {
    pub received: Arc<Mutex<Vec<ReceivedCall>>>,
    pub probes: Arc<Mutex<Vec<String>>>,
    /// Holders of requested KV copies.
    pub copies: Arc<Mutex<Vec<String>>>,
    /// Handles of freed KV copies.
    pub freed: Arc<Mutex<Vec<String>>>,
    /// Upstreams whose connections with a call were closed, and when.
    pub closed: Arc<Mutex<Vec<(String, Instant)>>>,
}

/// Connection of a call, which records when it is closed.
struct OpenConnection {
    upstream: String,
    timer: Arc<Timer>,
    closed: Arc<Mutex<Vec<(String, Instant)>>>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let upstream = std::mem::take(&mut self.upstream);
        self.closed.lock().push((upstream, self.timer.now()));
    }
}

pub(super) fn transport(
    script: ScriptFn,
    answers_probes: Arc<dyn Fn(&str) -> bool + Send + Sync>,
    reached_by_others: bool,
    reports: HealthReports,
    cached_on: Option<&'static str>,
    timer: &Arc<Timer>,
    observed: &Observed,
) -> UpstreamTransport {
    let Observed {
        received,
        probes,
        copies,
        freed,
        closed,
    } = observed.clone();
    let timer = timer.clone();
    UpstreamTransport {
        send: Box::new(move |call| {
            let (script, received, timer) = (script(&call), received.clone(), timer.clone());
            let closed = closed.clone();
            Box::pin(async move {
                let mut script = script;
                while let Script::AcceptAfter(time, rest) = script {
                    tokio::time::sleep(time).await;
                    script = *rest;
                }
                if !call.gate.is_open() {
                    return Err(SendError::Withheld);
                }
                received.lock().push(ReceivedCall {
                    upstream: call.entry.id.to_string(),
                    last_event: call.last_event,
                    copy_to: call.copy_to.map(|address| address.to_string()),
                    from_copy: call.copy_from.as_ref().map(|copy| copy.handle.to_string()),
                    time_left: call.time_left,
                    max_idle: call.max_idle,
                    at: timer.now(),
                });
                let connection = OpenConnection {
                    upstream: call.entry.id.to_string(),
                    timer,
                    closed,
                };
                while let Script::AnswerAfter(time, rest) = script {
                    tokio::time::sleep(time).await;
                    script = *rest;
                }
                let response = respond(script, &call.gate).await?;
                let body = response.body.inspect(move |_| {
                    let _open = &connection;
                });
                Ok(UpstreamResponse {
                    body: body.boxed(),
                    ..response
                })
            })
        }),
        copy: Box::new(move |order| {
            copies.lock().push(order.holder.id.to_string());
            Box::pin(async move {
                Ok(CopySource {
                    address: order.source.address,
                    handle: "copy-1".into(),
                })
            })
        }),
        free: Box::new(move |copy, _| {
            freed.lock().push(copy.handle.to_string());
            Box::pin(async {})
        }),
        cached: Box::new(move |engine, _| {
            let holds = cached_on == Some(engine.id.as_str());
            Box::pin(async move {
                let parts = prompt_parts();
                Ok(if holds { parts.to_vec() } else { Vec::new() })
            })
        }),
        probe: Box::new(move |probe| {
            let id = probe.entry.id.to_string();
            let answers_probes = if probe.path.is_direct() {
                answers_probes(&id)
            } else {
                reached_by_others
            };
            let report = reports(&id);
            probes.lock().push(id);
            Box::pin(async move {
                if answers_probes {
                    return Ok(report);
                }
                std::future::pending().await
            })
        }),
    }
}

async fn respond(script: Script, gate: &UpstreamGate) -> Result<UpstreamResponse, SendError> {
    // Simulated latency of an upstream.
    tokio::time::sleep(Duration::from_millis(5)).await;
    match script {
        Script::Whole(status, body) => {
            let chunk = Ok(Bytes::from_static(body.as_bytes()));
            Ok(response(status, stream::iter([chunk]).boxed()))
        }
        Script::Unsigned(status) => Ok(UpstreamResponse {
            signed: false,
            ..response(status, stream::empty().boxed())
        }),
        Script::NotExecuted => Ok(UpstreamResponse {
            not_executed: true,
            signed: false,
            ..response(StatusCode::SERVICE_UNAVAILABLE, stream::empty().boxed())
        }),
        Script::BackOff(time) => {
            gate.record(&UpstreamStatement {
                status: 503,
                kind: ResponseKind::Rejection,
                back_off: Some(Ok(time.into())),
                ..UpstreamStatement::default()
            });
            Ok(UpstreamResponse {
                not_executed: true,
                signed: false,
                ..response(StatusCode::SERVICE_UNAVAILABLE, stream::empty().boxed())
            })
        }
        Script::AcceptAfter(..) | Script::AnswerAfter(..) => {
            unreachable!("taken apart by the caller")
        }
        Script::OtherIncarnation(by) => Ok(UpstreamResponse {
            other_incarnation: true,
            incarnation: by.map(|by| by.parse().unwrap()),
            signed: false,
            ..response(StatusCode::MISDIRECTED_REQUEST, stream::empty().boxed())
        }),
        Script::NoConnection => Err(SendError::NoConnection),
        Script::Lost => Err(SendError::Lost),
        Script::Hang => std::future::pending().await,
        Script::Stream(parts, end) => Ok(response(StatusCode::OK, scripted_body(parts, end))),
    }
}

fn response(status: StatusCode, body: ResponseBody) -> UpstreamResponse {
    UpstreamResponse {
        body_end: catkinward::gateway::BodyEnd::Framing,
        status,
        headers: HeaderMap::new(),
        signed: true,
        not_executed: false,
        other_incarnation: false,
        incarnation: None,
        body,
    }
}

fn scripted_body(parts: Vec<Part>, end: End) -> ResponseBody {
    let parts = stream::iter(parts).filter_map(|part| async move {
        match part {
            Part::Bytes(text) => Some(Ok(Bytes::from(text))),
            Part::Pause(pause) => {
                tokio::time::sleep(pause).await;
                None
            }
        }
    });
    match end {
        End::Whole => parts.boxed(),
        End::Break => parts.chain(stream::iter([Err(BodyError::Broken)])).boxed(),
        End::Hang => parts.chain(stream::pending()).boxed(),
    }
}
