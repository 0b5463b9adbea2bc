use super::*;

/// Report of a VM that found another upstream at the address of one it knew, before any row of the platform says
/// so.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamRestart {
    /// Who had the address before.
    #[serde(rename = "b")]
    pub before: UpstreamIncarnation,
    /// Who has it now.
    #[serde(rename = "e")]
    pub entry: UpstreamEntry,
    /// Version of the store up to which the reporting VM knew the table of upstreams.
    #[serde(rename = "v", default)]
    pub version: u64,
}

/// What a restart is known by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RestartEvidence {
    /// The upstream's own answer to this VM.
    OwnProbe,
    /// The report of another VM, beside what this one knows of the table.
    PeerReport(TableFreshness),
}

/// How far a VM knows the table of upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TableFreshness {
    /// Version of the store up to which it is known.
    pub version: u64,
    /// Whether it is being kept up to date.
    pub current: bool,
}

/// Why a restart is not believed.
#[derive(Clone, Copy, Debug, Display, Error, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum StaleRestart {
    /// The upstream is known already.
    #[display("the upstream is known already")]
    Known,
    /// The upstream was removed.
    #[display("the upstream was removed")]
    Removed,
    /// The table is kept up to date here and does not name the upstream.
    #[display("the table is current and does not name the upstream")]
    TableIsCurrent,
    /// The table is known here to a later version than to the reporting VM.
    #[display("the table is known to a later version than the report's")]
    TableIsNewer,
}
