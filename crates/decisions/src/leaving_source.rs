use super::*;

/// Who said that an upstream is leaving. Each word counts by itself.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, EnumString, IntoStaticStr, strum::Display,
)]
#[strum(serialize_all = "snake_case")]
pub enum LeavingSource {
    /// The platform's list of VMs.
    Platform,
    /// The upstream's own load report.
    Report,
    /// The upstream's refusal of a request.
    Refusal,
    /// Another VM of the system.
    Peer,
}
