use super::*;

/// What a caller gets.
#[derive(Debug)]
pub enum Reply {
    /// An upstream's whole answer, as it came.
    Whole {
        /// Its status.
        status: StatusCode,
        /// Its headers.
        headers: HeaderMap,
        /// Its body.
        body: Bytes,
    },
    /// An upstream's stream, of which the first event is there.
    Events {
        /// Its status.
        status: StatusCode,
        /// Headers of the first upstream.
        headers: HeaderMap,
        /// Its events.
        body: EventBody,
    },
    /// It has not run and will not.
    NotRun {
        /// Proof and reason.
        not_run: NotRun<RequestId>,
    },
    /// It may have run; no answer is to be had.
    Unknown,
    /// It may have run; its time is over.
    TimedOut,
    /// No route takes it.
    NoRoute,
    /// Its key is not known.
    UnknownKey,
}

/// Events of a stream; an error means that it ends without being whole.
pub struct EventBody(pub BoxStream<'static, Result<Bytes, StreamCut>>);

/// A stream that ended before it was whole.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, StdError)]
pub enum StreamCut {
    /// No upstream could go on with it.
    #[display("no upstream could go on with the stream")]
    NoUpstream,
    /// Its time was over.
    #[display("the time of the stream is over")]
    TimedOut,
    /// Upstreams died as they began to run it.
    #[display("upstreams died as they began to run the stream")]
    Poisoned,
    /// It may not go on elsewhere.
    #[display("the stream was cut and may not go on elsewhere")]
    NotResumable,
}

impl Debug for EventBody {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("EventBody")
    }
}
