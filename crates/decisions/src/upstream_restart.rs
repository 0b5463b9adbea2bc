use super::*;

/// Report of a VM that found another upstream at the address of one it knew, before the platform's table
/// shows the change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamRestart {
    /// Upstream that had the address before.
    #[serde(rename = "b")]
    pub before: UpstreamIncarnation,
    /// Entry of the upstream that has the address now.
    #[serde(rename = "e")]
    pub entry: UpstreamEntry,
    /// Position of the store up to which the reporting VM had read the table of upstreams.
    #[serde(rename = "v", default)]
    pub position: StorePosition,
}

/// Evidence for a restart.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RestartEvidence {
    /// The upstream's own response to this VM.
    OwnProbe,
    /// The report of another VM, with this VM's view of the table.
    PeerReport(TableFreshness),
}

/// How recent a VM's view of the table of upstreams is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TableFreshness {
    /// Position of the store up to which the table has been read.
    pub position: StorePosition,
    /// Whether the view is kept up to date.
    pub current: bool,
}

/// Reason for which a restart report is rejected.
#[derive(Clone, Copy, Debug, Display, Error, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum StaleRestart {
    /// The upstream is known already.
    #[display("the upstream is known already")]
    Known,
    /// The upstream was removed.
    #[display("the upstream was removed")]
    Removed,
    /// The table is kept up to date here and does not contain the upstream.
    #[display("the table is current and does not name the upstream")]
    TableIsCurrent,
    /// The table has been read here up to a later position than by the reporting VM.
    #[display("the table is known to a later position than the report's")]
    TableIsNewer,
}
