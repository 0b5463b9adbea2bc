use super::*;

/// Who made a change of the bundle store, and when.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BundleAuthor {
    /// The operator.
    pub operator: OperatorName,
    /// Mark of the change.
    pub change: ChangeToken,
    /// Seconds since 1970.
    pub at: u64,
}
