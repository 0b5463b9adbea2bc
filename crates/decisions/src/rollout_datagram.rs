use super::*;

/// A VM's counts, to the owner of a rollout. All of them are cumulative.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Version of the store at which the order was written.
    #[serde(rename = "o")]
    pub written: u64,
    /// Term of the owner that it is for.
    #[serde(rename = "t")]
    pub term: u64,
    /// The VM.
    #[serde(rename = "v")]
    pub vm: VmIncarnation,
    /// Requests of the service since that owner became known.
    #[serde(rename = "n")]
    pub requests: u64,
    /// Grants of that owner that were spent.
    #[serde(rename = "u")]
    pub spent: u64,
    /// Answers, of some routes.
    #[serde(rename = "e")]
    pub evidence: Vec<RouteEvidence>,
}

/// The owner's answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutGrant {
    /// How far the rollout is.
    #[serde(rename = "n")]
    pub notice: RolloutNotice,
    /// Exposures granted to the VM in all.
    #[serde(rename = "g")]
    pub granted: u64,
    /// Routes on which the new version has to be tried first.
    #[serde(rename = "w")]
    pub wanted: Vec<Arc<str>>,
}
