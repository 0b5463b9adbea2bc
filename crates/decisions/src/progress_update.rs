use super::*;

/// An incremental update of a generation for the VMs that replicate its progress. Nearly every token
/// causes one, so field names on the wire are short and unchanged values are omitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProgressUpdate {
    /// Request that started the generation.
    #[serde(rename = "i")]
    pub id: RequestId,
    /// Chain to which the tokens belong.
    #[serde(rename = "c")]
    pub chain: ChainId,
    /// Properties that stay the same for the whole generation; sent with the first token only.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub head: Option<ProgressHead>,
    /// Live attempt, the only one that may deliver tokens.
    #[serde(rename = "a")]
    pub attempt: Attempt,
    /// Upstream that runs the attempt, if it has changed.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<UpstreamId>,
    /// Index of the first token of `tokens`.
    #[serde(rename = "f")]
    pub from: TokenIndex,
    /// Tokens delivered since the last update.
    #[serde(rename = "t")]
    pub tokens: TokenLog,
    /// Why the response ended, once it is complete.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub finish: Option<Finish>,
}
