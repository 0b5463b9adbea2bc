use super::*;

/// Counts of a VM, reported to the owner of a rollout. All of them are cumulative.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// Service of the rollout.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Position of the store at which the order was written.
    #[serde(rename = "o")]
    pub written: StorePosition,
    /// Term of the owner that the report is addressed to.
    #[serde(rename = "t")]
    pub term: u64,
    /// The reporting VM.
    #[serde(rename = "v")]
    pub vm: VmIncarnation,
    /// Requests of the service since this VM attached to that owner.
    #[serde(rename = "n")]
    pub requests: u64,
    /// Grants of that owner that were spent.
    #[serde(rename = "u")]
    pub spent: u64,
    /// Response counts of some of the routes.
    #[serde(rename = "e")]
    pub evidence: Vec<RouteEvidence>,
}

/// The owner's reply to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutGrant {
    /// State of the rollout.
    #[serde(rename = "n")]
    pub notice: RolloutNotice,
    /// Total number of canary requests granted to the VM.
    #[serde(rename = "g")]
    pub granted: u64,
    /// Routes on which the new version still needs samples; empty if any route may be used.
    #[serde(rename = "w")]
    pub undersampled_routes: Vec<Arc<str>>,
}
