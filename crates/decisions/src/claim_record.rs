use super::*;

/// What the table service holds of a claimed key.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimRecord {
    /// Digest of the request that claimed the key.
    pub digest: RequestDigest,
    /// Token of the try that claimed it.
    pub token: ClaimToken,
    /// Whether another VM may take the request over.
    pub kind: ClaimKind,
    /// VM that claimed it.
    pub holder: VmId,
    /// Process on that VM.
    pub incarnation: Incarnation,
    /// Request that it became.
    pub request: RequestId,
    /// When the holder gives the request up.
    pub deadline: WallTime,
    /// When the row may be swept.
    pub expires: WallTime,
    /// How far the request got.
    pub stage: ClaimStage,
}

/// Whether another VM may take a claimed request over.
#[derive(Clone, Copy, Debug, Eq, PartialEq, EnumString, IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ClaimKind {
    /// A call that must run at most once: nobody may.
    Call,
    /// A generation, which goes on from what was delivered: another VM may.
    Generation,
}

/// How far a claimed request got.
#[derive(Clone, Debug, PartialEq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ClaimStage {
    /// It may be dispatched at any moment, or has been.
    Claimed,
    /// It was never dispatched and its claim given back: the same request may claim the key again.
    Released,
    /// It came to an end.
    Done(ClaimOutcome),
}

/// End of a claimed request.
#[derive(Clone, Debug, PartialEq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ClaimOutcome {
    /// It was answered.
    Answered(RecordedResponse),
    /// It was dispatched, and nobody knows whether it ran.
    Unknown,
}

/// Answer of an upstream, kept for a caller who sends the request again.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers by name and value.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Body.
    pub body: RecordedBody,
}

/// Body of a recorded answer.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordedBody {
    /// In the row itself.
    Inline(Arc<[u8]>),
    /// In the object store, under this name.
    Object(Arc<str>),
    /// Longer than what is kept.
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
    /// Whether the request has come to an end one way or another.
    #[must_use]
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::Claimed)
    }
}
