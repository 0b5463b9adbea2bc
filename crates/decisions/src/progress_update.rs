use super::*;

/// News of a generation for those VMs that keep a copy of its progress.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProgressUpdate {
    /// The generation.
    pub id: RequestId,
    /// Digest of the request, so that another request under the same key is told apart.
    pub digest: RequestDigest,
    /// What it keeps for its whole life; sent with the first token, and not again.
    pub pinned: Option<Pinned>,
    /// Attempt that is live.
    pub attempt: Attempt,
    /// Upstream that runs it.
    pub upstream: Option<UpstreamId>,
    /// Index of the first token of `tokens`.
    pub from: TokenIndex,
    /// Tokens delivered since the last update.
    pub tokens: TokenLog,
    /// Why the answer ended, once it is whole.
    pub finish: Option<Finish>,
}
