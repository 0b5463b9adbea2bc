use super::{upstream_gate::UpstreamGate, *};

/// Functions that reach upstreams. The adapter implements the protocol; it neither retries nor abandons
/// calls by itself.
pub struct UpstreamTransport {
    /// Sends a call. The future resolves with the response head; dropping it, or the body, closes the
    /// connection, so that the upstream stops.
    pub send: SendCall,
    /// Requests that an engine copies the KV cache of a running call to another engine.
    pub copy: CopyKvCache,
    /// Requests that an engine frees a KV copy that will not be used.
    pub free: FreeKvCopy,
    /// Queries which prompt parts an engine has cached. The result is ordered oldest first; if a part
    /// occurs twice, the later entry is valid.
    pub cached: QueryCachedPrompts,
    /// Queries the health and load of an upstream over a separate connection.
    pub probe: ProbeUpstream,
}

/// Function that sends a call to an upstream.
pub type SendCall = Box<
    dyn Fn(UpstreamCall) -> BoxFuture<'static, Result<UpstreamResponse, SendError>> + Send + Sync,
>;

/// Function that queries which prompt parts an engine has cached.
pub type QueryCachedPrompts = Box<
    dyn Fn(
            Arc<UpstreamEntry>,
            UpstreamGate,
        ) -> BoxFuture<'static, Result<Vec<PromptPart>, QueryError>>
        + Send
        + Sync,
>;

/// Function that probes the health of an upstream.
pub type ProbeUpstream =
    Box<dyn Fn(HealthProbe) -> BoxFuture<'static, Result<HealthReport, QueryError>> + Send + Sync>;

/// Function that requests a KV copy of a run.
pub type CopyKvCache =
    Box<dyn Fn(KvCopyRequest) -> BoxFuture<'static, Result<CopySource, CopyError>> + Send + Sync>;

/// Function that frees a KV copy. It may fail without consequences, because engines free unused copies
/// by themselves later.
pub type FreeKvCopy = Box<dyn Fn(CopySource, UpstreamGate) -> BoxFuture<'static, ()> + Send + Sync>;

/// Request for a KV copy of a run.
#[derive(Clone, Debug)]
pub struct KvCopyRequest {
    /// The engine that runs the call.
    pub source: Arc<UpstreamEntry>,
    /// Call whose KV cache is copied.
    pub call: RequestId,
    /// The engine that receives the copy.
    pub holder: Arc<UpstreamEntry>,
    /// Gate of the request to the engine that runs the call.
    pub gate: UpstreamGate,
}

/// Why no KV copy was made.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, StdError, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CopyError {
    /// The engine does not run the call, or has not started it yet.
    #[display("the engine does not run the call")]
    NoRun,
    /// The engine is already copying the run.
    #[display("the engine is already copying the run")]
    Busy,
    /// The holder has no free memory or is unreachable.
    #[display("the copy holder has no free memory or is unreachable")]
    NoRoom,
    /// The engine did not respond.
    #[display("the engine did not respond")]
    NoAnswer,
    /// The engine wants no requests now.
    #[display("the engine wants no requests now")]
    Withheld,
}

/// A health check of an upstream.
#[derive(Clone, Debug)]
pub struct HealthProbe {
    /// Upstream to check.
    pub entry: Arc<UpstreamEntry>,
    /// Whether the upstream is an engine, whose load report is requested. For other upstreams a connection
    /// that stays open suffices: a health request would wait for a slot like any call, so it says little about
    /// a full upstream.
    pub engine: bool,
    /// Path of the check. Through another VM, a connection that stays open suffices.
    pub path: SendPath,
    /// Gate of the request.
    pub gate: UpstreamGate,
}

/// Result of a health check.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HealthReport {
    /// Load of the upstream, if it reports one; only engines do.
    pub load: Option<LoadSample>,
    /// Room of the upstream, as far as it reports it.
    pub room: RoomReport,
    /// Start time of the process that answered, if it reports one.
    pub born: Option<ProcessStart>,
    /// Whether the upstream itself answered, and not only a connection to its address stayed open.
    pub is_answer: bool,
}

impl HealthReport {
    /// What the upstream reports of its load and its room.
    pub(crate) fn load_and_room(&self) -> Option<(LoadSample, RoomReport)> {
        Some((self.load?, self.room))
    }
}

/// Connect timeout for upstreams: many times what a connection takes within a region, and short compared with a
/// caller's timeout. A partitioned VM, one without power or a full accept queue never answers. Without the timeout a
/// non-idempotent call would wait until its deadline and end as `timed_out`, as if it might have run, although no
/// upstream ever saw it. Nothing is sent before the connection is open, so any call may fail over to another upstream.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// A call as it is sent to one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamCall {
    /// The call as received from the caller.
    pub call: Arc<Call>,
    /// Upstream that the call is sent to.
    pub entry: Arc<UpstreamEntry>,
    /// Team of the caller, if known.
    pub team: Option<TeamId>,
    /// Priority by which engines admit and preempt runs; 0 is the highest.
    pub priority: u8,
    /// Time until the deadline of the call.
    pub time_left: Duration,
    /// ID of the last event that the caller has received.
    pub last_event: Option<u64>,
    /// Upstream to which the KV cache of the run is copied as it grows.
    pub copy_to: Option<SocketAddr>,
    /// KV copy that the run resumes from.
    pub copy_from: Option<CopySource>,
    /// Path of the connection. One through another VM is always new.
    pub path: SendPath,
    /// Maximum idle time of a reused connection; zero requires a new one.
    pub max_idle: Duration,
    /// Timeout for opening a new connection; the send fails with [`SendError::NoConnection`] afterwards.
    pub connect_timeout: Duration,
    /// Gate of the request.
    pub gate: UpstreamGate,
}

/// Identifies a KV copy of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CopySource {
    /// Address of the upstream that issued the handle.
    pub address: SocketAddr,
    /// Handle of the copy, unique at that upstream.
    pub handle: Arc<str>,
}

/// Head of an upstream's response, with the body as a stream.
pub struct UpstreamResponse {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Headers that are passed to the caller unchanged.
    pub headers: HeaderMap,
    /// Whether the response has the upstream's signature header, of which only the presence is checked, and
    /// no content encoding. A success status without it does not count as a success.
    pub signed: bool,
    /// Whether the upstream states that it did not run the call.
    pub not_executed: bool,
    /// Whether another incarnation now has the address.
    pub other_incarnation: bool,
    /// Incarnation that responded, if it identified itself.
    pub incarnation: Option<UpstreamId>,
    /// What ends the body.
    pub body_end: BodyEnd,
    /// Body of the response.
    pub body: ResponseBody,
}

/// What ends the body of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyEnd {
    /// Its length, or its last chunk.
    Framing,
    /// The end of the connection, since the response has neither a length nor chunks.
    Connection,
}

/// Body of an upstream's response.
pub type ResponseBody = BoxStream<'static, Result<Bytes, BodyError>>;

/// Why a call got no response.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, StdError, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum SendError {
    /// No connection could be opened, so nothing was sent.
    #[display("no connection to the upstream could be opened")]
    NoConnection,
    /// The connection broke after something may have been sent.
    #[display("the connection to the upstream broke")]
    Lost,
    /// The response belongs to another call, or to none.
    #[display("the upstream's response does not belong to this call")]
    Crossed,
    /// The upstream sent more than is read from it, so the connection was closed.
    #[display("the upstream's response is too large")]
    TooLarge,
    /// The upstream wants no requests now, so nothing was sent.
    #[display("the upstream wants no requests now")]
    Withheld,
    /// No response arrived before the stall timeout.
    #[display("the upstream did not respond in time")]
    Stalled,
    /// No response arrived, and the upstream did not answer a health check.
    #[display("the upstream is silent")]
    Silent,
}

/// Why an upstream could not be queried about itself.
#[derive(Clone, Debug, Display, Eq, PartialEq, StdError)]
pub enum QueryError {
    /// The request got no response.
    #[display("{_0}")]
    Send(#[error(source)] SendError),
    /// Another upstream has the address; its id, if it gave one.
    #[display("another upstream has the address")]
    OtherUpstream(#[error(not(source))] Option<UpstreamId>),
    /// The response is not the one that was asked for.
    #[display("the upstream responded with something else, status {_0}")]
    Unexpected(#[error(not(source))] StatusCode),
}

impl QueryError {
    /// Name of the error in the log.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Send(error) => error.into(),
            Self::OtherUpstream(_) => "other_upstream",
            Self::Unexpected(_) => "unexpected_response",
        }
    }
}

impl From<SendError> for QueryError {
    fn from(error: SendError) -> Self {
        Self::Send(error)
    }
}

/// Why the body of a response is not complete.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, StdError)]
pub enum BodyError {
    /// The connection broke before the body was complete.
    #[display("the connection to the upstream broke within the response")]
    Broken,
    /// The upstream sent more beside the body than is read.
    #[display("the upstream's response is too large")]
    TooLarge,
}

impl From<BodyError> for SendError {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::Broken => Self::Lost,
            BodyError::TooLarge => Self::TooLarge,
        }
    }
}
