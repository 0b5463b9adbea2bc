use super::*;

/// A proposed bundle. Its content is stored as an object named after the digest.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BundleDraft {
    /// Id of the draft, which includes the version that it would replace.
    pub id: DraftId,
    /// Digest of the draft's content.
    pub digest: BundleDigest,
    /// Operator who proposed the draft, and when.
    pub proposed: BundleAuthor,
    /// Sign-off by a second operator, if there is one.
    pub signed_off: Option<SignOff>,
}

/// Approval of a draft by a second operator.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SignOff {
    /// Operator who signed off the draft, and when.
    pub author: BundleAuthor,
    /// Digest of the content that the operator reviewed.
    pub digest: BundleDigest,
}
