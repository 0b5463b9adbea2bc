use super::*;

/// Reason for rejecting a change of the bundle store. A rejected change has no effect.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum BundleRefusal {
    /// The content is already in force.
    #[display("this is the content of version {version}, which is in force")]
    AlreadyInForce {
        /// Version that has this content.
        version: BundleVersion,
    },
    /// The draft does not exist.
    #[display("there is no draft `{draft}`")]
    NoDraft {
        /// Id of the requested draft.
        draft: DraftId,
    },
    /// The version does not exist.
    #[display("there is no version {version}")]
    NoVersion {
        /// Requested version.
        version: BundleVersion,
    },
    /// No second operator has signed off the draft.
    #[display("draft `{draft}` is not signed off")]
    NotSignedOff {
        /// Id of the draft.
        draft: DraftId,
    },
    /// The draft's digest differs from the one that was reviewed.
    #[display("draft `{draft}` has the digest {found}, not {expected}")]
    DigestMismatch {
        /// Id of the draft.
        draft: DraftId,
        /// Digest that was signed off or requested.
        expected: BundleDigest,
        /// Digest of the draft as stored.
        found: BundleDigest,
    },
    /// The draft has been rolled out already.
    #[display("draft `{draft}` is version {version} already, rolled out by {by}")]
    Released {
        /// Id of the draft.
        draft: DraftId,
        /// Version that the draft was released as.
        version: BundleVersion,
        /// Operator who rolled it out.
        by: OperatorName,
    },
    /// Another operator rolled out a release first.
    #[display("{by} rolled out version {version} first; nothing of yours was changed")]
    Superseded {
        /// Operator whose rollout took effect.
        by: OperatorName,
        /// Version of that operator's release.
        version: BundleVersion,
    },
    /// Operators may not sign off their own drafts.
    #[display("draft `{draft}` was proposed by {operator}, and another operator must sign it off")]
    SelfSignOff {
        /// Id of the draft.
        draft: DraftId,
        /// Operator who proposed the draft and attempted to sign it off.
        operator: OperatorName,
    },
    /// Another operator signed off the draft first.
    #[display("{by} signed off draft `{draft}` first")]
    AlreadySignedOff {
        /// Id of the draft.
        draft: DraftId,
        /// Operator whose sign-off took effect.
        by: OperatorName,
    },
    /// The table service rejected the change although no other operator changed the rows.
    #[display("the table service rejected the change although all its conditions hold")]
    UnexpectedConflict,
}
