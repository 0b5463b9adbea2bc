use super::*;

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
    /// Requests per second that it takes from all VMs together.
    pub limit: Option<Result<RequestRate, RequestRateError>>,
    /// Rejections a second that it bears.
    pub bearable_rejections: Option<u32>,
    /// Time for which it wants no requests from this VM.
    pub back_off: Option<Result<RequestedBackOff, RequestedBackOffError>>,
    /// Whether it is leaving.
    pub leaving: bool,
}
