use super::*;

/// The gateway's reply to a call.
#[derive(Debug)]
pub enum Reply {
    /// The complete response of an upstream, unchanged.
    Whole {
        /// HTTP status of the response.
        status: StatusCode,
        /// Headers that the upstream sent for the caller.
        headers: HeaderMap,
        /// The complete body.
        body: Bytes,
    },
    /// An event stream whose first event has been received.
    Events {
        /// HTTP status of the first run.
        status: StatusCode,
        /// Headers from the upstream of the first run.
        headers: HeaderMap,
        /// Events, from one or more runs.
        body: EventBody,
    },
    /// The call has not run and will not run, so the caller may safely retry it.
    NotRun {
        /// Evidence that the call has not run, and the reason of the refusal.
        not_run: NotRun<RequestId>,
    },
    /// The call may have run, but no response is available.
    Unknown,
    /// The deadline passed; the call may have run.
    TimedOut,
    /// No route matches the call's host and path.
    NoRoute,
    /// The caller's API key is missing or unknown.
    UnknownKey,
}

/// Events of a stream. An error means that the stream ends incomplete.
pub struct EventBody(pub BoxStream<'static, Result<Bytes, StreamCut>>);

/// Why a stream ended before it was complete.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, StdError)]
pub enum StreamCut {
    /// No upstream could resume the stream.
    #[display("no upstream could resume the stream")]
    NoUpstream,
    /// The deadline of the call passed.
    #[display("the stream reached its deadline")]
    TimedOut,
    /// Upstreams crashed before they produced an event of the stream.
    #[display("upstreams crashed when they started to run the stream")]
    Poisoned,
    /// The run was lost, and the route does not allow a resume on another upstream.
    #[display("the run of the stream was lost and its route does not allow a resume")]
    NotResumable,
}

impl Debug for EventBody {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("EventBody")
    }
}
