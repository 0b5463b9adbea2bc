use super::*;

/// Kind of a timeline event.
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
    /// A request was sent to an upstream for the first time.
    Dispatched,
    /// A graceful shutdown began.
    DrainBegan,
    /// A graceful shutdown completed: no request was in flight any more.
    DrainEnded,
    /// A request ended without its complete response.
    Failed,
    /// The first token of a response arrived.
    FirstToken,
    /// A lease was lost or expired.
    LeaseLost,
    /// A lease was acquired.
    LeaseWon,
    /// A generation was sent to another upstream.
    NewAttempt,
    /// An order was sent to an upstream.
    OrderSent,
    /// A peer connection was lost.
    PeerLost,
    /// A running attempt was reattached over a new connection.
    ReAttached,
    /// A request was refused.
    Refused,
    /// A generation resumed after a new attempt or a reattachment.
    Resumed,
    /// This process started.
    Started,
    /// A request detected that its upstream has failed or is silent.
    Suspected,
    /// A generation was taken over from another VM.
    TakenOver,
    /// An upstream is leaving.
    UpstreamLeaving,
    /// A request received its complete response.
    Whole,
}

/// A timeline event, built from [`Event::new`] with struct update syntax.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Kind of the event.
    pub kind: EventKind,
    /// Request that the event concerns.
    pub request: Option<RequestId>,
    /// Attempt of that request, if the event concerns one.
    pub attempt: Option<Attempt>,
    /// Upstream that the event concerns.
    pub upstream: Option<UpstreamId>,
    /// Bundle version of the request, or the one that came into force.
    pub bundle: Option<BundleVersion>,
    /// Fencing term of the lease or order.
    pub term: Option<Term>,
    /// Human-readable detail: the reason, or the service, VM, scope or engine state that the event
    /// concerns.
    pub detail: Option<Arc<str>>,
}

impl Event {
    /// Creates an event of a kind with all other fields empty.
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
