use super::*;

/// Why an upstream may not get new work.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum Ineligible {
    /// No report of the upstream has been received.
    #[display("no report of the upstream has been received")]
    NoReport,
    /// Its last report or response is too old to rely on.
    #[display("the upstream's last report is too old")]
    Stale,
    /// The upstream is shutting down and accepts no new requests.
    #[display("the upstream is leaving, reported by {reported_by}")]
    Leaving {
        /// Who reported that it is leaving.
        reported_by: LeavingSource,
    },
    /// It is not in the serving role, or has not loaded the requested model.
    #[display("the upstream does not serve the requested model")]
    NotServing,
}
