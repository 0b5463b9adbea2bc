use super::*;

/// How upstreams are reached. The adapter speaks the protocol; it repeats nothing and gives up
/// nothing by itself.
pub struct UpstreamTransport {
    /// Sends a call. The future ends with the head of the answer; dropping it, or the body, closes
    /// the connection, so that the upstream stops.
    pub send: SendCall,
    /// Has an engine copy the memory of a run to another one while it goes on.
    pub copy: CopyMemory,
    /// Has an engine free a copy that nobody will use.
    pub free: FreeCopy,
    /// Asks an engine which parts of prompts it holds, the latest word on a part last.
    pub cached: AskCached,
    /// Asks an upstream over a connection of its own whether it lives and how busy it is.
    pub probe: ProbeUpstream,
}

/// Sends a call to an upstream.
pub type SendCall = Box<
    dyn Fn(UpstreamCall) -> BoxFuture<'static, Result<UpstreamResponse, SendError>> + Send + Sync,
>;

/// Asks an engine which parts of prompts it holds.
pub type AskCached = Box<
    dyn Fn(Arc<UpstreamEntry>) -> BoxFuture<'static, Result<Vec<PromptPart>, SendError>>
        + Send
        + Sync,
>;

/// Asks an upstream a question.
pub type ProbeUpstream =
    Box<dyn Fn(HealthProbe) -> BoxFuture<'static, Result<HealthReport, SendError>> + Send + Sync>;

/// Has an engine copy the memory of a run.
pub type CopyMemory =
    Box<dyn Fn(CopyOrder) -> BoxFuture<'static, Result<CopySource, CopyError>> + Send + Sync>;

/// Has an engine free a copy. Nothing depends on its success: an engine frees it by itself later.
pub type FreeCopy = Box<dyn Fn(CopySource) -> BoxFuture<'static, ()> + Send + Sync>;

/// Which memory is to be copied, and where to.
#[derive(Clone, Debug)]
pub struct CopyOrder {
    /// The engine that runs the call.
    pub source: Arc<UpstreamEntry>,
    /// The call.
    pub call: RequestId,
    /// The engine that is to keep the copy.
    pub holder: Arc<UpstreamEntry>,
}

/// Why memory was not copied.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, StdError, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CopyError {
    /// The engine does not run the call, or not yet.
    #[display("the engine does not run the call")]
    NoRun,
    /// The engine copies it already.
    #[display("the engine copies it already")]
    Busy,
    /// The other engine has no room, or cannot be reached.
    #[display("the other engine has no room or cannot be reached")]
    NoRoom,
    /// No answer came.
    #[display("no answer came")]
    NoAnswer,
}

/// A question to an upstream.
#[derive(Clone, Debug)]
pub struct HealthProbe {
    /// The upstream.
    pub entry: Arc<UpstreamEntry>,
    /// Whether it is an engine, which is asked for its load report. Elsewhere a connection that opens
    /// is the answer: a health answer waits for a place like any call, and says little on a full one.
    pub engine: bool,
}

/// An upstream's answer to a question.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HealthReport {
    /// How busy it is, if it says so.
    pub load: Option<LoadSample>,
    /// When the process that answers started, if it says so.
    pub born: Option<ProcessStart>,
}

/// How long a connection to an upstream may take to open: many times what it takes within a region, and short
/// against a caller's patience.
///
/// Nothing answers from beyond a cut, from a VM without power or from a full accept queue. A call that is to run
/// once waited there until its time was over, and its caller was told that it may have run and could not come
/// back: `timed_out` under a request that no upstream ever saw. Until the connection is open nothing was sent, so
/// whatever the call is, it may go elsewhere.
pub(crate) const CONNECT_BOUND: Duration = Duration::from_millis(200);

/// A call on its way to an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamCall {
    /// The caller's call.
    pub call: Arc<Call>,
    /// Where it goes.
    pub entry: Arc<UpstreamEntry>,
    /// Team of the caller.
    pub team: Option<TeamId>,
    /// Its rank among calls, by which engines take and put aside runs; 0 is the highest.
    pub priority: u8,
    /// Time that is left for it.
    pub time_left: Duration,
    /// Number of the last event that the caller has.
    pub last_event: Option<u64>,
    /// Upstream to which the run's memory is to be copied as it grows.
    pub copy_to: Option<SocketAddr>,
    /// Copy of the run's memory to go on from.
    pub copy_from: Option<CopySource>,
    /// How long the connection may have been idle; zero for a fresh one.
    pub longest_idle: Duration,
    /// How long a fresh connection may take to open; [`SendError::NoConnection`] afterwards.
    pub connect_bound: Duration,
}

/// Names a copy of a run's memory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CopySource {
    /// The upstream that gave it its name.
    pub address: SocketAddr,
    /// Its name there.
    pub handle: Arc<str>,
}

/// The head of an upstream's answer, and its body to come.
pub struct UpstreamResponse {
    /// Its status.
    pub status: StatusCode,
    /// Headers that go to the caller as they are.
    pub headers: HeaderMap,
    /// Whether it bears the upstream's signature.
    pub signed: bool,
    /// Whether the upstream says that it did not run the call.
    pub not_executed: bool,
    /// Whether another incarnation has the address now.
    pub other_incarnation: bool,
    /// Which incarnation answered, if it says so.
    pub incarnation: Option<UpstreamId>,
    /// The upstream's word on its load.
    pub load: Option<LoadSample>,
    /// Its body.
    pub body: ResponseBody,
}

/// The body of an upstream's answer.
pub type ResponseBody = BoxStream<'static, Result<Bytes, BodyError>>;

/// Why a call got no answer.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, StdError, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum SendError {
    /// No connection could be opened, so nothing was sent.
    #[display("no connection to the upstream could be opened")]
    NoConnection,
    /// The connection broke after something may have been sent.
    #[display("the connection to the upstream broke")]
    Lost,
    /// The upstream answered with something that belongs to another call, or to none.
    #[display("the upstream answered another call")]
    Crossed,
    /// No answer came in the time that could be waited for it.
    #[display("no answer came in time")]
    Stalled,
}

/// Why a body ended early.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, StdError)]
#[display("the connection to the upstream broke within the answer")]
pub struct BodyError;
