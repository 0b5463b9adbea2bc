use super::*;

/// Content of a claim row in the platform store.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimRecord {
    /// Digest of the request that claimed the key.
    pub digest: RequestDigest,
    /// Token of the attempt that claimed the key.
    pub token: ClaimToken,
    /// Whether another VM may take over the request.
    pub kind: ClaimKind,
    /// VM that claimed the key.
    pub holder: VmId,
    /// Incarnation of the process that claimed the key.
    pub incarnation: Incarnation,
    /// Id that the request was given when it was accepted.
    pub request: RequestId,
    /// Time at which the holder abandons the request.
    pub deadline: WallTime,
    /// Time from which the row may be deleted.
    pub expires: WallTime,
    /// Progress of the request.
    pub stage: ClaimStage,
}

/// Whether another VM may take over a claimed request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, EnumString, IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ClaimKind {
    /// A call that must run at most once: no other VM may take it over.
    Call,
    /// A generation, which resumes after the last delivered token: another VM may take it over.
    Generation,
}

/// Progress of a claimed request.
#[derive(Clone, Debug, PartialEq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ClaimStage {
    /// The request may be dispatched at any moment, or has been dispatched.
    Claimed,
    /// The request was not dispatched and its claim was released: the same request may claim the
    /// key again.
    Released,
    /// The request has ended.
    Done(ClaimOutcome),
}

/// Outcome of a claimed request.
#[derive(Clone, Debug, PartialEq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ClaimOutcome {
    /// An upstream responded to the request.
    Answered(RecordedResponse),
    /// The request was dispatched, and it is unknown whether it ran.
    Unknown,
}

/// Response of an upstream, stored for callers that retry the request.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Response body, or where it is stored.
    pub body: RecordedBody,
}

/// Body of a recorded response.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordedBody {
    /// Stored in the claim row itself.
    Inline(Arc<[u8]>),
    /// Stored in the object store under this name.
    Object(Arc<str>),
    /// Not stored, because it exceeds the size limit.
    TooLarge,
}

impl ClaimRecord {
    /// Whether the row may be deleted.
    #[must_use]
    pub fn is_expired(&self, now: WallTime) -> bool {
        self.expires <= now
    }
}

impl ClaimStage {
    /// Whether this stage is the last one of a request.
    #[must_use]
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::Claimed)
    }
}
