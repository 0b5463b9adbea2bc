use super::*;

/// A version that was rolled out. Its row is never changed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BundleRelease {
    /// Version, one more than that of the previous release.
    pub version: BundleVersion,
    /// Digest of the release's content.
    pub digest: BundleDigest,
    /// Origin of the content.
    pub source: ReleaseSource,
    /// Operator who rolled it out, and when.
    pub released: BundleAuthor,
}

/// Origin of a release's content.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReleaseSource {
    /// A signed-off draft.
    Draft {
        /// Id of the draft.
        draft: DraftId,
        /// Operator who proposed the draft.
        proposed_by: OperatorName,
        /// Operator who signed off the draft.
        signed_off_by: OperatorName,
    },
    /// A rollback to the content of an earlier version.
    RollBack {
        /// Version whose content is used again.
        version: BundleVersion,
    },
}

/// The row that names the release in force. It is small because every VM polls it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CurrentBundle {
    /// Version in force.
    pub version: BundleVersion,
    /// Digest of the release's content, which is also the name of the object that holds it.
    pub digest: BundleDigest,
    /// Operator who rolled out the release.
    pub by: OperatorName,
}
