use super::*;

/// A version that was rolled out; its row is never changed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BundleRelease {
    /// Its version, one more than that of the release before.
    pub version: BundleVersion,
    /// Digest of its content.
    pub digest: BundleDigest,
    /// Where its content comes from.
    pub source: ReleaseSource,
    /// Who rolled it out.
    pub released: BundleAuthor,
}

/// Where the content of a release comes from.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReleaseSource {
    /// A draft that was signed off.
    Draft {
        /// The draft.
        draft: DraftId,
        /// Who proposed it.
        proposed_by: OperatorName,
        /// Who signed it off.
        signed_off_by: OperatorName,
    },
    /// An earlier version.
    RollBack {
        /// That version.
        version: BundleVersion,
    },
}

/// The one row that all VMs read: which release is in force. It is kept small.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CurrentBundle {
    /// Version in force.
    pub version: BundleVersion,
    /// Digest of its content, and name of the object that holds it.
    pub digest: BundleDigest,
    /// Operator who rolled it out.
    pub by: OperatorName,
}
