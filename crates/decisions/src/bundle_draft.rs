use super::*;

/// A proposed bundle. Its content is an object named by the digest.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BundleDraft {
    /// Id, with the version that it would replace.
    pub id: DraftId,
    /// Digest of its content.
    pub digest: BundleDigest,
    /// Who proposed it.
    pub proposed: BundleAuthor,
    /// Who signed it off, if anyone has.
    pub signed_off: Option<SignOff>,
}

/// A sign-off of a draft.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SignOff {
    /// Who gave it.
    pub author: BundleAuthor,
    /// Digest of what was looked at.
    pub digest: BundleDigest,
}
