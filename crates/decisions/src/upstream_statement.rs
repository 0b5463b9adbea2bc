use super::*;

/// The process that a statement is about, as far as the response shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatementSubject<'a> {
    /// The incarnation that the request was sent to.
    Expected,
    /// Another one, which identified itself.
    Other(&'a UpstreamId),
    /// Another one, of which nothing is known.
    Unknown,
}

/// What an upstream states about itself in the head of a response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamStatement {
    /// HTTP status of the response.
    pub status: u16,
    /// What the response is.
    pub kind: ResponseKind,
    /// Incarnation that responded, if it identified itself.
    pub responder: Option<UpstreamId>,
    /// Its load.
    pub load: Option<LoadSample>,
    /// Its room, as far as it states it.
    pub room: RoomReport,
    /// Requests per second that it takes from all VMs together.
    pub limit: Option<Result<RequestRate, RequestRateError>>,
    /// Rejections a second that it bears.
    pub bearable_rejections: Option<u32>,
    /// Time for which it wants no requests from this VM.
    pub back_off: Option<Result<RequestedBackOff, RequestedBackOffError>>,
    /// Whether it is leaving.
    pub leaving: bool,
}

impl UpstreamStatement {
    /// The process that the statement is about, in a response to a request that was sent to `expected`. What one
    /// process says does not bind another one at its address.
    #[must_use]
    pub fn subject(&self, expected: &UpstreamId) -> StatementSubject<'_> {
        match &self.responder {
            Some(responder) if responder == expected => StatementSubject::Expected,
            Some(responder) => StatementSubject::Other(responder),
            None if self.kind == ResponseKind::OtherIncarnation => StatementSubject::Unknown,
            None => StatementSubject::Expected,
        }
    }
}
