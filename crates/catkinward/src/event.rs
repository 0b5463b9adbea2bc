use super::*;

/// Kinds of events of the time line.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    EnumString,
    IntoStaticStr,
    strum::Display,
    strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum EventKind {
    /// A request was accepted under a bundle version.
    Accepted,
    /// A bundle version came into force on this VM.
    BundleInForce,
    /// A non-idempotent request was claimed in the table service.
    Claimed,
    /// A request was given to an upstream for the first time.
    Dispatched,
    /// A graceful shutdown began.
    DrainBegan,
    /// A graceful shutdown found nothing in flight any more.
    DrainEnded,
    /// A request ended without its whole answer.
    Failed,
    /// The first token of an answer came.
    FirstToken,
    /// A lease was lost or lapsed.
    LeaseLost,
    /// A lease was won.
    LeaseWon,
    /// A generation is given to another upstream.
    NewAttempt,
    /// An order was sent to an upstream.
    OrderSent,
    /// A peer connection was lost.
    PeerLost,
    /// A running attempt goes on over a new connection.
    ReAttached,
    /// A request was refused.
    Refused,
    /// A generation goes on after a new attempt.
    Resumed,
    /// This process started.
    Started,
    /// An upstream is taken for dead or silent by a request on it.
    Suspected,
    /// A generation was taken over from another VM.
    TakenOver,
    /// An upstream is leaving.
    UpstreamLeaving,
    /// A request got its whole answer.
    Whole,
}

/// An event of the time line, to be filled in by update syntax from [`Event::new`].
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// What happened.
    pub kind: EventKind,
    /// Request that it happened to.
    pub request: Option<RequestId>,
    /// Attempt of that request.
    pub attempt: Option<Attempt>,
    /// Upstream that it happened on.
    pub upstream: Option<UpstreamId>,
    /// Bundle version concerned.
    pub bundle: Option<BundleVersion>,
    /// Fencing number concerned.
    pub term: Option<Term>,
    /// Why, or which, for a person to read.
    pub detail: Option<Arc<str>>,
}

impl Event {
    /// An event of that kind and nothing more.
    #[must_use]
    pub fn new(kind: EventKind) -> Self {
        Self {
            kind,
            request: None,
            attempt: None,
            upstream: None,
            bundle: None,
            term: None,
            detail: None,
        }
    }
}
