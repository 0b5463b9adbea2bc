use super::*;

/// Why a step of a bundle was refused. Nothing was changed.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum BundleRefusal {
    /// The content is what is in force.
    #[display("this is the content of version {version}, which is in force")]
    InForceAlready {
        /// That version.
        version: BundleVersion,
    },
    /// There is no such draft.
    #[display("there is no draft `{draft}`")]
    NoDraft {
        /// The draft asked for.
        draft: DraftId,
    },
    /// There is no such version.
    #[display("there is no version {version}")]
    NoVersion {
        /// The version asked for.
        version: BundleVersion,
    },
    /// No second operator has looked at it.
    #[display("draft `{draft}` is not signed off")]
    NotSignedOff {
        /// The draft.
        draft: DraftId,
    },
    /// The digest looked at is not that of the draft.
    #[display("draft `{draft}` has the digest {found}, not {expected}")]
    OtherDigest {
        /// The draft.
        draft: DraftId,
        /// Digest that was signed off, or is asked for.
        expected: BundleDigest,
        /// Digest of the draft.
        found: BundleDigest,
    },
    /// The draft is a release already.
    #[display("draft `{draft}` is version {version} already, rolled out by {by}")]
    Released {
        /// The draft.
        draft: DraftId,
        /// The version that it became.
        version: BundleVersion,
        /// Who rolled it out.
        by: OperatorName,
    },
    /// Another operator rolled out first.
    #[display("{by} rolled out version {version} first; nothing of yours was changed")]
    Overtaken {
        /// The winner.
        by: OperatorName,
        /// The winner's version.
        version: BundleVersion,
    },
    /// One's own draft.
    #[display("draft `{draft}` was proposed by {operator}, and another operator must sign it off")]
    OwnDraft {
        /// The draft.
        draft: DraftId,
        /// Who proposed it and tried to sign it off.
        operator: OperatorName,
    },
    /// Another operator signed it off first.
    #[display("{by} signed off draft `{draft}` first")]
    SignedOff {
        /// The draft.
        draft: DraftId,
        /// The winner.
        by: OperatorName,
    },
    /// The table service refuses although nobody else changed the rows.
    #[display("the table service refused the change although nothing stood against it")]
    Unexplained,
}
