use super::*;

/// Source of the information that an upstream is leaving. Any one source is sufficient.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, EnumString, IntoStaticStr, strum::Display,
)]
#[strum(serialize_all = "snake_case")]
pub enum LeavingSource {
    /// The platform's list of VMs.
    Platform,
    /// A load report of the upstream itself.
    Report,
    /// Refusal of a request by the upstream.
    Refusal,
    /// Another VM, by gossip.
    Peer,
}
