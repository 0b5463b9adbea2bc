use super::*;

/// Author and time of a change of the bundle store.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct BundleAuthor {
    /// Operator who made the change.
    pub operator: OperatorName,
    /// Unique id of the change.
    pub change: ChangeToken,
    /// Time of the change, in seconds since the Unix epoch.
    pub at: u64,
}
