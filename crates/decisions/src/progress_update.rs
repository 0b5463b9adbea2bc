use super::*;

/// News of a generation for those VMs that keep a copy of its progress. There is one for nearly
/// each token, so its names on the wire are short and what does not change is left out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProgressUpdate {
    /// The generation.
    #[serde(rename = "i")]
    pub id: RequestId,
    /// The chain that it goes on with.
    #[serde(rename = "c")]
    pub chain: ChainId,
    /// What it keeps for its whole life; sent with the first token, and not again.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub head: Option<ProgressHead>,
    /// Attempt that is live.
    #[serde(rename = "a")]
    pub attempt: Attempt,
    /// Upstream that runs it, where that is news.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<UpstreamId>,
    /// Index of the first token of `tokens`.
    #[serde(rename = "f")]
    pub from: TokenIndex,
    /// Tokens delivered since the last update.
    #[serde(rename = "t")]
    pub tokens: TokenLog,
    /// Why the answer ended, once it is whole.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub finish: Option<Finish>,
}
